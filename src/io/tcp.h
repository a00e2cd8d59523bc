#ifndef RADISHROUTE_IO_TCP_H_
#define RADISHROUTE_IO_TCP_H_

#include <libwebsockets.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_set>

#include "io/loop.h"
#include "radishroute/types.h"

namespace radishroute {

/// How a connection ended, as seen from this side.
enum class tcp_end : std::uint8_t {
  /// The peer closed its side after all bytes.
  kClosed,
  /// Reset, unreachable or silent for too long; bytes may be missing.
  kBroken,
  /// The connection was never established.
  kConnectFailed,
};

struct tcp_options {
  /// A connection whose peer acknowledges nothing for this time is broken.
  std::chrono::milliseconds user_timeout{3000};
  /// Probes of an idle connection start after this time and follow at this interval.
  std::chrono::seconds probe_interval{1};
};

/// One TCP connection on an event loop. libwebsockets only waits for the socket: it does not tell
/// an orderly end from a reset, which decides whether a response without a length is complete.
class tcp_connection {
 public:
  struct handlers {
    std::function<void(std::string_view)> on_bytes;
    /// Called at most once and not after Close.
    std::function<void(tcp_end)> on_end;
    /// Optional; called once a connection that this side opened is established.
    std::function<void()> on_connected = nullptr;
  };

  /// Starts to connect; ends in `on_end` if it fails.
  static std::unique_ptr<tcp_connection> Connect(io_loop& loop, const endpoint& to,
                                                 const tcp_options& options, handlers on);
  /// Takes over an accepted socket.
  static std::unique_ptr<tcp_connection> Adopt(io_loop& loop, int socket,
                                               const tcp_options& options, handlers on);
  ~tcp_connection();
  tcp_connection(const tcp_connection&) = delete;
  tcp_connection& operator=(const tcp_connection&) = delete;

  void Write(std::string_view bytes);
  /// Keeps the bytes without a copy if none wait to be written.
  void Write(std::string&& bytes);
  /// Closes this side after the buffered bytes have been written. Input is dropped from now on;
  /// `on_end` follows when the peer has closed too.
  void CloseAfterWrites();
  /// Drops what the peer has not read yet. A peer that is held up must not find the request of a
  /// caller that has left.
  void Reset();
  /// Stops or resumes reading.
  void SetReading(bool reading);

  /// Whether bytes of the peer wait to be read.
  bool HasUnreadInput();
  /// Whether bytes of the peer, its end or an error wait to be read.
  bool HasUnreadEvent();
  /// Whether the system has taken all bytes that were to be written.
  bool HasWrittenAll() const { return BufferedBytes() == 0 && !write_failed_; }
  std::size_t BufferedBytes() const { return output_.size() - written_; }
  /// Memory of the bytes that wait to be written.
  std::size_t BufferedMemory() const { return BufferedBytes() == 0 ? 0 : output_.capacity(); }
  bool Connected() const { return connected_; }

  static lws_protocols Protocol();

 private:
  tcp_connection(io_loop& loop, int socket, handlers on);
  bool Register();
  void Detach();
  void OnReadable();
  void OnWritable();
  void ServeWritable();
  void WaitUntilWritable();
  void Flush();
  void OnWriteError(int error);
  void ClearOutput();
  void End(tcp_end how);
  /// Looks at the next byte; the result of recv.
  ssize_t Peek();
  static int OnFile(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t len);

  io_loop& loop_;
  int socket_;
  handlers on_;
  lws* wsi_ = nullptr;
  bool connected_ = false;
  bool ended_ = false;
  bool closing_ = false;
  bool reading_ = true;
  /// A write has failed; nothing more is written.
  bool write_failed_ = false;
  /// An error was reported, after which bytes of the peer may be missing.
  bool input_broken_ = false;
  /// Set while the writable callback runs.
  bool in_writable_ = false;
  std::string output_;
  std::size_t written_ = 0;
  /// False once this object is destroyed, which a handler may do while it runs.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

/// Accepts connections on an event loop.
class tcp_listener {
 public:
  using accept_handler = std::function<void(int socket)>;

  tcp_listener(io_loop& loop, accept_handler on_accept)
      : loop_(loop), on_accept_(std::move(on_accept)) {}
  ~tcp_listener() { Stop(); }
  tcp_listener(const tcp_listener&) = delete;
  tcp_listener& operator=(const tcp_listener&) = delete;

  /// Error: kListenFailed.
  std::error_code Start(const endpoint& address);
  void Stop();
  /// Takes all waiting connections.
  void AcceptAll();

  static lws_protocols Protocol();

 private:
  io_loop& loop_;
  accept_handler on_accept_;
  int socket_ = -1;
  lws* wsi_ = nullptr;
};

/// Calls a task at a fixed interval on the loop's thread.
class periodic_task {
 public:
  periodic_task(io_loop& loop, std::chrono::milliseconds interval, io_loop::task task);
  ~periodic_task();
  periodic_task(const periodic_task&) = delete;
  periodic_task& operator=(const periodic_task&) = delete;

 private:
  struct timer {
    lws_sorted_usec_list_t sul{};
    periodic_task* owner = nullptr;
  };
  static void OnTimer(lws_sorted_usec_list_t* sul);
  void Schedule();

  io_loop& loop_;
  std::chrono::milliseconds interval_;
  io_loop::task task_;
  timer timer_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_TCP_H_
