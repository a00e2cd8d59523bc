#ifndef RADISHROUTE_RANK_EVENT_H_
#define RADISHROUTE_RANK_EVENT_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "radishroute/expert_map.h"
#include "radishroute/group_message.h"
#include "radishroute/placement.h"

namespace radishroute {

/// Order from an agent to its local rank: the steps it may run and the map to load.
struct rank_order {
  std::vector<step_range> ranges;
  std::uint64_t droppable_through = 0;
  group_shape shape;
  /// Next map to load, with its placement; nullopt if the rank has loaded it or is loading it.
  std::optional<group_map> load;
};

/// Answer of a rank to an order.
struct rank_progress {
  /// Increases with each start of the rank.
  std::uint64_t incarnation = 0;
  std::uint64_t step = 0;
  std::vector<std::uint64_t> loaded;
  /// Map that the rank is loading; 0 for none.
  std::uint64_t loading = 0;
  expert_counts counts;
};

/// Effect: sends an order to the local rank; results in `rank_call_finished` with this number. A
/// call still in progress is cancelled without an event.
struct call_rank {
  std::uint64_t number = 0;
  rank_order order;
};

/// Event: a call to a rank has finished; `progress` is empty if the rank could not be reached or
/// its answer could not be parsed.
struct rank_call_finished {
  std::uint64_t number = 0;
  std::optional<rank_progress> progress;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RANK_EVENT_H_
