#ifndef RADISHROUTE_IO_STORAGE_H_
#define RADISHROUTE_IO_STORAGE_H_

#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "io/log_storage.h"
#include "radishroute/raft_event.h"

namespace radishroute {

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
