#include "io/storage.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <optional>
#include <random>
#include <utility>

#include "io/storage_record.h"
#include "radishroute/error.h"
#include "radishroute/raft_log.h"

namespace radishroute {

namespace {

constexpr const char* kVoterFile = "voter";
constexpr const char* kVoteFile = "vote";
constexpr const char* kSnapshotFile = "snapshot";
constexpr const char* kLockFile = "lock";
constexpr std::string_view kSegmentPrefix = "segment-";
constexpr std::size_t kSegmentDigits = 12;

std::string SegmentName(std::uint64_t number) {
  std::string digits = std::to_string(number);
  return std::string(kSegmentPrefix) +
         std::string(kSegmentDigits - std::min(kSegmentDigits, digits.size()), '0') + digits;
}

std::optional<std::uint64_t> SegmentNumber(std::string_view name) {
  if (!name.starts_with(kSegmentPrefix)) return std::nullopt;
  name.remove_prefix(kSegmentPrefix.size());
  std::uint64_t number = 0;
  auto [end, error] = std::from_chars(name.data(), name.data() + name.size(), number);
  if (error != std::errc() || end != name.data() + name.size()) return std::nullopt;
  return number;
}

std::optional<std::string> ReadWholeFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) return std::nullopt;
  std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (file.bad()) return std::nullopt;
  return bytes;
}

std::error_code WriteError() {
  return errno == ENOSPC || errno == EDQUOT ? errc::kDiskFull : errc::kSyncFailed;
}

std::error_code WriteAll(int fd, std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t written = write(fd, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return WriteError();
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

// A failed sync must not be repeated: Linux marks the pages clean and a second sync would succeed
// although the data is lost.
std::error_code Sync(int fd) { return fdatasync(fd) == 0 ? std::error_code() : WriteError(); }

std::uint64_t DrawVoterId() {
  std::random_device entropy;
  std::uint64_t id = 0;
  while (id == 0) id = (std::uint64_t{entropy()} << 32) | entropy();
  return id;
}

}  // namespace

log_storage::~log_storage() {
  if (active_ >= 0) close(active_);
  if (lock_ >= 0) close(lock_);
}

std::error_code log_storage::Open(recovered_log& out) {
  std::error_code error;
  std::filesystem::create_directories(folder_, error);
  if (error) return errc::kFolderUnusable;
  if (auto failed = Lock()) return failed;
  return ReadFolder(out);
}

std::error_code log_storage::Lock() {
  lock_ = open(PathOf(kLockFile).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) return errc::kFolderUnusable;
  // Two processes with one voter id could vote twice in a term.
  if (flock(lock_, LOCK_EX | LOCK_NB) != 0) return errc::kFolderInUse;
  return {};
}

std::error_code log_storage::ReadFolder(recovered_log& out) {
  std::error_code error;
  for (const auto& file : std::filesystem::directory_iterator(folder_, error)) {
    if (auto number = SegmentNumber(file.path().filename().string())) {
      segments_.push_back({*number, 0, 0});
    }
  }
  if (error) return errc::kFolderUnusable;
  std::sort(segments_.begin(), segments_.end(),
            [](const segment& a, const segment& b) { return a.number < b.number; });

  auto voter = ReadWholeFile(PathOf(kVoterFile));
  if (!voter) return CreateIdentity(out);
  auto vote = ReadWholeFile(PathOf(kVoteFile));
  std::string_view payload;
  if (!ReadSingleRecord(*voter, payload)) return errc::kLogCorrupt;
  if (auto failed = DecodePayload(payload, out.self)) return failed;
  // Without its vote the replica could vote twice in a term.
  if (!vote || !ReadSingleRecord(*vote, payload)) return errc::kLogCorrupt;
  vote_record record;
  if (auto failed = DecodePayload(payload, record)) return failed;
  out.term = record.term;
  out.voted_for = record.voted_for;
  if (auto failed = ReadSnapshot(out)) return failed;
  return ReadSegments(out);
}

std::error_code log_storage::CreateIdentity(recovered_log& out) {
  // A log without its identity is not a new folder: the file was lost.
  if (!segments_.empty() || std::filesystem::exists(PathOf(kSnapshotFile))) {
    return errc::kLogCorrupt;
  }
  created_ = true;
  out.self = identity_.value_or(voter_id{DrawVoterId()});
  // The identity is written last; a crash before it leaves a folder that counts as empty.
  if (auto failed = ReplaceFile(kVoteFile, EncodePayload(vote_record{}))) return failed;
  return ReplaceFile(kVoterFile, EncodePayload(out.self));
}

std::error_code log_storage::ReadSnapshot(recovered_log& out) {
  if (!std::filesystem::exists(PathOf(kSnapshotFile))) return {};
  auto bytes = ReadWholeFile(PathOf(kSnapshotFile));
  std::string_view payload;
  if (!bytes || !ReadSingleRecord(*bytes, payload)) return errc::kSnapshotCorrupt;
  auto snapshot = std::make_shared<log_snapshot>();
  if (DecodePayload(payload, *snapshot)) return errc::kSnapshotCorrupt;
  out.snapshot = std::move(snapshot);
  return {};
}

std::error_code log_storage::ReadSegments(recovered_log& out) {
  for (std::size_t i = 0; i < segments_.size(); ++i) {
    if (i > 0 && segments_[i].number != segments_[i - 1].number + 1) return errc::kLogCorrupt;
    bool last = i + 1 == segments_.size();
    if (auto failed = ReadSegment(segments_[i], last, out)) return failed;
  }
  if (!segments_.empty()) {
    std::string path = PathOf(SegmentName(segments_.back().number));
    active_ = open(path.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (active_ < 0) return errc::kFolderUnusable;
  }
  std::size_t read = out.entries.size();
  DropSupersededEntries(out);
  if (read == out.entries.size()) return {};
  // The entries after the snapshot must not follow the dropped ones on disk.
  return AppendToSegment(EncodePayload(log_batch{1, {}}), 0);
}

std::error_code log_storage::ReadSegment(segment& s, bool last, recovered_log& out) {
  std::string path = PathOf(SegmentName(s.number));
  auto bytes = ReadWholeFile(path);
  if (!bytes) return errc::kFolderUnusable;
  record_scan scan = ScanRecords(*bytes);
  if (scan.result == scan_result::kDamaged) return errc::kLogCorrupt;
  // A segment is started only after the one before it is synced.
  if (scan.result == scan_result::kTorn && !last) return errc::kLogCorrupt;
  for (std::string_view payload : scan.payloads) {
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
  }
  s.bytes = scan.valid_bytes;
  truncated_bytes_ += bytes->size() - scan.valid_bytes;
  if (scan.result != scan_result::kTorn) return {};
  int fd = open(path.c_str(), O_WRONLY | O_CLOEXEC);
  if (fd < 0) return errc::kFolderUnusable;
  bool done = ftruncate(fd, static_cast<off_t>(s.bytes)) == 0 && fsync(fd) == 0;
  close(fd);
  return done ? std::error_code() : errc::kSyncFailed;
}

std::error_code log_storage::Write(const store_batch& batch) {
  if (!failure_) failure_ = WriteBatch(batch);
  return failure_;
}

std::error_code log_storage::WriteBatch(const store_batch& batch) {
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
  return batch.keep_from == 0 ? std::error_code() : DeleteSegmentsBefore(batch.keep_from);
}

std::error_code log_storage::AppendToSegment(const std::string& payload, std::uint64_t last_index) {
  if (active_ < 0 || roll_ || segments_.back().bytes >= segment_bytes_) {
    if (auto error = StartSegment()) return error;
    roll_ = false;
  }
  std::string record;
  record.reserve(payload.size() + kRecordHeaderBytes);
  AppendRecord(payload, record);
  if (auto error = WriteAll(active_, record)) return error;
  segments_.back().bytes += record.size();
  segments_.back().last_index = std::max(segments_.back().last_index, last_index);
  return Sync(active_);
}

std::error_code log_storage::StartSegment() {
  std::uint64_t number = segments_.empty() ? 1 : segments_.back().number + 1;
  std::string path = PathOf(SegmentName(number));
  int fd = open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_APPEND | O_CLOEXEC, 0600);
  if (fd < 0) return WriteError();
  if (active_ >= 0) close(active_);
  active_ = fd;
  segments_.push_back({number, 0, 0});
  return SyncFolder();
}

std::error_code log_storage::ReplaceFile(const std::string& name, const std::string& payload) {
  std::string record;
  AppendRecord(payload, record);
  std::string temporary = PathOf(name + ".new");
  int fd = open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return WriteError();
  std::error_code error = WriteAll(fd, record);
  if (!error) error = Sync(fd);
  close(fd);
  if (error) return error;
  if (rename(temporary.c_str(), PathOf(name).c_str()) != 0) return WriteError();
  return SyncFolder();
}

std::error_code log_storage::DeleteSegmentsBefore(std::uint64_t index) {
  // Oldest first and never the active one, so that the files left are always consecutive.
  while (segments_.size() > 1 && segments_.front().last_index < index) {
    unlink(PathOf(SegmentName(segments_.front().number)).c_str());
    segments_.erase(segments_.begin());
  }
  return {};
}

std::error_code log_storage::SyncFolder() {
  int fd = open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return WriteError();
  std::error_code error = fsync(fd) == 0 ? std::error_code() : WriteError();
  close(fd);
  return error;
}

storage_thread::storage_thread(std::unique_ptr<log_storage> storage, done_handler on_done)
    : storage_(std::move(storage)), on_done_(std::move(on_done)), thread_([this] { Run(); }) {}

storage_thread::~storage_thread() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

bool storage_thread::Post(std::shared_ptr<const store_batch> batch) {
  {
    std::lock_guard lock(mutex_);
    if (queue_.size() >= kMaxQueued) return false;
    queue_.push_back(std::move(batch));
  }
  changed_.notify_all();
  return true;
}

void storage_thread::Run() {
  while (true) {
    std::shared_ptr<const store_batch> batch;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (queue_.empty()) return;
      batch = std::move(queue_.front());
      queue_.pop_front();
    }
    on_done_({batch->log_group, batch->sequence, storage_->Write(*batch)});
  }
}

}  // namespace radishroute
