#include "radishroute/expert_groups.h"

#include <algorithm>
#include <utility>

#include "radishroute/invariant.h"

namespace radishroute {

namespace {

constexpr std::uint32_t kMaxRanks = 1024;
constexpr std::uint32_t kMaxLayers = 1024;
// Expert numbers have 16 bits; one value is reserved for empty slots.
constexpr std::uint32_t kMaxExperts = kNoExpert;

bool ReferencesMap(const group_record& record, std::uint64_t map_version) {
  if (record.ProposedMap() == map_version) return true;
  const auto& ranges = record.Ranges();
  return std::any_of(ranges.begin(), ranges.end(),
                     [&](const step_range& range) { return range.map_version == map_version; });
}

void DropUnreferencedMaps(expert_group& group) {
  std::erase_if(group.maps,
                [&](const auto& item) { return !ReferencesMap(group.record, item.first); });
}

bool AreContiguous(const std::vector<step_range>& ranges) {
  for (std::size_t i = 1; i < ranges.size(); ++i) {
    if (ranges[i].first != ranges[i - 1].last + 1) return false;
  }
  return true;
}

bool HasReferencedMaps(const expert_group& group) {
  const auto& ranges = group.record.Ranges();
  bool granted = std::all_of(ranges.begin(), ranges.end(), [&](const step_range& range) {
    return group.maps.contains(range.map_version);
  });
  return granted &&
         (!group.record.ProposedMap() || group.maps.contains(*group.record.ProposedMap()));
}

}  // namespace

bool IsValidShape(const group_shape& shape) {
  if (shape.ranks == 0 || shape.ranks > kMaxRanks || shape.layers == 0 ||
      shape.layers > kMaxLayers || shape.experts == 0 || shape.experts >= kMaxExperts ||
      shape.slots_per_rank == 0 || shape.slots_per_rank > shape.experts) {
    return false;
  }
  return shape.Slots() >= shape.experts &&
         std::size_t{shape.Slots()} * shape.layers <= group_table::kMaxMapSlots;
}

bool IsValidMap(const group_shape& shape, const expert_placement& placement) {
  return placement.layers.size() == shape.layers &&
         std::all_of(placement.layers.begin(), placement.layers.end(),
                     [&](const layer_placement& layer) { return IsValid(shape, layer); });
}

group_change MakeGroupCreation(const std::string& name, const group_shape& shape,
                               std::uint64_t last_step) {
  group_change change;
  change.group = name;
  change.action = create_group{shape.ranks, last_step};
  change.shape = shape;
  change.placement = InitialPlacement(shape);
  return change;
}

group_result group_table::Create(const group_change& change) {
  bool valid = !change.group.empty() && change.group.size() <= kMaxNameBytes &&
               IsValidShape(change.shape) && IsValidMap(change.shape, change.placement);
  if (!valid || groups_.size() >= kMaxGroups || groups_.contains(change.group)) {
    return group_result::kConflict;
  }
  expert_group group;
  group.shape = change.shape;
  group.record.Apply(
      create_group{change.shape.ranks, std::get<create_group>(change.action).last_step});
  group.maps[group.record.ActiveMap()] = change.placement;
  groups_[change.group] = std::move(group);
  return group_result::kApplied;
}

group_result group_table::Apply(const group_change& change, reduce_context& ctx) {
  if (std::holds_alternative<create_group>(change.action)) return Create(change);
  auto it = groups_.find(change.group);
  if (it == groups_.end()) return group_result::kConflict;
  expert_group& group = it->second;
  const auto* propose = std::get_if<propose_map>(&change.action);
  if (propose != nullptr && (group.pinned || !IsValidMap(group.shape, change.placement))) {
    return group_result::kConflict;
  }
  group_result result = group.record.Apply(change.action);
  if (result != group_result::kApplied) return result;
  if (propose != nullptr) {
    group.maps[propose->map_version] = change.placement;
    group.changed_map = propose->map_version;
    group.reason = change.reason;
    group.bytes = change.bytes;
  }
  if (std::holds_alternative<activate_map>(change.action)) {
    ++group.changes;
    group.bytes_moved += group.bytes;
  }
  DropUnreferencedMaps(group);
  CheckInvariant(AreContiguous(group.record.Ranges()), "every step is granted under one map", ctx);
  CheckInvariant(HasReferencedMaps(group),
                 "the placement of every granted or proposed map is stored", ctx);
  return result;
}

group_result group_table::Apply(const group_pin& pin, reduce_context&) {
  auto it = groups_.find(pin.group);
  if (it == groups_.end()) return group_result::kConflict;
  expert_group& group = it->second;
  group.pinned = pin.pinned;
  if (pin.pinned && group.record.ProposedMap()) {
    group.record.Apply(abandon_map{*group.record.ProposedMap()});
    DropUnreferencedMaps(group);
  }
  return group_result::kApplied;
}

const expert_group* group_table::Find(const std::string& name) const {
  auto it = groups_.find(name);
  return it == groups_.end() ? nullptr : &it->second;
}

groups_image group_table::Save() const {
  groups_image image;
  for (const auto& [name, group] : groups_) image.push_back({name, group});
  return image;
}

bool group_table::Load(groups_image image) {
  groups_.clear();
  for (named_group& item : image) {
    const expert_group& group = item.group;
    bool valid = IsValidShape(group.shape) && HasReferencedMaps(group) &&
                 std::all_of(group.maps.begin(), group.maps.end(),
                             [&](const auto& map) { return IsValidMap(group.shape, map.second); });
    if (!valid || !groups_.emplace(item.name, std::move(item.group)).second) {
      groups_.clear();
      return false;
    }
  }
  return true;
}

}  // namespace radishroute
