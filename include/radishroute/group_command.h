#ifndef RADISHROUTE_GROUP_COMMAND_H_
#define RADISHROUTE_GROUP_COMMAND_H_

#include <cstdint>
#include <string>

#include "radishroute/expert_map.h"
#include "radishroute/placement.h"

namespace radishroute {

/// Changes the record of one expert-parallel group.
struct group_change {
  std::string group;
  group_command action;
  /// Only for create_group.
  group_shape shape;
  /// Contents of the map that create_group or propose_map names.
  expert_placement placement;
  /// Shown to operators; for propose_map only.
  std::string reason;
  /// Weights that the ranks copy for the proposed map.
  std::uint64_t bytes = 0;
};

/// Keeps the map of a group in force, or allows changes again. Pinning abandons a proposed map.
struct group_pin {
  std::string group;
  bool pinned = false;
};

}  // namespace radishroute

#endif  // RADISHROUTE_GROUP_COMMAND_H_
