#ifndef RADISHROUTE_EXPERTS_BOUNDED_PLACEMENT_H_
#define RADISHROUTE_EXPERTS_BOUNDED_PLACEMENT_H_

#include <cstdint>

#include "radishroute/placement.h"

namespace radishroute {

/// Evens out one layer with a bounded number of new experts on each rank, as engines that copy
/// into spare memory allow. Adds replicas of hot experts in place of empty slots and of replicas
/// that carry little.
struct bounded_placement {
  std::uint32_t max_new_per_rank = 1;
  /// A change must lower the sum of squared loads by this share.
  double min_gain = 0.01;

  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

static_assert(placement_policy<bounded_placement>);

/// Mean over the layers of the highest rank load divided by the mean one.
double MeanSkew(const group_shape& shape, const expert_placement& placement,
                const std::vector<std::vector<double>>& loads);

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_BOUNDED_PLACEMENT_H_
