#ifndef RADISHROUTE_EXPERTS_ENGINE_GROUPS_H_
#define RADISHROUTE_EXPERTS_ENGINE_GROUPS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "radishroute/experts/map_switch.h"
#include "radishroute/experts/pass_meter.h"
#include "radishroute/forward/deployment.h"
#include "radishroute/raft.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

struct engine_group_limits {
  /// Period of decisions; statuses come about as often.
  std::chrono::milliseconds tick{50};
  /// Time between the ends of changes, so that counts of the new map have come.
  std::chrono::milliseconds pause{400};
  /// Counts lose half of their weight in this time; popularity shifts within seconds.
  std::chrono::milliseconds half_life{600};
  /// Period of messages to entries, and how many of them one leader serves at that period; with
  /// more entries the period grows.
  std::chrono::milliseconds load_period{100};
  std::size_t entries_per_period = 12;
  /// Share of a pass's expert work that a change must save.
  double min_gain = 0.12;
  /// Choices that must have been counted before they are trusted, per expert.
  double min_choices_per_expert = 20;
};

/// Leader's side of the engines' expert groups: collects counts, plans maps, drives their changes.
class engine_groups {
 public:
  explicit engine_groups(engine_group_limits limits = {}) : limits_(limits) {}

  void OnStatus(link_id link, const engine_status& status, const raft_core& core,
                reduce_context& ctx);
  void OnDeployment(const route_index& routes);
  void Handle(const link_opened& opened);
  void Handle(const link_closed& closed);
  /// To be called after each event.
  void OnProgress(const raft_core& core, reduce_context& ctx);

 private:
  struct group {
    map_switch change;
    /// Choices by set and expert, with decay.
    std::vector<std::vector<double>> choices;
    steady_time decayed;
    steady_time plan_at;
    std::uint64_t epoch = 0;
    pass_meter passes;
    steady_time waiting_logged;
  };

  void AddCounts(group& g, const engine_status& status) const;
  void Decay(group& g, steady_time now) const;
  void SendLoads(reduce_context& ctx);
  void Plan(const std::string& name, group& g, std::uint64_t term, reduce_context& ctx) const;
  void LogWaiting(const std::string& name, group& g, std::string_view reason,
                  reduce_context& ctx) const;

  engine_group_limits limits_;
  std::map<std::string, group> groups_;
  /// Profile of expert-parallel engines; one service has them.
  std::optional<engine_profile> profile_;
  steady_time next_tick_;
  steady_time next_loads_;
  std::uint64_t term_ = 0;
  std::set<link_id> entries_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_ENGINE_GROUPS_H_
