#include "radishroute/experts/pass_meter.h"

namespace radishroute {

namespace {

// Long enough for several passes, short against the shifts of load.
constexpr std::chrono::milliseconds kWindow{400};

// Without a new pass for this time, the group was idle or stalled meanwhile.
constexpr std::chrono::milliseconds kIdleAfter{600};

// Several times the longest pass that meets the target of any stream; a rank that is missing stops
// the group for longer.
constexpr std::chrono::milliseconds kStalledAfter{500};

}  // namespace

// Ranks are read at different times, so the first word of a pass comes soon after it has begun. The
// time between two such moments has none of the error of a fixed window, in which only whole passes
// can be counted.
void pass_meter::OnStep(std::uint64_t step, steady_time now) {
  if (step == newest_.step) return;
  bool follows = step > newest_.step && now - newest_.at < kIdleAfter;
  newest_ = {step, now};
  if (!follows) {
    measured_ = newest_;
    return;
  }
  auto elapsed = std::chrono::duration_cast<std::chrono::microseconds>(now - measured_.at);
  if (elapsed < kWindow) return;
  pass_ = elapsed / static_cast<std::int64_t>(step - measured_.step);
  measured_ = newest_;
}

bool pass_meter::Stalled(steady_time now) const {
  return newest_.step != 0 && now - newest_.at > kStalledAfter;
}

}  // namespace radishroute
