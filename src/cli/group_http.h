#ifndef RADISHROUTE_CLI_GROUP_HTTP_H_
#define RADISHROUTE_CLI_GROUP_HTTP_H_

#include <functional>
#include <string>
#include <vector>

#include "cli/config_http.h"
#include "radishroute/group_server.h"

namespace radishroute {

/// Adds the groups to the body of GET /v1/status.
void AddGroups(const std::vector<group_status>& groups, std::string& status_body);

/// Answers POST /v1/groups with {"group": NAME, "pinned": BOOL}; the request must be authorized.
/// `propose` returns false if this process is not the leader.
http_answer HandleGroupPin(const http_request& request, const group_table& groups,
                           const std::function<bool(group_pin)>& propose);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_GROUP_HTTP_H_
