#ifndef RADISHROUTE_PLACEMENT_LAYER_H_
#define RADISHROUTE_PLACEMENT_LAYER_H_

#include <cstdint>
#include <limits>
#include <vector>

#include "radishroute/placement.h"

namespace radishroute {

inline constexpr std::uint32_t kNoSlot = std::numeric_limits<std::uint32_t>::max();

/// A change of one slot (added replica) or two (swap); `gain` is the load that it takes off the
/// hottest rank.
struct placement_change {
  std::uint32_t first_slot = kNoSlot;
  std::uint16_t first_expert = kNoExpert;
  std::uint32_t second_slot = kNoSlot;
  std::uint16_t second_expert = kNoExpert;
  std::uint32_t copies = 1;
  double gain = 0;
};

/// Number of replicas for each expert: uses all slots and minimizes the highest load of a replica.
std::vector<std::uint32_t> ReplicaCounts(const group_shape& shape, expert_load load);

/// Placement of one layer and the resulting load of each rank, updated incrementally on changes.
class layer_state {
 public:
  layer_state(const group_shape& group, const layer_placement& start, expert_load expert_loads);

  std::uint32_t HottestRank() const;
  std::uint32_t ColdestRank() const;

  /// The rank's slot whose replica has the highest load; kNoSlot if all slots are empty.
  std::uint32_t HottestSlot(std::uint32_t rank) const;

  /// An empty slot of the rank, or else the slot with the lowest load whose expert has another
  /// replica; kNoSlot if there is none.
  std::uint32_t ReplaceableSlot(std::uint32_t rank) const;

  bool HasExpert(std::uint32_t rank, std::uint16_t expert) const;

  /// Replaces the expert in `slot` by `expert` and updates the loads; either may be kNoExpert.
  void Replace(std::uint32_t slot, std::uint16_t expert);

  /// Finds the change with the highest gain per copy for the hot rank, among those that raise no
  /// rank above `target_load` or above the hot rank's load after the change, whichever is higher.
  placement_change BestChange(std::uint32_t hot, double target_load) const;
  void Apply(const placement_change& change);

  /// Adjusts the replica counts towards `wanted`: frees slots of experts that have too many
  /// replicas and assigns them to experts that have too few, on the coldest ranks first.
  void AdjustReplicas(const std::vector<std::uint32_t>& wanted);

  layer_placement placement;
  std::vector<double> rank_load;

 private:
  std::uint32_t RankOf(std::uint32_t slot) const { return slot / shape_.slots_per_rank; }
  double ReplicaLoad(std::uint16_t expert) const;
  std::vector<std::uint32_t> ColdestRanks(std::uint32_t except) const;
  std::vector<std::uint32_t> FreeSurplusReplicas(const std::vector<std::uint32_t>& wanted);
  void ConsiderReplica(std::uint32_t hot_slot, std::uint32_t cold_slot, double target_load,
                       placement_change& best) const;
  void ConsiderSwap(std::uint32_t hot_slot, std::uint32_t swap_slot, double target_load,
                    placement_change& best) const;

  group_shape shape_;
  expert_load load_;
  std::vector<std::uint32_t> replicas_;
  /// Slots of each expert's replicas.
  std::vector<std::vector<std::uint32_t>> expert_slots_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_PLACEMENT_LAYER_H_
