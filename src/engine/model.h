#ifndef RADISHROUTE_ENGINE_MODEL_H_
#define RADISHROUTE_ENGINE_MODEL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "engine/batch.h"
#include "engine/event.h"
#include "engine/faults.h"
#include "engine/orders.h"
#include "engine/prefix_cache.h"
#include "engine/service.h"

namespace radishroute {

struct engine_settings {
  engine_speed speed;
  prefix_cache_limits cache;
  /// Age of the load that GET /v1/load reports.
  std::chrono::milliseconds load_lag{0};
  bool checks_fencing = true;
  /// Models served at the start; empty for any.
  std::set<std::string> models;
  /// Duration of one call of a plain service.
  std::chrono::microseconds service_time{0};
  /// Rate of the weight store, shared by all transfers.
  std::uint64_t weight_bytes_per_second = 1'000'000'000;
  engine_faults faults;
};

/// State of a stand-in and its only entry point.
class engine_model {
 public:
  explicit engine_model(engine_settings settings)
      : settings_(std::move(settings)),
        batch_(settings_.speed),
        cache_(settings_.cache),
        orders_(settings_.checks_fencing, settings_.models),
        faults_(settings_.faults) {}

  void Reduce(const engine_event& e, steady_time now, engine_effects& effects);

  /// Adds a run that an earlier life of the process recorded.
  void RestoreRun(const std::string& idempotency_key) { service_.Restore(idempotency_key); }

 private:
  struct dated_load {
    steady_time at;
    engine_load load;
  };

  void Dispatch(const engine_event& e, steady_time now, engine_effects& effects);
  void Handle(const engine_request_arrived& e, steady_time now, engine_effects& effects);
  void Handle(const service_call_arrived& e, steady_time now, engine_effects& effects);
  void Handle(const order_arrived& e, steady_time now, engine_effects& effects);
  void Handle(const weights_arrived& e, steady_time now, engine_effects& effects);
  void Handle(const weights_asked& e, steady_time now, engine_effects& effects);
  void Handle(const load_asked& e, steady_time now, engine_effects& effects);
  void Handle(const cache_events_asked& e, steady_time now, engine_effects& effects);
  void Handle(const kv_export_asked& e, steady_time now, engine_effects& effects);
  void Handle(const kv_import_asked& e, steady_time now, engine_effects& effects);
  void Handle(const runs_asked& e, steady_time now, engine_effects& effects);
  void Handle(const fault_injected& e, steady_time now, engine_effects& effects);
  void Handle(const engine_caller_gone& e, steady_time now, engine_effects& effects);
  void Handle(const engine_timer_expired& e, steady_time now, engine_effects& effects);

  /// False for a request on a connection that a fault has silenced.
  bool Admit(const engine_event& e);
  void EmitAt(steady_time at, engine_effect effect, engine_effects& effects);
  void RunHeld(steady_time now, engine_effects& effects);
  void RecordLoad(steady_time now);
  void RemoveSilenced(engine_effects& effects) const;

  engine_settings settings_;
  batch batch_;
  prefix_cache cache_;
  order_book orders_;
  service_runs service_;
  engine_faults faults_;
  engine_caller newest_;
  /// Events that wait for the end of a stall.
  std::vector<engine_event> held_;
  std::multimap<steady_time, engine_effect> delayed_;
  std::deque<dated_load> loads_;
  steady_time weights_busy_until_;
  steady_time service_busy_until_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_MODEL_H_
