#include "radishroute/experts/map_switch.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

// Size of the range of versions, and of command numbers, of each term: leaders of different terms
// use different ones, and later terms use higher ones. The first of each range is not given.
constexpr std::uint64_t kNumbersPerTerm = 1 << 20;

log_event MakeSwitchEvent(event_code code, std::uint64_t version, std::uint64_t step) {
  return {
      code, log_level::kInfo, {{"map", std::to_string(version)}, {"step", std::to_string(step)}}};
}

}  // namespace

void map_switch::OnStatus(link_id link, const engine_status& status, steady_time now) {
  if (status.ranks == 0 || status.rank >= status.ranks) return;
  if (status.epoch < epoch_) return;
  if (status.epoch > epoch_ || status.ranks != ranks_.size()) {
    // The engines keep no state of an earlier incarnation of the group.
    epoch_ = status.epoch;
    ranks_.assign(status.ranks, {});
    phase_ = phase::kIdle;
    switch_step_ = 0;
    lead_passes_ = limits_.initial_lead;
  }
  rank_view& rank = ranks_[status.rank];
  if (rank.replaced_link == link) return;
  if (rank.link == link && status.sequence <= rank.status.sequence) return;
  if (rank.link != link) OnLinkChanged(rank, link, now);
  rank.status = status;
  rank.status_at = now;
  rank.uncertain_until = std::max(rank.uncertain_until, now + status.uncertain);
  if (!status.experts.empty()) {
    rank.experts = status.experts;
    rank.experts_version = status.map_version;
    rank.experts_known = true;
  }
  // A result of any other command, such as one of an earlier leader, says nothing about this one.
  if (rank.outstanding != 0 && status.last_command == rank.outstanding) {
    rank.outstanding = 0;
    rank.fenced = rank.fenced || status.last_result == engine_order_result::kAccepted ||
                  status.last_result == engine_order_result::kConflict;
  }
  highest_version_ = std::max(
      {highest_version_, status.map_version, status.prepared_version, status.armed_version});
}

// A sidecar that has restarted does not know which orders its predecessor sent.
void map_switch::OnLinkChanged(rank_view& rank, link_id link, steady_time now) const {
  if (rank.outstanding != 0 && rank.operation == engine_operation::kArm) {
    rank.uncertain_until = std::max(rank.uncertain_until, now + limits_.max_order_delay);
  }
  rank.outstanding = 0;
  rank.replaced_link = rank.link;
  rank.link = link;
}

bool map_switch::AllRanksUp(steady_time now) const {
  return !ranks_.empty() && std::all_of(ranks_.begin(), ranks_.end(), [&](const rank_view& r) {
    return r.link && r.status.open && now - r.status_at <= limits_.max_status_age;
  });
}

bool map_switch::NeedsExperts(std::uint32_t rank) const {
  if (rank >= ranks_.size()) return false;
  const rank_view& r = ranks_[rank];
  return !r.experts_known || r.experts_version != r.status.map_version;
}

bool map_switch::AnyRankDown(steady_time now) const {
  return std::any_of(ranks_.begin(), ranks_.end(), [&](const rank_view& r) {
    return r.link && !r.status.open && now - r.status_at <= limits_.max_status_age;
  });
}

std::uint64_t map_switch::MapVersion() const {
  return ranks_.empty() ? 0 : ranks_.front().status.map_version;
}

bool map_switch::ReadyToChange(steady_time now) const {
  if (phase_ != phase::kIdle || !AllRanksUp(now)) return false;
  return std::all_of(ranks_.begin(), ranks_.end(), [&](const rank_view& r) {
    return r.status.map_version == MapVersion() && r.status.armed_version == 0 &&
           r.status.held_step == 0;
  });
}

std::optional<expert_placement> map_switch::Placement(const group_shape& shape) const {
  expert_placement placement;
  placement.layers.resize(shape.layers);
  for (layer_placement& layer : placement.layers) layer.slots.assign(shape.Slots(), kNoExpert);
  for (std::uint32_t r = 0; r < ranks_.size(); ++r) {
    const rank_view& rank = ranks_[r];
    bool current = rank.experts_known && rank.experts_version == MapVersion() &&
                   rank.experts.size() % shape.layers == 0;
    std::size_t slots = rank.experts.size() / std::max(shape.layers, 1U);
    if (!current || slots > shape.slots_per_rank) return std::nullopt;
    for (std::size_t i = 0; i < rank.experts.size(); ++i) {
      if (rank.experts[i] < 0) continue;
      std::size_t slot = r * shape.slots_per_rank + i % slots;
      placement.layers[i / slots].slots[slot] = static_cast<std::uint16_t>(rank.experts[i]);
    }
  }
  for (const layer_placement& layer : placement.layers) {
    if (!IsValid(shape, layer)) return std::nullopt;
  }
  return placement;
}

void map_switch::EnterPhase(phase next, reduce_context& ctx) {
  phase_ = next;
  phase_entered_at_ = ctx.now;
  for (rank_view& rank : ranks_) rank.outstanding = 0;
}

// A command whose result is known is not repeated sooner than one that waits for its result: the
// engine would refuse it again, as often as messages can be exchanged.
bool map_switch::MaySend(const rank_view& rank, engine_operation operation, steady_time now) const {
  if (!rank.link) return false;
  bool repeats = rank.command_sent_at && rank.operation == operation;
  return !repeats || now - *rank.command_sent_at > limits_.resend_after;
}

void map_switch::Send(rank_view& rank, engine_command order, reduce_context& ctx) {
  order.term = term_;
  // Numbers may repeat after a whole range: a result is compared with the last command only.
  order.number = term_ * kNumbersPerTerm + 1 + commands_sent_++ % (kNumbersPerTerm - 1);
  order.epoch = epoch_;
  rank.outstanding = order.number;
  rank.command_sent_at = ctx.now;
  rank.operation = order.operation;
  ctx.Emit(send_message{*rank.link, std::move(order)});
}

std::uint64_t map_switch::NextVersion() const {
  return std::max(highest_version_, term_ * kNumbersPerTerm) + 1;
}

bool map_switch::HasVersions() const { return NextVersion() < (term_ + 1) * kNumbersPerTerm; }

void map_switch::Begin(const group_shape& shape, const expert_placement& to, reduce_context& ctx) {
  if (!ReadyToChange(ctx.now) || !HasVersions() || shape.ranks != ranks_.size()) return;
  new_version_ = NextVersion();
  highest_version_ = new_version_;
  new_sets_ = shape.layers;
  new_map_.clear();
  for (const layer_placement& layer : to.layers) {
    for (std::uint16_t expert : layer.slots) new_map_.push_back(expert == kNoExpert ? -1 : expert);
  }
  if (lead_passes_ == 0) lead_passes_ = limits_.initial_lead;
  EnterPhase(phase::kPreparing, ctx);
  ctx.Emit(write_log{MakeSwitchEvent(event_code::kMapProposed, new_version_, 0)});
  Advance(ctx);
}

void map_switch::Advance(reduce_context& ctx) {
  if (ranks_.empty()) return;
  switch (phase_) {
    case phase::kIdle:
      ReleaseAbandonedHold(ctx);
      return;
    case phase::kPreparing:
      Prepare(ctx);
      return;
    case phase::kHolding:
      Hold(ctx);
      return;
    case phase::kArming:
      Arm(ctx);
      return;
    case phase::kReleasing:
      Release(ctx);
      return;
  }
}

std::uint64_t map_switch::NewestPass() const {
  std::uint64_t newest = 0;
  for (const rank_view& rank : ranks_) newest = std::max(newest, rank.status.step);
  return newest;
}

std::vector<fleet_engine_load> map_switch::EngineLoads(steady_time now) const {
  std::vector<fleet_engine_load> loads;
  for (const rank_view& rank : ranks_) {
    if (!rank.link || now - rank.status_at > limits_.max_status_age) continue;
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - rank.status_at);
    loads.push_back({rank.status.address, rank.status.running, rank.status.waiting, age});
  }
  return loads;
}

map_switch::rank_view* map_switch::HoldingRank() {
  for (std::size_t i = 0; i < ranks_.size(); ++i) {
    if (ranks_[i].status.held_step == 0) continue;
    holder_index_ = i;
    return &ranks_[i];
  }
  return nullptr;
}

// Sends every rank an order with this leader's fencing token. From then on, the ranks refuse orders
// of former leaders that are still in transit.
bool map_switch::FenceAllRanks(reduce_context& ctx) {
  bool all_fenced = true;
  for (rank_view& rank : ranks_) {
    if (rank.fenced) continue;
    all_fenced = false;
    // No map has this version, so the order has no effect except for its token.
    engine_command disarm;
    disarm.operation = engine_operation::kDisarm;
    disarm.map_version = term_ * kNumbersPerTerm;
    if (MaySend(rank, disarm.operation, ctx.now)) Send(rank, std::move(disarm), ctx);
  }
  return all_fenced;
}

// Handles a pass that is held although no change is in progress, because of a former leader or a
// late order.
void map_switch::ReleaseAbandonedHold(reduce_context& ctx) {
  rank_view* holder = HoldingRank();
  if (holder == nullptr || !AllRanksUp(ctx.now)) return;
  if (!FenceAllRanks(ctx)) return;
  switch_step_ = holder->status.held_step;
  std::uint64_t armed = 0;
  bool uncertain = false;
  for (const rank_view& rank : ranks_) {
    if (rank.status.armed_version != 0 && rank.status.armed_step >= switch_step_) {
      armed = rank.status.armed_version;
      switch_step_ = rank.status.armed_step;
    }
    uncertain = uncertain || rank.uncertain_until > ctx.now;
  }
  if (armed != 0) {
    // Some ranks are already armed. Completing the change avoids having to undo an order.
    new_version_ = armed;
    EnterPhase(phase::kArming, ctx);
    Advance(ctx);
    return;
  }
  if (uncertain) return;
  engine_command release;
  release.operation = engine_operation::kRelease;
  release.step = holder->status.held_step;
  if (MaySend(*holder, release.operation, ctx.now)) Send(*holder, std::move(release), ctx);
}

void map_switch::Prepare(reduce_context& ctx) {
  if (!AllRanksUp(ctx.now) || ctx.now - phase_entered_at_ > limits_.prepare_timeout) {
    EnterPhase(phase::kIdle, ctx);
    return;
  }
  bool all_prepared = true;
  for (rank_view& rank : ranks_) {
    if (rank.status.prepared_version == new_version_) continue;
    all_prepared = false;
    // Copying takes longer than the order; a rank that has begun copying needs no second order.
    bool is_copying = rank.outstanding == 0 && rank.operation == engine_operation::kPrepare &&
                      rank.command_sent_at && *rank.command_sent_at >= phase_entered_at_ &&
                      rank.status.last_result == engine_order_result::kAccepted;
    if (is_copying || !MaySend(rank, engine_operation::kPrepare, ctx.now)) continue;
    engine_command prepare;
    prepare.operation = engine_operation::kPrepare;
    prepare.map_version = new_version_;
    prepare.experts = new_map_;
    prepare.sets = new_sets_;
    prepare.ranks = Ranks();
    Send(rank, std::move(prepare), ctx);
  }
  if (!all_prepared) return;
  EnterPhase(phase::kHolding, ctx);
  switch_step_ = 0;
  Hold(ctx);
}

void map_switch::Hold(reduce_context& ctx) {
  if (!AllRanksUp(ctx.now)) {
    EnterPhase(phase::kIdle, ctx);
    return;
  }
  if (rank_view* holder = HoldingRank()) {
    switch_step_ = holder->status.held_step;
    EnterPhase(phase::kArming, ctx);
    Arm(ctx);
    return;
  }
  rank_view& holder = ranks_[holder_index_ % ranks_.size()];
  bool answered = switch_step_ != 0 && holder.outstanding == 0;
  bool passed = switch_step_ != 0 && NewestPass() >= switch_step_;
  if (passed || (answered && holder.status.last_result != engine_order_result::kAccepted)) {
    // The pass had already begun when the order arrived.
    lead_passes_ = std::min(lead_passes_ * 2, limits_.max_lead);
    switch_step_ = 0;
  }
  if (ctx.now - phase_entered_at_ > limits_.prepare_timeout) {
    EnterPhase(phase::kIdle, ctx);
    return;
  }
  bool may_raise_lead = switch_step_ == 0 && lead_passes_ < limits_.max_lead;
  if (!may_raise_lead && !MaySend(holder, engine_operation::kHold, ctx.now)) return;
  if (switch_step_ == 0) switch_step_ = NewestPass() + lead_passes_;
  engine_command hold;
  hold.operation = engine_operation::kHold;
  hold.step = switch_step_;
  Send(holder, std::move(hold), ctx);
}

void map_switch::Arm(reduce_context& ctx) {
  bool all_armed = true;
  bool none_armed = true;
  bool can_arm_all = true;
  bool uncertain = false;
  for (rank_view& rank : ranks_) {
    bool armed =
        rank.status.armed_version == new_version_ && rank.status.armed_step == switch_step_;
    if (armed) {
      none_armed = false;
      continue;
    }
    all_armed = false;
    uncertain = uncertain || rank.uncertain_until > ctx.now || rank.outstanding != 0;
    can_arm_all = can_arm_all && rank.status.prepared_version == new_version_;
    if (!MaySend(rank, engine_operation::kArm, ctx.now)) continue;
    engine_command arm;
    arm.operation = engine_operation::kArm;
    arm.map_version = new_version_;
    arm.step = switch_step_;
    Send(rank, std::move(arm), ctx);
  }
  if (all_armed && AllRanksUp(ctx.now)) {
    EnterPhase(phase::kReleasing, ctx);
    Release(ctx);
    return;
  }
  // No rank is armed, and no order in transit can arm one: the change can be abandoned.
  if (none_armed && !can_arm_all && !uncertain) EnterPhase(phase::kIdle, ctx);
}

void map_switch::Release(reduce_context& ctx) {
  rank_view* holder = HoldingRank();
  bool switched = std::all_of(ranks_.begin(), ranks_.end(), [&](const rank_view& rank) {
    return rank.status.map_version == new_version_;
  });
  if (holder == nullptr) {
    if (!switched) return;
    lead_passes_ = std::max(limits_.initial_lead, lead_passes_ - 1);
    ctx.Emit(write_log{MakeSwitchEvent(event_code::kMapActivated, new_version_, switch_step_)});
    ctx.Emit(count{counter::kMapsActivated});
    EnterPhase(phase::kIdle, ctx);
    return;
  }
  engine_command release;
  release.operation = engine_operation::kRelease;
  release.step = holder->status.held_step;
  if (MaySend(*holder, release.operation, ctx.now)) Send(*holder, std::move(release), ctx);
}

}  // namespace radishroute
