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

/// Tokens that one rank computed in one window of steps, by expert. All ranks count the same
/// windows, so that their counts can be added.
struct expert_counts {
  /// Number of the window, from 1; 0 for no counts.
  std::uint64_t window = 0;
  std::chrono::microseconds duration{};
  /// Steps of a window.
  std::uint32_t steps = 0;
  /// Position layer * experts + expert of each count.
  std::vector<std::uint32_t> cells;
  std::vector<std::uint32_t> counts;
};

/// Message `rank_report` of docs/design.md: agent of a rank to the leader.
struct group_report {
  std::uint64_t sequence = 0;
  std::string group;
  group_shape shape;
  rank_report rank;
  expert_counts counts;
};

/// Contents of one expert map.
struct group_map {
  std::uint64_t version = 0;
  expert_placement placement;
};

/// Message `step_grant` of docs/design.md: answer to a report. Without `leads`, `leader_hint`
/// names the leader if it is known.
struct group_grant {
  std::uint64_t sequence = 0;
  std::string group;
  bool leads = false;
  endpoint leader_hint;
  step_grant grant;
  /// Maps that the rank has to load and does not have.
  std::vector<group_map> maps;
};

}  // namespace radishroute

#endif  // RADISHROUTE_GROUP_MESSAGE_H_
