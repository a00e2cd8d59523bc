#ifndef RADISHROUTE_IO_ACCEPTOR_H_
#define RADISHROUTE_IO_ACCEPTOR_H_

#include <atomic>
#include <functional>
#include <system_error>
#include <thread>

#include "radishroute/error.h"
#include "radishroute/types.h"

namespace radishroute {

/// Listens on one address and hands accepted sockets to event loops. libwebsockets cannot share a
/// listening port between contexts in Debian's build, so one blocking thread accepts for all.
class acceptor {
 public:
  explicit acceptor(std::function<void(int socket)> on_accept) : on_accept_(std::move(on_accept)) {}
  ~acceptor() { Stop(); }
  acceptor(const acceptor&) = delete;
  acceptor& operator=(const acceptor&) = delete;

  /// Error: kListenFailed.
  std::error_code Start(const endpoint& address);
  /// Hands on what clients have already connected, then stops listening.
  void Stop();

 private:
  void Run();

  std::function<void(int)> on_accept_;
  int socket_ = -1;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_ACCEPTOR_H_
