#ifndef RADISHROUTE_GROUP_SETTINGS_H_
#define RADISHROUTE_GROUP_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "radishroute/expert_map.h"
#include "radishroute/group_plan.h"
#include "radishroute/placement.h"

namespace radishroute {

/// Settings of the leader for expert-parallel groups.
struct group_settings {
  horizon_settings horizon;
  placement_choice policy = placement_choice::kIncremental;
  copy_cost cost{std::uint64_t{20} << 20, std::uint64_t{10} << 30, 0.02};
  /// Half-life of the exponential average in the forecast.
  std::chrono::milliseconds half_life{60000};
  /// A plan is rejected unless it recovers its migration cost within this many steps.
  std::uint64_t pay_back_steps = 15000;
};

/// Membership of a backend server in an expert-parallel group.
struct group_membership {
  /// Empty if the backend server is not a rank of a group.
  std::string group;
  std::uint32_t rank = 0;
  group_shape shape;
};

}  // namespace radishroute

#endif  // RADISHROUTE_GROUP_SETTINGS_H_
