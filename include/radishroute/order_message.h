#ifndef RADISHROUTE_ORDER_MESSAGE_H_
#define RADISHROUTE_ORDER_MESSAGE_H_

#include <cstdint>
#include <string>

#include "radishroute/order_types.h"
#include "radishroute/types.h"

namespace radishroute {

/// Sent by an agent to the leader each second: names the backend server whose orders the agent
/// accepts, and requests the fence.
struct fence_query {
  std::uint64_t sequence = 0;
  std::string backend;
  std::uint64_t agent_incarnation = 0;
};

/// Response to a fence query.
struct fence_reply {
  std::uint64_t sequence = 0;
  std::uint64_t agent_incarnation = 0;
  /// False if the controller does not hold the leader's lease; the rest is then empty.
  bool granted = false;
  endpoint leader_hint;
  /// Every order of the backend server up to this token has ended.
  std::uint64_t fence = 0;
};

/// Sent by the leader to an agent, and repeated until the agent reports how the order ended.
struct fenced_order {
  std::string backend;
  std::uint64_t token = 0;
  order_kind kind = order_kind::kLoadModel;
  std::string name;
  std::uint64_t bytes = 0;
};

/// Sent by an agent to the leader: how an order ended. Sent again if the order is repeated.
struct order_reply {
  std::string backend;
  std::uint64_t token = 0;
  order_status status = order_status::kPending;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ORDER_MESSAGE_H_
