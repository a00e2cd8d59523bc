#ifndef RADISHROUTE_GROUP_PLAN_H_
#define RADISHROUTE_GROUP_PLAN_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/placement.h"

namespace radishroute {

/// Policies that the controllers' settings can select, by the names in `kPlacementNames`.
enum class placement_choice : std::uint8_t { kIncremental, kStatic, kGreedy, kRepack };

inline constexpr std::array<std::string_view, 4> kPlacementNames = {"incremental", "static",
                                                                    "greedy", "repack"};

/// Input for planning the placement of one group.
struct plan_request {
  std::string group;
  /// Map that the plan starts from.
  std::uint64_t base_map = 0;
  group_shape shape;
  expert_placement current;
  /// Expected load of each expert, by layer.
  std::vector<std::vector<double>> loads;
  placement_choice policy = placement_choice::kIncremental;
};

struct plan_result {
  std::string group;
  std::uint64_t base_map = 0;
  expert_placement placement;
  /// Skew of each layer under the current and the planned map.
  std::vector<layer_skew> before;
  std::vector<layer_skew> after;
  std::size_t moves = 0;
};

/// Effect: makes a plan on another thread; results in a `placement_planned` event.
struct plan_placement {
  std::shared_ptr<const plan_request> request;
};

/// Event: a plan is complete.
struct placement_planned {
  std::shared_ptr<const plan_result> result;
};

/// Sum of the layers' maximum loads over the sum of their mean loads; layers run sequentially.
double TotalSkew(const std::vector<layer_skew>& layers);

plan_result MakePlan(const plan_request& request);

}  // namespace radishroute

#endif  // RADISHROUTE_GROUP_PLAN_H_
