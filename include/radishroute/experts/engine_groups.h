#ifndef RADISHROUTE_EXPERTS_ENGINE_GROUPS_H_
#define RADISHROUTE_EXPERTS_ENGINE_GROUPS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "radishroute/experts/load_fanout.h"
#include "radishroute/experts/map_switch.h"
#include "radishroute/experts/pass_meter.h"
#include "radishroute/forward/deployment.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

struct engine_group_limits {
  /// Period of decisions, about the interval at which statuses arrive.
  std::chrono::milliseconds tick{50};
  /// Minimum time between the end of a map change and the next plan, so that counts under the new
  /// map have arrived.
  std::chrono::milliseconds change_interval{400};
  /// Half-life of the weight of counts; the popularity of experts shifts within seconds.
  std::chrono::milliseconds half_life{600};
  /// Minimum share of the expert work of a forward pass that a change must save, measured by the
  /// mean skew of rank loads.
  double min_gain = 0.12;
  /// Minimum number of counted choices per expert before a map is planned from them.
  double min_choices_per_expert = 20;
  /// Longest time in which a rank copies the experts of one change, if copying those of all layers
  /// would take longer than the half-life: such a change is outdated when it takes effect.
  std::chrono::milliseconds max_copy_time{250};
};

/// Role of this process in the replicated log, at the time of an event.
struct leadership {
  /// False also for a leader whose lease has expired, although no other may have been elected.
  bool leads = false;
  std::uint64_t term = 0;
  /// Address of the leader that this process knows; empty host if unknown.
  endpoint leader;
};

/// Leader's side of the engines' expert-parallel groups: collects the counts of chosen experts,
/// plans expert maps, and carries out map changes.
class engine_groups {
 public:
  explicit engine_groups(engine_group_limits limits = {}) : limits_(limits) {}

  void OnStatus(link_id link, const engine_status& status, const leadership& role,
                reduce_context& ctx);
  void OnDeployment(const route_index& routes);
  /// Passes on loads that the leader sends to one controller of each availability zone.
  void OnRelayedLoad(link_id from, const fleet_load& load, reduce_context& ctx) const;
  /// Sets the availability zone of this process; must be called before the first event.
  void SetZone(std::string zone) { fanout_.SetZone(std::move(zone)); }
  void Handle(const link_opened& opened) { fanout_.Handle(opened); }
  void Handle(const link_closed& closed) { fanout_.Handle(closed); }
  /// Must be called after each event.
  void OnProgress(const leadership& role, reduce_context& ctx);

 private:
  struct group_state {
    explicit group_state(std::uint64_t term) : change(term) {}

    map_switch change;
    /// How often each expert was chosen, by set and expert, with decay.
    std::vector<std::vector<double>> choices;
    steady_time decayed_at;
    steady_time next_plan;
    std::uint64_t epoch = 0;
    pass_meter meter;
    steady_time waiting_logged_at;
    /// Number of the latest load report.
    std::uint64_t load_sequence = 0;
  };

  void AdoptRole(const leadership& role);
  void AddCounts(group_state& group, const engine_status& status) const;
  void Decay(group_state& group, steady_time now) const;
  void SendLoads(reduce_context& ctx);
  fleet_load MakeLoad(const std::string& name, group_state& group, reduce_context& ctx) const;
  void Plan(const std::string& name, group_state& group, reduce_context& ctx) const;
  void LogWaiting(const std::string& name, group_state& group, std::string_view reason,
                  reduce_context& ctx) const;

  engine_group_limits limits_;
  /// Kept for a whole term: versions, commands and load reports are numbered in it.
  std::map<std::string, group_state> groups_;
  /// Profile of the expert-parallel engines; at most one service has such engines.
  std::optional<engine_profile> profile_;
  steady_time next_tick_;
  std::uint64_t term_ = 0;
  bool leads_ = false;
  load_fanout fanout_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_ENGINE_GROUPS_H_
