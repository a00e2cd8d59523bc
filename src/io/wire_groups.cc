#include "io/wire_groups.h"

#include <utility>

namespace radishroute {

namespace {

constexpr std::size_t kSlotBytes = 2;

std::string SlotsToWire(const expert_placement& placement) {
  std::string bytes;
  for (const layer_placement& layer : placement.layers) {
    for (std::uint16_t expert : layer.slots) {
      bytes.push_back(static_cast<char>(expert & 0xFF));
      bytes.push_back(static_cast<char>(expert >> 8));
    }
  }
  return bytes;
}

std::uint16_t SlotAt(const std::string& bytes, std::size_t slot) {
  auto low = static_cast<unsigned char>(bytes[slot * kSlotBytes]);
  auto high = static_cast<unsigned char>(bytes[slot * kSlotBytes + 1]);
  return static_cast<std::uint16_t>(low | (high << 8));
}

/// Slots of `layers` layers of equal width, which begin at slot 1 of `bytes`.
expert_placement SlotsFromWire(const std::string& bytes, std::size_t layers, bool& ok) {
  expert_placement placement;
  std::size_t slots = bytes.size() / kSlotBytes - 1;
  if (bytes.size() % kSlotBytes != 0 || layers == 0 || slots % layers != 0) {
    ok = false;
    return placement;
  }
  std::size_t next = 1;
  for (std::size_t i = 0; i < layers; ++i) {
    layer_placement layer;
    layer.slots.reserve(slots / layers);
    while (layer.slots.size() < slots / layers) layer.slots.push_back(SlotAt(bytes, next++));
    placement.layers.push_back(std::move(layer));
  }
  return placement;
}

wire::StepRange ToWireRange(const step_range& r) {
  wire::StepRange w;
  w.mapVersion = Signed(r.map_version);
  w.first = Signed(r.first);
  w.last = Signed(r.last);
  return w;
}

step_range FromWireRange(const wire::StepRange& w) {
  return {Unsigned(w.mapVersion), Unsigned(w.first), Unsigned(w.last)};
}

template <class Item>
void SetItem(const Item& c, wire::GroupChange& w) {
  if constexpr (requires { c.ranks; }) w.ranks = Signed(c.ranks);
  if constexpr (requires { c.map_version; }) w.mapVersion = Signed(c.map_version);
  if constexpr (requires { c.last_step; }) w.lastStep = Signed(c.last_step);
}

template <std::size_t I = 0>
group_command CommandFromWire(const wire::GroupChange& w, bool& ok) {
  if constexpr (I == std::variant_size_v<group_command>) {
    ok = false;
    return extend_steps{};
  } else {
    if (w.action != static_cast<std::int32_t>(I)) return CommandFromWire<I + 1>(w, ok);
    std::variant_alternative_t<I, group_command> c;
    if constexpr (requires { c.ranks; }) c.ranks = Unsigned(w.ranks);
    if constexpr (requires { c.map_version; }) c.map_version = Unsigned(w.mapVersion);
    if constexpr (requires { c.last_step; }) c.last_step = Unsigned(w.lastStep);
    return c;
  }
}

template <class Value, class WireValue>
void NumbersToWire(const std::vector<Value>& from, std::vector<WireValue>& to) {
  ConvertList(from, to, [](Value value) { return Signed(value); });
}

template <class Value, class WireValue>
void NumbersFromWire(const std::vector<WireValue>& from, std::vector<Value>& to) {
  ConvertList(from, to, [](WireValue value) { return Unsigned(value); });
}

// Slots per layer differ between groups, so a map on its own carries the number of its layers in
// front of them.
wire::ExpertMap ToWireMap(std::uint64_t version, const expert_placement& placement) {
  wire::ExpertMap w;
  w.version = Signed(version);
  auto layers = static_cast<std::uint16_t>(placement.layers.size());
  w.slots.push_back(static_cast<char>(layers & 0xFF));
  w.slots.push_back(static_cast<char>(layers >> 8));
  w.slots += SlotsToWire(placement);
  return w;
}

group_map FromWireMap(const wire::ExpertMap& w, bool& ok) {
  if (w.slots.size() < kSlotBytes) {
    ok = false;
    return {};
  }
  return {Unsigned(w.version), SlotsFromWire(w.slots, SlotAt(w.slots, 0), ok)};
}

}  // namespace

wire::GroupShape ToWire(const group_shape& s) {
  wire::GroupShape w;
  w.ranks = Signed(s.ranks);
  w.experts = Signed(s.experts);
  w.layers = Signed(s.layers);
  w.slotsPerRank = Signed(s.slots_per_rank);
  return w;
}

group_shape FromWire(const wire::GroupShape& w, bool&) {
  return {Unsigned(w.ranks), Unsigned(w.experts), Unsigned(w.layers), Unsigned(w.slotsPerRank)};
}

wire::GroupChange ToWire(const group_change& c) {
  wire::GroupChange w;
  w.group = c.group;
  w.action = static_cast<std::int32_t>(c.action.index());
  std::visit([&](const auto& specific) { SetItem(specific, w); }, c.action);
  w.shape = ToWire(c.shape);
  if (!c.placement.layers.empty()) w.slots = ToWireMap(0, c.placement).slots;
  w.reason = c.reason;
  w.bytes = Signed(c.bytes);
  return w;
}

group_change FromWire(const wire::GroupChange& w, bool& ok) {
  group_change c;
  c.group = w.group;
  c.action = CommandFromWire(w, ok);
  c.shape = FromWire(w.shape, ok);
  if (!w.slots.empty()) {
    wire::ExpertMap map;
    map.slots = w.slots;
    c.placement = FromWireMap(map, ok).placement;
  }
  c.reason = w.reason;
  c.bytes = Unsigned(w.bytes);
  return c;
}

wire::GroupPin ToWire(const group_pin& c) {
  wire::GroupPin w;
  w.group = c.group;
  w.pinned = c.pinned;
  return w;
}

group_pin FromWire(const wire::GroupPin& w, bool&) { return {w.group, w.pinned}; }

wire::RankReport ToWire(const group_report& m) {
  wire::RankReport w;
  w.sequence = Signed(m.sequence);
  w.group = m.group;
  w.shape = ToWire(m.shape);
  w.rank = Signed(m.rank.rank);
  w.incarnation = Signed(m.rank.incarnation);
  w.step = Signed(m.rank.step);
  w.granted = Signed(m.rank.granted);
  NumbersToWire(m.rank.loaded, w.loaded);
  w.window = Signed(m.counts.window);
  w.windowMicros = MicrosToWire(m.counts.duration);
  w.windowSteps = Signed(m.counts.steps);
  NumbersToWire(m.counts.cells, w.cells);
  NumbersToWire(m.counts.counts, w.counts);
  return w;
}

group_report FromWire(const wire::RankReport& w, bool& ok) {
  group_report m;
  m.sequence = Unsigned(w.sequence);
  m.group = w.group;
  m.shape = FromWire(w.shape, ok);
  m.rank.rank = Unsigned(w.rank);
  m.rank.incarnation = Unsigned(w.incarnation);
  m.rank.step = Unsigned(w.step);
  m.rank.granted = Unsigned(w.granted);
  NumbersFromWire(w.loaded, m.rank.loaded);
  m.counts.window = Unsigned(w.window);
  m.counts.duration = std::chrono::microseconds(w.windowMicros);
  m.counts.steps = Unsigned(w.windowSteps);
  NumbersFromWire(w.cells, m.counts.cells);
  NumbersFromWire(w.counts, m.counts.counts);
  if (w.cells.size() != w.counts.size()) ok = false;
  return m;
}

wire::StepGrant ToWire(const group_grant& m) {
  wire::StepGrant w;
  w.sequence = Signed(m.sequence);
  w.group = m.group;
  w.leads = m.leads;
  w.leaderHint = ToWire(m.leader_hint);
  for (const step_range& range : m.grant.ranges) w.ranges.push_back(ToWireRange(range));
  w.loadMap = Signed(m.grant.load_map);
  w.droppableThrough = Signed(m.grant.droppable_through);
  for (const group_map& map : m.maps) w.maps.push_back(ToWireMap(map.version, map.placement));
  return w;
}

group_grant FromWire(const wire::StepGrant& w, bool& ok) {
  group_grant m;
  m.sequence = Unsigned(w.sequence);
  m.group = w.group;
  m.leads = w.leads;
  m.leader_hint = FromWire(w.leaderHint, ok);
  for (const wire::StepRange& range : w.ranges) m.grant.ranges.push_back(FromWireRange(range));
  m.grant.load_map = Unsigned(w.loadMap);
  m.grant.droppable_through = Unsigned(w.droppableThrough);
  for (const wire::ExpertMap& map : w.maps) m.maps.push_back(FromWireMap(map, ok));
  return m;
}

wire::StateGroup ToWire(const named_group& g) {
  wire::StateGroup w;
  w.name = g.name;
  w.shape = ToWire(g.group.shape);
  group_image image = g.group.record.Save();
  for (const step_range& range : image.ranges) w.ranges.push_back(ToWireRange(range));
  w.proposed = Signed(image.proposed);
  w.highestMap = Signed(image.highest_map);
  for (const auto& [version, map] : g.group.maps) w.maps.push_back(ToWireMap(version, map));
  w.pinned = g.group.pinned;
  w.changedMap = Signed(g.group.changed_map);
  w.reason = g.group.reason;
  w.bytes = Signed(g.group.bytes);
  w.bytesMoved = Signed(g.group.bytes_moved);
  w.changes = Signed(g.group.changes);
  return w;
}

named_group FromWire(const wire::StateGroup& w, bool& ok) {
  named_group g;
  g.name = w.name;
  g.group.shape = FromWire(w.shape, ok);
  group_image image;
  image.ranks = g.group.shape.ranks;
  for (const wire::StepRange& range : w.ranges) image.ranges.push_back(FromWireRange(range));
  image.proposed = Unsigned(w.proposed);
  image.highest_map = Unsigned(w.highestMap);
  if (!g.group.record.Load(std::move(image))) ok = false;
  for (const wire::ExpertMap& map : w.maps) {
    group_map read = FromWireMap(map, ok);
    g.group.maps[read.version] = std::move(read.placement);
  }
  g.group.pinned = w.pinned;
  g.group.changed_map = Unsigned(w.changedMap);
  g.group.reason = w.reason;
  g.group.bytes = Unsigned(w.bytes);
  g.group.bytes_moved = Unsigned(w.bytesMoved);
  g.group.changes = Unsigned(w.changes);
  return g;
}

}  // namespace radishroute
