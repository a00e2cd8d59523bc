#ifndef RADISHROUTE_ENGINE_SERVICE_H_
#define RADISHROUTE_ENGINE_SERVICE_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "engine/event.h"
#include "engine/faults.h"

namespace radishroute {

/// A plain service that counts how often it ran each Idempotency-Key.
class service_runs {
 public:
  /// Adds runs of an earlier life of the process.
  void Restore(const std::string& idempotency_key) { ++runs_[idempotency_key]; }

  /// Runs a call. The response is the last effect.
  void Run(const service_call_arrived& call, const engine_faults& faults, engine_effects& effects);

  std::vector<run_count> Counts() const;

 private:
  std::map<std::string, std::uint64_t> runs_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_SERVICE_H_
