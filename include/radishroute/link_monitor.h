#ifndef RADISHROUTE_LINK_MONITOR_H_
#define RADISHROUTE_LINK_MONITOR_H_

#include <chrono>
#include <map>
#include <unordered_map>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Timeouts for the supervision of links.
struct link_monitor_limits {
  /// A heartbeat is sent on a link after nothing was sent on it for this time.
  std::chrono::milliseconds heartbeat_after{500};
  /// A link that this process opened is replaced after nothing was received for this time.
  std::chrono::milliseconds replace_after{1500};
  /// A link that the peer opened is closed after nothing was received for this time, which is long
  /// enough for the peer to replace it first.
  std::chrono::milliseconds close_after{3000};
};

/// Sends heartbeats on the links of one thread and detects links that have become silent.
///
/// A silent link that this process opened is replaced by a second link to the same address. Other
/// modules receive `link_opened` for an address that already has a link, and switch to the new one.
/// If it cannot be opened, they receive `link_closed` with link 0 and treat the peer as lost.
class link_monitor {
 public:
  explicit link_monitor(link_monitor_limits limits = {}) : limits_(limits) {}

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const link_progressed& progressed, reduce_context& ctx);
  void Handle(const message_received& received, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);

  /// Records on which links this reduction sends messages; called after all other modules.
  void RecordSentMessages(reduce_context& ctx);

  std::size_t Size() const { return links_.size(); }

 private:
  struct monitored_link {
    endpoint dialed;
    steady_time last_received;
    steady_time last_sent;
    /// Whether the replacement has been requested, or for a link that the peer opened, its close.
    bool replacing = false;
  };

  void OnReceived(link_id link, reduce_context& ctx);
  void Check(link_id id, monitored_link& link, reduce_context& ctx);
  void ScheduleNext(reduce_context& ctx);

  link_monitor_limits limits_;
  std::unordered_map<link_id, monitored_link> links_;
  std::map<endpoint, link_id> dialed_links_;
  std::uint64_t heartbeat_sequence_ = 0;
  steady_time next_due_ = steady_time::max();
};

}  // namespace radishroute

#endif  // RADISHROUTE_LINK_MONITOR_H_
