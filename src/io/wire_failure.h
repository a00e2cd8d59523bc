#ifndef RADISHROUTE_IO_WIRE_FAILURE_H_
#define RADISHROUTE_IO_WIRE_FAILURE_H_

#include "io/wire_basic.h"

namespace radishroute {

inline wire::CrashReport ToWire(const crash_report& m) {
  wire::CrashReport w;
  for (const crash_charge& charge : m.charges) {
    wire::CrashCharge& c = w.charges.emplace_back();
    c.content = Signed(charge.content.value);
    c.source = Signed(charge.source);
    c.sequence = Signed(charge.sequence);
    c.ageMillis = charge.age.count();
  }
  for (fingerprint content : m.cleared) w.cleared.push_back(Signed(content.value));
  return w;
}

inline crash_report FromWire(const wire::CrashReport& w, bool& ok) {
  crash_report m;
  for (const wire::CrashCharge& c : w.charges) {
    if (c.ageMillis < 0) ok = false;
    m.charges.push_back({{Unsigned(c.content)},
                         Unsigned(c.source),
                         Unsigned(c.sequence),
                         std::chrono::milliseconds(c.ageMillis)});
  }
  for (std::int64_t content : w.cleared) m.cleared.push_back({Unsigned(content)});
  return m;
}

inline wire::ContentObservation ToWire(const content_observation& o) {
  wire::ContentObservation w;
  w.content = Signed(o.content.value);
  w.ageMillis = o.age.count();
  return w;
}

inline content_observation FromWire(const wire::ContentObservation& w, bool& ok) {
  if (w.ageMillis < 0) ok = false;
  return {{Unsigned(w.content)}, std::chrono::milliseconds(w.ageMillis)};
}

inline wire::CrashEvidence ToWire(const crash_evidence& m) {
  wire::CrashEvidence w;
  ListToWire(m.crashes, w.crashes);
  ListToWire(m.successes, w.successes);
  return w;
}

inline crash_evidence FromWire(const wire::CrashEvidence& w, bool& ok) {
  crash_evidence m;
  ConvertList(w.crashes, m.crashes, [&](const auto& o) { return FromWire(o, ok); });
  ConvertList(w.successes, m.successes, [&](const auto& o) { return FromWire(o, ok); });
  return m;
}

inline wire::EntryBeats ToWire(const entry_heartbeats& m) {
  wire::EntryBeats w;
  for (const entry_heartbeat& beat : m.beats) {
    wire::EntryBeat& b = w.beats.emplace_back();
    b.node = Signed(beat.node);
    b.value = Signed(beat.value);
  }
  return w;
}

inline entry_heartbeats FromWire(const wire::EntryBeats& w, bool&) {
  entry_heartbeats m;
  for (const wire::EntryBeat& b : w.beats) {
    m.beats.push_back({Unsigned(b.node), Unsigned(b.value)});
  }
  return m;
}

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_FAILURE_H_
