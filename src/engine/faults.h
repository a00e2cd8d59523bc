#ifndef RADISHROUTE_ENGINE_FAULTS_H_
#define RADISHROUTE_ENGINE_FAULTS_H_

#include <cstdint>
#include <string>

#include "engine/event.h"

namespace radishroute {

/// Faults in force in a stand-in.
struct engine_faults {
  /// A prompt that contains this text crashes the process; empty for none.
  std::string crash_on;
  steady_time stalled_until;
  bool stall_next_request = false;
  std::uint32_t drop_next_after = 0;
  std::uint32_t slow_factor = 1;
  bool corrupt = false;
  bool cut = false;
  bool run_twice = false;
  bool deny_run = false;
  /// Connections and exchanges up to these numbers are silent.
  std::uint64_t silent_connections = 0;
  std::uint64_t silent_exchanges = 0;

  void Inject(engine_fault fault, std::uint64_t value, steady_time now,
              const engine_caller& newest);

  /// Applies kCorrupt and kCut to the last bytes of an answer.
  std::string Damage(std::string bytes, bool last) const;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_FAULTS_H_
