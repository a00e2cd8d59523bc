#include "io/tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <utility>

#include "radishroute/error.h"
#include "radishroute/held_memory.h"

namespace radishroute {

namespace {

constexpr const char* kProtocolName = "radishroute-tcp";

// One read takes a whole event of a stream or a whole small response; more is read at once only
// for long bodies.
constexpr std::size_t kReadBytes = 16 * 1024;

// Reads from one connection before the loop serves the others; a peer may send faster than its
// bytes are handled, without end.
constexpr int kMaxReadsInTurn = 16;

// A burst of new callers waits here until the loop accepts them; a full queue costs each of them
// seconds, until its opening packet is repeated.
constexpr int kAcceptQueue = 1024;

// Written bytes are dropped from the buffer once they are this many, not at each write.
constexpr std::size_t kCompactBytes = 64 * 1024;

void SetOption(int socket, int level, int name, int value) {
  setsockopt(socket, level, name, &value, sizeof(value));
}

void Configure(int socket, const tcp_options& options) {
  SetOption(socket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(options.user_timeout.count()));
  SetOption(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
  auto probe_interval = static_cast<int>(options.probe_interval.count());
  SetOption(socket, IPPROTO_TCP, TCP_KEEPIDLE, probe_interval);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPINTVL, probe_interval);
  SetOption(socket, IPPROTO_TCP, TCP_KEEPCNT, 2);
}

bool ToSocketAddress(const endpoint& from, sockaddr_in& to) {
  to = {};
  to.sin_family = AF_INET;
  to.sin_port = htons(from.port);
  return inet_pton(AF_INET, from.host.c_str(), &to.sin_addr) == 1;
}

lws* AdoptFile(io_loop& loop, int socket, const char* protocol) {
  lws_sock_file_fd_type fd;
  fd.filefd = socket;
  return lws_adopt_descriptor_vhost(loop.ClientVhost(), LWS_ADOPT_RAW_FILE_DESC, fd, protocol,
                                    nullptr);
}

// libwebsockets closes the descriptor together with its handle.
void CloseFile(lws* wsi) {
  lws_set_opaque_user_data(wsi, nullptr);
  lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

}  // namespace

tcp_connection::tcp_connection(io_loop& loop, int socket, handlers on)
    : loop_(loop), socket_(socket), on_(std::move(on)) {}

tcp_connection::~tcp_connection() {
  *alive_ = false;
  Detach();
}

void tcp_connection::Detach() {
  if (wsi_ != nullptr) {
    CloseFile(std::exchange(wsi_, nullptr));
    // The peer hears of the end now; the descriptor itself is closed by the loop.
    shutdown(socket_, SHUT_RDWR);
  } else if (socket_ >= 0 && !ended_) {
    close(socket_);
  }
  socket_ = -1;
}

bool tcp_connection::Register() {
  wsi_ = AdoptFile(loop_, socket_, kProtocolName);
  if (wsi_ == nullptr) return false;
  lws_set_opaque_user_data(wsi_, this);
  return true;
}

std::unique_ptr<tcp_connection> tcp_connection::Connect(io_loop& loop, const endpoint& to,
                                                        const tcp_options& options, handlers on) {
  sockaddr_in address{};
  int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  std::unique_ptr<tcp_connection> c(new tcp_connection(loop, socket, std::move(on)));
  if (socket < 0 || !ToSocketAddress(to, address)) return nullptr;
  Configure(socket, options);
  int result = connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address));
  if (result != 0 && errno != EINPROGRESS) return nullptr;
  if (!c->Register()) return nullptr;
  lws_callback_on_writable(c->wsi_);
  return c;
}

std::unique_ptr<tcp_connection> tcp_connection::Adopt(io_loop& loop, int socket,
                                                      const tcp_options& options, handlers on) {
  std::unique_ptr<tcp_connection> c(new tcp_connection(loop, socket, std::move(on)));
  Configure(socket, options);
  c->connected_ = true;
  if (!c->Register()) return nullptr;
  return c;
}

lws_protocols tcp_connection::Protocol() {
  lws_protocols protocol{};
  protocol.name = kProtocolName;
  protocol.callback = &tcp_connection::OnFile;
  return protocol;
}

void tcp_connection::Write(std::string_view bytes) {
  if (ended_ || write_failed_ || wsi_ == nullptr) return;
  AppendGrowingSlowly(output_, bytes);
  if (connected_) Flush();
}

void tcp_connection::Write(std::string&& bytes) {
  if (BufferedBytes() > 0) {
    Write(std::string_view(bytes));
    return;
  }
  if (ended_ || write_failed_ || wsi_ == nullptr) return;
  output_.swap(bytes);
  written_ = 0;
  if (connected_) Flush();
}

// Connections are kept open; each would hold the memory of its longest message.
void tcp_connection::ClearOutput() {
  written_ = 0;
  if (output_.capacity() > kCompactBytes) {
    FreeString(output_);
  } else {
    output_.clear();
  }
}

void tcp_connection::Flush() {
  while (written_ < output_.size()) {
    ssize_t n = send(socket_, output_.data() + written_, output_.size() - written_, MSG_NOSIGNAL);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && errno != EAGAIN) OnWriteError(errno);
    if (n <= 0) break;
    written_ += static_cast<std::size_t>(n);
  }
  if (written_ == output_.size()) {
    ClearOutput();
    return;
  }
  if (written_ > kCompactBytes) {
    output_.erase(0, written_);
    written_ = 0;
  }
  WaitUntilWritable();
}

// The system reports an error of the socket once. The bytes that arrived before it can still be
// read, but the read after them reports an orderly end. EPIPE means that the peer had ended its
// side in order before the error (Linux reports a reset as ECONNRESET otherwise), so all of its
// bytes have arrived.
void tcp_connection::OnWriteError(int error) {
  write_failed_ = true;
  if (error != EPIPE) input_broken_ = true;
  ClearOutput();
}

void tcp_connection::WaitUntilWritable() {
  if (!in_writable_) {
    lws_callback_on_writable(wsi_);
    return;
  }
  // libwebsockets clears a request for the next writable callback when this one returns.
  loop_.Post([this, alive = alive_] {
    if (*alive && wsi_ != nullptr) lws_callback_on_writable(wsi_);
  });
}

void tcp_connection::CloseAfterWrites() {
  closing_ = true;
  if (wsi_ == nullptr || ended_) return;
  SetReading(true);
  Flush();
  if (BufferedBytes() == 0) shutdown(socket_, SHUT_WR);
}

void tcp_connection::Reset() {
  if (wsi_ == nullptr) return;
  linger reset{1, 0};
  setsockopt(socket_, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  CloseFile(std::exchange(wsi_, nullptr));
  ended_ = true;
}

ssize_t tcp_connection::Peek() {
  char first = 0;
  ssize_t n = recv(socket_, &first, 1, MSG_PEEK | MSG_DONTWAIT);
  // The next read does not report the error again.
  if (n < 0 && errno != EAGAIN && errno != EINTR) input_broken_ = true;
  return n;
}

bool tcp_connection::HasUnreadInput() { return wsi_ != nullptr && Peek() > 0; }

bool tcp_connection::HasUnreadEvent() { return wsi_ == nullptr || Peek() >= 0 || input_broken_; }

void tcp_connection::SetReading(bool reading) {
  reading_ = reading;
  if (wsi_ != nullptr) lws_rx_flow_control(wsi_, reading ? 1 : 0);
}

void tcp_connection::End(tcp_end how) {
  if (ended_) return;
  ended_ = true;
  if (wsi_ != nullptr) CloseFile(std::exchange(wsi_, nullptr));
  auto on_end = on_.on_end;
  if (on_end) on_end(how);
}

void tcp_connection::OnReadable() {
  std::shared_ptr<bool> alive = alive_;
  std::array<char, kReadBytes> buffer;
  for (int reads = 0; reads < kMaxReadsInTurn; ++reads) {
    ssize_t n = recv(socket_, buffer.data(), buffer.size(), 0);
    if (n < 0 && errno == EINTR) continue;
    if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) break;
    if (n <= 0) {
      End(n == 0 && !input_broken_ ? tcp_end::kClosed : tcp_end::kBroken);
      return;
    }
    // A socket that is closed with unread bytes is reset, and the peer may lose the response.
    if (closing_) continue;
    on_.on_bytes({buffer.data(), static_cast<std::size_t>(n)});
    if (!*alive) return;
    if (!reading_ || static_cast<std::size_t>(n) < buffer.size()) break;
  }
}

void tcp_connection::OnWritable() {
  std::shared_ptr<bool> alive = alive_;
  in_writable_ = true;
  ServeWritable();
  if (*alive) in_writable_ = false;
}

void tcp_connection::ServeWritable() {
  if (!connected_) {
    int error = 0;
    socklen_t length = sizeof(error);
    getsockopt(socket_, SOL_SOCKET, SO_ERROR, &error, &length);
    if (error != 0) {
      End(tcp_end::kConnectFailed);
    } else {
      connected_ = true;
      std::shared_ptr<bool> alive = alive_;
      if (on_.on_connected) on_.on_connected();
      if (*alive) Flush();
    }
  } else {
    bool had = BufferedBytes() > 0;
    Flush();
    bool drained = had && BufferedBytes() == 0;
    if (drained && closing_) shutdown(socket_, SHUT_WR);
  }
}

int tcp_connection::OnFile(lws* wsi, lws_callback_reasons reason, void*, void*, size_t) {
  if (wsi == nullptr) return 0;
  auto* c = static_cast<tcp_connection*>(lws_get_opaque_user_data(wsi));
  switch (reason) {
    case LWS_CALLBACK_RAW_RX_FILE:
      if (c == nullptr) return -1;
      c->OnReadable();
      return 0;
    case LWS_CALLBACK_RAW_WRITEABLE_FILE:
      if (c == nullptr) return -1;
      c->OnWritable();
      return 0;
    case LWS_CALLBACK_RAW_CLOSE_FILE:
      if (c == nullptr) return 0;
      // The socket was found dead while nothing was left to read.
      c->wsi_ = nullptr;
      c->End(c->connected_ ? tcp_end::kBroken : tcp_end::kConnectFailed);
      return 0;
    default:
      return 0;
  }
}

namespace {

constexpr const char* kListenProtocolName = "radishroute-tcp-listen";

int OnListener(lws* wsi, lws_callback_reasons reason, void*, void*, size_t) {
  if (wsi == nullptr || reason != LWS_CALLBACK_RAW_RX_FILE) return 0;
  auto* listener = static_cast<tcp_listener*>(lws_get_opaque_user_data(wsi));
  if (listener == nullptr) return -1;
  listener->AcceptAll();
  return 0;
}

}  // namespace

lws_protocols tcp_listener::Protocol() {
  lws_protocols protocol{};
  protocol.name = kListenProtocolName;
  protocol.callback = &OnListener;
  return protocol;
}

std::error_code tcp_listener::Start(const endpoint& address) {
  sockaddr_in bound{};
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket_ < 0 || !ToSocketAddress(address, bound)) return errc::kListenFailed;
  SetOption(socket_, SOL_SOCKET, SO_REUSEADDR, 1);
  bool ok = bind(socket_, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) == 0 &&
            listen(socket_, kAcceptQueue) == 0;
  if (ok) wsi_ = AdoptFile(loop_, socket_, kListenProtocolName);
  if (wsi_ == nullptr) {
    close(std::exchange(socket_, -1));
    return errc::kListenFailed;
  }
  lws_set_opaque_user_data(wsi_, this);
  return {};
}

void tcp_listener::Stop() {
  if (wsi_ == nullptr) return;
  CloseFile(std::exchange(wsi_, nullptr));
  // The port is free for a successor at once, before the loop closes the descriptor.
  shutdown(socket_, SHUT_RDWR);
  socket_ = -1;
}

void tcp_listener::AcceptAll() {
  for (;;) {
    int socket = accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (socket < 0 && errno == EINTR) continue;
    if (socket < 0) return;
    on_accept_(socket);
    if (wsi_ == nullptr) return;
  }
}

periodic_task::periodic_task(io_loop& loop, std::chrono::milliseconds interval, io_loop::task task)
    : loop_(loop), interval_(interval), task_(std::move(task)) {
  timer_.owner = this;
  Schedule();
}

periodic_task::~periodic_task() { lws_sul_cancel(&timer_.sul); }

void periodic_task::Schedule() {
  auto us = std::chrono::duration_cast<std::chrono::microseconds>(interval_).count();
  lws_sul_schedule(loop_.Context(), 0, &timer_.sul, &periodic_task::OnTimer, us);
}

void periodic_task::OnTimer(lws_sorted_usec_list_t* sul) {
  periodic_task* self = lws_container_of(sul, timer, sul)->owner;
  self->Schedule();
  self->task_();
}

}  // namespace radishroute
