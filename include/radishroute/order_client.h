#ifndef RADISHROUTE_ORDER_CLIENT_H_
#define RADISHROUTE_ORDER_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/leader_session.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

struct order_client_settings {
  std::string backend;
  std::uint64_t incarnation = 0;
  /// An order without a response for this time is sent again.
  std::chrono::milliseconds timeout{120000};
  /// Longest time in which the engine may still execute an order whose connection was closed.
  std::chrono::milliseconds settle_time{30000};
  /// True if the engine refuses an order whose token is lower than one that it has seen.
  bool engine_checks_fencing = false;
};

/// Agent side of orders and the only sender of orders to its engine: one at a time, in the order of
/// their tokens. Accepts none until the leader has sent the fence to this incarnation of the agent.
class order_client {
 public:
  order_client(order_client_settings settings, std::vector<endpoint> controllers)
      : settings_(std::move(settings)), leader_(std::move(controllers)) {}

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const link_progressed& progressed, reduce_context& ctx) {
    leader_.OnProgress(progressed.link, ctx);
  }
  void Handle(const drain_requested& drain, reduce_context& ctx);
  void Handle(const engine_order_finished& finished, reduce_context& ctx);
  void Handle(link_id link, const fence_reply& reply, reduce_context& ctx);
  void Handle(link_id link, const fenced_order& order, reduce_context& ctx);

 private:
  struct accepted_order {
    fenced_order order;
    bool in_flight = false;
    /// End of the wait for the response while in flight, else earliest time to send the order.
    steady_time deadline{};
    order_status status = order_status::kPending;
  };

  void QueryFence(reduce_context& ctx);
  void TrySend(reduce_context& ctx);
  void OnResponseLost(reduce_context& ctx);
  void StartSettling(reduce_context& ctx);
  void Reply(std::uint64_t token, order_status status, reduce_context& ctx) const;

  order_client_settings settings_;
  leader_session leader_;
  std::uint64_t sequence_ = 0;
  steady_time next_query_at_{};
  bool draining_ = false;
  /// Orders up to this token are refused; empty until the leader has answered.
  std::optional<std::uint64_t> fence_;
  /// The most recently accepted order.
  std::optional<accepted_order> current_;
  /// Highest token that this incarnation has sent to the engine.
  std::uint64_t highest_sent_ = 0;
  /// Until this time, an earlier order may still take effect at the engine.
  steady_time settled_at_{};
};

}  // namespace radishroute

#endif  // RADISHROUTE_ORDER_CLIENT_H_
