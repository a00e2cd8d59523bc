#ifndef RADISHROUTE_IO_ORDER_API_H_
#define RADISHROUTE_IO_ORDER_API_H_

#include <functional>

#include "io/http_client.h"
#include "radishroute/effect.h"
#include "radishroute/event.h"

namespace radishroute {

/// Sends fenced orders to the backend server beside this agent, one at a time.
class order_api {
 public:
  using event_sink = std::function<void(event&&)>;

  order_api(io_loop& loop, endpoint engine, event_sink sink);

  void Execute(const start_engine_order& e);
  void Execute(const cancel_engine_order& e);

 private:
  void OnEnd(http_client::call_id call, http_call_result result, response_fault fault);

  endpoint engine_;
  event_sink sink_;
  fenced_order order_;
  /// Call in progress; 0 if there is none.
  http_client::call_id call_ = 0;
  unsigned status_ = 0;
  http_client client_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_ORDER_API_H_
