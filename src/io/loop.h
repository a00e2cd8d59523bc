#ifndef RADISHROUTE_IO_LOOP_H_
#define RADISHROUTE_IO_LOOP_H_

#include <libwebsockets.h>

#include <atomic>
#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <vector>

#include "radishroute/clock.h"

namespace radishroute {

/// One libwebsockets context and the thread that runs it. Blocks until input, a posted task or a
/// timer.
class io_loop {
 public:
  using task = std::function<void()>;

  /// Tasks that may wait at most; a full queue rejects further posts.
  static constexpr std::size_t kMaxPostedTasks = 65536;

  io_loop();
  ~io_loop();
  io_loop(const io_loop&) = delete;
  io_loop& operator=(const io_loop&) = delete;

  /// False if libwebsockets could not be started.
  bool Ok() const { return context_ != nullptr; }

  lws_context* Context() { return context_; }

  /// Vhost without a listening socket, for client connections.
  lws_vhost* ClientVhost() { return client_vhost_; }

  /// Protocols of adapters must be registered before this creates the client vhost.
  bool CreateClientVhost(const lws_protocols* protocols);

  /// Runs a task on the loop's thread; false if the queue is full. Callable from any thread.
  bool Post(task t);

  /// Runs the end of an operation that this loop has started on another thread. Never refused: the
  /// operations under way are bounded themselves, and nothing would end one whose result is lost.
  void PostCompletion(task t);

  /// Calls `on_timer` at `at` unless an earlier time is already set.
  void WakeAt(steady_time at);
  void SetTimerHandler(task on_timer) { on_timer_ = std::move(on_timer); }

  /// Runs until Stop.
  void Run();

  /// Callable from any thread.
  void Stop();

  /// Callback for LWS_CALLBACK_EVENT_WAIT_CANCELLED; adapters' protocols call it.
  static void OnCancelled(lws* wsi);

  /// Protocol that runs posted tasks, for a loop whose adapters have none that does.
  static lws_protocols WakeProtocol();

 private:
  struct timer {
    lws_sorted_usec_list_t sul{};
    io_loop* owner = nullptr;
  };

  static void OnTimer(lws_sorted_usec_list_t* sul);
  void RunPosted();

  lws_context* context_ = nullptr;
  lws_vhost* client_vhost_ = nullptr;
  timer timer_;
  std::optional<steady_time> timer_at_;
  task on_timer_;
  std::mutex mutex_;
  std::vector<task> posted_;
  std::atomic<bool> stopped_{false};
};

/// Makes libwebsockets log warnings and errors only.
void QuietLibwebsockets();

}  // namespace radishroute

#endif  // RADISHROUTE_IO_LOOP_H_
