#include "engine/rank_model.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "radishroute/expert_groups.h"

namespace radishroute {

namespace {

constexpr std::chrono::milliseconds kRetry{50};

}  // namespace

rank_model::rank_model(rank_model_settings settings)
    : settings_(settings), peers_(settings.ranks) {}

void rank_model::Start(steady_time now, rank_model_effects& effects) {
  Join();
  for (std::uint32_t rank = 0; rank < settings_.ranks; ++rank) Tell(rank, effects);
  Advance(now, effects);
}

void rank_model::Reduce(const rank_model_event& e, steady_time now, rank_model_effects& effects) {
  std::visit([&](const auto& specific) { Handle(specific, now, effects); }, e);
  Advance(now, effects);
}

void rank_model::Handle(const rank_order_arrived& e, steady_time, rank_model_effects& effects) {
  shape_ = e.order.shape;
  // An order for another group, or one that contradicts an earlier one, is not used at all.
  bool usable = shape_.ranks == settings_.ranks &&
                grants_.Handle({e.order.ranges, 0, e.order.droppable_through});
  if (usable && e.order.load && !loading_ && !maps_.contains(e.order.load->version) &&
      e.order.load->version > e.order.droppable_through &&
      IsValidMap(shape_, e.order.load->placement)) {
    loading_ = e.order.load;
    effects.emplace_back(load_map_weights{loading_->version, BytesFor(loading_->placement)});
  }
  std::erase_if(maps_, [&](const auto& item) { return item.first <= e.order.droppable_through; });
  // Steps below the first granted one are past in all ranks; only a group that was started anew as
  // a whole has not completed them.
  if (joined_ && usable && !e.order.ranges.empty() && !running_) {
    done_ = std::max(done_, e.order.ranges.front().first - 1);
  }
  rank_progress progress;
  progress.incarnation = settings_.incarnation;
  progress.step = done_;
  for (const auto& [version, placement] : maps_) progress.loaded.push_back(version);
  progress.loading = loading_ ? loading_->version : 0;
  progress.counts = counts_;
  effects.emplace_back(answer_order{e.exchange, std::move(progress)});
}

bool rank_model::Holds(std::uint32_t layer, std::uint16_t expert) const {
  auto first = std::ptrdiff_t{settings_.rank} * shape_.slots_per_rank;
  return std::any_of(maps_.begin(), maps_.end(), [&](const auto& item) {
    auto begin = item.second.layers[layer].slots.begin() + first;
    return std::find(begin, begin + shape_.slots_per_rank, expert) != begin + shape_.slots_per_rank;
  });
}

std::uint64_t rank_model::BytesFor(const expert_placement& placement) const {
  std::uint64_t bytes = 0;
  std::size_t first = std::size_t{settings_.rank} * shape_.slots_per_rank;
  for (std::uint32_t layer = 0; layer < placement.layers.size(); ++layer) {
    for (std::uint32_t i = 0; i < shape_.slots_per_rank; ++i) {
      std::uint16_t expert = placement.layers[layer].slots[first + i];
      if (expert != kNoExpert && !Holds(layer, expert)) bytes += settings_.expert_bytes;
    }
  }
  return bytes;
}

void rank_model::Handle(const map_weights_arrived& e, steady_time, rank_model_effects&) {
  if (!loading_ || loading_->version != e.map_version) return;
  if (e.loaded) {
    maps_[loading_->version] = std::move(loading_->placement);
    grants_.OnMapLoaded(e.map_version);
  }
  loading_.reset();
}

void rank_model::Handle(const peer_step_arrived& e, steady_time, rank_model_effects& effects) {
  if (e.rank >= peers_.size()) {
    effects.emplace_back(answer_peer{e.exchange, {}});
    return;
  }
  peer& from = peers_[e.rank];
  // A rank that has restarted has to hear of this rank's step again.
  if (e.step < from.step) from.told = 0;
  from.step = std::max(from.step, e.step);
  effects.emplace_back(answer_peer{e.exchange, {done_, from.step}});
}

void rank_model::Handle(const peer_answered& e, steady_time now, rank_model_effects& effects) {
  peer& from = peers_[e.rank];
  from.telling = false;
  if (!e.state) {
    from.retry_at = now + kRetry;
    effects.emplace_back(rank_wakeup{*from.retry_at});
    return;
  }
  from.answered = true;
  from.step = std::max(from.step, e.state->step);
  from.heard = std::max(from.heard, e.state->heard);
  Join();
}

void rank_model::Handle(const rank_timer_expired&, steady_time, rank_model_effects&) {}

// A rank that starts goes on where the group is: it runs the last step that the others have not
// all left behind, and none that it has already reported.
void rank_model::Join() {
  if (joined_) return;
  std::uint64_t furthest = 0;
  for (std::uint32_t rank = 0; rank < settings_.ranks; ++rank) {
    if (rank == settings_.rank) continue;
    if (!peers_[rank].answered) return;
    if (peers_[rank].step > 0) furthest = std::max(furthest, peers_[rank].step - 1);
    furthest = std::max(furthest, peers_[rank].heard);
  }
  joined_ = true;
  done_ = furthest;
}

void rank_model::Tell(std::uint32_t rank, rank_model_effects& effects) {
  if (rank == settings_.rank || peers_[rank].telling) return;
  peers_[rank].telling = true;
  peers_[rank].retry_at.reset();
  peers_[rank].told = done_;
  effects.emplace_back(tell_peer{rank, done_});
}

void rank_model::TellAll(steady_time now, rank_model_effects& effects) {
  for (std::uint32_t rank = 0; rank < settings_.ranks; ++rank) {
    peer& to = peers_[rank];
    if (to.retry_at) {
      if (*to.retry_at <= now) Tell(rank, effects);
    } else if (to.told < done_ || !to.answered) {
      Tell(rank, effects);
    }
  }
}

void rank_model::Advance(steady_time now, rank_model_effects& effects) {
  if (running_ && running_->ends <= now) EndStep(now, effects);
  if (joined_ && !running_) StartStep(now, effects);
  TellAll(now, effects);
  if (running_) effects.emplace_back(rank_wakeup{running_->ends});
  for (const peer& to : peers_) {
    if (to.retry_at) effects.emplace_back(rank_wakeup{*to.retry_at});
  }
}

bool rank_model::StartStep(steady_time now, rank_model_effects&) {
  for (std::uint32_t rank = 0; rank < settings_.ranks; ++rank) {
    if (rank != settings_.rank && peers_[rank].step < done_) return false;
  }
  std::optional<std::uint64_t> map_version = grants_.MapForStep(done_ + 1);
  if (!map_version || !maps_.contains(*map_version)) return false;
  const step_load& load = LoadOf(done_ + 1, *map_version);
  double tokens = 0;
  for (double value : load.by_layer) tokens += value;
  auto duration = settings_.step_base + std::chrono::duration_cast<std::chrono::microseconds>(
                                            settings_.per_token * tokens);
  running_ = running_step{*map_version, now + duration, load.by_layer};
  if (window_counted_ == 0) window_started_ = now;
  return true;
}

void rank_model::EndStep(steady_time now, rank_model_effects& effects) {
  ++done_;
  effects.emplace_back(record_step{done_, running_->map_version, std::move(running_->tokens)});
  running_.reset();
  for (std::size_t i = 0; i < load_.cells.size(); ++i) {
    window_tokens_[load_.cells[i]] += load_.tokens[i];
  }
  ++window_counted_;
  if (done_ % settings_.window_steps != 0) return;
  // A window that this rank joined in the middle is not reported.
  if (window_counted_ == settings_.window_steps) {
    counts_ = {};
    counts_.window = done_ / settings_.window_steps;
    counts_.duration = std::chrono::duration_cast<std::chrono::microseconds>(now - window_started_);
    counts_.steps = settings_.window_steps;
    for (const auto& [cell, tokens] : window_tokens_) {
      counts_.cells.push_back(cell);
      counts_.counts.push_back(static_cast<std::uint32_t>(std::lround(tokens)));
    }
  }
  window_counted_ = 0;
  window_tokens_.clear();
}

const rank_model::step_load& rank_model::LoadOf(std::uint64_t step, std::uint64_t map_version) {
  std::uint64_t window = step / settings_.window_steps;
  bool shifted = settings_.popularity.shift_step > 0 && step >= settings_.popularity.shift_step;
  if (load_.map_version == map_version && load_.window == window && load_.shifted == shifted) {
    return load_;
  }
  load_ = {map_version, window, shifted, {}, {}, {}};
  const expert_placement& placement = maps_.at(map_version);
  for (std::uint32_t layer = 0; layer < shape_.layers; ++layer) {
    AddLayer(layer, placement.layers[layer], load_);
  }
  return load_;
}

void rank_model::AddLayer(std::uint32_t layer, const layer_placement& placement,
                          step_load& load) const {
  popularity_settings popularity = settings_.popularity;
  popularity.experts = shape_.experts;
  popularity.layers = shape_.layers;
  std::vector<double> tokens = ExpertTokens(popularity, layer, load.window, load.shifted);
  std::size_t first = std::size_t{settings_.rank} * shape_.slots_per_rank;
  double total = 0;
  for (std::uint32_t i = 0; i < shape_.slots_per_rank; ++i) {
    std::uint16_t expert = placement.slots[first + i];
    if (expert == kNoExpert) continue;
    auto replicas = std::count(placement.slots.begin(), placement.slots.end(), expert);
    double share = tokens[expert] / static_cast<double>(replicas);
    load.cells.push_back(layer * shape_.experts + expert);
    load.tokens.push_back(share);
    total += share;
  }
  load.by_layer.push_back(total);
}

}  // namespace radishroute
