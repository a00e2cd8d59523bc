#ifndef RADISHROUTE_IO_STORAGE_H_
#define RADISHROUTE_IO_STORAGE_H_

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <system_error>
#include <thread>
#include <vector>

#include "radishroute/raft_event.h"

namespace radishroute {

/// Data folder of one replica: voter identity, vote, snapshot and log segments.
class log_storage {
 public:
  /// A segment that exceeds this length is followed by a new one.
  static constexpr std::size_t kSegmentBytes = std::size_t{8} << 20;

  /// An empty folder gets `identity`, or a random one.
  explicit log_storage(std::string folder, std::size_t segment_bytes = kSegmentBytes,
                       std::optional<voter_id> identity = std::nullopt)
      : folder_(std::move(folder)), segment_bytes_(segment_bytes), identity_(identity) {}
  ~log_storage();
  log_storage(const log_storage&) = delete;
  log_storage& operator=(const log_storage&) = delete;

  /// Locks the folder and reads it; creates it with a random voter id if it is empty. Errors:
  /// kFolderInUse, kFolderUnusable, kLogCorrupt, kSnapshotCorrupt, kDiskFull, kSyncFailed.
  std::error_code Open(recovered_log& out);

  /// Writes and syncs a batch. Errors: kDiskFull, kSyncFailed; each later call then fails too.
  std::error_code Write(const store_batch& batch);

  /// Whether Open created the folder's content.
  bool Created() const { return created_; }
  /// Bytes of a torn record that Open removed.
  std::size_t TruncatedBytes() const { return truncated_bytes_; }

 private:
  struct segment {
    std::uint64_t number = 0;
    /// Highest entry index written to it.
    std::uint64_t last_index = 0;
    std::size_t bytes = 0;
  };

  std::string PathOf(const std::string& name) const { return folder_ + "/" + name; }
  std::error_code Lock();
  std::error_code ReadFolder(recovered_log& out);
  std::error_code CreateIdentity(recovered_log& out);
  std::error_code ReadSnapshot(recovered_log& out);
  std::error_code ReadSegments(recovered_log& out);
  std::error_code ReadSegment(segment& s, bool last, recovered_log& out);
  std::error_code WriteBatch(const store_batch& batch);
  std::error_code AppendToSegment(const std::string& payload, std::uint64_t last_index);
  std::error_code StartSegment();
  std::error_code ReplaceFile(const std::string& name, const std::string& payload);
  std::error_code DeleteSegmentsBefore(std::uint64_t index);
  std::error_code SyncFolder();

  std::string folder_;
  std::size_t segment_bytes_;
  std::optional<voter_id> identity_;
  int lock_ = -1;
  int active_ = -1;
  bool created_ = false;
  std::size_t truncated_bytes_ = 0;
  std::vector<segment> segments_;
  /// The next record starts a segment, so that older ones can be deleted as a whole.
  bool roll_ = false;
  std::error_code failure_;
};

/// Writes batches on a thread of its own, so that a sync never blocks the control thread.
class storage_thread {
 public:
  /// Each log group has one batch under way at a time, so a few places suffice.
  static constexpr std::size_t kMaxQueued = 64;

  using done_handler = std::function<void(log_stored)>;

  /// `on_done` is called on the storage thread after each batch.
  storage_thread(std::unique_ptr<log_storage> storage, done_handler on_done);
  /// Writes what is queued, then ends the thread.
  ~storage_thread();
  storage_thread(const storage_thread&) = delete;
  storage_thread& operator=(const storage_thread&) = delete;

  /// Queues a batch; false if the queue is full.
  bool Post(std::shared_ptr<const store_batch> batch);

 private:
  void Run();

  std::unique_ptr<log_storage> storage_;
  done_handler on_done_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::shared_ptr<const store_batch>> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_STORAGE_H_
