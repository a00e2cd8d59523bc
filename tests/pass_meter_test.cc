#include "radishroute/experts/pass_meter.h"

#include <catch2/catch.hpp>
#include <random>

namespace radishroute {

namespace {

using std::chrono::microseconds;
using std::chrono::milliseconds;

}  // namespace

// Guards against a duration that jumps with the number of whole passes in a window: admission
// follows it, and would admit and refuse by turns under constant load.
TEST_CASE("the duration of passes is steady under steady load") {
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
    auto pass = static_cast<double>(meter.Pass().count());
    REQUIRE(pass == Approx(static_cast<double>(kPass.count())).epsilon(0.03));
  }
}

// Guards against the pause of a stalled group that counts as one long pass.
TEST_CASE("a pause is no pass") {
  steady_time now{std::chrono::hours(1)};
  pass_meter meter;
  std::uint64_t step = 0;
  for (int i = 0; i < 20; ++i) meter.OnStep(++step, now += milliseconds(50));
  now += std::chrono::seconds(3);
  for (int i = 0; i < 8; ++i) meter.OnStep(++step, now += milliseconds(50));
  CHECK(meter.Pass() == milliseconds(50));
}

// Guards against requests that are sent into a group that waits for a frozen rank, where they wait
// until they are cut off.
TEST_CASE("a group without new passes is seen to be stalled until the next pass") {
  steady_time now{std::chrono::hours(1)};
  pass_meter meter;
  CHECK_FALSE(meter.Stalled(now));
  for (std::uint64_t step = 1; step <= 10; ++step) meter.OnStep(step, now += milliseconds(130));
  CHECK_FALSE(meter.Stalled(now + milliseconds(400)));
  now += milliseconds(700);
  meter.OnStep(10, now);
  CHECK(meter.Stalled(now));
  meter.OnStep(11, now);
  CHECK_FALSE(meter.Stalled(now));
}

// Guards against steps of a former life of the group, which are higher than those of the new one.
TEST_CASE("a restarted group is measured from its first pass") {
  steady_time now{std::chrono::hours(1)};
  pass_meter meter;
  std::uint64_t step = 1000;
  for (int i = 0; i < 20; ++i) meter.OnStep(++step, now += milliseconds(50));
  step = 0;
  for (int i = 0; i < 20; ++i) meter.OnStep(++step, now += milliseconds(70));
  CHECK(meter.Pass() == milliseconds(70));
}

}  // namespace radishroute
