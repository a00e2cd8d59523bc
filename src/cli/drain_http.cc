#include "cli/drain_http.h"

#include <unistd.h>

#include <csignal>
#include <utility>

namespace radishroute {

std::optional<http_answer> HandleDrainHttp(const http_request& request, const std::string& token,
                                           const std::function<void()>& drain) {
  if (request.path != kDrainPath) return std::nullopt;
  if (!Authorized(request, token)) return ErrorAnswer(401, "unauthorized");
  if (request.method != "POST") return ErrorAnswer(405, "method-not-allowed");
  drain();
  return http_answer{202, R"({"state":"draining"})"};
}

std::function<bool(const http_request&, http_server&)> DrainHttpHandler(std::string token) {
  return [token = std::move(token)](const http_request& request, http_server& server) {
    // The main thread waits for this signal; while it drains, a repeated one has no effect.
    auto answer = HandleDrainHttp(request, token, [] { kill(getpid(), SIGTERM); });
    if (!answer) return false;
    server.Respond(request.exchange, answer->status, "application/json", {}, answer->body);
    return true;
  };
}

}  // namespace radishroute
