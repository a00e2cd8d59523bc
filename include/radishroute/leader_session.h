#ifndef RADISHROUTE_LEADER_SESSION_H_
#define RADISHROUTE_LEADER_SESSION_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Link to the leader, found by trying the controllers in turn and following their hints.
class leader_session {
 public:
  explicit leader_session(std::vector<endpoint> controllers)
      : controllers_(std::move(controllers)) {}

  void Start(reduce_context& ctx);
  /// Adds a controller unless it is known.
  void AddController(const endpoint& address);

  /// Each returns true if the link to the current controller changed.
  bool OnOpened(const link_opened& opened);
  bool OnClosed(const link_closed& closed, reduce_context& ctx);
  bool OnTimer(reduce_context& ctx);

  /// The current controller is not the leader; `hint` names it unless its host is empty.
  void OnNotLeader(const endpoint& hint, reduce_context& ctx);
  void OnLeader(reduce_context& ctx);

  /// Link to a controller that may be the leader.
  std::optional<link_id> Link() const { return link_; }
  /// The controller has answered as the leader, and not refused since.
  bool Confirmed() const { return confirmed_ && link_.has_value(); }
  bool HasControllers() const { return !controllers_.empty(); }

 private:
  void Use(std::size_t index, reduce_context& ctx);
  void RetryLater(std::size_t index, reduce_context& ctx);

  std::vector<endpoint> controllers_;
  std::size_t current_ = 0;
  std::optional<link_id> link_;
  bool opening_ = false;
  bool confirmed_ = false;
  steady_time last_sign_{};
  std::optional<steady_time> retry_at_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_LEADER_SESSION_H_
