#ifndef RADISHROUTE_CLI_DRAIN_HTTP_H_
#define RADISHROUTE_CLI_DRAIN_HTTP_H_

#include <functional>
#include <optional>
#include <string>

#include "cli/admin_http.h"

namespace radishroute {

/// Path of the order to drain, a POST on the admin address of an entry or agent.
inline constexpr const char* kDrainPath = "/v1/drain";

/// Answers POST /v1/drain and calls `drain` if the request carries the operators' token; nothing
/// for other paths. May be repeated.
std::optional<http_answer> HandleDrainHttp(const http_request& request, const std::string& token,
                                           const std::function<void()>& drain);

/// Handler for `admin_api`, which drains this process as SIGTERM does.
std::function<bool(const http_request&, http_server&)> DrainHttpHandler(std::string token);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_DRAIN_HTTP_H_
