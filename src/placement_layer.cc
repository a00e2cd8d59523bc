#include "placement_layer.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace radishroute {

namespace {

// Number of coldest ranks tried as targets of a change. Trying all 64 ranks lowers the skew by less
// than 0.1% and takes five times as long.
constexpr std::size_t kMaxTargetRanks = 12;

// Fits into 16 bits, since expert numbers have 16 bits and kNoExpert is reserved.
std::uint16_t ExpertCount(const group_shape& shape) {
  return static_cast<std::uint16_t>(shape.experts);
}

}  // namespace

std::vector<std::uint32_t> ReplicaCounts(const group_shape& shape, expert_load load) {
  std::vector<std::uint32_t> replicas(shape.experts, 1);
  std::priority_queue<std::pair<double, std::uint16_t>> hottest;
  for (std::uint16_t expert = 0; expert < ExpertCount(shape); ++expert) {
    hottest.emplace(load[expert], expert);
  }
  for (std::uint32_t spare = shape.Slots() - shape.experts; spare > 0 && !hottest.empty();) {
    std::uint16_t expert = hottest.top().second;
    hottest.pop();
    if (replicas[expert] == shape.ranks) continue;
    ++replicas[expert];
    --spare;
    hottest.emplace(load[expert] / replicas[expert], expert);
  }
  return replicas;
}

layer_state::layer_state(const group_shape& group, const layer_placement& start,
                         expert_load expert_loads)
    : placement(start),
      rank_load(group.ranks, 0),
      shape_(group),
      load_(expert_loads),
      replicas_(group.experts, 0),
      expert_slots_(group.experts) {
  for (std::uint32_t slot = 0; slot < placement.slots.size(); ++slot) {
    std::uint16_t expert = placement.slots[slot];
    if (expert == kNoExpert) continue;
    ++replicas_[expert];
    expert_slots_[expert].push_back(slot);
  }
  for (std::uint32_t slot = 0; slot < placement.slots.size(); ++slot) {
    if (placement.slots[slot] != kNoExpert) {
      rank_load[RankOf(slot)] += ReplicaLoad(placement.slots[slot]);
    }
  }
}

double layer_state::ReplicaLoad(std::uint16_t expert) const {
  return load_[expert] / replicas_[expert];
}

std::uint32_t layer_state::HottestRank() const {
  return static_cast<std::uint32_t>(std::max_element(rank_load.begin(), rank_load.end()) -
                                    rank_load.begin());
}

std::uint32_t layer_state::ColdestRank() const {
  return static_cast<std::uint32_t>(std::min_element(rank_load.begin(), rank_load.end()) -
                                    rank_load.begin());
}

std::uint32_t layer_state::HottestSlot(std::uint32_t rank) const {
  std::uint32_t best = kNoSlot;
  for (std::uint32_t i = 0; i < shape_.slots_per_rank; ++i) {
    std::uint32_t slot = rank * shape_.slots_per_rank + i;
    std::uint16_t expert = placement.slots[slot];
    if (expert == kNoExpert) continue;
    if (best == kNoSlot || ReplicaLoad(expert) > ReplicaLoad(placement.slots[best])) best = slot;
  }
  return best;
}

std::uint32_t layer_state::ReplaceableSlot(std::uint32_t rank) const {
  std::uint32_t best = kNoSlot;
  for (std::uint32_t i = 0; i < shape_.slots_per_rank; ++i) {
    std::uint32_t slot = rank * shape_.slots_per_rank + i;
    std::uint16_t expert = placement.slots[slot];
    if (expert == kNoExpert) return slot;
    if (replicas_[expert] < 2) continue;
    if (best == kNoSlot || ReplicaLoad(expert) < ReplicaLoad(placement.slots[best])) best = slot;
  }
  return best;
}

bool layer_state::HasExpert(std::uint32_t rank, std::uint16_t expert) const {
  auto first = placement.slots.begin() + rank * shape_.slots_per_rank;
  return std::find(first, first + shape_.slots_per_rank, expert) != first + shape_.slots_per_rank;
}

void layer_state::Replace(std::uint32_t slot, std::uint16_t expert) {
  std::uint16_t old = placement.slots[slot];
  if (old == expert) return;
  // Changes the load of every rank with a replica of either expert, since its tokens are now split
  // among another number of replicas.
  if (old != kNoExpert) {
    for (std::uint32_t s : expert_slots_[old]) rank_load[RankOf(s)] -= ReplicaLoad(old);
    std::erase(expert_slots_[old], slot);
    --replicas_[old];
    for (std::uint32_t s : expert_slots_[old]) rank_load[RankOf(s)] += ReplicaLoad(old);
  }
  placement.slots[slot] = expert;
  if (expert != kNoExpert) {
    for (std::uint32_t s : expert_slots_[expert]) rank_load[RankOf(s)] -= ReplicaLoad(expert);
    expert_slots_[expert].push_back(slot);
    ++replicas_[expert];
    for (std::uint32_t s : expert_slots_[expert]) rank_load[RankOf(s)] += ReplicaLoad(expert);
  }
}

void layer_state::ConsiderReplica(std::uint32_t hot_slot, std::uint32_t cold_slot,
                                  double target_load, placement_change& best) const {
  std::uint16_t hot_expert = placement.slots[hot_slot];
  std::uint16_t dropped = placement.slots[cold_slot];
  if (dropped == hot_expert || (dropped != kNoExpert && replicas_[dropped] < 2)) return;
  std::uint32_t hot = RankOf(hot_slot);
  std::uint32_t target = RankOf(cold_slot);
  if (HasExpert(target, hot_expert)) return;
  double share = load_[hot_expert] / (replicas_[hot_expert] + 1);
  double gain = ReplicaLoad(hot_expert) - share;
  double ceiling = std::max(target_load, rank_load[hot] - gain);
  double dropped_share = dropped == kNoExpert ? 0 : ReplicaLoad(dropped);
  if (rank_load[target] - dropped_share + share > ceiling) return;
  if (dropped != kNoExpert) {
    // The remaining replicas of the dropped expert take over the load of this one.
    double extra_load = load_[dropped] / (replicas_[dropped] - 1) - dropped_share;
    for (std::uint32_t holder_slot : expert_slots_[dropped]) {
      if (holder_slot == cold_slot) continue;
      std::uint32_t rank = RankOf(holder_slot);
      if (rank == hot) gain -= extra_load;
      if (rank != hot && rank_load[rank] + extra_load > ceiling) return;
    }
  }
  if (gain > best.gain / best.copies) best = {cold_slot, hot_expert, kNoSlot, kNoExpert, 1, gain};
}

void layer_state::ConsiderSwap(std::uint32_t hot_slot, std::uint32_t swap_slot, double target_load,
                               placement_change& best) const {
  std::uint16_t hot_expert = placement.slots[hot_slot];
  std::uint16_t cold_expert = placement.slots[swap_slot];
  if (cold_expert == kNoExpert || cold_expert == hot_expert) return;
  std::uint32_t hot = RankOf(hot_slot);
  std::uint32_t target = RankOf(swap_slot);
  double gain = ReplicaLoad(hot_expert) - ReplicaLoad(cold_expert);
  // A swap copies two experts, so its gain must be twice that of an added replica.
  if (gain / 2 <= best.gain / best.copies) return;
  if (HasExpert(target, hot_expert) || HasExpert(hot, cold_expert)) return;
  if (rank_load[target] + gain > std::max(target_load, rank_load[hot] - gain)) return;
  best = {hot_slot, cold_expert, swap_slot, hot_expert, 2, gain};
}

std::vector<std::uint32_t> layer_state::ColdestRanks(std::uint32_t except) const {
  std::vector<std::uint32_t> ranks;
  for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
    if (rank != except) ranks.push_back(rank);
  }
  std::size_t result_size = std::min(kMaxTargetRanks, ranks.size());
  auto colder = [&](std::uint32_t a, std::uint32_t b) { return rank_load[a] < rank_load[b]; };
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(result_size),
                    ranks.end(), colder);
  ranks.resize(result_size);
  return ranks;
}

placement_change layer_state::BestChange(std::uint32_t hot, double target_load) const {
  placement_change best;
  std::vector<std::uint32_t> targets = ColdestRanks(hot);
  for (std::uint32_t i = 0; i < shape_.slots_per_rank; ++i) {
    std::uint32_t hot_slot = hot * shape_.slots_per_rank + i;
    if (placement.slots[hot_slot] == kNoExpert) continue;
    for (std::uint32_t target : targets) {
      for (std::uint32_t j = 0; j < shape_.slots_per_rank; ++j) {
        std::uint32_t swap_slot = target * shape_.slots_per_rank + j;
        ConsiderReplica(hot_slot, swap_slot, target_load, best);
        ConsiderSwap(hot_slot, swap_slot, target_load, best);
      }
    }
  }
  return best;
}

void layer_state::Apply(const placement_change& change) {
  if (change.second_slot == kNoSlot) {
    Replace(change.first_slot, change.first_expert);
    return;
  }
  // Both experts keep their replica counts, so only the loads of the two ranks change.
  double load_change = ReplicaLoad(change.second_expert) - ReplicaLoad(change.first_expert);
  rank_load[RankOf(change.first_slot)] -= load_change;
  rank_load[RankOf(change.second_slot)] += load_change;
  placement.slots[change.first_slot] = change.first_expert;
  placement.slots[change.second_slot] = change.second_expert;
  std::replace(expert_slots_[change.first_expert].begin(), expert_slots_[change.first_expert].end(),
               change.second_slot, change.first_slot);
  std::replace(expert_slots_[change.second_expert].begin(),
               expert_slots_[change.second_expert].end(), change.first_slot, change.second_slot);
}

std::vector<std::uint32_t> layer_state::FreeSurplusReplicas(
    const std::vector<std::uint32_t>& wanted) {
  std::vector<std::uint32_t> freed;
  for (std::uint16_t expert = 0; expert < ExpertCount(shape_); ++expert) {
    while (replicas_[expert] > wanted[expert]) {
      auto hottest = std::max_element(expert_slots_[expert].begin(), expert_slots_[expert].end(),
                                      [&](std::uint32_t a, std::uint32_t b) {
                                        return rank_load[RankOf(a)] < rank_load[RankOf(b)];
                                      });
      std::uint32_t slot = *hottest;
      Replace(slot, kNoExpert);
      freed.push_back(slot);
    }
  }
  return freed;
}

void layer_state::AdjustReplicas(const std::vector<std::uint32_t>& wanted) {
  layer_placement before = placement;
  std::vector<std::uint32_t> freed = FreeSurplusReplicas(wanted);
  std::vector<std::uint16_t> missing;
  for (std::uint16_t expert = 0; expert < ExpertCount(shape_); ++expert) {
    for (std::uint32_t n = replicas_[expert]; n < wanted[expert]; ++n) missing.push_back(expert);
  }
  std::stable_sort(missing.begin(), missing.end(), [&](std::uint16_t a, std::uint16_t b) {
    return load_[a] / wanted[a] > load_[b] / wanted[b];
  });
  for (std::uint16_t expert : missing) {
    auto best = freed.end();
    for (auto it = freed.begin(); it != freed.end(); ++it) {
      if (HasExpert(RankOf(*it), expert)) continue;
      if (best == freed.end() || rank_load[RankOf(*it)] < rank_load[RankOf(*best)]) best = it;
    }
    if (best == freed.end()) continue;
    Replace(*best, expert);
    freed.erase(best);
  }
  // A slot that was not reassigned keeps its old expert, which needs no copy.
  for (std::uint32_t slot : freed) Replace(slot, before.slots[slot]);
}

}  // namespace radishroute
