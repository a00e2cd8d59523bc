#ifndef RADISHROUTE_IO_WIRE_DISCOVERY_H_
#define RADISHROUTE_IO_WIRE_DISCOVERY_H_

#include <algorithm>

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
  w.__set_home(Signed(m.home));
  w.__set_coldMillis(static_cast<std::int32_t>(m.cold_remaining.count()));
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
  m.home = Unsigned(w.home);
  m.cold_remaining = std::chrono::milliseconds(std::max(w.coldMillis, 0));
  return m;
}

inline wire::DirectoryDelta ToWire(const directory_delta& m) {
  wire::DirectoryDelta w;
  ListToWire(m.records, w.records);
  return w;
}

inline directory_delta FromWire(const wire::DirectoryDelta& w, bool& ok) {
  directory_delta m;
  ConvertList(w.records, m.records,
              [&](const wire::Announcement& record) { return FromWire(record, ok); });
  return m;
}

inline wire::DirectoryDigest ToWire(const directory_digest& m) {
  wire::DirectoryDigest w;
  w.recordCount = Signed(m.record_count);
  w.hash = Signed(m.hash);
  w.__set_reply(m.reply);
  return w;
}

inline directory_digest FromWire(const wire::DirectoryDigest& w, bool&) {
  return {Unsigned(w.recordCount), Unsigned(w.hash), w.reply};
}

inline wire::DirectoryPull ToWire(const directory_pull& m) {
  wire::DirectoryPull w;
  std::vector<std::int64_t> hashes;
  for (std::uint64_t hash : m.bucket_hashes) hashes.push_back(Signed(hash));
  w.__set_bucketHashes(std::move(hashes));
  return w;
}

inline directory_pull FromWire(const wire::DirectoryPull& w, bool&) {
  directory_pull m;
  for (std::int64_t hash : w.bucketHashes) m.bucket_hashes.push_back(Unsigned(hash));
  return m;
}

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_DISCOVERY_H_
