#include "radishroute/experts/engine_groups.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "radishroute/experts/bounded_placement.h"

namespace radishroute {

namespace {

// Minimum time between log lines about a group that is waiting.
constexpr std::chrono::seconds kWaitingLogPeriod{1};

}  // namespace

void engine_groups::OnDeployment(const route_index& routes) {
  profile_.reset();
  for (const service& s : routes.Deployment().services) {
    if (s.engine && s.engine->expert_sets > 0) profile_ = s.engine;
  }
}

void engine_groups::AddCounts(group_state& group, const engine_status& status) const {
  if (!profile_ || status.counts.empty()) return;
  std::size_t sets = profile_->expert_sets;
  std::size_t experts = profile_->experts;
  if (status.counts.size() != sets * experts) return;
  if (group.choices.size() != sets) group.choices.assign(sets, std::vector<double>(experts, 0));
  for (std::size_t i = 0; i < status.counts.size(); ++i) {
    group.choices[i / experts][i % experts] += std::max(status.counts[i], 0);
  }
}

void engine_groups::Decay(group_state& group, steady_time now) const {
  double age = std::chrono::duration<double>(now - group.decayed_at) / limits_.half_life;
  group.decayed_at = now;
  double keep = std::exp2(-age);
  for (auto& set : group.choices) {
    for (double& choices : set) choices *= keep;
  }
}

// While the lease has expired, this process does not lead, but it may go on in the same term: what
// it has numbered there must not be numbered anew.
void engine_groups::AdoptRole(const leadership& role) {
  if (role.term != term_) groups_.clear();
  term_ = role.term;
  if (leads_ && !role.leads) {
    // Passes that begin meanwhile are not reported.
    for (auto& [name, group] : groups_) group.meter = {};
  }
  leads_ = role.leads;
}

void engine_groups::OnStatus(link_id link, const engine_status& status, const leadership& role,
                             reduce_context& ctx) {
  AdoptRole(role);
  engine_status_reply reply;
  reply.sequence = status.sequence;
  reply.leads = role.leads;
  reply.leader_hint = role.leader;
  if (!reply.leads || status.group.empty()) {
    ctx.Emit(send_message{link, reply});
    return;
  }
  group_state& group = groups_.try_emplace(status.group, term_).first->second;
  group.change.OnStatus(link, status, ctx.now);
  group.meter.OnStep(group.change.NewestPass(), ctx.now);
  reply.wants_experts = group.change.NeedsExperts(status.rank);
  ctx.Emit(send_message{link, reply});
  if (group.change.Epoch() != group.epoch) {
    group.epoch = group.change.Epoch();
    group.next_plan = ctx.now + limits_.change_interval;
  }
  AddCounts(group, status);
  group.change.Advance(ctx);
}

void engine_groups::OnRelayedLoad(link_id from, const fleet_load& load, reduce_context& ctx) const {
  std::vector<link_id> receivers = fanout_.RelayReceivers(from);
  if (!receivers.empty()) ctx.Emit(broadcast_message{std::move(receivers), load});
}

void engine_groups::SendLoads(reduce_context& ctx) {
  std::vector<link_id> receivers = fanout_.Receivers(ctx.now);
  if (receivers.empty()) return;
  for (auto& [name, group] : groups_) {
    ctx.Emit(broadcast_message{receivers, MakeLoad(name, group, ctx)});
  }
}

fleet_load engine_groups::MakeLoad(const std::string& name, group_state& group,
                                   reduce_context& ctx) const {
  fleet_load load;
  load.group = name;
  load.epoch = group.change.Epoch();
  load.term = term_;
  load.sequence = ++group.load_sequence;
  load.pass = group.meter.MeanPassDuration();
  load.engines = group.change.EngineLoads(ctx.now);
  load.entries = static_cast<std::uint32_t>(fanout_.EntryCount());
  // A group without requests makes no passes, but is not stalled.
  bool busy = std::any_of(load.engines.begin(), load.engines.end(),
                          [](const fleet_engine_load& e) { return e.running > 0; });
  bool stalled = busy && group.meter.IsStalled(ctx.now);
  if (stalled) LogWaiting(name, group, "passes-stalled", ctx);
  load.open = !stalled && !group.change.AnyRankDown(ctx.now);
  return load;
}

void engine_groups::OnProgress(const leadership& role, reduce_context& ctx) {
  AdoptRole(role);
  if (!leads_ || ctx.now < next_tick_) return;
  next_tick_ = ctx.now + limits_.tick;
  if (!groups_.empty()) ctx.Emit(schedule_wakeup{next_tick_});
  SendLoads(ctx);
  for (auto& [name, group] : groups_) {
    bool was_changing = group.change.Phase() != map_switch::phase::kIdle;
    group.change.Advance(ctx);
    bool changing = group.change.Phase() != map_switch::phase::kIdle;
    if (was_changing || changing) group.next_plan = ctx.now + limits_.change_interval;
    if (changing || ctx.now < group.next_plan) continue;
    Plan(name, group, ctx);
  }
}

void engine_groups::LogWaiting(const std::string& name, group_state& group, std::string_view reason,
                               reduce_context& ctx) const {
  if (ctx.now - group.waiting_logged_at < kWaitingLogPeriod) return;
  group.waiting_logged_at = ctx.now;
  ctx.Emit(write_log{{event_code::kMapWaiting,
                      log_level::kInfo,
                      {{"group", name},
                       {"reason", std::string(reason)},
                       {"phase", std::to_string(static_cast<int>(group.change.Phase()))},
                       {"epoch", std::to_string(group.change.Epoch())}}}});
}

void engine_groups::Plan(const std::string& name, group_state& group, reduce_context& ctx) const {
  group.next_plan = ctx.now + limits_.change_interval / 2;
  if (!profile_) return LogWaiting(name, group, "no-profile", ctx);
  if (!group.change.AllRanksUp(ctx.now)) return LogWaiting(name, group, "rank-unknown", ctx);
  if (!group.change.ReadyToChange(ctx.now)) return LogWaiting(name, group, "ranks-differ", ctx);
  if (!group.change.HasVersions()) return LogWaiting(name, group, "no-versions-left", ctx);
  if (group.choices.empty()) return LogWaiting(name, group, "no-counts", ctx);
  Decay(group, ctx.now);
  group_shape shape{group.change.Ranks(), profile_->experts, profile_->expert_sets,
                    profile_->expert_slots_per_rank};
  auto current = group.change.Placement(shape);
  if (!current) return LogWaiting(name, group, "experts-unknown", ctx);
  double choices = 0;
  for (const auto& set : group.choices) choices = std::accumulate(set.begin(), set.end(), choices);
  if (choices < limits_.min_choices_per_expert * shape.experts * shape.layers) return;
  std::uint32_t max_copies = shape.layers * shape.slots_per_rank;
  std::uint32_t new_per_rank = std::max(profile_->spare_expert_slots_per_rank, 1U);
  // A change of all layers that is copied within the half-life of the counts is made at once.
  if (profile_->expert_copy_time * (shape.layers * new_per_rank) > limits_.half_life) {
    auto affordable = limits_.max_copy_time / profile_->expert_copy_time;
    max_copies = static_cast<std::uint32_t>(std::clamp<std::int64_t>(affordable, 1, max_copies));
  }
  expert_placement next = PlanLayers(shape, *current, group.choices, new_per_rank, max_copies);
  double before = MeanSkew(shape, *current, group.choices);
  double after = MeanSkew(shape, next, group.choices);
  if (before - after < limits_.min_gain * before) return;
  ctx.Emit(count{counter::kPlacementsPlanned});
  ctx.Emit(write_log{{event_code::kMapPlanned,
                      log_level::kInfo,
                      {{"skew", std::to_string(before)}, {"planned", std::to_string(after)}}}});
  group.change.Begin(shape, next, ctx);
}

}  // namespace radishroute
