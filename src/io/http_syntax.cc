#include "io/http_syntax.h"

#include <algorithm>

#include "radishroute/error.h"

namespace radishroute {

namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// Classes of statuses are 1 to 5 (RFC 9110, 15). An upgrade (101) answers a request for one, which
// no request here makes.
bool IsStatus(std::string_view text) {
  return text.size() == kStatusDigits && std::all_of(text.begin(), text.end(), IsDigit) &&
         text[0] >= '1' && text[0] <= '5' && text != "101";
}

}  // namespace

std::error_code CheckStatusLine(std::string_view line) {
  if (!line.starts_with(kVersionPrefix)) return errc::kMalformedHttp;
  line.remove_prefix(kVersionPrefix.size());
  if (line.size() < 2 || !IsDigit(line[0]) || line[1] != ' ') return errc::kMalformedHttp;
  line.remove_prefix(2);
  if (!IsStatus(line.substr(0, line.find(' ')))) return errc::kInvalidHttpStatus;
  return {};
}

}  // namespace radishroute
