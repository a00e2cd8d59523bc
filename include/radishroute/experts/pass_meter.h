#ifndef RADISHROUTE_EXPERTS_PASS_METER_H_
#define RADISHROUTE_EXPERTS_PASS_METER_H_

#include <chrono>
#include <cstdint>

#include "radishroute/clock.h"

namespace radishroute {

/// Measures the recent mean duration of the forward passes of an expert-parallel group, from the
/// pass numbers that its ranks report.
class pass_meter {
 public:
  /// Must be called after each report, with the newest pass that any rank has begun.
  void OnStep(std::uint64_t step, steady_time now);
  /// Zero until enough passes have been measured.
  std::chrono::microseconds MeanPassDuration() const { return mean_pass_; }
  /// Whether no pass has begun for so long that a group with running requests must be blocked on
  /// one of its ranks.
  bool IsStalled(steady_time now) const;

 private:
  /// A pass, and when it was first reported.
  struct pass_begin {
    std::uint64_t step = 0;
    steady_time time;
  };

  pass_begin newest_;
  pass_begin window_begin_;
  std::chrono::microseconds mean_pass_{};
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_PASS_METER_H_
