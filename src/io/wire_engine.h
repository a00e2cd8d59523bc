#ifndef RADISHROUTE_IO_WIRE_ENGINE_H_
#define RADISHROUTE_IO_WIRE_ENGINE_H_

#include <algorithm>

#include "io/wire_basic.h"

namespace radishroute {

inline wire::EngineStatus ToWire(const engine_status& m) {
  wire::EngineStatus w;
  w.sequence = Signed(m.sequence);
  w.group = m.group;
  w.epoch = Signed(m.epoch);
  w.rank = Signed(m.rank);
  w.ranks = Signed(m.ranks);
  w.open = m.open;
  w.step = Signed(m.step);
  w.mapVersion = Signed(m.map_version);
  w.preparedVersion = Signed(m.prepared_version);
  w.armedVersion = Signed(m.armed_version);
  w.armedStep = Signed(m.armed_step);
  w.heldStep = Signed(m.held_step);
  w.counts = m.counts;
  w.experts = m.experts;
  w.lastCommand = Signed(m.last_command);
  w.lastResult = EnumToWire(m.last_result);
  w.uncertainMicros = MicrosToWire(m.uncertain);
  w.address = ToWire(m.address);
  w.running = Signed(m.running);
  w.waiting = Signed(m.waiting);
  return w;
}

inline engine_status FromWire(const wire::EngineStatus& w, bool& ok) {
  engine_status m;
  m.sequence = Unsigned(w.sequence);
  m.group = w.group;
  m.epoch = Unsigned(w.epoch);
  m.rank = Unsigned(w.rank);
  m.ranks = Unsigned(w.ranks);
  m.open = w.open;
  m.step = Unsigned(w.step);
  m.map_version = Unsigned(w.mapVersion);
  m.prepared_version = Unsigned(w.preparedVersion);
  m.armed_version = Unsigned(w.armedVersion);
  m.armed_step = Unsigned(w.armedStep);
  m.held_step = Unsigned(w.heldStep);
  m.counts = w.counts;
  m.experts = w.experts;
  m.last_command = Unsigned(w.lastCommand);
  m.last_result = EnumFromWire(w.lastResult, engine_order_result::kFailed, ok);
  m.uncertain = std::chrono::microseconds(w.uncertainMicros);
  m.address = FromWire(w.address, ok);
  m.running = Unsigned(w.running);
  m.waiting = Unsigned(w.waiting);
  return m;
}

inline wire::EngineStatusReply ToWire(const engine_status_reply& m) {
  wire::EngineStatusReply w;
  w.sequence = Signed(m.sequence);
  w.leads = m.leads;
  w.leaderHint = ToWire(m.leader_hint);
  w.wantsExperts = m.wants_experts;
  return w;
}

inline engine_status_reply FromWire(const wire::EngineStatusReply& w, bool& ok) {
  return {Unsigned(w.sequence), w.leads, FromWire(w.leaderHint, ok), w.wantsExperts};
}

inline wire::EngineCommand ToWire(const engine_command& m) {
  wire::EngineCommand w;
  w.term = Signed(m.term);
  w.number = Signed(m.number);
  w.epoch = Signed(m.epoch);
  w.operation = EnumToWire(m.operation);
  w.mapVersion = Signed(m.map_version);
  w.step = Signed(m.step);
  w.experts = m.experts;
  w.sets = Signed(m.sets);
  w.ranks = Signed(m.ranks);
  return w;
}

inline engine_command FromWire(const wire::EngineCommand& w, bool& ok) {
  engine_command m;
  m.term = Unsigned(w.term);
  m.number = Unsigned(w.number);
  m.epoch = Unsigned(w.epoch);
  m.operation = EnumFromWire(w.operation, engine_operation::kRelease, ok);
  m.map_version = Unsigned(w.mapVersion);
  m.step = Unsigned(w.step);
  m.experts = w.experts;
  m.sets = Unsigned(w.sets);
  m.ranks = Unsigned(w.ranks);
  return m;
}

inline wire::EngineLoad ToWire(const fleet_engine_load& m) {
  wire::EngineLoad w;
  w.address = ToWire(m.address);
  w.running = Signed(m.running);
  w.waiting = Signed(m.waiting);
  w.ageMillis = static_cast<std::int32_t>(m.age.count());
  return w;
}

inline fleet_engine_load FromWire(const wire::EngineLoad& w, bool& ok) {
  return {FromWire(w.address, ok), Unsigned(w.running), Unsigned(w.waiting),
          std::chrono::milliseconds(w.ageMillis)};
}

inline wire::FleetLoad ToWire(const fleet_load& m) {
  wire::FleetLoad w;
  w.open = m.open;
  w.passMicros = MicrosToWire(m.pass);
  ListToWire(m.engines, w.engines);
  w.entries = static_cast<std::int32_t>(m.entries);
  w.__set_group(m.group);
  w.__set_epoch(Signed(m.epoch));
  w.__set_term(Signed(m.term));
  w.__set_sequence(Signed(m.sequence));
  return w;
}

inline fleet_load FromWire(const wire::FleetLoad& w, bool& ok) {
  fleet_load m;
  m.open = w.open;
  m.pass = std::chrono::microseconds(w.passMicros);
  ConvertList(w.engines, m.engines, [&](const wire::EngineLoad& e) { return FromWire(e, ok); });
  m.entries = static_cast<std::uint32_t>(std::max(w.entries, 0));
  m.group = w.group;
  m.epoch = Unsigned(w.epoch);
  m.term = Unsigned(w.term);
  m.sequence = Unsigned(w.sequence);
  return m;
}

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_ENGINE_H_
