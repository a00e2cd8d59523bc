#include <cstddef>
#include <cstdint>
#include <string_view>

#include "io/wire.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  radishroute::message out;
  (void)radishroute::DecodeFrame({reinterpret_cast<const char*>(data), size}, out);
  return 0;
}
