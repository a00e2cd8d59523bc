#ifndef RADISHROUTE_DISCOVERY_MESSAGE_H_
#define RADISHROUTE_DISCOVERY_MESSAGE_H_

#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "radishroute/types.h"

namespace radishroute {

enum class backend_kind : std::uint8_t { kEngine, kService };

enum class backend_status : std::uint8_t { kUp, kLeaving, kDown };

/// What a backend server's agent says of it. Ordered by (incarnation, sequence).
struct announcement {
  std::string backend;
  std::uint64_t incarnation = 0;
  std::uint64_t sequence = 0;
  backend_status status = backend_status::kUp;
  backend_kind kind = backend_kind::kEngine;
  std::string zone;
  endpoint traffic_address;
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  std::string version;
  std::string engine_role;
  std::uint32_t concurrency_limit = 0;
  /// False if the backend server ignores fencing numbers or the sender of an order.
  bool checks_fencing = false;
  /// Node number of the entry that heard this version from the agent itself; set by that entry.
  std::uint64_t home = 0;
};

/// Place of an announcement in the order of all announcements of its backend server.
inline auto Version(const announcement& record) {
  return std::tuple(record.incarnation, record.sequence);
}

/// New or changed announcements, sent to other entries.
struct directory_delta {
  std::vector<announcement> records;
};

/// Summary of a whole directory for anti-entropy.
struct directory_digest {
  std::uint64_t record_count = 0;
  std::uint64_t hash = 0;
  /// True if this answers a digest; it is then not answered by a digest again.
  bool reply = false;
};

/// Asks a peer whose digest differs for its records.
struct directory_pull {
  /// The sender's hash of each bucket of records; only buckets that differ are sent back.
  /// Empty asks for everything.
  std::vector<std::uint64_t> bucket_hashes;
};

}  // namespace radishroute

#endif  // RADISHROUTE_DISCOVERY_MESSAGE_H_
