#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "platform/config_wire.h"
#include "platform/control_wire.h"
#include "platform/engine_wire.h"
#include "platform/http_wire.h"

namespace {

/// Response with one header, whose name the first byte of the input chooses.
void DecodeHeader(std::string_view text) {
  constexpr std::string_view kNames[] = {"Retry-After", "Server-Load", "Server-Leaving"};
  if (text.empty()) return;
  std::string_view name = kNames[static_cast<unsigned char>(text.front()) % std::size(kNames)];
  radishroute::http_head head;
  head.status = 503;
  head.headers = {{std::string(name), std::string(text.substr(1))}};
  (void)radishroute::platform::http_wire::DecodeResponse(std::move(head));
}

}  // namespace

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  std::string text(reinterpret_cast<const char*>(data), size);
  radishroute::announcement registration;
  (void)radishroute::platform::DecodeRegistration("i-1", text, registration);
  radishroute::deployment document;
  (void)radishroute::platform::DecodeDeployment(text, document);
  (void)radishroute::platform::engine_wire::DecodeReport(text);
  (void)radishroute::platform::engine_wire::DecodeExpertUsage(text);
  DecodeHeader(text);
  return 0;
}
