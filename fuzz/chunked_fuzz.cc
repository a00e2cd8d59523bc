#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>
#include <string_view>
#include <system_error>

#include "io/http_codec.h"

namespace {

constexpr std::size_t kMaxHeadBytes = 4096;

struct decoded {
  std::string bodies;
  std::size_t messages = 0;
  bool failed = false;
};

/// Decodes requests that arrive in parts, as stream_server does.
decoded Decode(std::string_view bytes, std::size_t part) {
  decoded out;
  radishroute::http_decoder decoder(
      radishroute::http_side::kRequest, kMaxHeadBytes,
      {[](radishroute::http_head&&) {}, [&out](std::string_view body) { out.bodies.append(body); },
       [&out] { ++out.messages; }});
  while (!bytes.empty()) {
    std::string_view next = bytes.substr(0, part);
    bytes.remove_prefix(next.size());
    while (!next.empty()) {
      std::error_code error;
      std::size_t used = decoder.Feed(next, error);
      // The memory of a head is charged by this; a header takes three bytes at least.
      if (decoder.HeldBytes() > kMaxHeadBytes * 2 * sizeof(radishroute::http_header)) std::abort();
      if (error) {
        out.failed = true;
        return out;
      }
      if (used == 0) std::abort();
      next.remove_prefix(used);
    }
  }
  return out;
}

}  // namespace

/// The first byte gives the length of the parts; the rest follows the head of a chunked request.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  if (size == 0) return 0;
  std::string bytes = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
  bytes.append(reinterpret_cast<const char*>(data) + 1, size - 1);
  decoded whole = Decode(bytes, bytes.size());
  decoded parts = Decode(bytes, std::size_t{1} + data[0] % 64);
  if (whole.bodies.size() > size) std::abort();
  // A server must read the same requests however they were split.
  if (whole.failed != parts.failed || whole.messages != parts.messages) std::abort();
  if (!whole.failed && whole.bodies != parts.bodies) std::abort();
  return 0;
}
