#ifndef RADISHROUTE_IO_WIRE_DISCOVERY_H_
#define RADISHROUTE_IO_WIRE_DISCOVERY_H_

#include "io/wire_basic.h"

namespace radishroute {

inline wire::Announcement ToWire(const announcement& m) {
  wire::Announcement w;
  w.backend = m.backend;
  w.incarnation = Signed(m.incarnation);
  w.sequence = Signed(m.sequence);
  w.status = EnumToWire(m.status);
  w.kind = EnumToWire(m.kind);
  w.zone = m.zone;
  w.trafficAddress = ToWire(m.traffic_address);
  w.models = m.models;
  w.adapters = m.adapters;
  w.version = m.version;
  w.engineRole = m.engine_role;
  w.concurrencyLimit = Signed(m.concurrency_limit);
  w.checksFencing = m.checks_fencing;
  return w;
}

inline announcement FromWire(const wire::Announcement& w, bool& ok) {
  announcement m;
  m.backend = w.backend;
  m.incarnation = Unsigned(w.incarnation);
  m.sequence = Unsigned(w.sequence);
  m.status = EnumFromWire(w.status, backend_status::kDown, ok);
  m.kind = EnumFromWire(w.kind, backend_kind::kService, ok);
  m.zone = w.zone;
  m.traffic_address = FromWire(w.trafficAddress, ok);
  m.models = w.models;
  m.adapters = w.adapters;
  m.version = w.version;
  m.engine_role = w.engineRole;
  m.concurrency_limit = Unsigned(w.concurrencyLimit);
  m.checks_fencing = w.checksFencing;
  return m;
}

inline wire::DirectoryDelta ToWire(const directory_delta& m) {
  wire::DirectoryDelta w;
  ListToWire(m.records, w.records);
  return w;
}

inline directory_delta FromWire(const wire::DirectoryDelta& w, bool& ok) {
  directory_delta m;
  ListFromWire(w.records, m.records,
               [&](const wire::Announcement& record) { return FromWire(record, ok); });
  return m;
}

inline wire::DirectoryDigest ToWire(const directory_digest& m) {
  wire::DirectoryDigest w;
  w.recordCount = Signed(m.record_count);
  w.hash = Signed(m.hash);
  return w;
}

inline directory_digest FromWire(const wire::DirectoryDigest& w, bool&) {
  return {Unsigned(w.recordCount), Unsigned(w.hash)};
}

inline wire::DirectoryPull ToWire(const directory_pull&) { return {}; }

inline directory_pull FromWire(const wire::DirectoryPull&, bool&) { return {}; }

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_DISCOVERY_H_
