#ifndef RADISHROUTE_ENGINE_HEALTH_H_
#define RADISHROUTE_ENGINE_HEALTH_H_

#include <chrono>
#include <cstdint>
#include <optional>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Times of the supervision of a backend server by its agent.
struct engine_health_limits {
  /// A server that sends nothing is probed this often.
  std::chrono::milliseconds idle_interval{5000};
  /// A server that has work and sends nothing is probed this often.
  std::chrono::milliseconds busy_interval{1000};
  /// A probe without an answer counts as failed after this time.
  std::chrono::milliseconds probe_timeout{1000};
  std::chrono::milliseconds first_retry{100};
  std::chrono::milliseconds longest_retry{2000};
};

/// Whether the backend server beside this agent answers, learned from its answers and from probes.
class engine_health {
 public:
  explicit engine_health(engine_health_limits limits = {}) : limits_(limits) {}

  /// Sends the first probe.
  void Start(reduce_context& ctx);

  /// The server sent something.
  void OnActivity(steady_time now) { last_sign_ = now; }

  /// The first work was handed to an idle server, or the last one ended.
  void OnBusy(reduce_context& ctx);
  void OnIdle() { busy_since_.reset(); }

  /// A call failed; a probe follows at once. A probe in progress is kept unless `restart`.
  void OnTrouble(bool restart, reduce_context& ctx);

  /// Returns the result if this is the newest probe.
  std::optional<bool> OnProbe(const engine_probe_done& done, reduce_context& ctx);

  /// True if a probe has just timed out.
  bool OnTimer(reduce_context& ctx);

  void ScheduleNext(reduce_context& ctx) const;

  bool Down() const { return status_ == status::kDown; }
  bool Probing() const { return probe_sent_.has_value(); }

 private:
  enum class status : std::uint8_t { kUnknown, kUp, kDown };

  void Probe(reduce_context& ctx);
  steady_time NextProbe() const;
  void SetStatus(bool up, reduce_context& ctx);

  engine_health_limits limits_;
  status status_ = status::kUnknown;
  steady_time last_sign_;
  steady_time next_probe_;
  std::optional<steady_time> busy_since_;
  std::optional<steady_time> probe_sent_;
  std::uint64_t probe_number_ = 0;
  std::uint32_t failures_ = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_HEALTH_H_
