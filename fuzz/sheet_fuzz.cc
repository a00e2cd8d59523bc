#include <cstddef>
#include <cstdint>
#include <string_view>

#include "radishroute/sheet.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::vector<radishroute::sheet_error> errors;
  (void)radishroute::ParseSheet({reinterpret_cast<const char*>(data), size}, errors);
  return 0;
}
