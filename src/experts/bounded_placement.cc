#include "radishroute/experts/bounded_placement.h"

#include <algorithm>
#include <numeric>
#include <vector>

#include "placement_layer.h"

namespace radishroute {

namespace {

// Maximum number of ranks considered as the target of a new replica, least loaded first.
constexpr std::size_t kMaxTargetRanks = 12;

struct candidate {
  std::uint32_t slot = kNoSlot;
  std::uint16_t expert = kNoExpert;
  double cost = 0;
};

// The highest rank load determines the duration of a forward pass. The sum of fourth powers
// approximates the maximum, and also rewards lowering the next highest loads.
double Cost(const std::vector<double>& rank_load) {
  return std::accumulate(rank_load.begin(), rank_load.end(), 0.0,
                         [](double sum, double load) { return sum + load * load * load * load; });
}

std::vector<std::uint32_t> ColdestRanks(const layer_state& layer) {
  std::vector<std::uint32_t> ranks(layer.rank_load.size());
  std::iota(ranks.begin(), ranks.end(), 0U);
  std::size_t kept = std::min(ranks.size(), kMaxTargetRanks);
  std::partial_sort(
      ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(kept), ranks.end(),
      [&](std::uint32_t a, std::uint32_t b) { return layer.rank_load[a] < layer.rank_load[b]; });
  ranks.resize(kept);
  return ranks;
}

}  // namespace

layer_placement bounded_placement::Plan(const group_shape& shape, const layer_placement& current,
                                        expert_load load) const {
  layer_state layer(shape, current, load);
  std::vector<std::uint32_t> added(shape.ranks, 0);
  for (std::uint32_t round = 0; round < shape.ranks * max_new_per_rank; ++round) {
    double before = Cost(layer.rank_load);
    candidate best{kNoSlot, kNoExpert, before * (1 - min_gain)};
    std::uint32_t hot = layer.HottestRank();
    for (std::uint32_t rank : ColdestRanks(layer)) {
      bool is_full =
          added[rank] >= max_new_per_rank || (!allowance.empty() && added[rank] >= allowance[rank]);
      if (rank == hot || is_full) continue;
      std::uint32_t slot = layer.ReplaceableSlot(rank);
      if (slot == kNoSlot) continue;
      std::uint16_t replaced = layer.placement.slots[slot];
      for (std::uint32_t i = 0; i < shape.slots_per_rank; ++i) {
        std::uint16_t expert = layer.placement.slots[hot * shape.slots_per_rank + i];
        if (expert == kNoExpert || expert == replaced || layer.HasExpert(rank, expert)) continue;
        layer.Replace(slot, expert);
        double cost = Cost(layer.rank_load);
        layer.Replace(slot, replaced);
        if (cost < best.cost) best = {slot, expert, cost};
      }
    }
    if (best.slot == kNoSlot) break;
    layer.Replace(best.slot, best.expert);
    ++added[best.slot / shape.slots_per_rank];
  }
  return layer.placement;
}

// All ranks copy at the same time, so the rank with the most new experts determines how long the
// preparation takes.
expert_placement PlanLayers(const group_shape& shape, const expert_placement& current,
                            const std::vector<std::vector<double>>& loads,
                            std::uint32_t max_new_per_rank, std::uint32_t max_copies) {
  std::vector<std::size_t> order(current.layers.size());
  std::iota(order.begin(), order.end(), std::size_t{0});
  std::vector<double> skew;
  skew.reserve(order.size());
  for (std::size_t i : order) {
    skew.push_back(MeasureSkew(shape, current.layers[i], loads[i]).Ratio());
  }
  std::stable_sort(order.begin(), order.end(),
                   [&](std::size_t a, std::size_t b) { return skew[a] > skew[b]; });
  bounded_placement planner;
  planner.max_new_per_rank = max_new_per_rank;
  planner.allowance.assign(shape.ranks, max_copies);
  expert_placement next = current;
  for (std::size_t i : order) {
    next.layers[i] = planner.Plan(shape, current.layers[i], loads[i]);
    for (const expert_move& move : FindMoves(shape, 0, current.layers[i], next.layers[i])) {
      std::uint32_t& left = planner.allowance[move.slot / shape.slots_per_rank];
      left -= std::min(left, 1U);
    }
  }
  return next;
}

double MeanSkew(const group_shape& shape, const expert_placement& placement,
                const std::vector<std::vector<double>>& loads) {
  double sum = 0;
  for (std::size_t i = 0; i < placement.layers.size(); ++i) {
    sum += MeasureSkew(shape, placement.layers[i], loads[i]).Ratio();
  }
  return placement.layers.empty() ? 1 : sum / static_cast<double>(placement.layers.size());
}

}  // namespace radishroute
