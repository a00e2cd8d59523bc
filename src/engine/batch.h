#ifndef RADISHROUTE_ENGINE_BATCH_H_
#define RADISHROUTE_ENGINE_BATCH_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "engine/answer.h"
#include "engine/event.h"
#include "engine/faults.h"
#include "engine/prefix_cache.h"

namespace radishroute {

/// Speed and limits of an engine stand-in.
struct engine_speed {
  std::uint32_t max_batch = 16;
  /// Duration of a step that generates one token for each running request.
  std::chrono::microseconds step_base{2000};
  std::chrono::microseconds step_per_request{100};
  std::chrono::microseconds prefill_per_token{10};
};

/// Continuous batching: waiting requests join the batch between steps, most urgent first. A more
/// urgent request takes the place of a less urgent one, which waits and is prefilled again.
class batch {
 public:
  explicit batch(engine_speed speed) : speed_(speed) {}

  void Add(const engine_request_arrived& e);
  void Cancel(exchange_id exchange);

  /// Ends a step that is due and starts the next one.
  void Advance(steady_time now, engine_faults& faults, prefix_cache& cache,
               engine_effects& effects);

  engine_load Load(const prefix_cache& cache) const;

 private:
  struct request {
    engine_answer answer;
    std::vector<std::uint64_t> blocks;
    std::uint32_t priority = 0;
    std::uint32_t next_token = 0;
    /// Bytes of the answer that the caller already has.
    std::uint64_t skip_bytes = 0;
    bool begun = false;
    bool stalled = false;
    std::uint32_t drop_after = 0;
  };

  void EndStep(const engine_faults& faults, engine_effects& effects);
  void StartStep(steady_time now, engine_faults& faults, prefix_cache& cache,
                 engine_effects& effects);
  bool Preempt(std::uint32_t priority);
  std::chrono::microseconds Join(exchange_id exchange, request r, steady_time now,
                                 engine_faults& faults, prefix_cache& cache,
                                 engine_effects& effects);
  static bool Emit(exchange_id exchange, request& r, const engine_faults& faults,
                   engine_effects& effects);

  engine_speed speed_;
  std::map<std::uint32_t, std::deque<std::pair<exchange_id, request>>> waiting_;
  std::unordered_map<exchange_id, request> running_;
  bool stepping_ = false;
  steady_time step_ends_;
  std::chrono::microseconds step_{};
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_BATCH_H_
