#ifndef RADISHROUTE_PLACEMENT_H_
#define RADISHROUTE_PLACEMENT_H_

#include <chrono>
#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <vector>

namespace radishroute {

/// Dimensions of an expert-parallel group. Every rank has `slots_per_rank` expert slots per layer.
struct group_shape {
  std::uint32_t ranks = 0;
  std::uint32_t experts = 0;
  std::uint32_t layers = 0;
  std::uint32_t slots_per_rank = 0;

  std::uint32_t Slots() const { return ranks * slots_per_rank; }
};

inline constexpr std::uint16_t kNoExpert = std::numeric_limits<std::uint16_t>::max();

/// The expert in each slot of one layer; slot = rank * slots_per_rank + index on the rank. An
/// expert may have replicas on several ranks, at most one per rank; its tokens are split evenly
/// among them.
struct layer_placement {
  std::vector<std::uint16_t> slots;
};

/// Expert map of a group: the placement of every layer.
struct expert_placement {
  std::vector<layer_placement> layers;
};

/// Tokens routed to each expert of a layer per unit of time.
using expert_load = std::span<const double>;

/// Copy of one expert's weights into a slot.
struct expert_move {
  std::uint32_t layer = 0;
  std::uint32_t slot = 0;
  std::uint16_t expert = kNoExpert;
};

/// Load imbalance of one layer: the load of the hottest rank and the mean over the ranks.
struct layer_skew {
  double max_load = 0;
  double mean_load = 0;
  /// Lowest maximum that any placement with this number of slots can reach.
  double lower_bound = 0;

  double Ratio() const { return mean_load > 0 ? max_load / mean_load : 1; }
};

/// Policy that chooses the next placement of one layer.
template <class T>
concept placement_policy = requires(const T& policy, const group_shape& shape,
                                    const layer_placement& current, expert_load load) {
  { policy.Plan(shape, current, load) } -> std::same_as<layer_placement>;
};

/// Placement of a new group: experts in order of their number; spare slots hold replicas of the
/// experts with the lowest numbers.
expert_placement InitialPlacement(const group_shape& shape);

/// True if every expert has a replica and no rank has two replicas of the same expert.
bool IsValid(const group_shape& shape, const layer_placement& placement);

layer_skew MeasureSkew(const group_shape& shape, const layer_placement& placement,
                       expert_load load);

/// Copies needed to get from `from` to `to`. Slots of a rank are interchangeable, so an expert that
/// stays on its rank needs no copy.
std::vector<expert_move> FindMoves(const group_shape& shape, std::uint32_t layer,
                                   const layer_placement& from, const layer_placement& to);

/// Baseline that never changes the placement.
struct static_placement {
  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

/// Baseline that packs all replicas from scratch, those with the highest load first.
struct full_repack {
  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

/// Baseline that repeatedly adds a replica of the hottest rank's hottest expert to the coldest
/// rank, until this no longer lowers the maximum load.
struct greedy_replication {
  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

/// Changes few slots: nothing while the skew is below `trigger`, otherwise one change at a time
/// until the skew reaches `target`.
struct incremental_placement {
  /// Below this ratio of the maximum to the mean load nothing is moved (hysteresis).
  double trigger = 1.03;
  /// Moves end when the maximum load is at most this many times the lower bound.
  double target = 1.015;
  /// Above this ratio, the replica counts of all experts are first adjusted in one pass.
  double large_skew = 1.25;
  /// Limit of copies per layer and plan, not counting the adjustment of replica counts.
  std::uint32_t max_moves = 256;
  /// Each copy must lower the load of the hottest rank by at least this fraction of the mean load.
  double min_gain = 0.001;

  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

static_assert(placement_policy<static_placement>);
static_assert(placement_policy<full_repack>);
static_assert(placement_policy<greedy_replication>);
static_assert(placement_policy<incremental_placement>);

/// Forecasts expert loads from delayed counts by an exponential moving average with a trend.
class load_forecast {
 public:
  load_forecast(std::size_t experts, std::chrono::milliseconds half_life);

  /// Adds the token counts of an interval that ended `age` ago.
  void Add(std::span<const std::uint32_t> counts, std::chrono::milliseconds interval,
           std::chrono::milliseconds age);

  /// Expected load per second at `ahead` after the latest counts were added.
  std::vector<double> Predict(std::chrono::milliseconds ahead) const;

 private:
  std::chrono::milliseconds half_life_;
  std::vector<double> level_;
  std::vector<double> trend_;
  std::chrono::milliseconds age_{};
  bool empty_ = true;
};

/// Migration cost and benefit of a plan, which decide whether it is carried out.
struct plan_evaluation {
  std::uint64_t bytes = 0;
  /// Time by which each step becomes shorter.
  std::chrono::nanoseconds saved_per_step{};
  /// Number of steps after which the saved time exceeds the time lost to copying.
  std::uint64_t steps_to_pay_back = 0;
};

/// Migration cost: size of an expert, rate of copying, and slowdown of steps during a copy.
struct copy_cost {
  std::uint64_t bytes_per_expert = 0;
  std::uint64_t bytes_per_second = 1;
  /// Fraction by which steps slow down while weights are copied.
  double slowdown = 0.02;
};

plan_evaluation EvaluatePlan(const group_shape& shape, std::span<const layer_skew> before,
                             std::span<const layer_skew> after, std::size_t moves,
                             std::chrono::nanoseconds step_time, const copy_cost& cost);

}  // namespace radishroute

#endif  // RADISHROUTE_PLACEMENT_H_
