#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <system_error>

#include "io/http_codec.h"

namespace {

/// Decodes all messages; a decoder that consumes nothing without an error would hang its caller.
void Decode(radishroute::http_side side, std::string_view bytes) {
  std::size_t body = 0;
  radishroute::http_decoder decoder(
      side, 4096,
      {[](radishroute::http_head&&) {}, [&body](std::string_view part) { body += part.size(); },
       [] {}});
  std::error_code error;
  while (!bytes.empty() && !error) {
    std::size_t used = decoder.Feed(bytes, error);
    if (used == 0 && !error) std::abort();
    bytes.remove_prefix(used);
  }
  if (!error) (void)decoder.Finish();
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view bytes(reinterpret_cast<const char*>(data), size);
  Decode(radishroute::http_side::kRequest, bytes);
  Decode(radishroute::http_side::kResponse, bytes);
  return 0;
}
