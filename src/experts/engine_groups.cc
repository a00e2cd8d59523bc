#include "radishroute/experts/engine_groups.h"

#include <algorithm>
#include <cmath>
#include <numeric>

#include "radishroute/experts/bounded_placement.h"

namespace radishroute {

namespace {

// A group that waits for long is worth a line now and then.
constexpr std::chrono::seconds kWaitingLogPeriod{1};

}  // namespace

void engine_groups::OnDeployment(const route_index& routes) {
  profile_.reset();
  for (const service& s : routes.Deployment().services) {
    if (s.engine && s.engine->expert_sets > 0) profile_ = s.engine;
  }
}

void engine_groups::AddCounts(group& g, const engine_status& status) const {
  if (!profile_ || status.counts.empty()) return;
  std::size_t sets = profile_->expert_sets;
  std::size_t experts = profile_->experts;
  if (status.counts.size() != sets * experts) return;
  if (g.choices.size() != sets) g.choices.assign(sets, std::vector<double>(experts, 0));
  for (std::size_t i = 0; i < status.counts.size(); ++i) {
    g.choices[i / experts][i % experts] += std::max(status.counts[i], 0);
  }
}

void engine_groups::Decay(group& g, steady_time now) const {
  double age = std::chrono::duration<double>(now - g.decayed) / limits_.half_life;
  g.decayed = now;
  double keep = std::exp2(-age);
  for (auto& set : g.choices) {
    for (double& choices : set) choices *= keep;
  }
}

void engine_groups::OnStatus(link_id link, const engine_status& status, const raft_core& core,
                             reduce_context& ctx) {
  engine_status_reply reply;
  reply.sequence = status.sequence;
  reply.leads = core.IsReadyLeader(ctx.now);
  reply.leader_hint = core.LeaderAddress();
  if (!reply.leads || status.group.empty()) {
    ctx.Emit(send_message{link, reply});
    return;
  }
  group& g = groups_[status.group];
  g.change.OnStatus(link, status, ctx.now);
  g.passes.OnStep(g.change.NewestStep(), ctx.now);
  reply.wants_experts = g.change.NeedsExperts(status.rank);
  ctx.Emit(send_message{link, reply});
  if (g.change.Epoch() != g.epoch) {
    g.epoch = g.change.Epoch();
    g.plan_at = ctx.now + limits_.pause;
  }
  AddCounts(g, status);
  g.change.Advance(core.Term(), ctx);
}

void engine_groups::Handle(const link_opened& opened) {
  if (opened.peer.role == process_role::kEntry) entries_.insert(opened.link);
}

void engine_groups::Handle(const link_closed& closed) { entries_.erase(closed.link); }

void engine_groups::SendLoads(reduce_context& ctx) {
  if (ctx.now < next_loads_) return;
  std::size_t slowdown = 1 + entries_.size() / limits_.entries_per_period;
  next_loads_ = ctx.now + limits_.load_period * static_cast<int>(slowdown);
  for (auto& [name, g] : groups_) {
    fleet_load load;
    load.pass = g.passes.Pass();
    load.engines = g.change.Loads(ctx.now);
    // A group without requests makes no passes either.
    bool busy = std::any_of(load.engines.begin(), load.engines.end(),
                            [](const fleet_engine_load& e) { return e.running > 0; });
    bool stalled = busy && g.passes.Stalled(ctx.now);
    if (stalled) LogWaiting(name, g, "passes-stalled", ctx);
    load.open = !stalled && !g.change.Down(ctx.now);
    for (link_id entry : entries_) ctx.Emit(send_message{entry, load});
  }
}

void engine_groups::OnProgress(const raft_core& core, reduce_context& ctx) {
  bool leads = core.IsReadyLeader(ctx.now);
  if (!leads || term_ != core.Term()) {
    if (!groups_.empty()) groups_.clear();
    term_ = core.Term();
    if (!leads) return;
  }
  if (ctx.now < next_tick_) return;
  next_tick_ = ctx.now + limits_.tick;
  if (!groups_.empty()) ctx.Emit(schedule_wakeup{next_tick_});
  SendLoads(ctx);
  for (auto& [name, g] : groups_) {
    bool was_changing = g.change.Phase() != map_switch::phase::kWatching;
    g.change.Advance(term_, ctx);
    bool changing = g.change.Phase() != map_switch::phase::kWatching;
    if (was_changing || changing) g.plan_at = ctx.now + limits_.pause;
    if (changing || ctx.now < g.plan_at) continue;
    Plan(name, g, term_, ctx);
  }
}

void engine_groups::LogWaiting(const std::string& name, group& g, std::string_view reason,
                               reduce_context& ctx) const {
  if (ctx.now - g.waiting_logged < kWaitingLogPeriod) return;
  g.waiting_logged = ctx.now;
  ctx.Emit(write_log{{event_code::kMapWaiting,
                      log_level::kInfo,
                      {{"group", name},
                       {"reason", std::string(reason)},
                       {"phase", std::to_string(static_cast<int>(g.change.Phase()))},
                       {"epoch", std::to_string(g.change.Epoch())}}}});
}

void engine_groups::Plan(const std::string& name, group& g, std::uint64_t term,
                         reduce_context& ctx) const {
  g.plan_at = ctx.now + limits_.pause / 2;
  if (!profile_) return LogWaiting(name, g, "no-profile", ctx);
  if (!g.change.Known(ctx.now)) return LogWaiting(name, g, "rank-unknown", ctx);
  if (!g.change.ReadyToChange(ctx.now)) return LogWaiting(name, g, "ranks-differ", ctx);
  if (g.choices.empty()) return LogWaiting(name, g, "no-counts", ctx);
  Decay(g, ctx.now);
  group_shape shape{g.change.Ranks(), profile_->experts, profile_->expert_sets,
                    profile_->expert_places};
  auto current = g.change.Placement(shape);
  if (!current) return LogWaiting(name, g, "experts-unknown", ctx);
  double choices = 0;
  for (const auto& set : g.choices) choices = std::accumulate(set.begin(), set.end(), choices);
  if (choices < limits_.min_choices_per_expert * shape.experts * shape.layers) return;
  bounded_placement planner;
  planner.max_new_per_rank = std::max(profile_->spare_places, 1U);
  expert_placement next;
  for (std::uint32_t i = 0; i < shape.layers; ++i) {
    next.layers.push_back(planner.Plan(shape, current->layers[i], g.choices[i]));
  }
  double before = MeanSkew(shape, *current, g.choices);
  double after = MeanSkew(shape, next, g.choices);
  if (before - after < limits_.min_gain * before) return;
  ctx.Emit(count{counter::kPlacementsPlanned});
  ctx.Emit(write_log{{event_code::kMapPlanned,
                      log_level::kInfo,
                      {{"skew", std::to_string(before)}, {"planned", std::to_string(after)}}}});
  g.change.Begin(shape, next, term, ctx);
}

}  // namespace radishroute
