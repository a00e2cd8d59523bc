#ifndef RADISHROUTE_EXPERT_GROUPS_H_
#define RADISHROUTE_EXPERT_GROUPS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "radishroute/group_command.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Replicated state of one expert-parallel group.
struct expert_group {
  group_shape shape;
  group_record record;
  /// Placements of the maps that a granted range or the proposal refers to.
  std::map<std::uint64_t, expert_placement> maps;
  bool pinned = false;
  /// The most recently proposed map, why it was proposed and the bytes that it moves.
  std::uint64_t changed_map = 0;
  std::string reason;
  std::uint64_t bytes = 0;
  /// Totals over all maps that were activated.
  std::uint64_t bytes_moved = 0;
  std::uint64_t changes = 0;
};

struct named_group {
  std::string name;
  expert_group group;
};
using groups_image = std::vector<named_group>;

/// All expert-parallel groups of the replicated state. Deterministic.
class group_table {
 public:
  /// Together with kMaxMapSlots this limits the groups' part of a snapshot to about 50 MB.
  static constexpr std::size_t kMaxGroups = 32;
  /// Slots of one map over all layers. A slot takes two bytes, and a map must fit into one command.
  static constexpr std::size_t kMaxMapSlots = std::size_t{1} << 18;
  static constexpr std::size_t kMaxNameBytes = 64;

  group_result Apply(const group_change& change, reduce_context& ctx);
  group_result Apply(const group_pin& pin, reduce_context& ctx);

  /// Null if there is no such group.
  const expert_group* Find(const std::string& name) const;
  const std::map<std::string, expert_group>& All() const { return groups_; }

  groups_image Save() const;
  /// Returns false and leaves the table empty if the image is inconsistent.
  bool Load(groups_image image);

 private:
  group_result Create(const group_change& change);

  std::map<std::string, expert_group> groups_;
};

/// True if the shape is within the limits and has a slot for every expert.
bool IsValidShape(const group_shape& shape);

/// True if every layer of the placement is valid for the shape.
bool IsValidMap(const group_shape& shape, const expert_placement& placement);

/// Change that creates a group with the initial placement as its first map.
group_change MakeGroupCreation(const std::string& name, const group_shape& shape,
                               std::uint64_t last_step);

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERT_GROUPS_H_
