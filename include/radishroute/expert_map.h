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

/// Steps that a group may run under one expert map, both ends included.
struct step_range {
  std::uint64_t map_version = 0;
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  auto operator<=>(const step_range&) const = default;
};

/// Commands of the replicated log that concern one group.
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

/// Contents of a group's record, for snapshots.
struct group_image {
  std::uint32_t ranks = 0;
  std::vector<step_range> ranges;
  std::uint64_t proposed = 0;
  std::uint64_t highest_map = 0;
};

enum class group_result : std::uint8_t { kApplied, kStale, kConflict };

/// Replicated record of one group: which steps have been granted under which map. What it has
/// granted once never changes, so a repeated or late grant is harmless.
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
  /// False if the image contradicts itself; the record is then empty.
  bool Load(group_image image);

 private:
  group_result Handle(const create_group& c);
  group_result Handle(const extend_steps& c);
  group_result Handle(const propose_map& c);
  group_result Handle(const activate_map& c);
  group_result Handle(const abandon_map& c);
  group_result Handle(const retire_map& c);

  std::uint32_t ranks_ = 0;
  std::vector<step_range> ranges_;
  std::optional<std::uint64_t> proposed_;
  std::uint64_t highest_map_ = 0;
};

/// What a rank's agent reports to the leader.
struct rank_report {
  std::uint32_t rank = 0;
  std::uint64_t incarnation = 0;
  /// Highest step that the rank has completed.
  std::uint64_t step = 0;
  /// Last step that the rank holds a grant for.
  std::uint64_t granted = 0;
  /// Maps whose experts are all loaded.
  std::vector<std::uint64_t> loaded;
};

/// Grant from the leader to a rank's agent: every range that may still be needed.
struct step_grant {
  std::vector<step_range> ranges;
  /// Map to load next; 0 for none.
  std::uint64_t load_map = 0;
  /// Maps up to this one are needed by no step any more.
  std::uint64_t droppable_through = 0;
};

/// One rank's view of its grants. The engine runs a step only under the map named here.
class rank_grants {
 public:
  /// Takes over a grant; older and repeated ones are harmless. Returns false if the grant
  /// contradicts an earlier one, which must never happen.
  bool Handle(const step_grant& grant);

  /// The engine has loaded all experts of a map.
  void OnMapLoaded(std::uint64_t map_version);

  /// Map for a step; nothing if the step is not granted or its map is not loaded.
  std::optional<std::uint64_t> MapForStep(std::uint64_t step) const;

  /// Highest granted step.
  std::uint64_t LastGrantedStep() const;

  /// Map that the engine should load next; nothing if it is loaded already.
  std::optional<std::uint64_t> MapToLoad() const;
  std::vector<std::uint64_t> LoadedMaps() const;

 private:
  std::map<std::uint64_t, step_range> ranges_;
  std::map<std::uint64_t, bool> loaded_;
  std::uint64_t wanted_ = 0;
};

/// Horizon of grants.
struct horizon_settings {
  /// Steps granted beyond the slowest rank. A longer horizon rides out a longer loss of the
  /// leader; a shorter one lets a new map start sooner.
  std::uint64_t steps = 250;
  /// An extension is proposed when fewer than this many granted steps are left.
  std::uint64_t refill = 125;
};

/// Leader's side of one group: extends grants, drives a change of map, answers reports.
class map_coordinator {
 public:
  explicit map_coordinator(horizon_settings settings) : settings_(settings) {}

  /// Asks for a change to a new map; ignored while another change is under way.
  std::optional<group_command> ProposeMap(const group_record& record,
                                          std::uint64_t map_version) const;

  /// Takes a report; returns the command to propose, if any. At most one command is outstanding.
  std::optional<group_command> Handle(const group_record& record, const rank_report& report);

  /// Step that every rank has completed; nothing until every rank has reported.
  std::optional<std::uint64_t> SlowestStep(const group_record& record) const;

  /// Answer to a rank after its report.
  step_grant GrantFor(const group_record& record, const rank_report& report) const;

  /// A command that the caller proposed by itself counts as the outstanding one.
  void OnCommandProposed() { outstanding_ = true; }
  /// The outstanding command was applied or failed.
  void OnCommandDone() { outstanding_ = false; }

 private:
  bool AllLoaded(const group_record& record, std::uint64_t map_version) const;
  std::optional<group_command> Next(const group_record& record) const;

  horizon_settings settings_;
  std::map<std::uint32_t, rank_report> ranks_;
  bool outstanding_ = false;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERT_MAP_H_
