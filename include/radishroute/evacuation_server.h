#ifndef RADISHROUTE_EVACUATION_SERVER_H_
#define RADISHROUTE_EVACUATION_SERVER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "radishroute/document_event.h"
#include "radishroute/raft.h"
#include "radishroute/reduce_context.h"
#include "radishroute/zone_evacuations.h"

namespace radishroute {

/// Handles operators' evacuation orders on one controller. An order is answered once it is
/// committed, also if it changes nothing, so that the answer holds whichever replica leads next.
class evacuation_server {
 public:
  /// Availability zones that an order may name; empty if they are not configured.
  void SetZones(std::vector<std::string> zones) { zones_ = {zones.begin(), zones.end()}; }

  template <class Log>
  void OnSubmitted(const zone_evacuation_submitted& e, Log& log, reduce_context& ctx) {
    if (AnswerWithoutLog(e, log.Core(), ctx)) return;
    auto position = log.Propose(e.order, ctx);
    if (!position) {
      Answer(e.exchange, evacuation_status::kUnavailable, e.order, {}, ctx);
      return;
    }
    pending_.emplace(position->index, pending_order{e.exchange, position->term, e.order});
  }

  /// Must be called after each event.
  void OnProgress(const raft_core& core, reduce_context& ctx);

 private:
  struct pending_order {
    exchange_id exchange;
    std::uint64_t term = 0;
    zone_evacuation order;
  };

  /// Answers an order that this replica cannot put into the log.
  bool AnswerWithoutLog(const zone_evacuation_submitted& e, const raft_core& core,
                        reduce_context& ctx) const;
  static void Answer(exchange_id exchange, evacuation_status status, const zone_evacuation& order,
                     const endpoint& leader, reduce_context& ctx);

  std::set<std::string, std::less<>> zones_;
  /// Keyed by log index.
  std::multimap<std::uint64_t, pending_order> pending_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EVACUATION_SERVER_H_
