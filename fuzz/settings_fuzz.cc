#include <cstddef>
#include <cstdint>
#include <string_view>

#include "radishroute/settings.h"

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string_view text(reinterpret_cast<const char*>(data), size);
  std::vector<radishroute::settings_error> errors;
  (void)radishroute::ParseEntrySettings(text, errors);
  (void)radishroute::ParseAgentSettings(text, errors);
  return 0;
}
