#ifndef RADISHROUTE_EXPERTS_PASS_METER_H_
#define RADISHROUTE_EXPERTS_PASS_METER_H_

#include <chrono>
#include <cstdint>

#include "radishroute/clock.h"

namespace radishroute {

/// Mean duration of the passes of an expert group lately, from what its ranks report.
class pass_meter {
 public:
  /// To be called with the newest pass that any rank has begun, after each report.
  void OnStep(std::uint64_t step, steady_time now);
  /// Zero until it is known.
  std::chrono::microseconds Pass() const { return pass_; }
  /// No pass has begun for so long that a group with running requests must be waiting for a rank.
  bool Stalled(steady_time now) const;

 private:
  /// A pass, and when it was first heard of.
  struct pass_begin {
    std::uint64_t step = 0;
    steady_time at;
  };

  pass_begin newest_;
  pass_begin measured_;
  std::chrono::microseconds pass_{};
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_PASS_METER_H_
