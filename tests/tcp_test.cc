#include "io/tcp.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>

#include "loopback_port.h"

namespace radishroute {

namespace {

/// An event loop in a thread that serves one accepted connection with a small send buffer.
struct tcp_fixture {
  io_loop loop;
  std::unique_ptr<tcp_connection> connection;
  std::string received;
  std::promise<tcp_end> ended;
  tcp_listener listener{loop, [this](int socket) { Accept(socket); }};
  std::string greeting;
  std::thread thread;

  explicit tcp_fixture(std::string text) : greeting(std::move(text)) {
    static const lws_protocols protocols[] = {
        tcp_connection::Protocol(), tcp_listener::Protocol(), WakeProtocol(), {}};
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
    connection = tcp_connection::Adopt(loop, socket, {},
                                       {[this](std::string_view bytes) { received.append(bytes); },
                                        [this](tcp_end how) { ended.set_value(how); }});
    connection->Write(greeting);
    if (!greeting.empty()) connection->CloseAfterWrites();
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

// Guards against a response without a length that was reset and passes for a whole one.
TEST_CASE("an orderly end is told from a reset") {
  tcp_fixture server("");
  int client = server.Connect();
  REQUIRE(send(client, "abc", 3, 0) == 3);
  tcp_end expected = tcp_end::kClosed;
  SECTION("closed") {}
  SECTION("reset") {
    expected = tcp_end::kBroken;
    linger reset{1, 0};
    setsockopt(client, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
  }
  close(client);
  auto end = server.ended.get_future();
  REQUIRE(end.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  CHECK(end.get() == expected);
}

}  // namespace radishroute
