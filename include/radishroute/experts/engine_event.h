#ifndef RADISHROUTE_EXPERTS_ENGINE_EVENT_H_
#define RADISHROUTE_EXPERTS_ENGINE_EVENT_H_

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/engine_message.h"

namespace radishroute {

/// State of an engine as it reports it itself.
struct engine_report : rank_state {
  /// Unix milliseconds of the engine's start.
  std::uint64_t started = 0;
};

/// What a rank's requests chose since its start, and what it holds.
struct expert_usage {
  std::vector<std::int64_t> counts;
  /// Only if asked for: the rank's experts by set, -1 for an empty place, and their map.
  std::vector<std::int32_t> experts;
  std::uint64_t experts_version = 0;
};

// Events.

struct engine_report_read {
  /// Absent if the engine did not answer or the answer could not be read.
  std::optional<engine_report> report;
};

struct expert_usage_read {
  std::optional<expert_usage> choices;
};

struct engine_command_done {
  std::uint64_t number = 0;
  engine_order_result result = engine_order_result::kUnknown;
};

/// Event of a traffic thread: the leader's latest view of the engines.
struct fleet_load_published {
  std::shared_ptr<const fleet_load> load;
};

// Effects.

/// Control thread only: hands the leader's view of the engines to every traffic thread.
struct publish_fleet_load {
  std::shared_ptr<const fleet_load> load;
};

struct read_engine_report {};

struct read_expert_usage {
  bool with_experts = false;
};

/// Ends in `engine_command_done`.
struct send_engine_command {
  engine_command command;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_ENGINE_EVENT_H_
