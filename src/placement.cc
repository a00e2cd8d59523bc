#include "radishroute/placement.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <queue>
#include <set>
#include <utility>

#include "placement_layer.h"

namespace radishroute {

expert_placement InitialPlacement(const group_shape& shape) {
  layer_placement layer;
  layer.slots.assign(shape.Slots(), kNoExpert);
  std::vector<std::uint32_t> used(shape.ranks, 0);
  for (std::uint32_t next = 0; next < shape.Slots(); ++next) {
    auto expert = static_cast<std::uint16_t>(next % shape.experts);
    // Each pass over the experts starts one rank later, so that replicas are placed on other ranks.
    std::uint32_t first = next + next / shape.experts;
    for (std::uint32_t i = 0; i < shape.ranks; ++i) {
      std::uint32_t rank = (first + i) % shape.ranks;
      auto begin = layer.slots.begin() + rank * shape.slots_per_rank;
      if (used[rank] == shape.slots_per_rank) continue;
      if (std::find(begin, begin + used[rank], expert) != begin + used[rank]) continue;
      begin[used[rank]++] = expert;
      break;
    }
  }
  expert_placement placement;
  placement.layers.assign(shape.layers, layer);
  return placement;
}

bool IsValid(const group_shape& shape, const layer_placement& placement) {
  if (placement.slots.size() != shape.Slots()) return false;
  std::vector<bool> present(shape.experts, false);
  for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
    std::set<std::uint16_t> rank_experts;
    for (std::uint32_t i = 0; i < shape.slots_per_rank; ++i) {
      std::uint16_t expert = placement.slots[rank * shape.slots_per_rank + i];
      if (expert == kNoExpert) continue;
      if (expert >= shape.experts || !rank_experts.insert(expert).second) return false;
      present[expert] = true;
    }
  }
  return std::all_of(present.begin(), present.end(), [](bool p) { return p; });
}

layer_skew MeasureSkew(const group_shape& shape, const layer_placement& placement,
                       expert_load load) {
  layer_state layer(shape, placement, load);
  layer_skew skew;
  skew.max_load = *std::max_element(layer.rank_load.begin(), layer.rank_load.end());
  double total = std::accumulate(load.begin(), load.end(), 0.0);
  skew.mean_load = total / shape.ranks;
  // An expert has at most one replica per rank, and every other expert needs at least one slot.
  std::uint32_t most_replicas = std::min(shape.ranks, shape.Slots() - shape.experts + 1);
  double hottest = *std::max_element(load.begin(), load.end()) / most_replicas;
  skew.lower_bound = std::max(skew.mean_load, hottest);
  return skew;
}

std::vector<expert_move> FindMoves(const group_shape& shape, std::uint32_t layer,
                                   const layer_placement& from, const layer_placement& to) {
  std::vector<expert_move> moves;
  for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
    std::uint32_t first = rank * shape.slots_per_rank;
    std::uint32_t last = first + shape.slots_per_rank;
    for (std::uint32_t slot = first; slot < last; ++slot) {
      std::uint16_t expert = to.slots[slot];
      bool stays = std::find(from.slots.begin() + first, from.slots.begin() + last, expert) !=
                   from.slots.begin() + last;
      if (expert != kNoExpert && !stays) moves.push_back({layer, slot, expert});
    }
  }
  return moves;
}

layer_placement static_placement::Plan(const group_shape&, const layer_placement& current,
                                       expert_load) const {
  return current;
}

layer_placement full_repack::Plan(const group_shape& shape, const layer_placement&,
                                  expert_load load) const {
  std::vector<std::uint32_t> replicas = ReplicaCounts(shape, load);
  std::vector<std::uint16_t> order;
  for (std::uint32_t number = 0; number < shape.experts; ++number) {
    auto expert = static_cast<std::uint16_t>(number);
    order.insert(order.end(), replicas[expert], expert);
  }
  std::stable_sort(order.begin(), order.end(), [&](std::uint16_t a, std::uint16_t b) {
    return load[a] / replicas[a] > load[b] / replicas[b];
  });
  layer_placement result;
  result.slots.assign(shape.Slots(), kNoExpert);
  std::vector<double> rank_load(shape.ranks, 0);
  std::vector<std::uint32_t> used(shape.ranks, 0);
  for (std::uint16_t expert : order) {
    std::uint32_t best = shape.ranks;
    for (std::uint32_t rank = 0; rank < shape.ranks; ++rank) {
      if (used[rank] == shape.slots_per_rank) continue;
      auto first = result.slots.begin() + rank * shape.slots_per_rank;
      if (std::find(first, first + used[rank], expert) != first + used[rank]) continue;
      if (best == shape.ranks || rank_load[rank] < rank_load[best]) best = rank;
    }
    // Only a further replica of a placed expert can lack an eligible rank; it is omitted.
    if (best == shape.ranks) continue;
    result.slots[best * shape.slots_per_rank + used[best]++] = expert;
    rank_load[best] += load[expert] / replicas[expert];
  }
  // Packing can leave an expert without a rank that has a free slot, which makes the plan invalid.
  return IsValid(shape, result) ? result : InitialPlacement(shape).layers.front();
}

layer_placement greedy_replication::Plan(const group_shape& shape, const layer_placement& current,
                                         expert_load load) const {
  layer_state layer(shape, current, load);
  for (std::uint32_t round = 0; round < shape.Slots(); ++round) {
    std::uint32_t hot = layer.HottestRank();
    std::uint32_t hot_slot = layer.HottestSlot(hot);
    std::uint32_t cold = layer.ColdestRank();
    std::uint32_t cold_slot = layer.ReplaceableSlot(cold);
    if (hot == cold || hot_slot == kNoSlot || cold_slot == kNoSlot) break;
    std::uint16_t expert = layer.placement.slots[hot_slot];
    if (layer.HasExpert(cold, expert)) break;
    double before = layer.rank_load[hot];
    std::uint16_t dropped = layer.placement.slots[cold_slot];
    layer.Replace(cold_slot, expert);
    if (*std::max_element(layer.rank_load.begin(), layer.rank_load.end()) >= before) {
      layer.Replace(cold_slot, dropped);
      break;
    }
  }
  return layer.placement;
}

layer_placement incremental_placement::Plan(const group_shape& shape,
                                            const layer_placement& current,
                                            expert_load load) const {
  layer_skew skew = MeasureSkew(shape, current, load);
  if (skew.mean_load <= 0 || skew.max_load <= trigger * skew.lower_bound) return current;
  layer_state layer(shape, current, load);
  if (skew.max_load > large_skew * skew.lower_bound) {
    layer.AdjustReplicas(ReplicaCounts(shape, load));
  }
  double target_load = target * skew.lower_bound;
  double min_load_gain = min_gain * skew.mean_load;
  for (std::uint32_t copied = 0; copied < max_moves;) {
    std::uint32_t hot = layer.HottestRank();
    if (layer.rank_load[hot] <= target_load) break;
    placement_change change = layer.BestChange(hot, target_load);
    if (change.gain < min_load_gain) break;
    layer.Apply(change);
    copied += change.copies;
  }
  return layer.placement;
}

load_forecast::load_forecast(std::size_t experts, std::chrono::milliseconds half_life)
    : half_life_(half_life), level_(experts, 0), trend_(experts, 0) {}

void load_forecast::Add(std::span<const std::uint32_t> counts, std::chrono::milliseconds interval,
                        std::chrono::milliseconds age) {
  double seconds = std::chrono::duration<double>(interval).count();
  double decay = std::exp2(-seconds / std::chrono::duration<double>(half_life_).count());
  for (std::size_t i = 0; i < level_.size(); ++i) {
    double rate = counts[i] / seconds;
    if (empty_) {
      level_[i] = rate;
      continue;
    }
    double previous = level_[i];
    level_[i] = decay * (level_[i] + trend_[i] * seconds) + (1 - decay) * rate;
    trend_[i] = decay * trend_[i] + (1 - decay) * (level_[i] - previous) / seconds;
  }
  age_ = age;
  empty_ = false;
}

std::vector<double> load_forecast::Predict(std::chrono::milliseconds ahead) const {
  double seconds = std::chrono::duration<double>(ahead + age_).count();
  std::vector<double> predicted(level_.size());
  for (std::size_t i = 0; i < level_.size(); ++i) {
    // With a falling trend the extrapolation can be negative, a load cannot.
    predicted[i] = std::max(0.0, level_[i] + trend_[i] * seconds);
  }
  return predicted;
}

plan_evaluation EvaluatePlan(const group_shape& shape, std::span<const layer_skew> before,
                             std::span<const layer_skew> after, std::size_t moves,
                             std::chrono::nanoseconds step_time, const copy_cost& cost) {
  plan_evaluation evaluation;
  evaluation.bytes = moves * cost.bytes_per_expert;
  double ratio_before = 0;
  double ratio_after = 0;
  for (std::size_t i = 0; i < before.size(); ++i) {
    ratio_before += before[i].Ratio();
    ratio_after += after[i].Ratio();
  }
  if (shape.layers == 0 || ratio_before <= 0) return evaluation;
  using real_seconds = std::chrono::duration<double>;
  real_seconds saved = step_time * ((ratio_before - ratio_after) / ratio_before);
  evaluation.saved_per_step = std::chrono::duration_cast<std::chrono::nanoseconds>(saved);
  real_seconds copying(static_cast<double>(evaluation.bytes) /
                       static_cast<double>(cost.bytes_per_second));
  real_seconds lost = copying * cost.slowdown;
  evaluation.steps_to_pay_back = saved.count() > 0
                                     ? static_cast<std::uint64_t>(std::ceil(lost / saved))
                                     : std::numeric_limits<std::uint64_t>::max();
  return evaluation;
}

}  // namespace radishroute
