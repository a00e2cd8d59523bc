#include "radishroute/experts/pass_meter.h"

namespace radishroute {

namespace {

// Minimum time to measure over: several passes, but short compared with shifts of the load.
constexpr std::chrono::milliseconds kMinWindow{400};

// If no new pass was reported for this time, the group was idle or stalled in between.
constexpr std::chrono::milliseconds kIdleAfter{600};

// Several times the longest pass that meets any route's target gap; a missing rank stops the group
// for longer than this.
constexpr std::chrono::milliseconds kStalledAfter{500};

}  // namespace

// Ranks are read at different times, so the first report of a pass arrives soon after it has begun.
// Measuring between two such reports avoids the error of a fixed window, in which only whole passes
// can be counted.
void pass_meter::OnStep(std::uint64_t step, steady_time now) {
  if (step == newest_.step) return;
  bool continues = step > newest_.step && now - newest_.time < kIdleAfter;
  newest_ = {step, now};
  if (!continues) {
    window_begin_ = newest_;
    return;
  }
  auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - window_begin_.time);
  if (elapsed < kMinWindow) return;
  mean_pass_ = elapsed / static_cast<std::int64_t>(step - window_begin_.step);
  window_begin_ = newest_;
}

bool pass_meter::IsStalled(steady_time now) const {
  return newest_.step != 0 && now - newest_.time > kStalledAfter;
}

}  // namespace radishroute
