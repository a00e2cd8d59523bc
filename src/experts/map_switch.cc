#include "radishroute/experts/map_switch.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

// Versions of one leader's term: no other leader uses them, and later terms use higher ones.
constexpr std::uint64_t kVersionsPerTerm = 1 << 20;

log_event SwitchEvent(event_code code, std::uint64_t version, std::uint64_t step) {
  return {
      code, log_level::kInfo, {{"map", std::to_string(version)}, {"step", std::to_string(step)}}};
}

}  // namespace

void map_switch::OnStatus(link_id link, const engine_status& status, steady_time now) {
  if (status.ranks == 0 || status.rank >= status.ranks) return;
  if (status.epoch < epoch_) return;
  if (status.epoch > epoch_ || status.ranks != ranks_.size()) {
    // Nothing of a former life of the group is left in the engines.
    epoch_ = status.epoch;
    ranks_.assign(status.ranks, {});
    fenced_.assign(status.ranks, false);
    phase_ = phase::kWatching;
    step_ = 0;
    lead_ = limits_.first_lead;
  }
  rank_view& rank = ranks_[status.rank];
  bool other_link = rank.link && *rank.link != link;
  if (!other_link && rank.link && status.sequence <= rank.status.sequence) return;
  if (other_link) rank.outstanding = 0;
  rank.link = link;
  rank.status = status;
  rank.heard = now;
  rank.uncertain_until = std::max(rank.uncertain_until, now + status.uncertain);
  if (!status.experts.empty()) {
    rank.experts = status.experts;
    rank.experts_version = status.map_version;
    rank.experts_known = true;
  }
  if (rank.outstanding != 0 && status.last_command >= rank.outstanding) rank.outstanding = 0;
  highest_version_ = std::max(
      {highest_version_, status.map_version, status.prepared_version, status.armed_version});
}

bool map_switch::Known(steady_time now) const {
  return !ranks_.empty() && std::all_of(ranks_.begin(), ranks_.end(), [&](const rank_view& r) {
    return r.link && r.status.open && now - r.heard <= limits_.fresh;
  });
}

bool map_switch::NeedsExperts(std::uint32_t rank) const {
  if (rank >= ranks_.size()) return false;
  const rank_view& r = ranks_[rank];
  return !r.experts_known || r.experts_version != r.status.map_version;
}

bool map_switch::Down(steady_time now) const {
  return std::any_of(ranks_.begin(), ranks_.end(), [&](const rank_view& r) {
    return r.link && !r.status.open && now - r.heard <= limits_.fresh;
  });
}

std::uint64_t map_switch::MapVersion() const {
  return ranks_.empty() ? 0 : ranks_.front().status.map_version;
}

bool map_switch::ReadyToChange(steady_time now) const {
  if (phase_ != phase::kWatching || !Known(now)) return false;
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
    std::size_t places = rank.experts.size() / std::max(shape.layers, 1U);
    if (!current || places > shape.slots_per_rank) return std::nullopt;
    for (std::size_t i = 0; i < rank.experts.size(); ++i) {
      if (rank.experts[i] < 0) continue;
      std::size_t slot = r * shape.slots_per_rank + i % places;
      placement.layers[i / places].slots[slot] = static_cast<std::uint16_t>(rank.experts[i]);
    }
  }
  for (const layer_placement& layer : placement.layers) {
    if (!IsValid(shape, layer)) return std::nullopt;
  }
  return placement;
}

void map_switch::Enter(phase next, reduce_context& ctx) {
  phase_ = next;
  entered_ = ctx.now;
  for (rank_view& rank : ranks_) rank.outstanding = 0;
}

bool map_switch::MaySend(const rank_view& rank, engine_operation operation, steady_time now) const {
  if (!rank.link) return false;
  bool waits = rank.outstanding != 0 && rank.operation == operation;
  return !waits || now - rank.sent > limits_.repeat;
}

void map_switch::Send(rank_view& rank, engine_command order, std::uint64_t term,
                      reduce_context& ctx) {
  order.term = term;
  order.number = term * kVersionsPerTerm + next_command_++;
  order.epoch = epoch_;
  rank.outstanding = order.number;
  rank.sent = ctx.now;
  rank.operation = order.operation;
  ctx.Emit(send_message{*rank.link, std::move(order)});
}

void map_switch::Begin(const group_shape& shape, const expert_placement& to, std::uint64_t term,
                       reduce_context& ctx) {
  if (!ReadyToChange(ctx.now) || shape.ranks != ranks_.size()) return;
  std::uint64_t floor = term * kVersionsPerTerm;
  version_ = std::max(highest_version_, floor) + 1;
  highest_version_ = version_;
  sets_ = shape.layers;
  experts_.clear();
  for (const layer_placement& layer : to.layers) {
    for (std::uint16_t expert : layer.slots) experts_.push_back(expert == kNoExpert ? -1 : expert);
  }
  if (lead_ == 0) lead_ = limits_.first_lead;
  Enter(phase::kPreparing, ctx);
  ctx.Emit(write_log{SwitchEvent(event_code::kMapProposed, version_, 0)});
  Advance(term, ctx);
}

void map_switch::Advance(std::uint64_t term, reduce_context& ctx) {
  if (ranks_.empty()) return;
  switch (phase_) {
    case phase::kWatching:
      Watch(term, ctx);
      return;
    case phase::kPreparing:
      Prepare(term, ctx);
      return;
    case phase::kHolding:
      Hold(term, ctx);
      return;
    case phase::kArming:
      Arm(term, ctx);
      return;
    case phase::kReleasing:
      Release(term, ctx);
      return;
  }
}

std::uint64_t map_switch::NewestStep() const {
  std::uint64_t newest = 0;
  for (const rank_view& rank : ranks_) newest = std::max(newest, rank.status.step);
  return newest;
}

std::vector<fleet_engine_load> map_switch::Loads(steady_time now) const {
  std::vector<fleet_engine_load> loads;
  for (const rank_view& rank : ranks_) {
    if (!rank.link || now - rank.heard > limits_.fresh) continue;
    auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - rank.heard);
    loads.push_back({rank.status.address, rank.status.running, rank.status.waiting, age});
  }
  return loads;
}

map_switch::rank_view* map_switch::Holder() {
  for (std::size_t i = 0; i < ranks_.size(); ++i) {
    if (ranks_[i].status.held_step == 0) continue;
    holder_ = i;
    return &ranks_[i];
  }
  return nullptr;
}

// Gives every rank an order with this leader's fencing token. Orders of former leaders that are
// still on their way are refused from then on.
bool map_switch::FenceAll(std::uint64_t term, reduce_context& ctx) {
  if (fenced_term_ != term) {
    fenced_term_ = term;
    fenced_.assign(ranks_.size(), false);
    for (rank_view& rank : ranks_) rank.outstanding = 0;
  }
  bool all = true;
  for (std::size_t i = 0; i < ranks_.size(); ++i) {
    rank_view& rank = ranks_[i];
    bool answered = rank.status.last_command > term * kVersionsPerTerm &&
                    (rank.status.last_result == engine_order_result::kAccepted ||
                     rank.status.last_result == engine_order_result::kConflict);
    fenced_[i] = fenced_[i] || answered;
    if (fenced_[i]) continue;
    all = false;
    // No such version is armed, so nothing but the token has an effect.
    engine_command disarm;
    disarm.operation = engine_operation::kDisarm;
    disarm.map_version = std::max(highest_version_, term * kVersionsPerTerm) + kVersionsPerTerm / 2;
    if (MaySend(rank, disarm.operation, ctx.now)) Send(rank, std::move(disarm), term, ctx);
  }
  return all;
}

// A pass that is held without a change under way was held by a former leader or by a late order.
void map_switch::Watch(std::uint64_t term, reduce_context& ctx) {
  rank_view* holder = Holder();
  if (holder == nullptr || !Known(ctx.now)) return;
  if (!FenceAll(term, ctx)) return;
  step_ = holder->status.held_step;
  std::uint64_t armed = 0;
  bool doubtful = false;
  for (const rank_view& rank : ranks_) {
    if (rank.status.armed_version != 0 && rank.status.armed_step >= step_) {
      armed = rank.status.armed_version;
      step_ = rank.status.armed_step;
    }
    doubtful = doubtful || rank.uncertain_until > ctx.now;
  }
  if (armed != 0) {
    // Some ranks are armed already: the change is completed, which needs no order to be undone.
    version_ = armed;
    Enter(phase::kArming, ctx);
    Advance(term, ctx);
    return;
  }
  if (doubtful) return;
  engine_command release;
  release.operation = engine_operation::kRelease;
  release.step = holder->status.held_step;
  if (MaySend(*holder, release.operation, ctx.now)) Send(*holder, std::move(release), term, ctx);
}

void map_switch::Prepare(std::uint64_t term, reduce_context& ctx) {
  if (!Known(ctx.now) || ctx.now - entered_ > limits_.prepare) {
    Enter(phase::kWatching, ctx);
    return;
  }
  bool all = true;
  for (rank_view& rank : ranks_) {
    if (rank.status.prepared_version == version_) continue;
    all = false;
    // The copies take longer than the order; a rank that has begun them needs no second one.
    bool begun = rank.outstanding == 0 && rank.operation == engine_operation::kPrepare &&
                 rank.sent >= entered_ && rank.status.last_result == engine_order_result::kAccepted;
    if (begun || !MaySend(rank, engine_operation::kPrepare, ctx.now)) continue;
    engine_command prepare;
    prepare.operation = engine_operation::kPrepare;
    prepare.map_version = version_;
    prepare.experts = experts_;
    prepare.sets = sets_;
    prepare.ranks = Ranks();
    Send(rank, std::move(prepare), term, ctx);
  }
  if (!all) return;
  Enter(phase::kHolding, ctx);
  step_ = 0;
  Hold(term, ctx);
}

void map_switch::Hold(std::uint64_t term, reduce_context& ctx) {
  if (!Known(ctx.now)) {
    Enter(phase::kWatching, ctx);
    return;
  }
  if (rank_view* holder = Holder()) {
    step_ = holder->status.held_step;
    Enter(phase::kArming, ctx);
    Arm(term, ctx);
    return;
  }
  rank_view& holder = ranks_[holder_ % ranks_.size()];
  bool answered = step_ != 0 && holder.outstanding == 0;
  bool passed = step_ != 0 && NewestStep() >= step_;
  if (passed || (answered && holder.status.last_result != engine_order_result::kAccepted)) {
    // The pass had begun when the order came.
    lead_ = std::min(lead_ * 2, limits_.longest_lead);
    step_ = 0;
  }
  if (ctx.now - entered_ > limits_.prepare) {
    Enter(phase::kWatching, ctx);
    return;
  }
  if (step_ != 0 && !MaySend(holder, engine_operation::kHold, ctx.now)) return;
  if (step_ == 0) step_ = NewestStep() + lead_;
  engine_command hold;
  hold.operation = engine_operation::kHold;
  hold.step = step_;
  Send(holder, std::move(hold), term, ctx);
}

void map_switch::Arm(std::uint64_t term, reduce_context& ctx) {
  bool all = true;
  bool none = true;
  bool possible = true;
  bool doubtful = false;
  for (rank_view& rank : ranks_) {
    bool armed = rank.status.armed_version == version_ && rank.status.armed_step == step_;
    if (armed) {
      none = false;
      continue;
    }
    all = false;
    doubtful = doubtful || rank.uncertain_until > ctx.now || rank.outstanding != 0;
    possible = possible && rank.status.prepared_version == version_;
    if (!MaySend(rank, engine_operation::kArm, ctx.now)) continue;
    engine_command arm;
    arm.operation = engine_operation::kArm;
    arm.map_version = version_;
    arm.step = step_;
    Send(rank, std::move(arm), term, ctx);
  }
  if (all && Known(ctx.now)) {
    Enter(phase::kReleasing, ctx);
    Release(term, ctx);
    return;
  }
  // Nothing is armed and nothing on its way can arm a rank: the hold can be given up.
  if (none && !possible && !doubtful) Enter(phase::kWatching, ctx);
}

void map_switch::Release(std::uint64_t term, reduce_context& ctx) {
  rank_view* holder = Holder();
  bool switched = std::all_of(ranks_.begin(), ranks_.end(), [&](const rank_view& rank) {
    return rank.status.map_version == version_;
  });
  if (holder == nullptr) {
    if (!switched) return;
    lead_ = std::max(limits_.first_lead, lead_ - 1);
    ctx.Emit(write_log{SwitchEvent(event_code::kMapActivated, version_, step_)});
    ctx.Emit(count{counter::kMapsActivated});
    Enter(phase::kWatching, ctx);
    return;
  }
  engine_command release;
  release.operation = engine_operation::kRelease;
  release.step = holder->status.held_step;
  if (MaySend(*holder, release.operation, ctx.now)) Send(*holder, std::move(release), term, ctx);
}

}  // namespace radishroute
