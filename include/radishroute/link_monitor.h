#ifndef RADISHROUTE_LINK_MONITOR_H_
#define RADISHROUTE_LINK_MONITOR_H_

#include <chrono>
#include <map>
#include <unordered_map>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Times of the supervision of links.
struct link_monitor_limits {
  /// A heartbeat is sent after this silence of this process.
  std::chrono::milliseconds heartbeat_after{500};
  /// A link that this process opened is replaced after this silence of the peer.
  std::chrono::milliseconds replace_after{1500};
  /// A link that the peer opened is closed after this silence; the peer replaces it before.
  std::chrono::milliseconds close_after{3000};
};

/// Keeps the links of one thread alive and finds those that have become silent.
///
/// A silent link that this process opened is replaced by a second link to the same address. Other
/// modules see a `link_opened` for an address that already has a link, and move their work. If the
/// second link cannot be opened, they see `link_closed` with link 0 and treat the peer as lost.
class link_monitor {
 public:
  explicit link_monitor(link_monitor_limits limits = {}) : limits_(limits) {}

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const message_received& received, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);

  /// Notes the messages that this reduction sends; called after all other modules.
  void NoteSent(reduce_context& ctx);

  std::size_t Size() const { return links_.size(); }

 private:
  struct watched_link {
    endpoint dialed;
    steady_time last_input;
    steady_time last_output;
    bool replacing = false;
  };

  void Check(link_id id, watched_link& link, reduce_context& ctx);
  void ScheduleNext(reduce_context& ctx);

  link_monitor_limits limits_;
  std::unordered_map<link_id, watched_link> links_;
  std::map<endpoint, link_id> dialed_;
  std::uint64_t heartbeats_ = 0;
  steady_time next_due_ = steady_time::max();
};

}  // namespace radishroute

#endif  // RADISHROUTE_LINK_MONITOR_H_
