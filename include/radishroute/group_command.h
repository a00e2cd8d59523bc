#ifndef RADISHROUTE_GROUP_COMMAND_H_
#define RADISHROUTE_GROUP_COMMAND_H_

#include <cstdint>
#include <string>

#include "radishroute/expert_map.h"
#include "radishroute/placement.h"

namespace radishroute {

/// Command that changes the record of one expert-parallel group.
struct group_change {
  std::string group;
  group_command action;
  /// Set for create_group only.
  group_shape shape;
  /// Placement of the map that create_group or propose_map introduces.
  expert_placement placement;
  /// Shown to operators; for propose_map only.
  std::string reason;
  /// Bytes of weights that the ranks copy for the proposed map.
  std::uint64_t bytes = 0;
};

/// Pins the map of a group in force, or allows changes again. Pinning abandons a proposed map.
struct group_pin {
  std::string group;
  bool pinned = false;
};

}  // namespace radishroute

#endif  // RADISHROUTE_GROUP_COMMAND_H_
