#ifndef RADISHROUTE_ORDER_EVENT_H_
#define RADISHROUTE_ORDER_EVENT_H_

#include <cstdint>
#include <optional>

#include "radishroute/order_message.h"

namespace radishroute {

/// Effect on the control thread of an agent: sends an order to the backend server.
/// `engine_order_finished` follows unless the order is cancelled.
struct start_engine_order {
  fenced_order order;
};

/// Effect: closes the connection of the order in progress; no event follows.
struct cancel_engine_order {
  std::uint64_t token = 0;
};

/// Event: the call that sent an order to the engine has ended.
struct engine_order_finished {
  fenced_order order;
  /// Empty if the engine gave no complete response: the order may have run or may still run.
  std::optional<order_status> status;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ORDER_EVENT_H_
