#ifndef RADISHROUTE_DISCOVERY_MESSAGE_H_
#define RADISHROUTE_DISCOVERY_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <tuple>
#include <vector>

#include "radishroute/types.h"

namespace radishroute {

enum class backend_kind : std::uint8_t { kEngine, kService };

enum class backend_status : std::uint8_t { kUp, kLeaving, kDown };

/// State of a backend server as announced by its agent. Ordered by (incarnation, sequence).
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
  /// False if the backend server ignores the fencing token or the sender of an order.
  bool checks_fencing = false;
  /// Node number of the home entry, which received this announcement from the agent itself; set by
  /// that entry.
  std::uint64_t home = 0;
  /// Remaining time in which the backend server tolerates only a low rate of requests after its
  /// start; zero if it is warm. At the time of the announcement.
  std::chrono::milliseconds cold_remaining{};
};

/// Orders the announcements of one backend server; the newest has the greatest key.
inline auto OrderingKey(const announcement& record) {
  return std::tuple(record.incarnation, record.sequence);
}

/// New or changed records, sent to other entries.
struct directory_delta {
  std::vector<announcement> records;
};

/// Summary of a whole directory for anti-entropy.
struct directory_digest {
  std::uint64_t record_count = 0;
  std::uint64_t hash = 0;
  /// True if this is the response to a digest; the receiver then sends no digest back.
  bool reply = false;
};

/// Requests the records of a peer whose digest differs.
struct directory_pull {
  /// The sender's hash of each bucket of records; only buckets that differ are sent back.
  /// Empty requests all records.
  std::vector<std::uint64_t> bucket_hashes;
};

}  // namespace radishroute

#endif  // RADISHROUTE_DISCOVERY_MESSAGE_H_
