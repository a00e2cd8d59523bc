#ifndef RADISHROUTE_GROUP_SERVER_H_
#define RADISHROUTE_GROUP_SERVER_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "radishroute/expert_groups.h"
#include "radishroute/group_message.h"
#include "radishroute/group_plan.h"
#include "radishroute/group_settings.h"
#include "radishroute/record_server.h"

namespace radishroute {

/// Status of a group as shown to operators.
struct group_status {
  std::string name;
  group_shape shape;
  std::uint64_t map_in_force = 0;
  std::uint64_t proposed_map = 0;
  std::uint64_t steps_granted = 0;
  /// Step that every rank has completed; 0 while a rank has not reported to this leader.
  std::uint64_t step = 0;
  /// Skew of the map in force under the latest forecast; 0 before the first one.
  double skew = 0;
  bool pinned = false;
  std::uint64_t changes = 0;
  std::uint64_t bytes_moved = 0;
  std::uint64_t changed_map = 0;
  std::string reason;
};

/// Leader's side of expert-parallel groups: processes reports, proposes changes of the groups'
/// records and answers with grants.
class group_server {
 public:
  explicit group_server(group_settings settings = {}) : settings_(settings) {}

  template <proposal_log L>
  void OnReport(link_id link, const group_report& report, const group_table& groups, L& log,
                reduce_context& ctx) {
    Propose(report.group, HandleReport(report, groups, ctx), log, ctx);
    SendGrant(link, report, groups, ctx);
  }

  template <proposal_log L>
  void OnPlanned(const plan_result& plan, const group_table& groups, L& log, reduce_context& ctx) {
    Propose(plan.group, HandlePlan(plan, groups, ctx), log, ctx);
  }

  /// To be called for every log entry directly after it is applied; does nothing unless this
  /// process is the leader.
  void OnApplied(const log_entry& entry, const apply_result& result, const group_table& groups,
                 reduce_context& ctx);
  void BecomeLeader() { leads_ = true; }
  void StepDown() {
    leads_ = false;
    groups_.clear();
  }

  std::vector<group_status> Report(const group_table& groups) const;

 private:
  /// Sums of one window's counts over the ranks that have reported it.
  struct window_counts {
    std::vector<bool> rank_reported;
    std::uint32_t ranks = 0;
    std::chrono::microseconds duration{};
    std::vector<std::uint32_t> counts;
  };

  struct served_group {
    explicit served_group(const horizon_settings& horizon) : coordinator(horizon) {}

    map_coordinator coordinator;
    std::map<std::uint64_t, window_counts> windows;
    std::uint64_t last_complete_window = 0;
    std::vector<load_forecast> forecasts;
    /// Mean step time of the last complete window.
    std::chrono::nanoseconds step_time{};
    /// Last granted step included in the metric of granted steps; 0 for none.
    std::uint64_t last_counted_step = 0;
    bool planning = false;
    double skew = 0;
  };

  template <proposal_log L>
  void Propose(const std::string& name, std::optional<group_change> change, L& log,
               reduce_context& ctx) {
    if (!change) return;
    if (!log.Propose(std::move(*change), ctx)) ServedGroup(name).coordinator.OnCommandDone();
  }

  served_group& ServedGroup(const std::string& name);
  std::optional<group_change> HandleReport(const group_report& report, const group_table& groups,
                                           reduce_context& ctx);
  std::optional<group_change> HandlePlan(const plan_result& plan, const group_table& groups,
                                         reduce_context& ctx);
  void SendGrant(link_id link, const group_report& report, const group_table& groups,
                 reduce_context& ctx);
  void AddCounts(const group_report& report, const expert_group& group, served_group& served,
                 reduce_context& ctx);
  void StartPlan(const std::string& name, const expert_group& group, served_group& served,
                 std::chrono::milliseconds ahead, reduce_context& ctx) const;

  group_settings settings_;
  bool leads_ = false;
  std::map<std::string, served_group> groups_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_GROUP_SERVER_H_
