#ifndef RADISHROUTE_CLOCK_H_
#define RADISHROUTE_CLOCK_H_

#include <chrono>
#include <concepts>

namespace radishroute {

/// Monotonic time; used for every timeout, lease and latency.
using steady_time = std::chrono::steady_clock::time_point;

/// Wall-clock time; used only for times that leave the process (idempotency keys, log lines).
using wall_time = std::chrono::system_clock::time_point;

/// Source of the current time.
template <class T>
concept clock_source = requires(const T& clock) {
  { clock.Now() } -> std::same_as<steady_time>;
  { clock.WallNow() } -> std::same_as<wall_time>;
};

/// Reads the operating system's clocks.
struct system_clock_source {
  steady_time Now() const { return std::chrono::steady_clock::now(); }
  wall_time WallNow() const { return std::chrono::system_clock::now(); }
};

/// A clock that advances only by `Advance`; for tests and for embedding in another scheduler.
class manual_clock {
 public:
  explicit manual_clock(steady_time now = steady_time(std::chrono::hours(1)),
                        wall_time wall = wall_time(std::chrono::hours(24 * 365 * 56)))
      : now_(now), wall_(wall) {}

  steady_time Now() const { return now_; }
  wall_time WallNow() const { return wall_; }

  void Advance(std::chrono::nanoseconds by) {
    now_ += by;
    wall_ += std::chrono::duration_cast<wall_time::duration>(by);
  }

 private:
  steady_time now_;
  wall_time wall_;
};

static_assert(clock_source<system_clock_source>);
static_assert(clock_source<manual_clock>);

}  // namespace radishroute

#endif  // RADISHROUTE_CLOCK_H_
