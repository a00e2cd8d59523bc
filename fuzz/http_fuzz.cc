#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <system_error>

#include "io/http_codec.h"

namespace {

struct decoded {
  std::string bodies;
  std::size_t messages = 0;
  bool failed = false;
};

bool IsName(const std::string& name) {
  constexpr std::string_view kSeparators = "()<>@,;:\\\"/[]?={} \t";
  return !name.empty() && std::all_of(name.begin(), name.end(), [&](char c) {
    return c > ' ' && c < '\x7f' && kSeparators.find(c) == std::string_view::npos;
  });
}

/// What no caller may be handed.
void CheckHead(radishroute::http_side side, const radishroute::http_head& head) {
  bool response = side == radishroute::http_side::kResponse;
  bool status_ok = head.status >= 100 && head.status <= 599 && head.status != 101;
  if (response && !status_ok) std::abort();
  for (const radishroute::http_header& header : head.headers) {
    if (!IsName(header.name)) std::abort();
    if (header.value.find_first_of(std::string_view("\r\n\0", 3)) != std::string::npos)
      std::abort();
  }
}

/// Decodes all messages from bytes that arrive in parts; a decoder that consumes nothing without an
/// error would hang its caller.
decoded Decode(radishroute::http_side side, std::string_view bytes, std::size_t part) {
  decoded out;
  radishroute::http_decoder decoder(
      side, 4096,
      {[&](radishroute::http_head&& head) { CheckHead(side, head); },
       [&](std::string_view body) { out.bodies.append(body); }, [&] { ++out.messages; }});
  std::error_code error;
  while (!bytes.empty() && !error) {
    std::size_t used = decoder.Feed(bytes.substr(0, part), error);
    if (used == 0 && !error) std::abort();
    bytes.remove_prefix(used);
  }
  if (!error) error = decoder.Finish();
  out.failed = static_cast<bool>(error);
  return out;
}

// A reader must find the same messages however they were split.
void DecodeBothWays(radishroute::http_side side, std::string_view bytes) {
  decoded whole = Decode(side, bytes, bytes.size());
  decoded parts = Decode(side, bytes, 1);
  if (whole.failed != parts.failed || whole.messages != parts.messages) std::abort();
  if (!whole.failed && whole.bodies != parts.bodies) std::abort();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  DecodeBothWays(radishroute::http_side::kRequest, bytes);
  DecodeBothWays(radishroute::http_side::kResponse, bytes);
  return 0;
}
