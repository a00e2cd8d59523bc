#ifndef RADISHROUTE_CLI_CONFIG_HTTP_H_
#define RADISHROUTE_CLI_CONFIG_HTTP_H_

#include <functional>
#include <optional>
#include <string>

#include "cli/admin_http.h"
#include "radishroute/config_admin.h"
#include "radishroute/group_server.h"

namespace radishroute {

/// What the HTTP mapping needs of a controller; all of it on the controller's control thread.
struct config_http_backend {
  const state_machine* state = nullptr;
  const config_leases* leases = nullptr;
  /// Proposes a command; false if this process is not the leader.
  std::function<bool(config_change)> propose;
  std::function<bool()> is_leader;
  /// Bearer token of operators.
  std::string token;
  /// Adds the groups to the status; may be null.
  const group_server* groups = nullptr;
};

/// Answers POST /v1/config/changes, GET /v1/config/changes/ID and GET /v1/status; nothing for
/// other paths. A change is proposed and its result read by its id, so both may be repeated.
std::optional<http_answer> HandleConfigHttp(const http_request& request,
                                            const config_http_backend& backend, steady_time now);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_CONFIG_HTTP_H_
