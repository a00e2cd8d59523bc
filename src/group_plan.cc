#include "radishroute/group_plan.h"

#include <utility>

namespace radishroute {

namespace {

template <placement_policy P>
plan_result PlanWith(const plan_request& request, const P& policy) {
  plan_result result;
  result.group = request.group;
  result.base_map = request.base_map;
  for (std::uint32_t i = 0; i < request.shape.layers; ++i) {
    const layer_placement& current = request.current.layers[i];
    const std::vector<double>& load = request.loads[i];
    layer_placement next = policy.Plan(request.shape, current, load);
    result.before.push_back(MeasureSkew(request.shape, current, load));
    result.after.push_back(MeasureSkew(request.shape, next, load));
    result.moves += FindMoves(request.shape, i, current, next).size();
    result.placement.layers.push_back(std::move(next));
  }
  return result;
}

}  // namespace

double TotalSkew(const std::vector<layer_skew>& layers) {
  double highest = 0;
  double mean = 0;
  for (const layer_skew& layer : layers) {
    highest += layer.max_load;
    mean += layer.mean_load;
  }
  return mean > 0 ? highest / mean : 1;
}

plan_result MakePlan(const plan_request& request) {
  switch (request.policy) {
    case placement_choice::kStatic:
      return PlanWith(request, static_placement{});
    case placement_choice::kGreedy:
      return PlanWith(request, greedy_replication{});
    case placement_choice::kRepack:
      return PlanWith(request, full_repack{});
    case placement_choice::kIncremental:
      break;
  }
  return PlanWith(request, incremental_placement{});
}

}  // namespace radishroute
