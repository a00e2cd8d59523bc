#ifndef RADISHROUTE_CLI_GROUP_HTTP_H_
#define RADISHROUTE_CLI_GROUP_HTTP_H_

#include <functional>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <vector>

#include "cli/admin_http.h"
#include "radishroute/group_server.h"

namespace radishroute {

/// What the HTTP mapping of groups needs of a controller; all of it on its control thread.
struct group_http_backend {
  const group_table* groups = nullptr;
  /// Proposes a command; false if this process is not the leader.
  std::function<bool(group_pin)> propose;
  std::function<bool()> is_leader;
  /// Bearer token of operators.
  std::string token;
};

/// The groups in the form of GET /v1/status.
nlohmann::json GroupsToJson(const std::vector<group_status>& groups);

/// Answers POST /v1/groups with {"group": NAME, "pinned": BOOL}; nothing for other paths. May be
/// repeated: it answers 202 until the group is as asked, 200 after that.
std::optional<http_answer> HandleGroupHttp(const http_request& request,
                                           const group_http_backend& backend);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_GROUP_HTTP_H_
