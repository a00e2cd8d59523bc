#include "radishroute/expert_map.h"

#include <algorithm>

namespace radishroute {

group_result group_record::Apply(const group_command& command) {
  return std::visit([this](const auto& action) { return Handle(action); }, command);
}

group_result group_record::Handle(const create_group& command) {
  if (!ranges_.empty()) return group_result::kConflict;
  ranks_ = command.ranks;
  ranges_ = {{1, 1, command.last_step}};
  highest_map_ = 1;
  return group_result::kApplied;
}

group_result group_record::Handle(const extend_steps& command) {
  if (ranges_.empty()) return group_result::kConflict;
  if (command.last_step <= ranges_.back().last) return group_result::kStale;
  ranges_.back().last = command.last_step;
  return group_result::kApplied;
}

group_result group_record::Handle(const propose_map& command) {
  if (ranges_.empty() || proposed_) return group_result::kConflict;
  if (command.map_version <= highest_map_) return group_result::kStale;
  proposed_ = command.map_version;
  highest_map_ = command.map_version;
  return group_result::kApplied;
}

group_result group_record::Handle(const activate_map& command) {
  if (proposed_ != command.map_version) return group_result::kStale;
  // The new map starts after the last step granted under the old one, regardless of how far the
  // ranks have run.
  std::uint64_t first = ranges_.back().last + 1;
  ranges_.push_back({command.map_version, first, std::max(first, command.last_step)});
  proposed_.reset();
  return group_result::kApplied;
}

group_result group_record::Handle(const abandon_map& command) {
  if (proposed_ != command.map_version) return group_result::kStale;
  proposed_.reset();
  return group_result::kApplied;
}

group_result group_record::Handle(const retire_map& command) {
  if (ranges_.size() < 2 || ranges_.front().map_version != command.map_version) {
    return group_result::kStale;
  }
  ranges_.erase(ranges_.begin());
  return group_result::kApplied;
}

group_image group_record::Save() const {
  return {ranks_, ranges_, proposed_.value_or(0), highest_map_};
}

bool group_record::Load(group_image image) {
  *this = group_record();
  std::uint64_t map = 0;
  std::uint64_t step = 0;
  for (const step_range& range : image.ranges) {
    bool follows = map == 0 || range.first == step + 1;
    if (range.map_version <= map || range.last < range.first || !follows) return false;
    map = range.map_version;
    step = range.last;
  }
  if (image.highest_map < std::max(map, image.proposed)) return false;
  ranks_ = image.ranks;
  ranges_ = std::move(image.ranges);
  if (image.proposed != 0) proposed_ = image.proposed;
  highest_map_ = image.highest_map;
  return true;
}

bool rank_grants::Handle(const step_grant& grant) {
  for (const step_range& range : grant.ranges) {
    auto it = ranges_.find(range.map_version);
    if (it == ranges_.end()) {
      for (const auto& [version, existing] : ranges_) {
        if (range.first <= existing.last && existing.first <= range.last) return false;
      }
      ranges_[range.map_version] = range;
      continue;
    }
    if (it->second.first != range.first) return false;
    auto next = std::next(it);
    if (next != ranges_.end() && range.last >= next->second.first) return false;
    // A delayed grant may end earlier than one received earlier.
    it->second.last = std::max(it->second.last, range.last);
  }
  map_to_load_ = std::max(map_to_load_, grant.load_map);
  for (auto it = ranges_.begin(); it != ranges_.end();) {
    bool droppable = it->first <= grant.droppable_through && std::next(it) != ranges_.end();
    it = droppable ? ranges_.erase(it) : std::next(it);
  }
  std::erase_if(loaded_, [&](const auto& entry) {
    return entry.first <= grant.droppable_through && !ranges_.contains(entry.first);
  });
  return true;
}

void rank_grants::OnMapLoaded(std::uint64_t map_version) { loaded_[map_version] = true; }

std::optional<std::uint64_t> rank_grants::MapForStep(std::uint64_t step) const {
  for (const auto& [version, range] : ranges_) {
    if (step < range.first || step > range.last) continue;
    if (!loaded_.contains(version)) return std::nullopt;
    return version;
  }
  return std::nullopt;
}

std::uint64_t rank_grants::LastGrantedStep() const {
  return ranges_.empty() ? 0 : ranges_.rbegin()->second.last;
}

std::optional<std::uint64_t> rank_grants::MapToLoad() const {
  // A restarted rank first needs the map that the group currently runs under.
  for (const auto& [version, range] : ranges_) {
    if (!loaded_.contains(version)) return version;
  }
  if (map_to_load_ > 0 && !loaded_.contains(map_to_load_)) return map_to_load_;
  return std::nullopt;
}

std::vector<std::uint64_t> rank_grants::LoadedMaps() const {
  std::vector<std::uint64_t> versions;
  for (const auto& [version, unused] : loaded_) versions.push_back(version);
  return versions;
}

std::optional<group_command> map_coordinator::ProposeMap(const group_record& record,
                                                         std::uint64_t map_version) const {
  if (record.ProposedMap() || outstanding_) return std::nullopt;
  return propose_map{map_version};
}

std::optional<std::uint64_t> map_coordinator::SlowestStep(const group_record& record) const {
  if (ranks_.size() < record.Ranks()) return std::nullopt;
  std::uint64_t slowest = UINT64_MAX;
  for (const auto& [rank, report] : ranks_) slowest = std::min(slowest, report.step);
  return slowest;
}

bool map_coordinator::AllLoaded(const group_record& record, std::uint64_t map_version) const {
  if (ranks_.size() < record.Ranks()) return false;
  return std::all_of(ranks_.begin(), ranks_.end(), [&](const auto& entry) {
    const auto& loaded = entry.second.loaded;
    return std::find(loaded.begin(), loaded.end(), map_version) != loaded.end();
  });
}

std::optional<group_command> map_coordinator::NextCommand(const group_record& record) const {
  std::optional<std::uint64_t> slowest = SlowestStep(record);
  if (!slowest) return std::nullopt;
  if (record.ProposedMap() && AllLoaded(record, *record.ProposedMap())) {
    return activate_map{*record.ProposedMap(), record.LastStep() + horizon_.steps};
  }
  if (record.Ranges().size() > 1 && *slowest > record.Ranges().front().last) {
    return retire_map{record.Ranges().front().map_version};
  }
  if (*slowest + horizon_.refill >= record.LastStep()) {
    return extend_steps{*slowest + horizon_.steps};
  }
  return std::nullopt;
}

std::optional<group_command> map_coordinator::Handle(const group_record& record,
                                                     const rank_report& report) {
  rank_report& latest = ranks_[report.rank];
  // A delayed report of an earlier incarnation or step must not overwrite a newer one.
  bool newer = report.incarnation > latest.incarnation ||
               (report.incarnation == latest.incarnation && report.step >= latest.step);
  if (newer) latest = report;
  if (outstanding_) return std::nullopt;
  std::optional<group_command> next = NextCommand(record);
  outstanding_ = next.has_value();
  return next;
}

step_grant map_coordinator::GrantFor(const group_record& record, const rank_report&) const {
  step_grant grant;
  grant.ranges = record.Ranges();
  grant.load_map = record.ProposedMap().value_or(0);
  if (!record.Ranges().empty()) {
    grant.droppable_through = record.Ranges().front().map_version - 1;
  }
  return grant;
}

}  // namespace radishroute
