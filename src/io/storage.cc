#include "io/storage.h"

#include <utility>

namespace radishroute {

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
