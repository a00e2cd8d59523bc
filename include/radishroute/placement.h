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

/// Size of an expert-parallel group. Every rank has `slots_per_rank` expert slots in each layer.
struct group_shape {
  std::uint32_t ranks = 0;
  std::uint32_t experts = 0;
  std::uint32_t layers = 0;
  std::uint32_t slots_per_rank = 0;

  std::uint32_t Slots() const { return ranks * slots_per_rank; }
};

inline constexpr std::uint16_t kNoExpert = std::numeric_limits<std::uint16_t>::max();

/// Which expert each slot of one layer holds; slot = rank * slots_per_rank + position. An expert
/// may have replicas on several ranks, at most one on each; tokens are spread evenly over them.
struct layer_placement {
  std::vector<std::uint16_t> slots;
};

/// Expert map of a whole group.
struct expert_placement {
  std::vector<layer_placement> layers;
};

/// Tokens that each expert of a layer was chosen for, per unit of time.
using expert_load = std::span<const double>;

/// One copy of an expert's weights to a slot.
struct expert_move {
  std::uint32_t layer = 0;
  std::uint32_t slot = 0;
  std::uint16_t expert = kNoExpert;
};

/// Skew of one layer.
struct layer_skew {
  double max_load = 0;
  double mean_load = 0;
  /// No placement with these slots can have a lower maximum.
  double lower_bound = 0;

  double Ratio() const { return mean_load > 0 ? max_load / mean_load : 1; }
};

/// A way to choose the next placement of one layer.
template <class T>
concept placement_policy = requires(const T& policy, const group_shape& shape,
                                    const layer_placement& current, expert_load load) {
  { policy.Plan(shape, current, load) } -> std::same_as<layer_placement>;
};

/// Even placement for a new group: experts in order, spare slots hold replicas of the first ones.
expert_placement InitialPlacement(const group_shape& shape);

/// True if every expert has a replica and no rank holds two of the same expert.
bool IsValid(const group_shape& shape, const layer_placement& placement);

layer_skew MeasureSkew(const group_shape& shape, const layer_placement& placement,
                       expert_load load);

/// Copies that turn `from` into `to`. Slots of a rank are interchangeable, so an expert that stays
/// on its rank costs nothing.
std::vector<expert_move> FindMoves(const group_shape& shape, std::uint32_t layer,
                                   const layer_placement& from, const layer_placement& to);

/// Keeps the placement. Baseline.
struct static_placement {
  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

/// Packs all replicas anew, longest first. Baseline.
struct full_repack {
  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

/// Gives the hottest expert of the hottest rank one more replica on the coldest rank until that
/// no longer helps. Baseline.
struct greedy_replication {
  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

/// Changes as few slots as bring the skew below a target, and nothing while it is below a trigger.
struct incremental_placement {
  /// Below this ratio of maximum to mean nothing is moved (hysteresis).
  double trigger = 1.03;
  /// Moves end at this ratio, or at the lower bound times it.
  double target = 1.015;
  /// Above this ratio the numbers of replicas are first adjusted all at once.
  double large_skew = 1.25;
  /// Copies per layer and plan after that.
  std::uint32_t max_moves = 256;
  /// A copy must lower the load of the hottest rank by this share of the mean load.
  double min_gain = 0.001;

  layer_placement Plan(const group_shape& shape, const layer_placement& current,
                       expert_load load) const;
};

static_assert(placement_policy<static_placement>);
static_assert(placement_policy<full_repack>);
static_assert(placement_policy<greedy_replication>);
static_assert(placement_policy<incremental_placement>);

/// Forecast of expert loads from counts that arrive late: exponential average plus trend.
class load_forecast {
 public:
  load_forecast(std::size_t experts, std::chrono::milliseconds half_life);

  /// Adds counts of an interval; `age` is how long ago the interval ended.
  void Add(std::span<const std::uint32_t> counts, std::chrono::milliseconds interval,
           std::chrono::milliseconds age);

  /// Expected load per second, `ahead` after the last counts arrived.
  std::vector<double> Predict(std::chrono::milliseconds ahead) const;

 private:
  std::chrono::milliseconds half_life_;
  std::vector<double> level_;
  std::vector<double> trend_;
  std::chrono::milliseconds age_{};
  bool empty_ = true;
};

/// Cost and benefit of a plan, to decide whether it is carried out.
struct plan_evaluation {
  std::uint64_t bytes = 0;
  /// Time that every step saves.
  std::chrono::nanoseconds saved_per_step{};
  /// Steps after which the time saved exceeds the time that the copies slow steps down.
  std::uint64_t steps_to_pay_back = 0;
};

/// Rate of the weight store and what a copy costs the steps that run meanwhile.
struct copy_cost {
  std::uint64_t bytes_per_expert = 0;
  std::uint64_t bytes_per_second = 1;
  /// Share by which copying slows down steps.
  double slowdown = 0.02;
};

plan_evaluation EvaluatePlan(const group_shape& shape, std::span<const layer_skew> before,
                             std::span<const layer_skew> after, std::size_t moves,
                             std::chrono::nanoseconds step_time, const copy_cost& cost);

}  // namespace radishroute

#endif  // RADISHROUTE_PLACEMENT_H_
