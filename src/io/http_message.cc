#include "io/http_message.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <charconv>

namespace radishroute {

namespace {

// RFC 9110, 7.6.1, and the framing headers, which each connection sets anew.
constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "connection", "keep-alive", "proxy-connection", "te", "trailer", "transfer-encoding",
    "upgrade",    "expect",     "content-length"};

}  // namespace

bool IsConnectionHeader(std::string_view name) {
  return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                     [&](std::string_view known) { return EqualIgnoringCase(known, name); });
}

std::optional<std::uint32_t> KeepAliveSeconds(const http_head& head) {
  const std::string* value = FindHeader(head.headers, "keep-alive");
  if (value == nullptr) return std::nullopt;
  constexpr std::string_view kParameter = "timeout=";
  std::size_t at = value->find(kParameter);
  if (at == std::string::npos) return std::nullopt;
  const char* begin = value->data() + at + kParameter.size();
  std::uint32_t seconds = 0;
  auto [end, error] = std::from_chars(begin, value->data() + value->size(), seconds);
  if (error != std::errc() || end == begin) return std::nullopt;
  return seconds;
}

void AppendHeader(std::string& out, std::string_view name, std::string_view value) {
  out.append(name).append(": ").append(value).append("\r\n");
}

std::string StatusLine(unsigned status) {
  std::string_view phrase = http_status_str(static_cast<http_status>(status));
  if (phrase == "<unknown>") phrase = "Unknown";
  std::string line = "HTTP/1.1 " + std::to_string(status) + " ";
  return line.append(phrase).append("\r\n");
}

}  // namespace radishroute
