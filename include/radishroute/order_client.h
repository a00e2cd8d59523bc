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
  /// Longest time in which the engine may still carry out an order whose connection is gone.
  std::chrono::milliseconds settle{30000};
  /// The engine refuses an order with an older token than the newest it has seen.
  bool engine_checks_fencing = false;
};

/// Agent's side of orders, the only sender of orders to its engine: one at a time, in the order of
/// their tokens. Takes none before the leader has named the fence to this life of the agent.
class order_client {
 public:
  order_client(order_client_settings settings, std::vector<endpoint> controllers)
      : settings_(std::move(settings)), leader_(std::move(controllers)) {}

  void Handle(const process_started& e, reduce_context& ctx);
  void Handle(const timer_expired& e, reduce_context& ctx);
  void Handle(const link_opened& e, reduce_context& ctx);
  void Handle(const link_closed& e, reduce_context& ctx);
  void Handle(const drain_requested& e, reduce_context& ctx);
  void Handle(const engine_order_finished& e, reduce_context& ctx);
  void Handle(link_id link, const fence_reply& m, reduce_context& ctx);
  void Handle(link_id link, const fenced_order& m, reduce_context& ctx);

 private:
  struct accepted_order {
    fenced_order order;
    bool sent = false;
    /// End of the wait for the response, or of the pause before it is sent again.
    steady_time deadline{};
    order_status status = order_status::kPending;
  };

  void Query(reduce_context& ctx);
  void TrySend(reduce_context& ctx);
  void OnLost(reduce_context& ctx);
  void Settle(reduce_context& ctx);
  void Reply(std::uint64_t token, order_status status, reduce_context& ctx) const;

  order_client_settings settings_;
  leader_session leader_;
  std::uint64_t sequence_ = 0;
  steady_time query_at_{};
  bool draining_ = false;
  /// Orders up to this token are refused; empty until the leader has answered.
  std::optional<std::uint64_t> fence_;
  /// The order accepted last.
  std::optional<accepted_order> current_;
  /// Highest token that this life has sent to the engine.
  std::uint64_t highest_sent_ = 0;
  /// Until then, an earlier order may still take effect at the engine.
  steady_time settled_at_{};
};

}  // namespace radishroute

#endif  // RADISHROUTE_ORDER_CLIENT_H_
