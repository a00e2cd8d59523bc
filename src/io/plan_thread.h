#ifndef RADISHROUTE_IO_PLAN_THREAD_H_
#define RADISHROUTE_IO_PLAN_THREAD_H_

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <thread>

#include "radishroute/group_plan.h"

namespace radishroute {

/// Makes plans on a thread of its own: the largest takes longer than the control thread may be
/// busy between two heartbeats of the log.
class plan_thread {
 public:
  /// Each group has one plan under way at a time, and one more after a change of leader.
  static constexpr std::size_t kMaxQueued = 64;

  using done_handler = std::function<void(placement_planned)>;

  /// `on_done` is called on the planning thread after each plan.
  explicit plan_thread(done_handler on_done);
  ~plan_thread();
  plan_thread(const plan_thread&) = delete;
  plan_thread& operator=(const plan_thread&) = delete;

  /// Queues a plan; false if the queue is full.
  bool Post(std::shared_ptr<const plan_request> request);

 private:
  void Run();

  done_handler on_done_;
  std::mutex mutex_;
  std::condition_variable changed_;
  std::deque<std::shared_ptr<const plan_request>> queue_;
  bool stopping_ = false;
  std::thread thread_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_PLAN_THREAD_H_
