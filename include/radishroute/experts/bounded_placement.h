#ifndef RADISHROUTE_EXPERTS_BOUNDED_PLACEMENT_H_
#define RADISHROUTE_EXPERTS_BOUNDED_PLACEMENT_H_

#include <cstdint>
#include <vector>

#include "radishroute/placement.h"

namespace radishroute {

/// Balances the load of one layer with a bounded number of new experts on each rank, since engines
/// copy new experts into limited spare memory. Replaces empty slots and lightly loaded replicas
/// with replicas of hot experts.
struct bounded_placement {
  std::uint32_t max_new_per_rank = 1;
  /// Further bound for each rank, for example what is left of its copies over all layers; empty for
  /// none.
  std::vector<std::uint32_t> allowance = {};
  /// Minimum share by which each change must lower the sum of squared rank loads.
  double min_gain = 0.01;

  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

/// Plans all layers with at most `max_copies` new experts on each rank over all of them. Layers
/// with the highest skew come first.
expert_placement PlanLayers(const group_shape& shape, const expert_placement& current,
                            const std::vector<std::vector<double>>& loads,
                            std::uint32_t max_new_per_rank, std::uint32_t max_copies);

static_assert(placement_policy<bounded_placement>);

/// Mean over all layers of the ratio of the highest to the mean rank load.
double MeanSkew(const group_shape& shape, const expert_placement& placement,
                const std::vector<std::vector<double>>& loads);

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_BOUNDED_PLACEMENT_H_
