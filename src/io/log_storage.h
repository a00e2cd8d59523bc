#ifndef RADISHROUTE_IO_LOG_STORAGE_H_
#define RADISHROUTE_IO_LOG_STORAGE_H_

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "io/data_folder.h"
#include "io/metrics.h"
#include "io/storage_record.h"
#include "radishroute/error.h"
#include "radishroute/raft_event.h"
#include "radishroute/raft_log.h"

namespace radishroute {

/// Data folder of one replica: voter identity, vote, snapshot and log segments.
template <storage_folder Folder>
class basic_log_storage {
 public:
  /// A segment that exceeds this length is followed by a new one.
  static constexpr std::size_t kSegmentBytes = std::size_t{8} << 20;

  /// An empty folder gets `identity`, or a random one.
  explicit basic_log_storage(typename Folder::location_type location,
                             std::size_t segment_bytes = kSegmentBytes,
                             std::optional<voter_id> identity = std::nullopt)
      : folder_(std::move(location)), segment_bytes_(segment_bytes), identity_(identity) {}

  /// Locks the folder and reads it; creates it with a random voter id if it is empty. Errors:
  /// kFolderInUse, kFolderUnusable, kLogCorrupt, kSnapshotCorrupt, kDiskFull, kSyncFailed.
  std::error_code Open(recovered_log& out) {
    if (auto failed = folder_.Lock()) return failed;
    return ReadFolder(out);
  }

  /// Writes and syncs a batch. Errors: kDiskFull, kSyncFailed; each later call then fails too,
  /// until a batch with `rewrite` has been written.
  std::error_code Write(const store_batch& batch) {
    if (batch.rewrite) {
      failure_ = Rewrite(batch);
    } else if (!failure_) {
      failure_ = WriteBatch(batch);
    }
    return failure_;
  }

  /// Whether Open created the folder's content.
  bool Created() const { return created_; }
  /// Bytes of a torn record that Open removed.
  std::size_t TruncatedBytes() const { return truncated_bytes_; }

 private:
  using file_type = typename Folder::file_type;

  struct segment {
    std::uint64_t number = 0;
    /// Highest entry index written to it.
    std::uint64_t last_index = 0;
    std::size_t bytes = 0;
  };

  static constexpr const char* kVoterFile = "voter";
  static constexpr const char* kVoteFile = "vote";
  static constexpr const char* kSnapshotFile = "snapshot";
  static constexpr const char* kNewSegmentFile = "segment.new";
  static constexpr std::string_view kSegmentPrefix = "segment-";
  /// Longest group of entries in a record of a rewritten log.
  static constexpr std::size_t kRewriteRecordBytes = std::size_t{4} << 20;
  static constexpr std::size_t kSegmentDigits = 12;

  static std::string SegmentName(std::uint64_t number) {
    std::string digits = std::to_string(number);
    return std::string(kSegmentPrefix) +
           std::string(kSegmentDigits - std::min(kSegmentDigits, digits.size()), '0') + digits;
  }

  static std::optional<std::uint64_t> SegmentNumber(std::string_view name) {
    if (!name.starts_with(kSegmentPrefix)) return std::nullopt;
    name.remove_prefix(kSegmentPrefix.size());
    std::uint64_t number = 0;
    auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
    if (error != std::errc() || end != name.data() + name.size()) return std::nullopt;
    return number;
  }

  static voter_id DrawVoterId() {
    std::random_device entropy;
    std::uint64_t id = 0;
    while (id == 0) id = (std::uint64_t{entropy()} << 32) | entropy();
    return {id};
  }

  std::error_code ReadFolder(recovered_log& out) {
    std::vector<std::string> names;
    if (auto failed = folder_.List(names)) return failed;
    for (const std::string& name : names) {
      if (auto number = SegmentNumber(name)) segments_.push_back({*number, 0, 0});
    }
    std::sort(segments_.begin(), segments_.end(),
              [](const segment& a, const segment& b) { return a.number < b.number; });
    std::optional<std::string> voter;
    if (auto failed = folder_.Read(kVoterFile, voter)) return failed;
    if (!voter) return CreateIdentity(out);
    std::string_view payload;
    if (!ReadSingleRecord(*voter, payload)) return errc::kLogCorrupt;
    if (auto failed = DecodePayload(payload, out.self)) return failed;
    if (auto failed = ReadVote(out)) return failed;
    if (auto failed = ReadSnapshot(out)) return failed;
    return ReadSegments(out);
  }

  std::error_code ReadVote(recovered_log& out) {
    std::optional<std::string> vote;
    if (auto failed = folder_.Read(kVoteFile, vote)) return failed;
    std::string_view payload;
    // Without its vote the replica could vote twice in a term.
    if (!vote || !ReadSingleRecord(*vote, payload)) return errc::kLogCorrupt;
    vote_record record;
    if (auto failed = DecodePayload(payload, record)) return failed;
    out.term = record.term;
    out.voted_for = record.voted_for;
    return {};
  }

  std::error_code CreateIdentity(recovered_log& out) {
    std::optional<std::string> snapshot;
    if (auto failed = folder_.Read(kSnapshotFile, snapshot)) return failed;
    // A log without its identity is not a new folder: the file was lost.
    if (!segments_.empty() || snapshot) return errc::kLogCorrupt;
    created_ = true;
    out.self = identity_.value_or(DrawVoterId());
    // The identity is written last; a crash before it leaves a folder that counts as empty.
    if (auto failed = ReplaceFile(kVoteFile, EncodePayload(vote_record{}))) return failed;
    return ReplaceFile(kVoterFile, EncodePayload(out.self));
  }

  std::error_code ReadSnapshot(recovered_log& out) {
    std::optional<std::string> bytes;
    if (auto failed = folder_.Read(kSnapshotFile, bytes)) return failed;
    if (!bytes) return {};
    std::string_view payload;
    if (!ReadSingleRecord(*bytes, payload)) return errc::kSnapshotCorrupt;
    auto snapshot = std::make_shared<log_snapshot>();
    if (DecodePayload(payload, *snapshot)) return errc::kSnapshotCorrupt;
    out.snapshot = std::move(snapshot);
    return {};
  }

  // Only the newest segments without a gap count, from the last one on that drops all before it. A
  // power loss may undo the removal of any older ones, with gaps between them; `raft_log` checks
  // that those that count follow the snapshot.
  std::error_code ReadSegments(recovered_log& out) {
    std::vector<std::string> contents;
    std::size_t first = segments_.size();
    while (first > 0) {
      bool adjacent =
          first == segments_.size() || segments_[first].number == segments_[first - 1].number + 1;
      if (!adjacent) break;
      std::optional<std::string> bytes;
      if (auto failed = folder_.Read(SegmentName(segments_[first - 1].number), bytes))
        return failed;
      if (!bytes) return errc::kFolderUnusable;
      --first;
      contents.push_back(std::move(*bytes));
      if (DropsEarlierSegments(contents.back())) break;
    }
    for (std::size_t i = first; i < segments_.size(); ++i) {
      std::string bytes = std::move(contents[segments_.size() - 1 - i]);
      if (auto failed = ReadSegment(segments_[i], bytes, out)) return failed;
    }
    if (!segments_.empty()) {
      std::string name = SegmentName(segments_.back().number);
      if (auto failed = folder_.OpenToAppend(name, active_)) return failed;
    }
    std::size_t read = out.entries.size();
    DropSupersededEntries(out);
    if (read == out.entries.size()) return {};
    // The entries after the snapshot must not follow the dropped ones on disk.
    return AppendToSegment(EncodePayload(log_batch{1, {}}), 0);
  }

  static bool DropsEarlierSegments(std::string_view bytes) {
    record_scan scan = ScanRecords(bytes);
    log_batch first;
    return !scan.payloads.empty() && !DecodePayload(scan.payloads.front(), first) &&
           first.truncate_from == 1;
  }

  std::error_code ReadSegment(segment& s, std::string_view bytes, recovered_log& out) {
    std::string name = SegmentName(s.number);
    bool last = s.number == segments_.back().number;
    record_scan scan = ScanRecords(bytes);
    if (scan.result == scan_result::kDamaged) return errc::kLogCorrupt;
    // A segment is started only after the one before it is synced.
    if (scan.result == scan_result::kTorn && !last) return errc::kLogCorrupt;
    for (std::string_view payload : scan.payloads) {
      if (auto failed = ReadBatch(payload, s, out)) return failed;
    }
    s.bytes = scan.valid_bytes;
    truncated_bytes_ += bytes.size() - scan.valid_bytes;
    if (scan.result != scan_result::kTorn) return {};
    std::optional<file_type> file;
    if (auto failed = folder_.OpenToAppend(name, file)) return failed;
    if (auto failed = file->Truncate(s.bytes)) return failed;
    return file->Sync();
  }

  static std::error_code ReadBatch(std::string_view payload, segment& s, recovered_log& out) {
    log_batch batch;
    if (auto failed = DecodePayload(payload, batch)) return failed;
    if (batch.truncate_from != 0) {
      std::erase_if(out.entries,
                    [&](const log_entry& e) { return e.index >= batch.truncate_from; });
    }
    for (log_entry& entry : batch.entries) {
      if (!out.entries.empty() && entry.index != out.entries.back().index + 1) {
        return errc::kLogCorrupt;
      }
      s.last_index = std::max(s.last_index, entry.index);
      out.entries.push_back(std::move(entry));
    }
    return {};
  }

  std::error_code WriteBatch(const store_batch& batch) {
    if (batch.write_vote) {
      vote_record vote{batch.term, batch.voted_for};
      if (auto error = ReplaceFile(kVoteFile, EncodePayload(vote))) return error;
    }
    if (batch.snapshot) {
      if (auto error = ReplaceFile(kSnapshotFile, EncodePayload(*batch.snapshot))) return error;
      roll_ = true;
    }
    if (batch.truncate_from != 0 || !batch.entries.empty()) {
      std::uint64_t last = batch.entries.empty() ? 0 : batch.entries.back().index;
      if (auto error = AppendToSegment(EncodePayload(batch), last)) return error;
    }
    RemoveSegmentsWhile([&](const segment& s) { return s.last_index < batch.keep_from; });
    return {};
  }

  // Nothing that a failed write may have touched is synced again or relied on. The new segment
  // holds the whole log and appears under its name at once, so that a power loss leaves either the
  // old segments or one that takes their place.
  std::error_code Rewrite(const store_batch& batch) {
    vote_record vote{batch.term, batch.voted_for};
    if (auto error = ReplaceFile(kVoteFile, EncodePayload(vote))) return error;
    if (batch.snapshot) {
      if (auto error = ReplaceFile(kSnapshotFile, EncodePayload(*batch.snapshot))) return error;
    }
    segment rewritten{NextNumber(), 0, 0};
    std::optional<file_type> file;
    if (auto error = folder_.Create(kNewSegmentFile, file)) return error;
    if (auto error = AppendWholeLog(batch, *file, rewritten)) return error;
    if (auto error = file->Sync()) return error;
    if (auto error = folder_.Rename(kNewSegmentFile, SegmentName(rewritten.number))) return error;
    segments_.push_back(rewritten);
    if (auto error = folder_.Sync()) return error;
    active_ = std::move(file);
    roll_ = false;
    RemoveSegmentsWhile([](const segment&) { return true; });
    return {};
  }

  // The first record drops what earlier segments hold.
  static std::error_code AppendWholeLog(const store_batch& batch, file_type& file, segment& s) {
    log_batch part{1, {}};
    std::size_t bytes = 0;
    auto append_part = [&] {
      std::string record;
      AppendRecord(EncodePayload(part), record);
      part = {};
      bytes = 0;
      s.bytes += record.size();
      return file.Append(record);
    };
    for (const log_entry& entry : batch.entries) {
      part.entries.push_back(entry);
      s.last_index = entry.index;
      bytes += ApproximateSize(entry.body);
      if (bytes < kRewriteRecordBytes) continue;
      if (auto error = append_part()) return error;
    }
    return append_part();
  }

  std::error_code AppendToSegment(const std::string& payload, std::uint64_t last_index) {
    if (!active_ || roll_ || segments_.back().bytes >= segment_bytes_) {
      if (auto error = StartSegment()) return error;
      roll_ = false;
    }
    std::string record;
    record.reserve(payload.size() + kRecordHeaderBytes);
    AppendRecord(payload, record);
    if (auto error = active_->Append(record)) return error;
    segments_.back().bytes += record.size();
    segments_.back().last_index = std::max(segments_.back().last_index, last_index);
    return active_->Sync();
  }

  std::uint64_t NextNumber() const { return segments_.empty() ? 1 : segments_.back().number + 1; }

  std::error_code StartSegment() {
    std::uint64_t number = NextNumber();
    if (auto error = folder_.Create(SegmentName(number), active_)) return error;
    segments_.push_back({number, 0, 0});
    return folder_.Sync();
  }

  std::error_code ReplaceFile(const std::string& name, const std::string& payload) {
    std::string record;
    AppendRecord(payload, record);
    std::string temporary = name + ".new";
    std::optional<file_type> file;
    if (auto error = folder_.Create(temporary, file)) return error;
    if (auto error = file->Append(record)) return error;
    if (auto error = file->Sync()) return error;
    if (auto error = folder_.Rename(temporary, name)) return error;
    return folder_.Sync();
  }

  // Oldest first and never the active one. A failure leaves files that are not needed, so it is no
  // failure of the batch: the next removal tries again.
  template <class Predicate>
  void RemoveSegmentsWhile(Predicate is_unneeded) {
    std::size_t before = segments_.size();
    while (segments_.size() > 1 && is_unneeded(segments_.front())) {
      std::string name = SegmentName(segments_.front().number);
      if (auto error = folder_.Remove(name)) {
        LogNotRemoved(name, error);
        return;
      }
      segments_.erase(segments_.begin());
    }
    if (segments_.size() == before) return;
    if (auto error = folder_.Sync()) LogNotRemoved("", error);
  }

  static void LogNotRemoved(const std::string& name, std::error_code error) {
    WriteLog({event_code::kSegmentNotRemoved,
              log_level::kWarning,
              {{"file", name}, {"error", error.message()}}});
  }

  Folder folder_;
  std::size_t segment_bytes_;
  std::optional<voter_id> identity_;
  std::optional<file_type> active_;
  bool created_ = false;
  std::size_t truncated_bytes_ = 0;
  std::vector<segment> segments_;
  /// The next record starts a segment, so that older ones can be deleted as a whole.
  bool roll_ = false;
  std::error_code failure_;
};

using log_storage = basic_log_storage<data_folder>;

}  // namespace radishroute

#endif  // RADISHROUTE_IO_LOG_STORAGE_H_
