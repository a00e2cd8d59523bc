#include "engine/model.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

template <class T>
concept called = requires(const T& e) {
  { e.caller } -> std::convertible_to<engine_caller>;
};

template <class T>
concept answers = requires(const T& e) {
  { e.exchange } -> std::convertible_to<exchange_id>;
};

}  // namespace

void engine_model::Reduce(const engine_event& e, steady_time now, engine_effects& effects) {
  if (!Admit(e)) return;
  bool fault = std::holds_alternative<fault_injected>(e);
  if (now < faults_.stalled_until && !fault) {
    held_.push_back(e);
    effects.emplace_back(engine_wakeup{faults_.stalled_until});
    return;
  }
  if (!fault) RunHeld(now, effects);
  Dispatch(e, now, effects);
  RecordLoad(now);
  RemoveSilenced(effects);
}

void engine_model::Dispatch(const engine_event& e, steady_time now, engine_effects& effects) {
  std::visit([&](const auto& specific) { Handle(specific, now, effects); }, e);
}

bool engine_model::Admit(const engine_event& e) {
  return std::visit(
      [this]<class T>(const T& specific) {
        if constexpr (called<T>) {
          if (specific.caller.connection <= faults_.silent_connections &&
              faults_.silent_connections != 0) {
            return false;
          }
          newest_.connection = std::max(newest_.connection, specific.caller.connection);
          newest_.exchange = std::max(newest_.exchange, specific.caller.exchange);
        }
        return true;
      },
      e);
}

void engine_model::RemoveSilenced(engine_effects& effects) const {
  if (faults_.silent_exchanges == 0) return;
  std::erase_if(effects, [this](const engine_effect& effect) {
    return std::visit(
        [this]<class T>(const T& specific) {
          if constexpr (answers<T>) return specific.exchange.value <= faults_.silent_exchanges;
          return false;
        },
        effect);
  });
}

void engine_model::RunHeld(steady_time now, engine_effects& effects) {
  std::vector<engine_event> held = std::exchange(held_, {});
  for (const engine_event& e : held) Dispatch(e, now, effects);
}

void engine_model::EmitAt(steady_time at, engine_effect effect, engine_effects& effects) {
  delayed_.emplace(at, std::move(effect));
  effects.emplace_back(engine_wakeup{at});
}

void engine_model::Handle(const engine_request_arrived& e, steady_time now,
                          engine_effects& effects) {
  if (!orders_.Serves(engine_answer(e.body).Model())) {
    effects.emplace_back(respond_unknown_model{e.caller.exchange});
    return;
  }
  batch_.Add(e);
  batch_.Advance(now, faults_, cache_, effects);
}

void engine_model::Handle(const service_call_arrived& e, steady_time now, engine_effects& effects) {
  service_.Run(e, faults_, effects);
  if (settings_.service_time.count() == 0) return;
  engine_effect response = std::move(effects.back());
  effects.pop_back();
  // One call at a time, so that the service has a capacity.
  service_busy_until_ =
      std::max(service_busy_until_, now) + settings_.service_time * faults_.slow_factor;
  EmitAt(service_busy_until_, std::move(response), effects);
}

void engine_model::Handle(const order_arrived& e, steady_time, engine_effects& effects) {
  orders_.Arrived(e, effects);
}

void engine_model::Handle(const weights_arrived& e, steady_time, engine_effects& effects) {
  orders_.Arrived(e, effects);
}

void engine_model::Handle(const weights_asked& e, steady_time now, engine_effects& effects) {
  auto seconds = std::chrono::duration<double>(
      static_cast<double>(e.bytes) / static_cast<double>(settings_.weight_bytes_per_second));
  weights_busy_until_ = std::max(weights_busy_until_, now) +
                        std::chrono::duration_cast<steady_time::duration>(seconds);
  EmitAt(weights_busy_until_, respond_weights{e.caller.exchange, e.bytes}, effects);
}

void engine_model::Handle(const load_asked& e, steady_time now, engine_effects& effects) {
  engine_load load;
  load.max_batch = settings_.speed.max_batch;
  for (const dated_load& past : loads_) {
    if (past.at + settings_.load_lag <= now) load = past.load;
  }
  effects.emplace_back(respond_load{e.caller.exchange, load});
}

void engine_model::Handle(const cache_events_asked& e, steady_time now, engine_effects& effects) {
  effects.emplace_back(
      respond_cache_events{e.caller.exchange, cache_.EventsAfter(e.after_sequence, now)});
}

void engine_model::Handle(const kv_export_asked& e, steady_time, engine_effects& effects) {
  std::vector<std::uint64_t> blocks = prefix_cache::BlocksOf(e.prompt);
  blocks.resize(cache_.Hits(blocks));
  effects.emplace_back(respond_kv_blocks{e.caller.exchange, std::move(blocks)});
}

void engine_model::Handle(const kv_import_asked& e, steady_time now, engine_effects& effects) {
  cache_.Store(e.blocks, now);
  effects.emplace_back(respond_kv_blocks{e.caller.exchange, e.blocks});
}

void engine_model::Handle(const runs_asked& e, steady_time, engine_effects& effects) {
  effects.emplace_back(respond_runs{e.caller.exchange, service_.Counts()});
}

void engine_model::Handle(const fault_injected& e, steady_time now, engine_effects& effects) {
  faults_.Inject(e.fault, e.value, now, newest_);
  // Exchange 0 stands for the command line.
  if (e.exchange.value != 0) effects.emplace_back(respond_fault_set{e.exchange});
  // The timer of a step or of held events may be later than the end of the stall.
  effects.emplace_back(engine_wakeup{std::max(now, faults_.stalled_until)});
}

void engine_model::Handle(const engine_caller_gone& e, steady_time, engine_effects&) {
  batch_.Cancel(e.exchange);
}

void engine_model::Handle(const engine_timer_expired&, steady_time now, engine_effects& effects) {
  auto due = delayed_.upper_bound(now);
  for (auto it = delayed_.begin(); it != due; ++it) effects.push_back(std::move(it->second));
  delayed_.erase(delayed_.begin(), due);
  batch_.Advance(now, faults_, cache_, effects);
  if (!delayed_.empty()) effects.emplace_back(engine_wakeup{delayed_.begin()->first});
}

void engine_model::RecordLoad(steady_time now) {
  loads_.push_back({now, batch_.Load(cache_)});
  // The newest load that is old enough to be reported stays at the front.
  while (loads_.size() > 1 && loads_[1].at + settings_.load_lag <= now) loads_.pop_front();
}

}  // namespace radishroute
