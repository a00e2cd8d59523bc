#ifndef RADISHROUTE_CLI_ADMIN_H_
#define RADISHROUTE_CLI_ADMIN_H_

#include <functional>
#include <string>

#include "io/http_server.h"

namespace radishroute {

/// Operators' HTTP interface of a process: GET /metrics and whatever the role adds.
class admin_api {
 public:
  using handler = std::function<bool(const http_request&, http_server&)>;

  /// `extra` answers a request and returns true, or returns false for an unknown path.
  admin_api(io_loop& loop, handler extra);

  std::error_code Start(const endpoint& listen) { return server_.Start(listen); }

 private:
  void OnRequest(const http_request& request);

  handler extra_;
  http_server server_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_ADMIN_H_
