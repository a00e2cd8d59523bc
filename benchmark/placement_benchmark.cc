// Compares placement policies over a day of drifting expert popularity, and measures planning time.
// Usage: placement_benchmark [seed] [slots per rank]

#include <algorithm>
#include <chrono>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <numeric>
#include <random>
#include <string>
#include <vector>

#include "radishroute/placement.h"

namespace radishroute {
namespace {

constexpr std::uint32_t kIntervals = 288;  // one day of 5-minute intervals
constexpr double kTokensPerInterval = 1e6;

/// Expert popularity: Zipf by rank order, with a slowly moving order and one sudden shift at noon.
class popularity {
 public:
  popularity(std::uint32_t experts, std::uint64_t seed) : random_(seed), order_(experts) {
    std::iota(order_.begin(), order_.end(), 0);
    std::shuffle(order_.begin(), order_.end(), random_);
  }

  void Advance(std::uint32_t interval) {
    if (interval == kIntervals / 2) {
      std::shuffle(order_.begin(), order_.begin() + order_.size() / 8, random_);
    }
    // About 1% of the experts change places with a neighbour in each interval.
    for (std::size_t i = 0; i < order_.size() / 100 + 1; ++i) {
      std::size_t at = random_() % (order_.size() - 1);
      std::swap(order_[at], order_[at + 1]);
    }
  }

  std::vector<double> Loads() {
    std::vector<double> loads(order_.size());
    double sum = 0;
    for (std::size_t i = 0; i < order_.size(); ++i) {
      std::normal_distribution<double> noise(1.0, 0.02);
      // Exponent 0.6: the hottest of 256 experts gets about 4.5% of the tokens.
      loads[order_[i]] = std::pow(static_cast<double>(i + 1), -0.6) * noise(random_);
      sum += loads[order_[i]];
    }
    for (double& load : loads) load *= kTokensPerInterval / sum;
    return loads;
  }

 private:
  std::mt19937_64 random_;
  std::vector<std::size_t> order_;
};

struct day_result {
  double mean_ratio = 0;
  double worst_ratio = 0;
  double mean_bound = 0;
  std::size_t moves = 0;
  std::uint32_t plans = 0;
  std::chrono::microseconds slowest_plan{};
};

template <placement_policy P>
day_result RunDay(const P& policy, const group_shape& shape, std::uint64_t seed) {
  std::vector<popularity> layers;
  for (std::uint32_t l = 0; l < shape.layers; ++l) layers.emplace_back(shape.experts, seed + l);
  expert_placement placement = InitialPlacement(shape);
  std::vector<load_forecast> forecasts(shape.layers,
                                       load_forecast(shape.experts, std::chrono::minutes(5)));
  day_result result;
  std::size_t samples = 0;
  for (std::uint32_t interval = 0; interval < kIntervals; ++interval) {
    std::chrono::microseconds planning{};
    std::size_t moves = 0;
    for (std::uint32_t l = 0; l < shape.layers; ++l) {
      layers[l].Advance(interval);
      std::vector<double> load = layers[l].Loads();
      // The counts are those of the interval before the one that the plan is used in.
      layer_skew skew = MeasureSkew(shape, placement.layers[l], load);
      if (interval > 0) {
        result.mean_ratio += skew.Ratio();
        result.worst_ratio = std::max(result.worst_ratio, skew.Ratio());
        result.mean_bound += skew.lower_bound / skew.mean_load;
        ++samples;
      }
      std::vector<std::uint32_t> counts(load.size());
      for (std::size_t i = 0; i < load.size(); ++i) {
        counts[i] = static_cast<std::uint32_t>(load[i]);
      }
      forecasts[l].Add(counts, std::chrono::minutes(5), std::chrono::seconds(2));
      std::vector<double> expected = forecasts[l].Predict(std::chrono::minutes(2));
      auto started = std::chrono::steady_clock::now();
      layer_placement next = policy.Plan(shape, placement.layers[l], expected);
      planning += std::chrono::duration_cast<std::chrono::microseconds>(
          std::chrono::steady_clock::now() - started);
      if (!IsValid(shape, next)) std::abort();
      moves += FindMoves(shape, l, placement.layers[l], next).size();
      placement.layers[l] = std::move(next);
    }
    result.moves += moves;
    result.plans += moves > 0 ? 1 : 0;
    result.slowest_plan = std::max(result.slowest_plan, planning);
  }
  result.mean_ratio /= static_cast<double>(samples);
  result.mean_bound /= static_cast<double>(samples);
  return result;
}

void Print(const char* name, const day_result& r) {
  std::printf(
      "%-12s max/mean %.3f (worst %.3f, bound %.3f)  copies %7zu in %3u plans  "
      "slowest plan %.1f ms\n",
      name, r.mean_ratio, r.worst_ratio, r.mean_bound, r.moves, r.plans,
      static_cast<double>(r.slowest_plan.count()) / 1000);
}

void Compare(const group_shape& shape, std::uint64_t seed) {
  std::printf("%u ranks, %u experts, %u layers, %u slots per rank, seed %llu\n", shape.ranks,
              shape.experts, shape.layers, shape.slots_per_rank,
              static_cast<unsigned long long>(seed));
  Print("static", RunDay(static_placement(), shape, seed));
  Print("greedy", RunDay(greedy_replication(), shape, seed));
  Print("full repack", RunDay(full_repack(), shape, seed));
  Print("incremental", RunDay(incremental_placement(), shape, seed));
}

}  // namespace
}  // namespace radishroute

int main(int argc, char** argv) {
  std::uint64_t seed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
  std::uint32_t slots = argc > 2 ? static_cast<std::uint32_t>(std::atoi(argv[2])) : 6;
  radishroute::Compare({8, 32, 16, slots}, seed);
  radishroute::Compare({64, 256, 64, slots}, seed);
  return 0;
}
