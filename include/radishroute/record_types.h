#ifndef RADISHROUTE_RECORD_TYPES_H_
#define RADISHROUTE_RECORD_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "radishroute/command.h"

namespace radishroute {

/// Limits that every replica must apply identically; changing one requires a new log format
/// version.
struct record_limits {
  /// A key whose timestamp is older than this is refused.
  std::chrono::hours retention{24};
  /// How far the timestamp of a key may be ahead of the leader's clock.
  std::chrono::seconds clock_skew{60};
  /// For longer answers only the outcome is stored.
  std::size_t max_answer_bytes = std::size_t{64} << 10;
  std::size_t max_records = 2000000;
};

/// State of one idempotency key.
struct idempotency_record {
  std::string member;
  std::string key;
  std::uint64_t content_hash = 0;
  dispatch_id dispatch;
  std::string backend;
  std::uint64_t backend_incarnation = 0;
  record_status status = record_status::kClaimed;
  bool answer_stored = false;
  std::uint32_t answer_status = 0;
  std::string answer_type;
  std::string answer;
};

/// Result of a claim. The claimant may dispatch only on kGranted.
enum class claim_verdict : std::uint8_t {
  kGranted,
  /// Another dispatch holds the key; its outcome is not known yet.
  kHeld,
  /// The request ran; the answer is in the record if it was stored.
  kDone,
  /// It cannot be determined whether the request ran.
  kUnknown,
  /// The claimant's dispatch is recorded as not run, and must not run from now on.
  kNotRun,
  /// The key belongs to a request with different content.
  kConflict,
  kMalformedKey,
  kExpired,
  kInFuture,
  /// The record table is full.
  kFull,
  /// Not committed in time; set locally in the claimant's process.
  kNoQuorum,
  /// The claimant's process has too many claims in progress; set locally.
  kQueueFull,
};

struct claim_result {
  claim_verdict verdict = claim_verdict::kExpired;
  /// Valid until the next change of the table. Null for verdicts other than kGranted, kHeld, kDone,
  /// kUnknown and kNotRun.
  const idempotency_record* record = nullptr;
};

enum class outcome_verdict : std::uint8_t {
  kStored,
  /// The same outcome or a more specific one is already stored.
  kAlreadyStored,
  /// There is no record, or another dispatch holds the key.
  kNotHolder,
  /// The dispatch is recorded as not run and this outcome says that it ran, or the reverse.
  kContradiction,
};

/// Contents of the table, for snapshots.
struct records_image {
  wall_time clock;
  /// Sorted by expiry, so that equal tables have equal images.
  std::vector<idempotency_record> records;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECORD_TYPES_H_
