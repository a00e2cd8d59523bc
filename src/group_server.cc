#include "radishroute/group_server.h"

#include <algorithm>
#include <cstdio>

#include "radishroute/invariant.h"

namespace radishroute {

namespace {

// Limit of incomplete windows; ranks run in lock-step, so they are in at most two at a time.
constexpr std::size_t kMaxOpenWindows = 4;

log_event MakeGroupEvent(event_code code, const std::string& group) {
  log_event entry;
  entry.code = code;
  entry.fields = {{"group", group}};
  return entry;
}

std::string DescribeSkew(double before, double after) {
  char text[64];
  std::snprintf(text, sizeof text, "skew %.3f to %.3f", before, after);
  return text;
}

bool MatchesGroup(const group_report& report, const expert_group& group) {
  const group_shape& a = report.shape;
  const group_shape& b = group.shape;
  return a.ranks == b.ranks && a.experts == b.experts && a.layers == b.layers &&
         a.slots_per_rank == b.slots_per_rank && report.rank.rank < b.ranks;
}

}  // namespace

group_server::served_group& group_server::ServedGroup(const std::string& name) {
  return groups_.try_emplace(name, settings_.horizon).first->second;
}

std::optional<group_change> group_server::HandleReport(const group_report& report,
                                                       const group_table& groups,
                                                       reduce_context& ctx) {
  const expert_group* group = groups.Find(report.group);
  if (group == nullptr) {
    bool valid = IsValidShape(report.shape) && report.rank.rank < report.shape.ranks &&
                 !report.group.empty() && report.group.size() <= group_table::kMaxNameBytes;
    if (!valid || groups.All().size() >= group_table::kMaxGroups) {
      ctx.Emit(count{counter::kRankReportsRefused});
      return std::nullopt;
    }
    // Until the group's creation is committed, each report proposes it again, which is harmless.
    return MakeGroupCreation(report.group, report.shape, settings_.horizon.steps);
  }
  if (!MatchesGroup(report, *group)) {
    ctx.Emit(count{counter::kRankReportsRefused});
    log_event entry = MakeGroupEvent(event_code::kRankReportRefused, report.group);
    entry.level = log_level::kWarning;
    entry.fields.push_back({"rank", std::to_string(report.rank.rank)});
    ctx.Emit(write_log{std::move(entry)});
    return std::nullopt;
  }
  served_group& served = ServedGroup(report.group);
  CheckInvariant(report.rank.granted <= group->record.LastStep(),
                 "no rank holds a grant beyond the group's record", ctx);
  AddCounts(report, *group, served, ctx);
  std::optional<group_command> next = served.coordinator.Handle(group->record, report.rank);
  if (!next) return std::nullopt;
  group_change change;
  change.group = report.group;
  change.action = *next;
  return change;
}

void group_server::AddCounts(const group_report& report, const expert_group& group,
                             served_group& served, reduce_context& ctx) {
  const expert_counts& counts = report.counts;
  // Window numbers go back this far only when the whole group has restarted.
  if (counts.window > 0 && counts.window + kMaxOpenWindows < served.last_complete_window) {
    served.last_complete_window = 0;
    served.windows.clear();
  }
  if (counts.window <= served.last_complete_window || counts.duration.count() <= 0) return;
  std::size_t cells = std::size_t{group.shape.layers} * group.shape.experts;
  window_counts& sum = served.windows[counts.window];
  sum.rank_reported.resize(group.shape.ranks);
  sum.counts.resize(cells);
  if (sum.rank_reported[report.rank.rank]) return;
  sum.rank_reported[report.rank.rank] = true;
  ++sum.ranks;
  sum.duration = std::max(sum.duration, counts.duration);
  for (std::size_t i = 0; i < counts.cells.size(); ++i) {
    if (counts.cells[i] < cells) sum.counts[counts.cells[i]] += counts.counts[i];
  }
  if (sum.ranks < group.shape.ranks) {
    if (served.windows.size() > kMaxOpenWindows) served.windows.erase(served.windows.begin());
    return;
  }
  auto interval = std::max(std::chrono::milliseconds(1),
                           std::chrono::duration_cast<std::chrono::milliseconds>(sum.duration));
  if (served.forecasts.empty()) {
    served.forecasts.assign(group.shape.layers, {group.shape.experts, settings_.half_life});
  }
  std::span<const std::uint32_t> all_counts(sum.counts);
  for (std::uint32_t layer = 0; layer < group.shape.layers; ++layer) {
    served.forecasts[layer].Add(
        all_counts.subspan(std::size_t{layer} * group.shape.experts, group.shape.experts), interval,
        std::chrono::milliseconds(0));
  }
  served.step_time = std::chrono::nanoseconds(sum.duration) / std::max(counts.steps, 1U);
  served.last_complete_window = counts.window;
  served.windows.erase(served.windows.begin(), served.windows.upper_bound(counts.window));
  if (!served.planning) StartPlan(report.group, group, served, interval, ctx);
}

void group_server::StartPlan(const std::string& name, const expert_group& group,
                             served_group& served, std::chrono::milliseconds ahead,
                             reduce_context& ctx) const {
  auto request = std::make_shared<plan_request>();
  request->group = name;
  request->base_map = group.record.ActiveMap();
  request->shape = group.shape;
  request->current = group.maps.at(request->base_map);
  request->policy = settings_.policy;
  for (const load_forecast& forecast : served.forecasts) {
    request->loads.push_back(forecast.Predict(ahead));
  }
  served.planning = true;
  ctx.Emit(plan_placement{std::move(request)});
}

std::optional<group_change> group_server::HandlePlan(const plan_result& plan,
                                                     const group_table& groups,
                                                     reduce_context& ctx) {
  auto it = groups_.find(plan.group);
  const expert_group* group = groups.Find(plan.group);
  if (it == groups_.end() || group == nullptr) return std::nullopt;
  served_group& served = it->second;
  served.planning = false;
  ctx.Emit(count{counter::kPlacementsPlanned});
  if (plan.base_map != group->record.ActiveMap()) return std::nullopt;
  double before = TotalSkew(plan.before);
  double after = TotalSkew(plan.after);
  served.skew = before;
  // The previous map must be retired first, so that a rank holds at most two maps.
  bool single_map = group->record.Ranges().size() == 1 && !group->record.ProposedMap();
  if (plan.moves == 0 || group->pinned || !single_map) return std::nullopt;
  plan_evaluation evaluation = EvaluatePlan(group->shape, plan.before, plan.after, plan.moves,
                                            served.step_time, settings_.cost);
  if (evaluation.steps_to_pay_back > settings_.pay_back_steps) {
    ctx.Emit(count{counter::kPlacementsNotWorth});
    return std::nullopt;
  }
  auto proposed = served.coordinator.ProposeMap(group->record, group->record.HighestMap() + 1);
  if (!proposed) return std::nullopt;
  served.coordinator.OnCommandProposed();
  group_change change;
  change.group = plan.group;
  change.action = *proposed;
  change.placement = plan.placement;
  change.reason = DescribeSkew(before, after) + ", " +
                  std::string(kPlacementNames[static_cast<std::size_t>(settings_.policy)]);
  change.bytes = evaluation.bytes;
  return change;
}

void group_server::SendGrant(link_id link, const group_report& report, const group_table& groups,
                             reduce_context& ctx) {
  group_grant response;
  response.sequence = report.sequence;
  response.group = report.group;
  response.leads = true;
  const expert_group* group = groups.Find(report.group);
  if (group != nullptr && MatchesGroup(report, *group)) {
    response.grant = ServedGroup(report.group).coordinator.GrantFor(group->record, report.rank);
    for (const auto& [version, placement] : group->maps) {
      const auto& loaded = report.rank.loaded;
      if (std::find(loaded.begin(), loaded.end(), version) != loaded.end()) continue;
      response.maps.push_back({version, placement});
      break;
    }
  }
  ctx.Emit(send_message{link, std::move(response)});
}

void group_server::OnApplied(const log_entry& entry, const apply_result& result,
                             const group_table& groups, reduce_context& ctx) {
  if (!leads_) return;
  if (const auto* pin = std::get_if<group_pin>(&entry.body)) {
    ctx.Emit(write_log{MakeGroupEvent(
        pin->pinned ? event_code::kGroupPinned : event_code::kGroupUnpinned, pin->group)});
  }
  const auto* change = std::get_if<group_change>(&entry.body);
  if (change == nullptr) return;
  auto it = groups_.find(change->group);
  const auto* applied = std::get_if<group_result>(&result);
  const expert_group* group = groups.Find(change->group);
  // Creation may be proposed more than once and is not a command of the coordinator.
  if (it != groups_.end() && !std::holds_alternative<create_group>(change->action)) {
    served_group& served = it->second;
    served.coordinator.OnCommandDone();
    std::uint64_t last = group == nullptr ? 0 : group->record.LastStep();
    if (served.last_counted_step != 0 && last > served.last_counted_step) {
      ctx.Emit(count{counter::kStepsGranted, last - served.last_counted_step});
    }
    served.last_counted_step = last;
  }
  if (applied == nullptr || *applied != group_result::kApplied || group == nullptr) return;
  log_event logged = MakeGroupEvent(event_code::kGroupCreated, change->group);
  if (std::holds_alternative<propose_map>(change->action)) {
    logged.code = event_code::kMapProposed;
    logged.fields.push_back({"map", std::to_string(group->changed_map)});
    logged.fields.push_back({"reason", group->reason});
  } else if (const auto* activated = std::get_if<activate_map>(&change->action)) {
    logged.code = event_code::kMapActivated;
    logged.fields.push_back({"map", std::to_string(activated->map_version)});
    logged.fields.push_back({"first_step", std::to_string(group->record.Ranges().back().first)});
    ctx.Emit(count{counter::kMapsActivated});
    ctx.Emit(count{counter::kMapBytesMoved, group->bytes});
  } else if (!std::holds_alternative<create_group>(change->action)) {
    return;
  }
  ctx.Emit(write_log{std::move(logged)});
}

std::vector<group_status> group_server::Report(const group_table& groups) const {
  std::vector<group_status> report;
  for (const auto& [name, group] : groups.All()) {
    group_status status;
    status.name = name;
    status.shape = group.shape;
    status.proposed_map = group.record.ProposedMap().value_or(0);
    status.steps_granted = group.record.LastStep();
    status.pinned = group.pinned;
    status.changes = group.changes;
    status.bytes_moved = group.bytes_moved;
    status.changed_map = group.changed_map;
    status.reason = group.reason;
    auto it = groups_.find(name);
    if (it != groups_.end()) {
      status.step = it->second.coordinator.SlowestStep(group.record).value_or(0);
      status.skew = it->second.skew;
    }
    for (const step_range& range : group.record.Ranges()) {
      if (status.map_in_force == 0 || range.first <= status.step + 1) {
        status.map_in_force = range.map_version;
      }
    }
    report.push_back(std::move(status));
  }
  return report;
}

}  // namespace radishroute
