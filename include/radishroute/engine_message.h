#ifndef RADISHROUTE_ENGINE_MESSAGE_H_
#define RADISHROUTE_ENGINE_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "radishroute/types.h"

namespace radishroute {

/// Result of an order to an engine.
enum class engine_order_result : std::uint8_t {
  kNone,
  /// Started, or the engine is already in the requested state.
  kAccepted,
  /// Not possible in the engine's current state.
  kConflict,
  /// The engine has seen a higher fencing token.
  kFenced,
  /// No result: the order may have been accepted, or may still be carried out.
  kUnknown,
  /// The engine does not support the order, or is unreachable.
  kFailed,
};

/// State of one rank of an expert-parallel group, read from its engine.
struct rank_state {
  /// Empty for an engine outside any group.
  std::string group;
  /// Incarnation of the group; a new one starts with map 0 and nothing prepared, armed or held.
  std::uint64_t epoch = 0;
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;
  bool open = false;
  /// Last pass that began.
  std::uint64_t step = 0;
  std::uint64_t map_version = 0;
  /// Version whose experts have all been copied; zero for none.
  std::uint64_t prepared_version = 0;
  /// Version and first pass of the scheduled map switch; zero for none.
  std::uint64_t armed_version = 0;
  std::uint64_t armed_step = 0;
  /// Pass that may not begin before it is released; zero for none.
  std::uint64_t held_step = 0;
  /// Requests running on the engine, and requests waiting in it.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// Status of an engine, sent by its sidecar to the leader.
struct engine_status : rank_state {
  std::uint64_t sequence = 0;
  /// How often each expert was chosen since the last status, by set; empty if not read.
  std::vector<std::int32_t> counts;
  /// Experts on this rank under `map_version`, by set, -1 for an empty slot; empty if not read.
  std::vector<std::int32_t> experts;
  std::uint64_t last_command = 0;
  engine_order_result last_result = engine_order_result::kNone;
  /// Remaining time in which an order with unknown result may still be carried out.
  std::chrono::microseconds uncertain{};
  /// Address at which the engine accepts requests.
  endpoint address;
};

/// Load of one engine at the time its sidecar read it.
struct fleet_engine_load {
  endpoint address;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Age of the reading when the message was sent.
  std::chrono::milliseconds age{};
};

/// State of an expert-parallel group, sent by the leader to every entry.
struct fleet_load {
  /// Name and incarnation of the group.
  std::string group;
  std::uint64_t epoch = 0;
  /// Term of the leader and number of the report within that term. Reports that overtake each other
  /// on relayed paths are ordered by them.
  std::uint64_t term = 0;
  std::uint64_t sequence = 0;
  /// False while the group runs no passes because a rank is missing.
  bool open = false;
  /// Recent mean duration of a pass; zero if unknown.
  std::chrono::microseconds pass{};
  std::vector<fleet_engine_load> engines;
  /// Entries that the leader knows; zero if the sender does not say.
  std::uint32_t entries = 0;
};

struct engine_status_reply {
  std::uint64_t sequence = 0;
  bool leads = false;
  endpoint leader_hint;
  /// Set if the leader does not know which experts the rank holds.
  bool wants_experts = false;
};

enum class engine_operation : std::uint8_t {
  /// Copies the experts of a map that the rank does not hold yet.
  kPrepare,
  /// Schedules the switch to a prepared map at the start of a pass.
  kArm,
  kDisarm,
  /// Prevents the group from beginning a pass.
  kHold,
  /// Lets a held pass begin.
  kRelease,
};

/// An order from the leader to a sidecar's engine.
struct engine_command {
  /// Term of the leader; also the fencing token.
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  std::uint64_t epoch = 0;
  engine_operation operation = engine_operation::kPrepare;
  std::uint64_t map_version = 0;
  std::uint64_t step = 0;
  /// For kPrepare: the complete map by set, rank and slot, -1 for an empty slot.
  std::vector<std::int32_t> experts;
  std::uint32_t sets = 0;
  std::uint32_t ranks = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_MESSAGE_H_
