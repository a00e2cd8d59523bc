#ifndef RADISHROUTE_CLI_ORDER_HTTP_H_
#define RADISHROUTE_CLI_ORDER_HTTP_H_

#include <functional>
#include <optional>
#include <string>

#include "cli/admin_http.h"
#include "radishroute/order_table.h"

namespace radishroute {

/// What the HTTP mapping of orders needs of a controller; all of it on its control thread.
struct order_http_backend {
  const order_table* orders = nullptr;
  /// Proposes a command; false if this process is not the leader.
  std::function<bool(order_submission)> propose;
  std::function<bool()> is_leader;
  /// Bearer token of operators.
  std::string token;
};

/// Answers POST and GET /v1/orders; nothing for other paths. A POST may be repeated: it answers
/// 202 until the order is committed, 200 with its state after that, and 409 if the change id was
/// used for another order.
std::optional<http_answer> HandleOrderHttp(const http_request& request,
                                           const order_http_backend& backend);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_ORDER_HTTP_H_
