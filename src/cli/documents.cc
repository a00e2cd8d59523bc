#include "cli/documents.h"

#include <string>
#include <utility>

#include "io/metrics.h"
#include "platform/config_wire.h"
#include "radishroute/compression.h"

namespace radishroute {

std::shared_ptr<const route_index> ReadDocument(const publish_document& d) {
  deployment parsed;
  std::string version = std::to_string(d.version);
  std::string text;
  std::error_code error = Decompress(*d.text, text);
  if (!error) error = platform::DecodeDeployment(text, parsed);
  if (error) {
    // Controllers check documents before they accept them.
    WriteLog({event_code::kDeploymentRejected,
              log_level::kError,
              {{"version", version}, {"error", error.message()}}});
    return nullptr;
  }
  std::string members = parsed.members ? std::to_string(parsed.members->size()) : "no-keys";
  WriteLog({event_code::kDeploymentApplied,
            log_level::kInfo,
            {{"version", version},
             {"routes", std::to_string(parsed.routes.size())},
             {"members", members}}});
  return std::make_shared<const route_index>(std::move(parsed));
}

}  // namespace radishroute
