#ifndef RADISHROUTE_FORWARD_GROUP_LOADS_H_
#define RADISHROUTE_FORWARD_GROUP_LOADS_H_

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "radishroute/clock.h"
#include "radishroute/engine_message.h"
#include "radishroute/types.h"

namespace radishroute {

/// Latest report of one expert-parallel group.
struct group_load {
  std::shared_ptr<const fleet_load> report;
  steady_time received;
  /// Running requests per engine, averaged over the group.
  double mean_running = 0;

  bool IsFresh(steady_time now) const;
  /// Whether the leader reports that the group makes no forward passes.
  bool IsDown(steady_time now) const { return IsFresh(now) && !report->open; }
};

/// Latest report of each expert-parallel group, and the group of each engine.
class group_loads {
 public:
  /// Returns false if a newer report of the group is known. Reports are ordered by the leader's
  /// term and their number; those of an older release carry neither and are taken as they come.
  bool OnFleetLoad(std::shared_ptr<const fleet_load> load, steady_time now);

  /// Report of the group that this engine belongs to, or of the only group if no report lists the
  /// engine; null if there is none.
  const group_load* Find(const endpoint& engine) const;
  const std::map<std::string, group_load>& Groups() const { return groups_; }

 private:
  void Forget(const std::string& group);

  std::map<std::string, group_load> groups_;
  std::map<endpoint, std::string> group_by_engine_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_GROUP_LOADS_H_
