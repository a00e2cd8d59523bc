#ifndef RADISHROUTE_EXPERTS_LOAD_FANOUT_H_
#define RADISHROUTE_EXPERTS_LOAD_FANOUT_H_

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/link_event.h"
#include "radishroute/types.h"

namespace radishroute {

struct load_fanout_limits {
  /// Period of load messages, and the number of receivers up to which it applies; with more of
  /// them the period grows, to bound the sender's work.
  std::chrono::milliseconds period{100};
  std::size_t receivers_per_period = 24;
};

/// Decides which links get the loads of the engines: those to entries of this process's
/// availability zone, and to one controller of each other zone, which passes them on.
class load_fanout {
 public:
  explicit load_fanout(load_fanout_limits limits = {}) : limits_(limits) {}

  /// Sets the availability zone of this process; must be called before the first event.
  void SetZone(std::string zone) { zone_ = std::move(zone); }
  void Handle(const link_opened& opened);
  void Handle(const link_closed& closed);

  /// At the leader: links that get the loads now; empty if it is not time yet.
  std::vector<link_id> Receivers(steady_time now);
  /// At another controller: links that get the loads that came from `from`.
  std::vector<link_id> RelayReceivers(link_id from) const;
  /// Number of entries with a link to this process.
  std::size_t EntryCount() const;

 private:
  using links_by_zone = std::map<std::string, std::vector<link_id>>;

  std::chrono::milliseconds PeriodFor(std::size_t receivers) const;

  load_fanout_limits limits_;
  std::string zone_;
  links_by_zone entries_;
  links_by_zone controllers_;
  steady_time next_;
  /// Next message to every entry, in case a relay does not reach it.
  steady_time next_to_all_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_LOAD_FANOUT_H_
