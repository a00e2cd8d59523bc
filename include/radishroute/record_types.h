#ifndef RADISHROUTE_RECORD_TYPES_H_
#define RADISHROUTE_RECORD_TYPES_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "radishroute/command.h"

namespace radishroute {

/// Limits that every replica applies alike; changing one needs a new version of the log format.
struct record_limits {
  /// A key is refused once this time has passed since the time in the key.
  std::chrono::hours retention{24};
  /// How far the time in a key may lie ahead of the leader's clock.
  std::chrono::seconds clock_skew{60};
  /// Longer answers are not stored; the outcome is.
  std::size_t max_answer_bytes = std::size_t{64} << 10;
  std::size_t max_records = 2000000;
};

/// What is known of one idempotency key.
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

/// Result of a claim. Every value but kGranted means that the claimant must not dispatch.
enum class claim_verdict : std::uint8_t {
  kGranted,
  /// Another dispatch holds the key; its outcome is not known yet.
  kHeld,
  /// The request ran; the answer is in the record if it was stored.
  kDone,
  /// Nobody can tell whether the request ran.
  kUnknown,
  /// This very dispatch was recorded as never run and must not run any more.
  kNotRun,
  /// The key belongs to a request with other contents.
  kConflict,
  kMalformedKey,
  kExpired,
  kInFuture,
  /// No room for another record.
  kFull,
  /// Not committed in time; given by the claimant's own process.
  kNoQuorum,
  /// The claimant's own process has too many claims in progress.
  kQueueFull,
};

struct claim_result {
  claim_verdict verdict = claim_verdict::kExpired;
  /// Valid for kGranted, kHeld, kDone and kUnknown, until the next change of the table.
  const idempotency_record* record = nullptr;
};

enum class outcome_verdict : std::uint8_t {
  kStored,
  /// The same outcome or a more exact one is stored already.
  kAlreadyStored,
  /// No record, or the key is held by another dispatch.
  kNotHolder,
  /// The dispatch was recorded as never run, and this outcome says that it ran, or the reverse.
  kContradiction,
};

/// Contents of the table, for snapshots.
struct records_image {
  wall_time clock;
  /// In the order of expiry, so that equal tables have equal images.
  std::vector<idempotency_record> records;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECORD_TYPES_H_
