#include "radishroute/placement.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "radishroute/experts/bounded_placement.h"

namespace radishroute {

namespace {

std::vector<double> ZipfLoad(std::uint32_t experts, std::uint64_t seed) {
  std::vector<double> load(experts);
  for (std::uint32_t i = 0; i < experts; ++i) load[i] = std::pow(i + 1.0, -0.6);
  std::mt19937_64 random(seed);
  std::shuffle(load.begin(), load.end(), random);
  return load;
}

template <placement_policy P>
void CheckPlan(const P& policy, const group_shape& shape, const std::vector<double>& load) {
  layer_placement current = InitialPlacement(shape).layers.front();
  layer_placement next = policy.Plan(shape, current, load);
  REQUIRE(IsValid(shape, next));
  CHECK(MeasureSkew(shape, next, load).max_load <= MeasureSkew(shape, current, load).max_load);
}

}  // namespace

// Guards against an initial placement that omits an expert or has it twice on a rank.
TEST_CASE("initial placement is valid at all sizes") {
  for (std::uint32_t ranks : {2U, 7U, 8U, 64U}) {
    for (std::uint32_t slots : {4U, 5U, 6U}) {
      group_shape shape{ranks, ranks * 4, 1, slots};
      CHECK(IsValid(shape, InitialPlacement(shape).layers.front()));
    }
  }
}

// Guards against a plan that omits an expert or raises the load of the hottest rank.
TEST_CASE("plans are valid and never raise the maximum load") {
  std::uint64_t seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{11}));
  group_shape shape{16, 64, 1, 6};
  std::vector<double> load = ZipfLoad(shape.experts, seed);
  CheckPlan(static_placement(), shape, load);
  CheckPlan(greedy_replication(), shape, load);
  CheckPlan(full_repack(), shape, load);
  CheckPlan(incremental_placement(), shape, load);
}

// Guards against a plan whose maximum load exceeds 1.05 times the lower bound.
TEST_CASE("incremental plan reaches the target skew") {
  std::uint64_t seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{11}));
  group_shape shape{64, 256, 1, 6};
  std::vector<double> load = ZipfLoad(shape.experts, seed);
  layer_placement next =
      incremental_placement().Plan(shape, InitialPlacement(shape).layers.front(), load);
  layer_skew skew = MeasureSkew(shape, next, load);
  CHECK(skew.max_load <= 1.05 * skew.lower_bound);
}

// Guards against migration while the skew is below the trigger (hysteresis).
TEST_CASE("a balanced placement is not changed") {
  group_shape shape{8, 32, 1, 5};
  std::vector<double> load(shape.experts, 1.0);
  group_shape exact{8, 32, 1, 4};
  layer_placement current = InitialPlacement(exact).layers.front();
  layer_placement next = incremental_placement().Plan(exact, current, load);
  CHECK(FindMoves(exact, 0, current, next).empty());
}

// Guards against a forecast that is negative or ignores a rising load.
TEST_CASE("forecast follows a trend") {
  load_forecast forecast(2, std::chrono::seconds(10));
  for (std::uint32_t i = 0; i < 20; ++i) {
    std::vector<std::uint32_t> counts = {100 + 50 * i, i < 19 ? 100 - 5 * i : 0};
    forecast.Add(counts, std::chrono::seconds(10), std::chrono::seconds(0));
  }
  auto now = forecast.Predict(std::chrono::seconds(0));
  auto later = forecast.Predict(std::chrono::seconds(60));
  CHECK(later[0] > now[0]);
  CHECK(later[1] >= 0);
}

// Guards against carrying out a plan that never recovers its migration cost.
TEST_CASE("evaluation of a plan weighs migration cost against saved time") {
  group_shape shape{2, 4, 1, 2};
  std::vector<layer_skew> before = {{2.0, 1.0, 1.0}};
  std::vector<layer_skew> after = {{1.0, 1.0, 1.0}};
  copy_cost cost{1000, 1000, 0.1};
  auto value = EvaluatePlan(shape, before, after, 2, std::chrono::milliseconds(10), cost);
  CHECK(value.bytes == 2000);
  CHECK(value.saved_per_step == std::chrono::milliseconds(5));
  // Two seconds of copying at 10% slowdown cost 200 ms, which 40 steps of 5 ms save.
  CHECK(value.steps_to_pay_back == 40);
}

// Guards against a change of all layers that takes so long to copy that the demand for experts has
// moved on when it takes effect, and against one that spends its copies on balanced layers.
TEST_CASE("a plan over all layers keeps to the copies of each rank") {
  group_shape shape{24, 96, 16, 5};
  expert_placement current = InitialPlacement(shape);
  std::vector<std::vector<double>> loads;
  for (std::uint32_t i = 0; i < shape.layers; ++i) loads.push_back(ZipfLoad(shape.experts, i + 1));
  std::uint32_t max_copies = GENERATE(1, 3, 7, 80);
  expert_placement next = PlanLayers(shape, current, loads, 2, max_copies);
  std::vector<std::uint32_t> copies(shape.ranks, 0);
  for (std::uint32_t i = 0; i < shape.layers; ++i) {
    CHECK(IsValid(shape, next.layers[i]));
    for (const expert_move& move : FindMoves(shape, i, current.layers[i], next.layers[i])) {
      ++copies[move.slot / shape.slots_per_rank];
    }
  }
  CHECK(*std::max_element(copies.begin(), copies.end()) <= max_copies);
  CHECK(MeanSkew(shape, next, loads) < MeanSkew(shape, current, loads));
}

}  // namespace radishroute
