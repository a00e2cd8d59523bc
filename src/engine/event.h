#ifndef RADISHROUTE_ENGINE_EVENT_H_
#define RADISHROUTE_ENGINE_EVENT_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/order_types.h"
#include "radishroute/types.h"

namespace radishroute {

/// Where a request came from. `connection` grows with each connection that the server accepts.
struct engine_caller {
  exchange_id exchange;
  std::uint64_t connection = 0;
};

struct engine_request_arrived {
  engine_caller caller;
  std::uint32_t priority = 0;
  std::uint64_t resume_offset = 0;
  std::string body;
};

struct service_call_arrived {
  engine_caller caller;
  std::string idempotency_key;
  std::string body;
};

struct engine_order {
  std::uint64_t fencing_token = 0;
  order_kind kind = order_kind::kLoadModel;
  std::string name;
  /// Size of the weights to load, for kLoadModel and kLoadAdapter.
  std::uint64_t weight_bytes = 0;
};

struct order_arrived {
  engine_caller caller;
  engine_order order;
};

/// The weight store has answered; `loaded` is false if it could not be reached.
struct weights_arrived {
  exchange_id exchange;
  bool loaded = false;
};

struct weights_asked {
  engine_caller caller;
  std::uint64_t bytes = 0;
};

struct load_asked {
  engine_caller caller;
};

struct cache_events_asked {
  engine_caller caller;
  std::uint64_t after_sequence = 0;
};

struct kv_export_asked {
  engine_caller caller;
  std::string prompt;
};

struct kv_import_asked {
  engine_caller caller;
  std::vector<std::uint64_t> blocks;
};

struct runs_asked {
  engine_caller caller;
};

enum class engine_fault : std::uint8_t {
  /// Ends every fault that lasts.
  kNone,
  /// Nothing happens for `value` milliseconds.
  kStall,
  /// The next request never gets an answer.
  kStallRequest,
  /// Connections that are open now stay open but silent; new ones work.
  kSilence,
  /// Every step and service run takes `value` times as long.
  kSlow,
  /// Drops the connection of the next streamed request after `value` tokens.
  kDrop,
  /// Changes one byte of each answer.
  kCorrupt,
  /// Ends each answer before its last bytes, as if it were complete.
  kCut,
  /// Runs each service call twice.
  kRunTwice,
  /// Runs each service call and reports that it was not run.
  kDenyRun,
};

struct fault_injected {
  exchange_id exchange;
  engine_fault fault = engine_fault::kNone;
  std::uint64_t value = 0;
};

struct engine_caller_gone {
  exchange_id exchange;
};

struct engine_timer_expired {};

/// Everything that can happen to a stand-in.
using engine_event =
    std::variant<engine_request_arrived, service_call_arrived, order_arrived, weights_arrived,
                 weights_asked, load_asked, cache_events_asked, kv_export_asked, kv_import_asked,
                 runs_asked, fault_injected, engine_caller_gone, engine_timer_expired>;

struct engine_begin {
  exchange_id exchange;
  std::string content_type;
  /// Length of a plain answer; empty for a stream.
  std::optional<std::size_t> length;
};

struct engine_bytes {
  exchange_id exchange;
  std::string bytes;
};

struct engine_end {
  exchange_id exchange;
};

/// Closes the connection in the middle of an answer.
struct engine_abort {
  exchange_id exchange;
};

struct engine_wakeup {
  steady_time at;
};

/// Ends the process at once, as a crash does.
struct engine_crash {};

struct engine_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t max_batch = 0;
  std::uint64_t cached_blocks = 0;
  std::chrono::microseconds step{};
};

struct respond_load {
  exchange_id exchange;
  engine_load load;
};

struct cache_event {
  std::uint64_t sequence = 0;
  bool stored = true;
  std::uint64_t block = 0;
};

struct respond_cache_events {
  exchange_id exchange;
  std::vector<cache_event> events;
};

struct respond_kv_blocks {
  exchange_id exchange;
  std::vector<std::uint64_t> blocks;
};

enum class order_result : std::uint8_t { kApplied, kStaleToken, kWeightsUnavailable };

struct respond_order {
  exchange_id exchange;
  order_result result = order_result::kApplied;
  std::uint64_t highest_token = 0;
};

struct fetch_weights {
  exchange_id exchange;
  std::uint64_t bytes = 0;
};

struct respond_weights {
  exchange_id exchange;
  std::uint64_t bytes = 0;
};

struct respond_service {
  exchange_id exchange;
  std::string body;
  bool denied = false;
};

/// Adds one run to the runs file.
struct append_run {
  std::string idempotency_key;
};

struct run_count {
  std::string idempotency_key;
  std::uint64_t runs = 0;
};

struct respond_runs {
  exchange_id exchange;
  std::vector<run_count> runs;
};

struct respond_fault_set {
  exchange_id exchange;
};

struct respond_unknown_model {
  exchange_id exchange;
};

using engine_effect =
    std::variant<engine_begin, engine_bytes, engine_end, engine_abort, engine_wakeup, engine_crash,
                 respond_load, respond_cache_events, respond_kv_blocks, respond_order,
                 fetch_weights, respond_weights, respond_service, append_run, respond_runs,
                 respond_fault_set, respond_unknown_model>;

using engine_effects = std::vector<engine_effect>;

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_EVENT_H_
