#include "io/tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <string>
#include <thread>
#include <utility>

#include "loopback_port.h"

namespace radishroute {

namespace {

/// An event loop in a thread that serves one accepted connection with a small send buffer.
struct tcp_fixture {
  io_loop loop;
  std::unique_ptr<tcp_connection> connection;
  std::atomic<std::size_t> received = 0;
  /// Time that the handler takes for the bytes of one read.
  std::chrono::milliseconds handling{0};
  std::promise<tcp_end> ended;
  tcp_listener listener{loop, [this](int socket) { Accept(socket); }};
  std::string greeting;
  bool close_after_greeting = true;
  std::thread thread;

  explicit tcp_fixture(std::string text, bool close_after = true)
      : greeting(std::move(text)), close_after_greeting(close_after) {
    static const lws_protocols protocols[] = {
        tcp_connection::Protocol(), tcp_listener::Protocol(), io_loop::WakeProtocol(), {}};
    loop.CreateClientVhost(protocols);
    REQUIRE(!listener.Start({"127.0.0.1", Port()}));
    thread = std::thread([this] { loop.Run(); });
  }
  ~tcp_fixture() {
    loop.Stop();
    thread.join();
  }

  static std::uint16_t Port() {
    static const std::uint16_t port = FreeLoopbackPort();
    return port;
  }

  void Accept(int socket) {
    int small = 4096;
    setsockopt(socket, SOL_SOCKET, SO_SNDBUF, &small, sizeof(small));
    if (handling.count() > 0) {
      // The sender refills what was read long before the last byte of it is.
      int large = 1 << 20;
      setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &large, sizeof(large));
    }
    connection = tcp_connection::Adopt(loop, socket, {},
                                       {[this](std::string_view bytes) { OnBytes(bytes); },
                                        [this](tcp_end how) { ended.set_value(how); }});
    connection->Write(greeting);
    if (!greeting.empty() && close_after_greeting) connection->CloseAfterWrites();
  }

  void OnBytes(std::string_view bytes) {
    std::this_thread::sleep_for(handling);
    received += bytes.size();
  }

  int Connect() {
    int client = socket(AF_INET, SOCK_STREAM, 0);
    int small = 4096;
    setsockopt(client, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(Port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    timeval longest{5, 0};
    setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof(longest));
    REQUIRE(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    return client;
  }
};

void ResetAtClose(int socket) {
  linger reset{1, 0};
  setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

tcp_end Await(std::promise<tcp_end>& ended) {
  auto end = ended.get_future();
  REQUIRE(end.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  return end.get();
}

}  // namespace

// Guards against a long response that stalls after the first parts that its reader takes.
TEST_CASE("a long text reaches a reader that takes it in small parts") {
  std::string text(1 << 20, 'x');
  tcp_fixture server(text);
  int client = server.Connect();
  std::size_t received = 0;
  std::array<char, 4096> buffer;
  for (ssize_t n = 0; (n = recv(client, buffer.data(), buffer.size(), 0)) > 0;) {
    received += static_cast<std::size_t>(n);
  }
  close(client);
  CHECK(received == text.size());
}

// Guards against a peer whose bytes have no end and that keeps the loop from all other connections.
TEST_CASE("a peer that sends faster than its bytes are handled does not hold the loop") {
  tcp_fixture server("");
  server.handling = std::chrono::milliseconds(5);
  const std::string text(std::size_t{4} << 20, 'x');
  int client = server.Connect();
  std::thread sender([&] { send(client, text.data(), text.size(), MSG_NOSIGNAL); });
  while (server.received == 0) std::this_thread::sleep_for(server.handling);
  std::promise<std::size_t> received_before;
  server.loop.Post([&] { received_before.set_value(server.received); });
  CHECK(received_before.get_future().get() < text.size() / 2);
  sender.join();
  close(client);
}

// Guards against a response without a length that was reset and passes for a whole one.
TEST_CASE("an orderly end is told from a reset") {
  tcp_fixture server("");
  int client = server.Connect();
  REQUIRE(send(client, "abc", 3, 0) == 3);
  tcp_end expected = tcp_end::kClosed;
  SECTION("closed") {}
  SECTION("reset") {
    expected = tcp_end::kBroken;
    ResetAtClose(client);
  }
  close(client);
  CHECK(Await(server.ended) == expected);
}

// Guards against the same where a write meets the reset: the system reports it once, and the next
// read ends like one of a connection that was closed in order.
TEST_CASE("an orderly end is told from a reset while bytes are written") {
  tcp_fixture server(std::string(std::size_t{8} << 20, 'x'), false);
  int client = server.Connect();
  REQUIRE(send(client, "abc", 3, 0) == 3);
  char unread = 0;
  REQUIRE(recv(client, &unread, 1, MSG_PEEK) == 1);
  tcp_end expected = tcp_end::kBroken;
  std::promise<void> held;
  SECTION("reset") { ResetAtClose(client); }
  SECTION("closed with unread bytes, which is a reset") {}
  SECTION("closed in order and reset after that") {
    expected = tcp_end::kClosed;
    // The loop meets both at once.
    server.loop.Post([&held] { held.get_future().wait(); });
    shutdown(client, SHUT_WR);
    close(std::exchange(client, -1));
    held.set_value();
  }
  if (client >= 0) close(client);
  CHECK(Await(server.ended) == expected);
  CHECK(server.received == 3);
}

}  // namespace radishroute
