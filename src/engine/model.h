#ifndef RADISHROUTE_ENGINE_MODEL_H_
#define RADISHROUTE_ENGINE_MODEL_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "engine/answer.h"
#include "radishroute/clock.h"
#include "radishroute/types.h"

namespace radishroute {

/// Speed and limits of an engine stand-in.
struct engine_speed {
  std::uint32_t max_batch = 16;
  /// Duration of a step that generates one token for each running request.
  std::chrono::microseconds step_base{2000};
  std::chrono::microseconds step_per_request{100};
  std::chrono::microseconds prefill_per_token{10};
};

struct engine_request_arrived {
  exchange_id exchange;
  std::uint32_t priority = 0;
  std::uint64_t resume_offset = 0;
  std::string body;
};

struct engine_caller_gone {
  exchange_id exchange;
};

struct engine_step_due {};

/// Everything that can happen to an engine stand-in.
using engine_event = std::variant<engine_request_arrived, engine_caller_gone, engine_step_due>;

struct engine_begin {
  exchange_id exchange;
  std::string content_type;
  /// Length of a plain answer; 0 for a stream.
  std::size_t length = 0;
};

struct engine_bytes {
  exchange_id exchange;
  std::string bytes;
};

struct engine_end {
  exchange_id exchange;
};

struct engine_wakeup {
  steady_time at;
};

using engine_effect = std::variant<engine_begin, engine_bytes, engine_end, engine_wakeup>;

/// Continuous batching: waiting requests join the batch between steps, most urgent first.
class engine_model {
 public:
  explicit engine_model(engine_speed speed) : speed_(speed) {}

  void Reduce(const engine_event& e, steady_time now, std::vector<engine_effect>& effects);

 private:
  struct running_request {
    engine_answer answer;
    std::uint32_t next_token = 0;
    std::uint64_t skip_bytes = 0;
  };

  struct waiting_request {
    exchange_id exchange;
    std::uint64_t resume_offset = 0;
    std::string body;
  };

  void Handle(const engine_request_arrived& e, steady_time now,
              std::vector<engine_effect>& effects);
  void Handle(const engine_caller_gone& e, steady_time now, std::vector<engine_effect>& effects);
  void Handle(const engine_step_due& e, steady_time now, std::vector<engine_effect>& effects);
  void EmitToken(exchange_id exchange, running_request& request,
                 std::vector<engine_effect>& effects);
  void StartStep(steady_time now, std::vector<engine_effect>& effects);

  engine_speed speed_;
  std::map<std::uint32_t, std::deque<waiting_request>> waiting_;
  std::unordered_map<exchange_id, running_request> running_;
  bool stepping_ = false;
  steady_time step_ends_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_MODEL_H_
