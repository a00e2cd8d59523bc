#include "io/acceptor.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>

namespace radishroute {

namespace {

// The system would grow the buffer of a caller that reads slowly to 4 MB, which 20,000 callers
// could exhaust the memory of a small VM with. Tokens need far less.
constexpr int kSendBufferBytes = 256 * 1024;

constexpr int kBacklog = 4096;

}  // namespace

std::error_code acceptor::Start(const endpoint& address) {
  socket_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket_ < 0) return errc::kListenFailed;
  int on = 1;
  setsockopt(socket_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in bound{};
  bound.sin_family = AF_INET;
  bound.sin_port = htons(address.port);
  if (inet_pton(AF_INET, address.host.c_str(), &bound.sin_addr) != 1 ||
      bind(socket_, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) != 0 ||
      listen(socket_, kBacklog) != 0) {
    close(socket_);
    socket_ = -1;
    return errc::kListenFailed;
  }
  thread_ = std::thread([this] { Run(); });
  return {};
}

void acceptor::Run() {
  while (true) {
    int accepted = accept4(socket_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
    if (accepted >= 0) {
      int on = 1;
      setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
      setsockopt(accepted, SOL_SOCKET, SO_SNDBUF, &kSendBufferBytes, sizeof(kSendBufferBytes));
      on_accept_(accepted);
      if (stopping_) fcntl(socket_, F_SETFL, O_NONBLOCK);
      continue;
    }
    if (errno == EINTR || errno == ECONNABORTED) continue;
    if (errno == EMFILE || errno == ENFILE) {
      // Out of descriptors: waits for 100 ms instead of failing at once again and again.
      poll(nullptr, 0, 100);
      continue;
    }
    return;
  }
}

void acceptor::Stop() {
  if (socket_ < 0) return;
  // Closing the socket would reset connections that clients have opened but nobody has accepted.
  // They are served too: the thread is woken by a connection of its own and accepts what is left.
  stopping_ = true;
  int wake = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in bound{};
  socklen_t length = sizeof(bound);
  getsockname(socket_, reinterpret_cast<sockaddr*>(&bound), &length);
  bool woken = wake >= 0 && connect(wake, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) == 0;
  if (!woken) shutdown(socket_, SHUT_RDWR);
  if (thread_.joinable()) thread_.join();
  if (wake >= 0) close(wake);
  close(socket_);
  socket_ = -1;
}

}  // namespace radishroute
