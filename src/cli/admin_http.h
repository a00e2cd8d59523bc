#ifndef RADISHROUTE_CLI_ADMIN_HTTP_H_
#define RADISHROUTE_CLI_ADMIN_HTTP_H_

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>

#include "io/http_server.h"

namespace radishroute {

/// Answer on an admin address; the body is JSON.
struct http_answer {
  unsigned status = 200;
  std::string body;
};

/// Text of an answer. Invalid UTF-8, which the name of a peer's zone may hold, is replaced.
std::string JsonText(const nlohmann::json& value);

/// Answer with {"error": TYPE}.
http_answer ErrorAnswer(unsigned status, std::string_view type);

/// Whether a request carries the operators' bearer token; never with an empty token.
bool Authorized(const http_request& request, const std::string& token);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_ADMIN_HTTP_H_
