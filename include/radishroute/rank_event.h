#ifndef RADISHROUTE_RANK_EVENT_H_
#define RADISHROUTE_RANK_EVENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "radishroute/expert_map.h"
#include "radishroute/group_message.h"
#include "radishroute/placement.h"

namespace radishroute {

/// What an agent tells the rank beside it: the steps it may run and the map to load.
struct rank_order {
  std::vector<step_range> ranges;
  std::uint64_t droppable_through = 0;
  group_shape shape;
  /// Map to load next with its contents; nothing if the rank has or loads it already.
  std::optional<group_map> load;
};

/// What a rank answers to an order.
struct rank_progress {
  /// Grows with each start of the rank.
  std::uint64_t incarnation = 0;
  std::uint64_t step = 0;
  std::vector<std::uint64_t> loaded;
  /// Map that is being loaded; 0 for none.
  std::uint64_t loading = 0;
  expert_counts counts;
};

/// Effect: sends an order to the rank beside this agent; ends in `rank_answered` with this number.
/// A call in progress is dropped without an event.
struct call_rank {
  std::uint64_t number = 0;
  rank_order order;
};

/// Event: a rank answered an order; no progress if it could not be reached or understood.
struct rank_call_finished {
  std::uint64_t number = 0;
  std::optional<rank_progress> progress;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RANK_EVENT_H_
