#include "cli/admin_http.h"

#include <nlohmann/json.hpp>

#include "io/secret.h"

namespace radishroute {

std::string JsonText(const nlohmann::json& value) {
  return value.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

http_answer ErrorAnswer(unsigned status, std::string_view type) {
  return {status, JsonText({{"error", type}})};
}

bool Authorized(const http_request& request, const std::string& token) {
  auto it = request.headers.find("authorization");
  return !token.empty() && it != request.headers.end() &&
         SecretsEqual(it->second, "Bearer " + token);
}

}  // namespace radishroute
