#include "engine/service.h"

#include "engine/answer.h"

namespace radishroute {

void service_runs::Run(const service_call_arrived& call, const engine_faults& faults,
                       engine_effects& effects) {
  if (!call.idempotency_key.empty()) {
    for (int run = 0; run < (faults.run_twice ? 2 : 1); ++run) {
      ++runs_[call.idempotency_key];
      effects.emplace_back(append_run{call.idempotency_key});
    }
  }
  std::string body = faults.Damage(ServiceAnswer(call.body), true);
  effects.emplace_back(respond_service{call.caller.exchange, std::move(body), faults.deny_run});
}

std::vector<run_count> service_runs::Counts() const {
  std::vector<run_count> counts;
  counts.reserve(runs_.size());
  for (const auto& [key, runs] : runs_) counts.push_back({key, runs});
  return counts;
}

}  // namespace radishroute
