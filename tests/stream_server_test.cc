#include "io/stream_server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <future>
#include <string>
#include <thread>

#include "loopback_port.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;

/// A server on a loop of its own, and one client connection that the test plays.
struct server_fixture {
  server_fixture() {
    static const lws_protocols protocols[] = {
        tcp_connection::Protocol(), tcp_listener::Protocol(), io_loop::WakeProtocol(), {}};
    loop.CreateClientVhost(protocols);
    server = std::make_unique<stream_server>(
        loop, stream_server::handlers{[this](received_request&& r) { OnRequest(r); },
                                      [this](exchange_id id) { closed.push_back(id); }, nullptr});
    port = FreeLoopbackPort();
    REQUIRE(!server->Start({"127.0.0.1", port}));
    thread = std::thread([this] { loop.Run(); });
    Connect();
  }

  void Connect() {
    client = socket(AF_INET, SOCK_STREAM, 0);
    int small = 4096;
    setsockopt(client, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    timeval longest{3, 0};
    setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &longest, sizeof(longest));
    REQUIRE(connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  }

  void Reconnect() {
    close(client);
    Connect();
  }

  ~server_fixture() {
    close(client);
    loop.Stop();
    thread.join();
    server.reset();
  }

  void OnRequest(const received_request& r) {
    ++requests;
    if (requests == 1) first.set_value(r.exchange);
    if (requests == 2) second.set_value(r.exchange);
    if (respond) server->Respond(r.exchange, 200, {}, response);
  }

  /// Runs a task on the loop's thread and waits for it.
  void OnLoop(const std::function<void()>& task) {
    std::promise<void> done;
    loop.Post([&] {
      task();
      done.set_value();
    });
    done.get_future().wait();
  }

  template <class Task>
  auto OnLoopValue(Task task) {
    decltype(task()) value{};
    OnLoop([&] { value = task(); });
    return value;
  }

  void Send(const std::string& text) {
    REQUIRE(send(client, text.data(), text.size(), MSG_NOSIGNAL) ==
            static_cast<ssize_t>(text.size()));
  }

  /// Whether the server closes the connection within the client's time.
  bool ReadsToEnd() {
    std::array<char, 4096> buffer;
    ssize_t n = 0;
    while ((n = recv(client, buffer.data(), buffer.size(), 0)) > 0) {
      received.append(buffer.data(), static_cast<std::size_t>(n));
    }
    return n == 0;
  }

  io_loop loop;
  std::unique_ptr<stream_server> server;
  std::promise<exchange_id> first;
  std::promise<exchange_id> second;
  int requests = 0;
  /// Written and read on the loop's thread.
  std::vector<exchange_id> closed;
  /// Requests are answered at once, with `response`.
  bool respond = false;
  std::string response = "ok";
  std::uint16_t port = 0;
  int client = -1;
  std::string received;
  std::thread thread;
};

}  // namespace

// Guards against a request that is taken at the end of a drain and cut off when the process ends.
TEST_CASE("a stream that outlives the start of a drain is the last of its connection") {
  server_fixture f;
  f.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  exchange_id exchange = f.first.get_future().get();
  f.OnLoop([&] { f.server->Begin(exchange, 200, {}, std::nullopt); });
  f.OnLoop([&] {
    f.server->Drain();
    f.server->CloseIdle();
  });
  f.OnLoop([&] {
    f.server->Write(exchange, "x");
    f.server->End(exchange);
  });
  CHECK(f.ReadsToEnd());
  CHECK(f.received.ends_with("0\r\n\r\n"));
  CHECK(f.requests == 1);
}

// Guards against a process that ends while the end of a long response is still in its buffer.
TEST_CASE("the end of a drain waits for buffered bytes") {
  server_fixture f;
  f.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  exchange_id exchange = f.first.get_future().get();
  std::string text(std::size_t{3} << 20, 'x');
  std::promise<void> written;
  auto done = written.get_future();
  f.OnLoop([&] {
    f.server->Drain();
    f.server->CloseIdle();
    f.server->Respond(exchange, 200, {}, text);
    f.server->WhenWritten([&] { written.set_value(); });
  });
  CHECK(done.wait_for(50ms) == std::future_status::timeout);
  CHECK(f.ReadsToEnd());
  CHECK(done.wait_for(3s) == std::future_status::ready);
  CHECK(f.received.size() > text.size());
}

// Guards against requests that were accepted just before the end of a drain and cut off without a
// response.
TEST_CASE("the end of a drain serves requests that have begun to arrive") {
  server_fixture f;
  f.respond = true;
  SECTION("a request is read in part") {
    f.Send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nab");
    while (f.OnLoopValue([&] { return f.server->BufferedRequestBytes(); }) < 2) {
      std::this_thread::sleep_for(1ms);
    }
    f.OnLoop([&] {
      f.server->Drain();
      f.server->CloseIdle();
    });
    f.Send("cd");
  }
  SECTION("a request has not been read yet") {
    f.OnLoop([&] {
      f.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
      f.server->Drain();
      f.server->CloseIdle();
    });
  }
  SECTION("the connection has not been accepted yet") {
    f.OnLoop([&] {
      f.Reconnect();
      f.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
      f.server->Drain();
      f.server->CloseIdle();
    });
  }
  std::promise<void> written;
  auto done = written.get_future();
  f.OnLoop([&] { f.server->WhenWritten([&] { written.set_value(); }); });
  CHECK(f.ReadsToEnd());
  CHECK(f.received.starts_with("HTTP/1.1 200"));
  CHECK(f.received.ends_with("ok"));
  CHECK(done.wait_for(3s) == std::future_status::ready);
}

// Guards against chunks in a response to a client that does not know them.
TEST_CASE("a response to an HTTP/1.0 client ends with its connection") {
  server_fixture f;
  f.Send("GET /a HTTP/1.0\r\nHost: h\r\nConnection: keep-alive\r\n\r\n");
  exchange_id exchange = f.first.get_future().get();
  f.OnLoop([&] {
    f.server->Begin(exchange, 200, {}, std::nullopt);
    f.server->Write(exchange, "part");
  });
  SECTION("a complete one by an orderly end") {
    f.OnLoop([&] { f.server->End(exchange); });
    CHECK(f.ReadsToEnd());
    CHECK(f.received.ends_with("\r\n\r\npart"));
    CHECK(f.received.find("chunked") == std::string::npos);
  }
  SECTION("one that is cut off by a reset") {
    f.OnLoop([&] { f.server->Abort(exchange); });
    CHECK(!f.ReadsToEnd());
  }
}

// Guards against memory that runs out when many clients leave their responses unread, each below
// its own bound, and against cutting off one that has little to read.
TEST_CASE("unread responses are bounded over all clients") {
  server_fixture f;
  client_limits limits;
  limits.max_unsent_bytes = SIZE_MAX;
  limits.max_total_unsent_bytes = std::size_t{4} << 20;
  f.OnLoop([&] { f.server->SetLimits(limits); });
  f.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  exchange_id slow = f.first.get_future().get();
  int other = f.client;
  f.Connect();
  f.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  exchange_id slower = f.second.get_future().get();
  std::vector<exchange_id> cut;
  f.OnLoop([&] {
    f.server->Begin(slow, 200, {}, std::nullopt);
    f.server->Begin(slower, 200, {}, std::nullopt);
    std::string part(std::size_t{1} << 20, 'x');
    for (int i = 0; i < 100 && f.closed.empty(); ++i) {
      f.server->Write(slower, part);
      f.server->Write(slower, part);
      f.server->Write(slow, part);
    }
    cut = f.closed;
  });
  REQUIRE(cut.size() == 1);
  CHECK(cut.front() == slower);
  close(other);
}

// Guards against the end of the process by a client that does not read and then sends a request
// that is rejected.
TEST_CASE("a rejected request of a client that is cut off ends its connection only") {
  server_fixture f;
  client_limits limits;
  limits.max_unsent_bytes = SIZE_MAX;
  limits.max_total_unsent_bytes = SIZE_MAX;
  f.OnLoop([&] { f.server->SetLimits(limits); });
  f.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  exchange_id id = f.first.get_future().get();
  f.OnLoop([&] {
    f.server->Respond(id, 200, {}, std::string(std::size_t{16} << 20, 'x'));
    limits.max_unsent_bytes = 1;
    f.server->SetLimits(limits);
  });
  f.Send("no request\r\n\r\n");
  f.Reconnect();
  f.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(f.second.get_future().wait_for(3s) == std::future_status::ready);
}

// Guards against the end of the process when the rejection of one request cuts off another client
// whose request is to be rejected as well.
TEST_CASE("requests that stop short are rejected together with clients that do not read") {
  server_fixture f;
  client_limits limits;
  limits.max_unsent_bytes = SIZE_MAX;
  limits.max_total_unsent_bytes = SIZE_MAX;
  limits.head_timeout = 300ms;
  f.OnLoop([&] {
    f.server->SetLimits(limits);
    f.respond = true;
  });
  constexpr int kClients = 9;
  std::vector<int> clients;
  for (int i = 0; i < kClients; ++i) {
    // The client in the middle leaves the most unread and is cut off first.
    std::size_t mebibytes = i == kClients / 2 ? 24 : 16;
    f.OnLoop([&] { f.response.assign(mebibytes << 20, 'x'); });
    f.Send("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    std::array<char, 1> begin;
    REQUIRE(recv(f.client, begin.data(), begin.size(), 0) == 1);
    clients.push_back(f.client);
    f.Connect();
  }
  f.OnLoop([&] {
    limits.max_total_unsent_bytes = 0;
    f.server->SetLimits(limits);
    f.response = "ok";
  });
  for (int client : clients) {
    constexpr std::string_view kShort = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nx";
    REQUIRE(send(client, kShort.data(), kShort.size(), MSG_NOSIGNAL) > 0);
  }
  std::this_thread::sleep_for(1500ms);
  f.Reconnect();
  f.Send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
  CHECK(f.ReadsToEnd());
  CHECK(f.received.ends_with("ok"));
  for (int client : clients) close(client);
}

// Guards against memory that is taken for a body which the budget has no room for, and against a
// refusal that leaves the budget charged.
TEST_CASE("bodies beyond the budget are refused before they are read") {
  server_fixture f;
  f.respond = true;
  f.OnLoop([&] { f.server->SetBudget({0, 64 * 1024, 10000}); });
  SECTION("announced") { f.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10001\r\n\r\n"); }
  SECTION("in chunks") {
    f.Send("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n");
    f.Send("2711\r\n" + std::string(10001, 'x') + "\r\n0\r\n\r\n");
  }
  CHECK(f.ReadsToEnd());
  CHECK(f.received.starts_with("HTTP/1.1 503"));
  CHECK(f.requests == 0);
  f.Reconnect();
  f.Send("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 10000\r\n\r\n");
  f.Send(std::string(10000, 'x'));
  f.received.clear();
  CHECK(f.ReadsToEnd());
  CHECK(f.received.starts_with("HTTP/1.1 200"));
}

// Guards against a client that stops short and keeps all others out.
TEST_CASE("a body that stops short gives way to one that is sent") {
  server_fixture f;
  f.respond = true;
  f.OnLoop([&] { f.server->SetBudget({0, 64 * 1024, 10000}); });
  f.Send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10000\r\n\r\nabc");
  int stopped = f.client;
  std::this_thread::sleep_for(600ms);
  f.Connect();
  f.Send("POST / HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 5000\r\n\r\n");
  f.Send(std::string(5000, 'x'));
  CHECK(f.ReadsToEnd());
  CHECK(f.received.starts_with("HTTP/1.1 200"));
  std::swap(f.client, stopped);
  CHECK(f.ReadsToEnd());
  close(stopped);
}

// Guards against memory that runs out on documents which wait for the log, and against room that is
// not given back with the response.
TEST_CASE("bodies can be charged until their request is answered") {
  server_fixture f;
  f.OnLoop([&] { f.server->SetBudget({0, 64 * 1024, 10000}, body_charge::kUntilAnswered); });
  std::string request = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 8000\r\n\r\n";
  f.Send(request + std::string(8000, 'x'));
  exchange_id exchange = f.first.get_future().get();
  int waiting = f.client;
  std::this_thread::sleep_for(600ms);
  f.Connect();
  f.Send(request);
  CHECK(f.ReadsToEnd());
  CHECK(f.received.starts_with("HTTP/1.1 503"));
  f.OnLoop([&] { f.server->Respond(exchange, 200, {}, "ok"); });
  f.Reconnect();
  f.Send(request + std::string(8000, 'x'));
  CHECK(f.second.get_future().wait_for(3s) == std::future_status::ready);
  close(waiting);
}

// Guards against requests behind one in progress that take memory without bound, and against the
// loss of the response to that one.
TEST_CASE("requests behind one in progress are dropped beyond the budget") {
  server_fixture f;
  f.OnLoop([&] { f.server->SetBudget({0, 4096, 10000}); });
  f.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  exchange_id exchange = f.first.get_future().get();
  f.Send("GET /b HTTP/1.1\r\nHost: h\r\nX: " + std::string(8000, 'x') + "\r\n\r\n");
  std::this_thread::sleep_for(50ms);
  f.OnLoop([&] { f.server->Respond(exchange, 200, {}, "ok"); });
  CHECK(f.ReadsToEnd());
  CHECK(f.received.ends_with("ok"));
  CHECK(f.requests == 1);
}

// Guards against descriptors that run out on clients that send nothing.
TEST_CASE("connections beyond the budget are closed") {
  server_fixture f;
  f.respond = true;
  f.OnLoop([&] { f.server->SetBudget({1, 0, 0}); });
  f.Send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  f.first.get_future().get();
  int kept = f.client;
  f.Connect();
  CHECK(f.ReadsToEnd());
  std::this_thread::sleep_for(600ms);
  f.Reconnect();
  f.Send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(f.second.get_future().wait_for(3s) == std::future_status::ready);
  close(kept);
}

}  // namespace radishroute
