#include "io/plan_thread.h"

#include <utility>

namespace radishroute {

plan_thread::plan_thread(done_handler on_done)
    : on_done_(std::move(on_done)), thread_([this] { Run(); }) {}

plan_thread::~plan_thread() {
  {
    std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  changed_.notify_all();
  thread_.join();
}

bool plan_thread::Post(std::shared_ptr<const plan_request> request) {
  {
    std::lock_guard lock(mutex_);
    if (queue_.size() >= kMaxQueued) return false;
    queue_.push_back(std::move(request));
  }
  changed_.notify_all();
  return true;
}

void plan_thread::Run() {
  while (true) {
    std::shared_ptr<const plan_request> request;
    {
      std::unique_lock lock(mutex_);
      changed_.wait(lock, [this] { return stopping_ || !queue_.empty(); });
      if (stopping_) return;
      request = std::move(queue_.front());
      queue_.pop_front();
    }
    on_done_({std::make_shared<const plan_result>(MakePlan(*request))});
  }
}

}  // namespace radishroute
