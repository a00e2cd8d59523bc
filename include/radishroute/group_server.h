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

/// What operators see of a group.
struct group_status {
  std::string name;
  group_shape shape;
  std::uint64_t map_in_force = 0;
  std::uint64_t proposed_map = 0;
  std::uint64_t steps_granted = 0;
  /// Step that every rank has completed; 0 while a rank has not reported to this leader.
  std::uint64_t step = 0;
  /// Of the map in force under the last forecast; 0 before the first one.
  double skew = 0;
  bool pinned = false;
  std::uint64_t changes = 0;
  std::uint64_t bytes_moved = 0;
  std::uint64_t changed_map = 0;
  std::string reason;
};

/// Leader's side of expert-parallel groups: takes reports, proposes changes of the groups'
/// records, answers with grants.
class group_server {
 public:
  explicit group_server(group_settings settings = {}) : settings_(settings) {}

  template <proposal_log L>
  void OnReport(link_id link, const group_report& report, const group_table& groups, L& log,
                reduce_context& ctx) {
    Propose(report.group, TakeReport(report, groups, ctx), log, ctx);
    Answer(link, report, groups, ctx);
  }

  template <proposal_log L>
  void OnPlanned(const plan_result& plan, const group_table& groups, L& log, reduce_context& ctx) {
    Propose(plan.group, TakePlan(plan, groups, ctx), log, ctx);
  }

  /// To be called for every entry, directly after it was applied; does nothing unless this process
  /// leads.
  void OnApplied(const log_entry& entry, const apply_result& result, const group_table& groups,
                 reduce_context& ctx);
  void BecomeLeader() { leads_ = true; }
  void StepDown() {
    leads_ = false;
    groups_.clear();
  }

  std::vector<group_status> Report(const group_table& groups) const;

 private:
  /// Counts of one window while reports of it arrive.
  struct window_sum {
    std::vector<bool> reported;
    std::uint32_t ranks = 0;
    std::chrono::microseconds duration{};
    std::vector<std::uint32_t> counts;
  };

  struct served_group {
    explicit served_group(const horizon_settings& horizon) : coordinator(horizon) {}

    map_coordinator coordinator;
    std::map<std::uint64_t, window_sum> windows;
    std::uint64_t newest_window = 0;
    std::vector<load_forecast> forecasts;
    /// Of the last whole window.
    std::chrono::nanoseconds step_time{};
    /// Last granted step that has been counted; 0 for none.
    std::uint64_t counted_step = 0;
    bool planning = false;
    double skew = 0;
  };

  template <proposal_log L>
  void Propose(const std::string& name, std::optional<group_change> change, L& log,
               reduce_context& ctx) {
    if (!change) return;
    if (!log.Propose(std::move(*change), ctx)) Served(name).coordinator.OnCommandDone();
  }

  served_group& Served(const std::string& name);
  std::optional<group_change> TakeReport(const group_report& report, const group_table& groups,
                                         reduce_context& ctx);
  std::optional<group_change> TakePlan(const plan_result& plan, const group_table& groups,
                                       reduce_context& ctx);
  void Answer(link_id link, const group_report& report, const group_table& groups,
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
