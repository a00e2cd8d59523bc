#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "io/caller_api.h"
#include "radishroute/idempotency_key.h"

namespace {

/// Removes the text up to the next line feed from `rest` and returns it.
std::string TakeLine(std::string_view& rest) {
  std::size_t end = rest.find('\n');
  std::string line(rest.substr(0, end));
  rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  return line;
}

}  // namespace

/// The input is one line with the path, one for each header, and the body.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr std::array<const char*, 5> kHeaders = {"x-member", "x-work-kind", "x-deadline-ms",
                                                   "idempotency-key", "x-first-submission"};
  std::string_view rest(reinterpret_cast<const char*>(data), size);
  radishroute::http_request request;
  request.method = "POST";
  request.path = TakeLine(rest);
  for (const char* name : kHeaders) request.headers[name] = TakeLine(rest);
  (void)radishroute::ParseKeyTime(request.headers["idempotency-key"]);
  request.body = std::string(rest);
  radishroute::caller_request parsed;
  (void)radishroute::ParseCallerRequest(request, parsed);
  // Most paths that the fuzzer invents are refused before the body is read.
  request.path = "/v1/chat/completions";
  request.headers["x-deadline-ms"].clear();
  (void)radishroute::ParseCallerRequest(request, parsed);
  return 0;
}
