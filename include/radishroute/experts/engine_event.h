#ifndef RADISHROUTE_EXPERTS_ENGINE_EVENT_H_
#define RADISHROUTE_EXPERTS_ENGINE_EVENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/engine_message.h"

namespace radishroute {

/// State of an engine, as reported by the engine.
struct engine_report : rank_state {
  /// Start time of the engine in Unix milliseconds.
  std::uint64_t started = 0;
};

/// How often the requests of a rank have chosen each expert since the rank started, and which
/// experts the rank holds.
struct expert_usage {
  std::vector<std::int64_t> counts;
  /// Only if requested: the rank's experts by set (layer), -1 for an empty slot, and the version of
  /// their map.
  std::vector<std::int32_t> experts;
  std::uint64_t experts_version = 0;
};

// Events.

struct engine_report_read {
  /// Absent if the engine did not respond, or the response could not be parsed.
  std::optional<engine_report> report;
};

struct expert_usage_read {
  std::optional<expert_usage> usage;
};

struct engine_command_done {
  std::uint64_t number = 0;
  engine_order_result result = engine_order_result::kUnknown;
};

/// Event for traffic threads: the leader's latest report of the engines' load.
struct fleet_load_published {
  std::shared_ptr<const fleet_load> load;
};

// Effects.

/// Control thread only: passes the leader's report of the engines' load to every traffic thread.
struct publish_fleet_load {
  std::shared_ptr<const fleet_load> load;
};

struct read_engine_report {};

struct read_expert_usage {
  bool with_experts = false;
};

/// Sends a command to the engine. Its completion is reported by `engine_command_done`.
struct send_engine_command {
  engine_command command;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_ENGINE_EVENT_H_
