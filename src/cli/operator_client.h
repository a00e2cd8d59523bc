#ifndef RADISHROUTE_CLI_OPERATOR_CLIENT_H_
#define RADISHROUTE_CLI_OPERATOR_CLIENT_H_

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include "cli/admin_http.h"
#include "io/http_client.h"

namespace radishroute {

/// What came of one call; `result` is empty if the time was over.
struct operator_reply {
  std::optional<http_call_result> result;
  http_answer answer;
};

/// Calls one process's admin address; an empty body makes a GET.
operator_reply CallProcess(const endpoint& process, const std::string& token,
                           const std::string& path, const std::string& body,
                           std::chrono::milliseconds timeout);

/// Operators' calls to the controllers' admin addresses.
class operator_client {
 public:
  operator_client(std::vector<endpoint> controllers, std::string token)
      : controllers_(std::move(controllers)), token_(std::move(token)) {}

  /// Asks the controllers in turn, the last leader first, until one answers as the leader; an
  /// empty body makes a GET. Nothing if none did before the time was over.
  std::optional<http_answer> Call(const std::string& path, const std::string& body,
                                  std::chrono::milliseconds timeout);

  /// Waits in an event loop.
  static void Pause(std::chrono::milliseconds duration);

 private:
  std::vector<endpoint> controllers_;
  std::string token_;
  std::size_t leader_ = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_OPERATOR_CLIENT_H_
