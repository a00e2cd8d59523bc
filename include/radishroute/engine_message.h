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
  /// Begun, or its state already holds.
  kAccepted,
  /// It does not fit the engine's state.
  kConflict,
  /// The engine has seen a higher fencing token.
  kFenced,
  /// Nothing is known: the order may have been accepted, or be carried out later.
  kUnknown,
  /// The engine knows no such order, or cannot be reached.
  kFailed,
};

/// State of one rank of an expert-parallel group, read from its engine.
struct rank_state {
  /// Empty for an engine that is in no group.
  std::string group;
  /// Life of the group; a new one starts with map 0 and nothing prepared, armed or held.
  std::uint64_t epoch = 0;
  std::uint32_t rank = 0;
  std::uint32_t ranks = 0;
  bool open = false;
  /// Last pass that was begun.
  std::uint64_t step = 0;
  std::uint64_t map_version = 0;
  /// Version whose experts are all copied; zero for none.
  std::uint64_t prepared_version = 0;
  /// Version and first pass of a switch that will take place; zero for none.
  std::uint64_t armed_version = 0;
  std::uint64_t armed_step = 0;
  /// Pass that does not begin until it is released; zero for none.
  std::uint64_t held_step = 0;
  /// Requests that the engine runs, and those that wait in it.
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
};

/// What a sidecar tells the leader of the engine beside it.
struct engine_status : rank_state {
  std::uint64_t sequence = 0;
  /// How often each expert was chosen since the last status, by set; empty if not read.
  std::vector<std::int32_t> counts;
  /// Experts that this rank holds under `map_version`, by set, -1 for an empty place; empty if not
  /// read.
  std::vector<std::int32_t> experts;
  std::uint64_t last_command = 0;
  engine_order_result last_result = engine_order_result::kNone;
  /// How much longer an order without a known result may still be carried out.
  std::chrono::microseconds uncertain{};
  /// Address at which the engine takes requests.
  endpoint address;
};

/// Requests at one engine when its sidecar read it.
struct fleet_engine_load {
  endpoint address;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /// Time since it was read, when the message was sent.
  std::chrono::milliseconds age{};
};

/// State of an expert-parallel group, from the leader to every entry.
struct fleet_load {
  /// False while the group makes no passes, because a rank is missing.
  bool open = false;
  /// Mean duration of a pass lately; zero if it is not known.
  std::chrono::microseconds pass{};
  std::vector<fleet_engine_load> engines;
};

struct engine_status_reply {
  std::uint64_t sequence = 0;
  bool leads = false;
  endpoint leader_hint;
  /// The leader does not know which experts the rank holds.
  bool wants_experts = false;
};

enum class engine_operation : std::uint8_t {
  /// Copies the experts of a map that are new to the rank.
  kPrepare,
  /// Switches to a prepared map as a pass begins.
  kArm,
  kDisarm,
  /// Keeps the group from beginning a pass.
  kHold,
  /// Lets it begin.
  kRelease,
};

/// An order of the leader to the engine beside a sidecar.
struct engine_command {
  /// Term of the leader; also the fencing token.
  std::uint64_t term = 0;
  std::uint64_t number = 0;
  std::uint64_t epoch = 0;
  engine_operation operation = engine_operation::kPrepare;
  std::uint64_t map_version = 0;
  std::uint64_t step = 0;
  /// For kPrepare: the whole map by set, rank and place, -1 for an empty place.
  std::vector<std::int32_t> experts;
  std::uint32_t sets = 0;
  std::uint32_t ranks = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_MESSAGE_H_
