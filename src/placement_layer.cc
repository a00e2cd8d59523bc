#include "placement_layer.h"

#include <algorithm>
#include <queue>
#include <utility>

namespace radishroute {

namespace {

// Ranks tried as targets of a change. All 64 gain under 0.1% of skew and take five times as long.
constexpr std::size_t kTargetRanks = 12;

// Expert numbers have 16 bits; kNoExpert is the only one that cannot be used.
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
      holders_(group.experts) {
  for (std::uint32_t slot = 0; slot < placement.slots.size(); ++slot) {
    std::uint16_t expert = placement.slots[slot];
    if (expert == kNoExpert) continue;
    ++replicas_[expert];
    holders_[expert].push_back(slot);
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
  // The loads of all ranks that hold either expert change, since its tokens are spread anew.
  if (old != kNoExpert) {
    for (std::uint32_t s : holders_[old]) rank_load[RankOf(s)] -= ReplicaLoad(old);
    std::erase(holders_[old], slot);
    --replicas_[old];
    for (std::uint32_t s : holders_[old]) rank_load[RankOf(s)] += ReplicaLoad(old);
  }
  placement.slots[slot] = expert;
  if (expert != kNoExpert) {
    for (std::uint32_t s : holders_[expert]) rank_load[RankOf(s)] -= ReplicaLoad(expert);
    holders_[expert].push_back(slot);
    ++replicas_[expert];
    for (std::uint32_t s : holders_[expert]) rank_load[RankOf(s)] += ReplicaLoad(expert);
  }
}

void layer_state::ConsiderReplica(std::uint32_t hot_slot, std::uint32_t victim, double goal,
                                  placement_change& best) const {
  std::uint16_t hot_expert = placement.slots[hot_slot];
  std::uint16_t dropped = placement.slots[victim];
  if (dropped == hot_expert || (dropped != kNoExpert && replicas_[dropped] < 2)) return;
  std::uint32_t hot = RankOf(hot_slot);
  std::uint32_t target = RankOf(victim);
  if (HasExpert(target, hot_expert)) return;
  double share = load_[hot_expert] / (replicas_[hot_expert] + 1);
  double gain = ReplicaLoad(hot_expert) - share;
  double ceiling = std::max(goal, rank_load[hot] - gain);
  double dropped_share = dropped == kNoExpert ? 0 : ReplicaLoad(dropped);
  if (rank_load[target] - dropped_share + share > ceiling) return;
  if (dropped != kNoExpert) {
    // The remaining replicas of the dropped expert take over its load.
    double more = load_[dropped] / (replicas_[dropped] - 1) - dropped_share;
    for (std::uint32_t s : holders_[dropped]) {
      if (s == victim) continue;
      std::uint32_t rank = RankOf(s);
      if (rank == hot) gain -= more;
      if (rank != hot && rank_load[rank] + more > ceiling) return;
    }
  }
  if (gain > best.gain / best.copies) best = {victim, hot_expert, kNoSlot, kNoExpert, 1, gain};
}

void layer_state::ConsiderSwap(std::uint32_t hot_slot, std::uint32_t other, double goal,
                               placement_change& best) const {
  std::uint16_t hot_expert = placement.slots[hot_slot];
  std::uint16_t cold_expert = placement.slots[other];
  if (cold_expert == kNoExpert || cold_expert == hot_expert) return;
  std::uint32_t hot = RankOf(hot_slot);
  std::uint32_t target = RankOf(other);
  double gain = ReplicaLoad(hot_expert) - ReplicaLoad(cold_expert);
  // A swap copies two experts, so it must gain twice as much as a replica.
  if (gain / 2 <= best.gain / best.copies) return;
  if (HasExpert(target, hot_expert) || HasExpert(hot, cold_expert)) return;
  if (rank_load[target] + gain > std::max(goal, rank_load[hot] - gain)) return;
  best = {hot_slot, cold_expert, other, hot_expert, 2, gain};
}

std::vector<std::uint32_t> layer_state::ColdestRanks(std::uint32_t except) const {
  std::vector<std::uint32_t> ranks;
  for (std::uint32_t rank = 0; rank < shape_.ranks; ++rank) {
    if (rank != except) ranks.push_back(rank);
  }
  std::size_t kept = std::min(kTargetRanks, ranks.size());
  auto colder = [&](std::uint32_t a, std::uint32_t b) { return rank_load[a] < rank_load[b]; };
  std::partial_sort(ranks.begin(), ranks.begin() + static_cast<std::ptrdiff_t>(kept), ranks.end(),
                    colder);
  ranks.resize(kept);
  return ranks;
}

placement_change layer_state::BestChange(std::uint32_t hot, double goal) const {
  placement_change best;
  std::vector<std::uint32_t> targets = ColdestRanks(hot);
  for (std::uint32_t i = 0; i < shape_.slots_per_rank; ++i) {
    std::uint32_t hot_slot = hot * shape_.slots_per_rank + i;
    if (placement.slots[hot_slot] == kNoExpert) continue;
    for (std::uint32_t target : targets) {
      for (std::uint32_t j = 0; j < shape_.slots_per_rank; ++j) {
        std::uint32_t other = target * shape_.slots_per_rank + j;
        ConsiderReplica(hot_slot, other, goal, best);
        ConsiderSwap(hot_slot, other, goal, best);
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
  // Both experts keep their number of replicas, so only the two ranks' loads change.
  double moved = ReplicaLoad(change.second_expert) - ReplicaLoad(change.first_expert);
  rank_load[RankOf(change.first_slot)] -= moved;
  rank_load[RankOf(change.second_slot)] += moved;
  placement.slots[change.first_slot] = change.first_expert;
  placement.slots[change.second_slot] = change.second_expert;
  std::replace(holders_[change.first_expert].begin(), holders_[change.first_expert].end(),
               change.second_slot, change.first_slot);
  std::replace(holders_[change.second_expert].begin(), holders_[change.second_expert].end(),
               change.first_slot, change.second_slot);
}

std::vector<std::uint32_t> layer_state::FreeSurplus(const std::vector<std::uint32_t>& wanted) {
  std::vector<std::uint32_t> freed;
  for (std::uint16_t expert = 0; expert < ExpertCount(shape_); ++expert) {
    while (replicas_[expert] > wanted[expert]) {
      auto hottest = std::max_element(holders_[expert].begin(), holders_[expert].end(),
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
  std::vector<std::uint32_t> freed = FreeSurplus(wanted);
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
  // A slot that nobody wants keeps its old expert, which costs no copy.
  for (std::uint32_t slot : freed) Replace(slot, before.slots[slot]);
}

}  // namespace radishroute
