#include "radishroute/experts/pass_meter.h"

#include <catch2/catch.hpp>
#include <random>

namespace radishroute {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

}  // namespace

// Guards against a measured duration that jumps with the number of whole passes in a window:
// admission depends on it, and would alternately admit and refuse requests under constant load.
TEST_CASE("the measured pass duration is steady under constant load") {
  constexpr microseconds kPass{85000};
  constexpr int kRanks = 63;
  constexpr milliseconds kReadInterval{125};
  steady_time begin{std::chrono::hours(1)};
  std::mt19937_64 random(3);
  std::uniform_int_distribution<int> delay(0, 4000);
  pass_meter meter;
  std::uint64_t newest = 0;
  for (int i = 0; i < 3000; ++i) {
    // Each rank is read in turn, at its own time within the interval.
    auto read_at = kReadInterval * (i / kRanks) + kReadInterval * (i % kRanks) / kRanks;
    auto step = static_cast<std::uint64_t>(read_at / kPass) + 1;
    newest = std::max(newest, step);
    meter.OnStep(newest, begin + read_at + microseconds(delay(random)));
    if (read_at < milliseconds(1500)) continue;
    auto pass = static_cast<double>(meter.MeanPassDuration().count());
    REQUIRE(pass == Approx(static_cast<double>(kPass.count())).epsilon(0.03));
  }
}

// Guards against counting the pause of a stalled group as one long pass.
TEST_CASE("a pause is not measured as a pass") {
  steady_time now{std::chrono::hours(1)};
  pass_meter meter;
  std::uint64_t step = 0;
  for (int i = 0; i < 20; ++i) meter.OnStep(++step, now += milliseconds(50));
  now += std::chrono::seconds(3);
  for (int i = 0; i < 8; ++i) meter.OnStep(++step, now += milliseconds(50));
  CHECK(meter.MeanPassDuration() == milliseconds(50));
}

// Guards against sending requests to a group that is blocked on a frozen rank, where they would
// wait until they time out.
TEST_CASE("a group without new passes is stalled until the next pass") {
  steady_time now{std::chrono::hours(1)};
  pass_meter meter;
  CHECK_FALSE(meter.IsStalled(now));
  for (std::uint64_t step = 1; step <= 10; ++step) meter.OnStep(step, now += milliseconds(130));
  CHECK_FALSE(meter.IsStalled(now + milliseconds(400)));
  now += milliseconds(700);
  meter.OnStep(10, now);
  CHECK(meter.IsStalled(now));
  meter.OnStep(11, now);
  CHECK_FALSE(meter.IsStalled(now));
}

// Guards against measuring from steps of an earlier incarnation of the group, which are higher than
// the first steps of the new one.
TEST_CASE("a restarted group is measured from its first pass") {
  steady_time now{std::chrono::hours(1)};
  pass_meter meter;
  std::uint64_t step = 1000;
  for (int i = 0; i < 20; ++i) meter.OnStep(++step, now += milliseconds(50));
  step = 0;
  for (int i = 0; i < 20; ++i) meter.OnStep(++step, now += milliseconds(70));
  CHECK(meter.MeanPassDuration() == milliseconds(70));
}

}  // namespace radishroute
