#ifndef RADISHROUTE_PLACEMENT_LAYER_H_
#define RADISHROUTE_PLACEMENT_LAYER_H_

#include <cstdint>
#include <limits>
#include <vector>

#include "radishroute/placement.h"

namespace radishroute {

inline constexpr std::uint32_t kNoSlot = std::numeric_limits<std::uint32_t>::max();

/// A change of one or two slots and the load it takes off the hottest rank.
struct placement_change {
  std::uint32_t first_slot = kNoSlot;
  std::uint16_t first_expert = kNoExpert;
  std::uint32_t second_slot = kNoSlot;
  std::uint16_t second_expert = kNoExpert;
  std::uint32_t copies = 1;
  double gain = 0;
};

/// Number of replicas of each expert that fills all slots and keeps the load of a replica low.
std::vector<std::uint32_t> ReplicaCounts(const group_shape& shape, expert_load load);

/// Placement of one layer with the loads that follow from it, kept up to date under changes.
class layer_state {
 public:
  layer_state(const group_shape& group, const layer_placement& start, expert_load expert_loads);

  std::uint32_t HottestRank() const;
  std::uint32_t ColdestRank() const;

  /// Slot of the rank whose replica carries the most load.
  std::uint32_t HottestSlot(std::uint32_t rank) const;

  /// Slot of the rank whose expert has another replica and carries the least; kNoSlot if none.
  std::uint32_t ReplaceableSlot(std::uint32_t rank) const;

  bool HasExpert(std::uint32_t rank, std::uint16_t expert) const;

  /// Puts an expert into a slot.
  void Replace(std::uint32_t slot, std::uint16_t expert);

  /// The change with the most gain per copy for a hot rank that pushes no rank above `goal` or the
  /// load that the hot rank then has.
  placement_change BestChange(std::uint32_t hot, double goal) const;
  void Apply(const placement_change& change);

  /// Moves the numbers of replicas towards `wanted`: frees slots of experts that have too many and
  /// gives them to experts that have too few, coldest ranks first.
  void AdjustReplicas(const std::vector<std::uint32_t>& wanted);

  layer_placement placement;
  std::vector<double> rank_load;

 private:
  std::uint32_t RankOf(std::uint32_t slot) const { return slot / shape_.slots_per_rank; }
  double ReplicaLoad(std::uint16_t expert) const;
  std::vector<std::uint32_t> ColdestRanks(std::uint32_t except) const;
  std::vector<std::uint32_t> FreeSurplus(const std::vector<std::uint32_t>& wanted);
  void ConsiderReplica(std::uint32_t hot_slot, std::uint32_t victim, double goal,
                       placement_change& best) const;
  void ConsiderSwap(std::uint32_t hot_slot, std::uint32_t other, double goal,
                    placement_change& best) const;

  group_shape shape_;
  expert_load load_;
  std::vector<std::uint32_t> replicas_;
  /// Slots that hold each expert.
  std::vector<std::vector<std::uint32_t>> holders_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_PLACEMENT_LAYER_H_
