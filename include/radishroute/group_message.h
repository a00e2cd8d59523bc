#ifndef RADISHROUTE_GROUP_MESSAGE_H_
#define RADISHROUTE_GROUP_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "radishroute/expert_map.h"
#include "radishroute/placement.h"
#include "radishroute/types.h"

namespace radishroute {

/// Tokens that one rank processed in one window of steps, by expert. All ranks use the same
/// windows, so that their counts can be added.
struct expert_counts {
  /// Number of the window, starting at 1; 0 if there are no counts.
  std::uint64_t window = 0;
  std::chrono::microseconds duration{};
  /// Number of steps in a window.
  std::uint32_t steps = 0;
  /// Index of each count: layer * experts + expert.
  std::vector<std::uint32_t> cells;
  std::vector<std::uint32_t> counts;
};

/// Message `rank_report` of docs/design.md: from a rank's agent to the leader.
struct group_report {
  std::uint64_t sequence = 0;
  std::string group;
  group_shape shape;
  rank_report rank;
  expert_counts counts;
};

/// Version and placement of one expert map.
struct group_map {
  std::uint64_t version = 0;
  expert_placement placement;
};

/// Message `step_grant` of docs/design.md: answer to a report. If `leads` is false,
/// `leader_hint` is the leader's address if known.
struct group_grant {
  std::uint64_t sequence = 0;
  std::string group;
  bool leads = false;
  endpoint leader_hint;
  step_grant grant;
  /// Maps that the rank needs and has not loaded.
  std::vector<group_map> maps;
};

}  // namespace radishroute

#endif  // RADISHROUTE_GROUP_MESSAGE_H_
