#ifndef RADISHROUTE_LEADER_SESSION_H_
#define RADISHROUTE_LEADER_SESSION_H_

#include <chrono>
#include <cstddef>
#include <optional>
#include <string_view>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Maintains a link to the leader, found by trying the controllers in turn and following their
/// hints.
class leader_session {
 public:
  explicit leader_session(std::vector<endpoint> controllers)
      : controllers_(std::move(controllers)) {}

  void Start(reduce_context& ctx);
  /// Adds a controller unless it is already in the list.
  void AddController(const endpoint& address);

  /// The next three functions return true if the link to the current controller changed.
  bool OnOpened(const link_opened& opened);
  bool OnClosed(const link_closed& closed, reduce_context& ctx);
  bool OnTimer(reduce_context& ctx);

  /// A part of a message arrived. The leader's replies wait behind that message, so the session
  /// does not give up the leader meanwhile.
  void OnProgress(link_id link, reduce_context& ctx);

  /// The current controller replied that it is not the leader. `hint` is the leader's address, with
  /// an empty host if unknown.
  void OnNotLeader(const endpoint& hint, reduce_context& ctx);
  /// The current controller replied as the leader.
  void OnLeader(reduce_context& ctx);

  /// Link to a controller that may be the leader.
  std::optional<link_id> Link() const { return link_; }
  /// Whether the current controller's latest reply identified it as the leader.
  bool Confirmed() const { return confirmed_ && link_.has_value(); }
  bool HasControllers() const { return !controllers_.empty(); }

 private:
  void ConnectTo(std::size_t index, reduce_context& ctx);
  void LogLeaderLeft(std::string_view reason, reduce_context& ctx) const;
  void ScheduleRetry(std::size_t index, reduce_context& ctx);

  std::vector<endpoint> controllers_;
  std::size_t current_ = 0;
  std::optional<link_id> link_;
  bool opening_ = false;
  bool confirmed_ = false;
  steady_time last_response_{};
  std::optional<steady_time> retry_at_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_LEADER_SESSION_H_
