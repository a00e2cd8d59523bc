#ifndef RADISHROUTE_IO_STORAGE_RECORD_H_
#define RADISHROUTE_IO_STORAGE_RECORD_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

#include "radishroute/raft_event.h"

namespace radishroute {

// A record is a header of 16 bytes in little-endian order and a payload:
//   bytes 0-3   length of the payload
//   bytes 4-7   low half of the XXH3 hash of bytes 0-3 and 8-15
//   bytes 8-15  XXH3 hash of the payload
// The header has its own check, so that a damaged length is not taken for a torn record.
inline constexpr std::size_t kRecordHeaderBytes = 16;

/// Longest payload; a snapshot of the largest size fits.
inline constexpr std::size_t kMaxRecordBytes = std::size_t{512} << 20;

void AppendRecord(std::string_view payload, std::string& out);

enum class scan_result : std::uint8_t {
  /// The bytes end with a whole record.
  kComplete,
  /// The last record is incomplete or was not written in full; no record follows it.
  kTorn,
  /// A damaged record is followed by more data.
  kDamaged,
};

struct record_scan {
  scan_result result = scan_result::kComplete;
  /// Payloads of the whole records, in place.
  std::vector<std::string_view> payloads;
  /// Bytes that the whole records take.
  std::size_t valid_bytes = 0;
};

/// Splits the bytes of a segment file into records.
record_scan ScanRecords(std::string_view bytes);

/// Reads a file that holds exactly one record; false if it is damaged.
bool ReadSingleRecord(std::string_view bytes, std::string_view& payload);

/// Content of one record of a segment file.
struct log_batch {
  /// Drops entries with this index and above first; zero for none.
  std::uint64_t truncate_from = 0;
  std::vector<log_entry> entries;
};

struct vote_record {
  std::uint64_t term = 0;
  voter_id voted_for;
};

// Decoding reports kLogCorrupt if the payload does not hold the struct.
std::string EncodePayload(const log_batch& batch);
std::string EncodePayload(const store_batch& batch);
std::string EncodePayload(const vote_record& vote);
std::string EncodePayload(const voter_id& id);
std::string EncodePayload(const log_snapshot& snapshot);
std::error_code DecodePayload(std::string_view payload, log_batch& out);
std::error_code DecodePayload(std::string_view payload, vote_record& out);
std::error_code DecodePayload(std::string_view payload, voter_id& out);
std::error_code DecodePayload(std::string_view payload, log_snapshot& out);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_STORAGE_RECORD_H_
