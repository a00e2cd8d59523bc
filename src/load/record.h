#ifndef RADISHROUTE_LOAD_RECORD_H_
#define RADISHROUTE_LOAD_RECORD_H_

#include <chrono>
#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "load/outcome.h"
#include "radishroute/types.h"

namespace radishroute {

/// What became of one request. Times count from the start of the run.
struct load_record {
  std::uint64_t number = 0;
  std::string kind;
  std::string member;
  priority_class cls = priority_class::kInteractive;
  std::string idempotency_key;
  std::chrono::microseconds planned{};
  /// From the planned start, so that a late start counts as latency.
  std::chrono::microseconds first_byte{};
  std::chrono::microseconds latency{};
  std::vector<std::chrono::microseconds> token_gaps;
  load_outcome outcome = load_outcome::kUnknown;
  std::string reason;
  std::uint32_t attempts = 0;
  /// How often an attempt was sent on to the next target, by reason.
  std::uint32_t moved_unreachable = 0;
  std::uint32_t moved_draining = 0;
  /// True if any attempt's last response said "not run".
  bool claimed_not_run = false;
};

/// Writes one line of JSON, without the token gaps.
void WriteRecord(std::ostream& out, const load_record& record);

/// Reads a line that WriteRecord wrote; false if it is malformed.
bool ReadRecord(const std::string& line, load_record& out);

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_RECORD_H_
