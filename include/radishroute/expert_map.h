#ifndef RADISHROUTE_EXPERT_MAP_H_
#define RADISHROUTE_EXPERT_MAP_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "radishroute/clock.h"

namespace radishroute {

/// Steps that a group may run under one expert map, from `first` to `last` inclusive.
struct step_range {
  std::uint64_t map_version = 0;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  auto operator<=>(const step_range&) const = default;
};

/// Actions on the record of one group, carried by commands of the replicated log.
struct create_group {
  std::uint32_t ranks = 0;
  std::uint64_t last_step = 0;
};
struct extend_steps {
  std::uint64_t last_step = 0;
};
struct propose_map {
  std::uint64_t map_version = 0;
};
struct activate_map {
  std::uint64_t map_version = 0;
  std::uint64_t last_step = 0;
};
struct abandon_map {
  std::uint64_t map_version = 0;
};
struct retire_map {
  std::uint64_t map_version = 0;
};

using group_command =
    std::variant<create_group, extend_steps, propose_map, activate_map, abandon_map, retire_map>;

/// Content of a group's record in a snapshot.
struct group_image {
  std::uint32_t ranks = 0;
  std::vector<step_range> ranges;
  std::uint64_t proposed = 0;
  std::uint64_t highest_map = 0;
};

enum class group_result : std::uint8_t { kApplied, kStale, kConflict };

/// Replicated record of one group: which steps are granted under which map. The map of a granted
/// step never changes, so a repeated or late grant is harmless.
class group_record {
 public:
  group_result Apply(const group_command& command);

  std::uint32_t Ranks() const { return ranks_; }
  /// Granted ranges, oldest first, without gaps.
  const std::vector<step_range>& Ranges() const { return ranges_; }
  std::uint64_t ActiveMap() const { return ranges_.empty() ? 0 : ranges_.back().map_version; }
  std::uint64_t LastStep() const { return ranges_.empty() ? 0 : ranges_.back().last; }
  std::optional<std::uint64_t> ProposedMap() const { return proposed_; }
  std::uint64_t HighestMap() const { return highest_map_; }

  group_image Save() const;
  /// Returns false and leaves the record empty if the image is inconsistent.
  bool Load(group_image image);

 private:
  group_result Handle(const create_group& command);
  group_result Handle(const extend_steps& command);
  group_result Handle(const propose_map& command);
  group_result Handle(const activate_map& command);
  group_result Handle(const abandon_map& command);
  group_result Handle(const retire_map& command);

  std::uint32_t ranks_ = 0;
  std::vector<step_range> ranges_;
  std::optional<std::uint64_t> proposed_;
  std::uint64_t highest_map_ = 0;
};

/// Report of a rank's agent to the leader.
struct rank_report {
  std::uint32_t rank = 0;
  std::uint64_t incarnation = 0;
  /// Highest step that the rank has completed.
  std::uint64_t step = 0;
  /// Last step for which the rank has a grant.
  std::uint64_t granted = 0;
  /// Maps of which the rank has loaded all its experts.
  std::vector<std::uint64_t> loaded;
};

/// Grant from the leader to a rank's agent: all step ranges that may still be needed.
struct step_grant {
  std::vector<step_range> ranges;
  /// Map to load next; 0 for none.
  std::uint64_t load_map = 0;
  /// Maps up to this version are no longer needed by any step.
  std::uint64_t droppable_through = 0;
};

/// Grants that one rank has received and maps that it has loaded. The engine runs a step only under
/// the map that MapForStep returns.
class rank_grants {
 public:
  /// Merges a grant; older and repeated grants are harmless. Returns false if the grant contradicts
  /// an earlier one, which must never happen.
  bool Handle(const step_grant& grant);

  /// To be called when the engine has loaded all experts of a map.
  void OnMapLoaded(std::uint64_t map_version);

  /// Map under which a step runs; nullopt if the step is not granted or its map is not loaded.
  std::optional<std::uint64_t> MapForStep(std::uint64_t step) const;

  /// Highest granted step; 0 if there is none.
  std::uint64_t LastGrantedStep() const;

  /// Map that the engine should load next; nullopt if all are loaded.
  std::optional<std::uint64_t> MapToLoad() const;
  std::vector<std::uint64_t> LoadedMaps() const;

 private:
  std::map<std::uint64_t, step_range> ranges_;
  std::map<std::uint64_t, bool> loaded_;
  std::uint64_t map_to_load_ = 0;
};

/// How far ahead steps are granted.
struct horizon_settings {
  /// Steps granted beyond the slowest rank. With a longer horizon the group can run longer without
  /// a leader; with a shorter one a new map takes effect sooner.
  std::uint64_t steps = 250;
  /// An extension is proposed when fewer than this many granted steps are left.
  std::uint64_t refill = 125;
};

/// Leader's side of one group: extends grants, moves the group to a new map and answers reports.
class map_coordinator {
 public:
  explicit map_coordinator(horizon_settings settings) : horizon_(settings) {}

  /// Command that proposes a new map; nullopt while a map is proposed or a command is outstanding.
  std::optional<group_command> ProposeMap(const group_record& record,
                                          std::uint64_t map_version) const;

  /// Processes a report; returns the command to propose, if any. At most one is outstanding.
  std::optional<group_command> Handle(const group_record& record, const rank_report& report);

  /// Highest step that every rank has completed; nullopt until every rank has reported.
  std::optional<std::uint64_t> SlowestStep(const group_record& record) const;

  /// Grant that answers a rank's report.
  step_grant GrantFor(const group_record& record, const rank_report& report) const;

  /// To be called when the caller has proposed a command from ProposeMap, which is then
  /// outstanding.
  void OnCommandProposed() { outstanding_ = true; }
  /// To be called when the outstanding command was applied or its proposal failed.
  void OnCommandDone() { outstanding_ = false; }

 private:
  bool AllLoaded(const group_record& record, std::uint64_t map_version) const;
  std::optional<group_command> NextCommand(const group_record& record) const;

  horizon_settings horizon_;
  std::map<std::uint32_t, rank_report> ranks_;
  bool outstanding_ = false;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERT_MAP_H_
