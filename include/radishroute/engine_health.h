#ifndef RADISHROUTE_ENGINE_HEALTH_H_
#define RADISHROUTE_ENGINE_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Intervals and timeouts of an agent's health checks of its backend server.
struct engine_health_limits {
  /// Probe interval of an idle server that sends nothing.
  std::chrono::milliseconds idle_interval{5000};
  /// Probe interval of a server that has work and sends nothing.
  std::chrono::milliseconds busy_interval{1000};
  /// A probe fails if it is not answered within this time.
  std::chrono::milliseconds probe_timeout{1000};
  std::chrono::milliseconds min_retry_delay{100};
  std::chrono::milliseconds max_retry_delay{2000};
};

/// Tracks whether this agent's backend server responds, from its answers and from probes.
class engine_health {
 public:
  explicit engine_health(engine_health_limits limits = {}) : limits_(limits) {}

  /// Sends the first probe.
  void Start(reduce_context& ctx);

  /// Called when the server has sent something.
  void OnActivity(steady_time now) { last_activity_ = now; }

  /// Called when an idle server receives work, and when its last work ends.
  void OnBusy(reduce_context& ctx);
  void OnIdle() { busy_since_.reset(); }

  /// Probes at once after a failed call. A probe in progress is kept unless `restart` is set.
  void RequestProbe(bool restart, reduce_context& ctx);

  /// Returns whether the probe was answered; empty if it is not the latest one.
  std::optional<bool> OnProbeResult(const engine_probe_done& done, reduce_context& ctx);

  /// Returns true if a probe has just timed out.
  bool OnTimer(reduce_context& ctx);

  void ScheduleNext(reduce_context& ctx) const;

  bool IsDown() const { return status_ == status::kDown; }
  bool ProbeInProgress() const { return probe_sent_.has_value(); }

 private:
  enum class status : std::uint8_t { kUnknown, kUp, kDown };

  void SendProbe(reduce_context& ctx);
  steady_time NextProbeTime() const;
  void SetStatus(bool up, reduce_context& ctx);

  engine_health_limits limits_;
  status status_ = status::kUnknown;
  steady_time last_activity_;
  steady_time next_probe_;
  std::optional<steady_time> busy_since_;
  std::optional<steady_time> probe_sent_;
  std::uint64_t probe_number_ = 0;
  std::uint32_t failures_ = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_HEALTH_H_
