#include "io/upstream_client.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <catch2/catch.hpp>
#include <condition_variable>
#include <deque>
#include <functional>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

#include "loopback_port.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;

/// A client on a loop of its own, and a backend server that the test plays on a plain socket.
struct client_fixture {
  explicit client_fixture(const std::string& identity_header = "Request-Id") {
    static const lws_protocols protocols[] = {
        tcp_connection::Protocol(), io_loop::WakeProtocol(), {}};
    loop.CreateClientVhost(protocols);
    client = std::make_unique<upstream_client>(
        loop, identity_header,
        upstream_client::handlers{
            [this](upstream_id id, http_head&& head) {
              Record(std::to_string(id.value) + " head " + std::to_string(head.status));
            },
            [this](upstream_id id, std::string_view bytes) {
              Record(std::to_string(id.value) + " body " + std::string(bytes));
            },
            [this](upstream_id id) {
              Record(std::to_string(id.value) + " end");
              if (auto once = std::exchange(after_end, nullptr)) once();
            },
            [this](upstream_id id, upstream_stage stage, response_fault fault) {
              last_fault = fault;
              Record(std::to_string(id.value) + " failed " + std::string(ToString(stage)));
            }});
    listener = socket(AF_INET, SOCK_STREAM, 0);
    address = {"127.0.0.1", FreeLoopbackPort()};
    sockaddr_in bound{};
    bound.sin_family = AF_INET;
    bound.sin_port = htons(address.port);
    bound.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int yes = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&bound), sizeof(bound)) == 0);
    timeval patience{3, 0};
    setsockopt(listener, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    REQUIRE(listen(listener, 4) == 0);
    thread = std::thread([this] { loop.Run(); });
  }

  ~client_fixture() {
    if (backend >= 0) close(backend);
    close(listener);
    loop.Stop();
    thread.join();
    client.reset();
  }

  void Record(std::string line) {
    std::lock_guard lock(mutex);
    events.push_back(std::move(line));
    changed.notify_all();
  }

  std::string NextEvent() {
    std::unique_lock lock(mutex);
    if (!changed.wait_for(lock, 3s, [this] { return !events.empty(); })) return "nothing";
    std::string event = std::move(events.front());
    events.pop_front();
    return event;
  }

  void Call(std::uint64_t id, const std::string& request_id, const std::string& body = "") {
    loop.Post([this, id, request_id, body] {
      client->Start({{id}, address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n" + body, request_id, true});
    });
  }

  /// Accepts the client's next connection.
  void AcceptAgain() {
    close(backend);
    backend = accept(listener, nullptr, nullptr);
    REQUIRE(backend >= 0);
  }

  /// Ends the client's connection in order.
  void CloseBackend() { close(std::exchange(backend, -1)); }

  void ResetBackend() {
    linger reset{1, 0};
    setsockopt(backend, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    CloseBackend();
  }

  /// Accepts the client's connection unless it is kept from an earlier call, and reads a request.
  void ReadRequest() {
    if (backend < 0) backend = accept(listener, nullptr, nullptr);
    std::array<char, 4096> buffer;
    REQUIRE(recv(backend, buffer.data(), buffer.size(), 0) > 0);
  }

  void Respond(const std::string& text) { send(backend, text.data(), text.size(), MSG_NOSIGNAL); }

  /// Sends a text again and again until the client closes. Returns the bytes that were sent.
  std::size_t RespondWithoutEnd(const std::string& text) {
    std::size_t sent = 0;
    constexpr std::size_t kMost = std::size_t{64} << 20;
    while (sent < kMost) {
      ssize_t n = send(backend, text.data(), text.size(), MSG_NOSIGNAL);
      if (n <= 0) break;
      sent += static_cast<std::size_t>(n);
    }
    return sent;
  }

  io_loop loop;
  std::unique_ptr<upstream_client> client;
  endpoint address;
  int listener = -1;
  int backend = -1;
  std::mutex mutex;
  std::condition_variable changed;
  std::deque<std::string> events;
  /// What was wrong with the response of the call that failed last.
  std::atomic<response_fault> last_fault = response_fault::kNone;
  /// Called once on the loop's thread, after a response has ended.
  std::function<void()> after_end;
  std::thread thread;
};

// More than the buffers of a connection hold.
std::string LongBody() { return std::string(std::size_t{16} << 20, 'x'); }

constexpr const char* kRefusal =
    "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n";

}  // namespace

// Guards against telling a caller 'not run' because an engine repeated its answer to an earlier
// request.
TEST_CASE("a refusal of an earlier request on a kept connection is not taken for the present one") {
  client_fixture f;
  f.Call(1, "first");
  f.ReadRequest();
  f.Respond(std::string(kRefusal) + "Request-Id: first\r\n\r\n");
  CHECK(f.NextEvent() == "1 head 503");
  CHECK(f.NextEvent() == "1 end");
  f.Call(2, "second");
  f.ReadRequest();
  SECTION("the refusal names its request") {
    f.Respond(std::string(kRefusal) + "Request-Id: first\r\n\r\n");
    f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: second\r\nContent-Length: 2\r\n\r\nok");
    CHECK(f.NextEvent() == "2 head 200");
    CHECK(f.NextEvent() == "2 body ok");
    CHECK(f.NextEvent() == "2 end");
  }
  SECTION("the refusal names no request") {
    f.Respond(std::string(kRefusal) + "\r\n");
    CHECK(f.NextEvent() == "2 failed malformed");
  }
}

// Guards against a response of which this reader and the next one think that it belongs to
// different requests.
TEST_CASE("a response that names two requests is rejected") {
  client_fixture f;
  f.Call(1, "first");
  f.ReadRequest();
  std::string named;
  SECTION("its own first") { named = "Request-Id: first\r\nRequest-Id: other\r\n"; }
  SECTION("the other first") { named = "Request-Id: other\r\nRequest-Id: first\r\n"; }
  f.Respond("HTTP/1.1 200 OK\r\n" + named + "Content-Length: 2\r\n\r\nok");
  CHECK(f.NextEvent() == "1 failed malformed");
  CHECK(f.last_fault == response_fault::kUnidentified);
}

// Guards against a call that never ends, and whose cancellation ends the process, when an answer of
// an earlier request takes its place and the connection ends at any point of it.
TEST_CASE("a call fails when its connection ends after an answer to an earlier request") {
  client_fixture f;
  f.Call(1, "first");
  f.ReadRequest();
  std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: first\r\n";
  f.Respond(head + "Content-Length: 2\r\n\r\nok");
  CHECK(f.NextEvent() == "1 head 200");
  CHECK(f.NextEvent() == "1 body ok");
  CHECK(f.NextEvent() == "1 end");
  f.Call(2, "second");
  f.ReadRequest();
  SECTION("without a length") { f.Respond(head + "\r\nok"); }
  SECTION("without a length or a body") { f.Respond(head + "\r\n"); }
  SECTION("of a stream without a length") {
    f.Respond(head + "Content-Type: text/event-stream\r\n\r\nid: 1\n\n");
  }
  SECTION("whole, with a length") { f.Respond(head + "Content-Length: 2\r\n\r\nok"); }
  SECTION("cut off") { f.Respond(head + "Content-Length: 2\r\n\r\no"); }
  SECTION("in chunks, cut off") { f.Respond(head + "Transfer-Encoding: chunked\r\n\r\n2\r\no"); }
  SECTION("within its head") { f.Respond(head); }
  SECTION("an interim response") { f.Respond("HTTP/1.1 103 Early Hints\r\n\r\n"); }
  SECTION("nothing") {}
  f.CloseBackend();
  CHECK(f.NextEvent() == "2 failed waiting");
  f.loop.Post([&f] {
    f.client->Cancel({2});
    f.Record("cancelled");
  });
  CHECK(f.NextEvent() == "cancelled");
}

// Guards against the same where the earlier answer did not name its request either, so that nothing
// tells the two apart.
TEST_CASE("a connection is kept only after a response that names its request") {
  client_fixture f;
  std::string first = "first";
  std::string named;
  SECTION("the engine names no request") {}
  SECTION("the request has no identity") {
    first.clear();
    named = "Request-Id: other\r\n";
  }
  f.Call(1, first);
  f.ReadRequest();
  f.Respond(std::string(kRefusal) + named + "\r\n");
  CHECK(f.NextEvent() == "1 head 503");
  CHECK(f.NextEvent() == "1 end");
  f.Call(2, "second");
  // On the first connection, this would answer the second request.
  f.Respond(std::string(kRefusal) + "\r\n");
  f.AcceptAgain();
  f.ReadRequest();
  f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: second\r\nContent-Length: 2\r\n\r\nok");
  CHECK(f.NextEvent() == "2 head 200");
  CHECK(f.NextEvent() == "2 body ok");
  CHECK(f.NextEvent() == "2 end");
}

// Guards against idle connections that count towards a backend server's limit while a request has
// to have a new one.
TEST_CASE("idle connections make room for a new one") {
  client_fixture f;
  auto call = [&f](std::uint64_t id, bool may_reuse) {
    f.loop.Post([&f, id, may_reuse] {
      std::string name = std::to_string(id);
      f.client->Start({{id}, f.address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", name, may_reuse, 1});
    });
  };
  auto respond = [&f](const std::string& name) {
    f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: " + name + "\r\nContent-Length: 0\r\n\r\n");
    CHECK(f.NextEvent() == name + " head 200");
    CHECK(f.NextEvent() == name + " end");
  };
  call(1, true);
  f.ReadRequest();
  respond("1");
  call(2, false);
  std::array<char, 16> buffer;
  CHECK(recv(f.backend, buffer.data(), buffer.size(), 0) == 0);
  f.AcceptAgain();
  f.ReadRequest();
  respond("2");
  // The one connection is kept, and used again.
  call(3, true);
  f.ReadRequest();
  respond("3");
}

// Guards against a new connection for each report that a sidecar reads.
TEST_CASE("calls without an identity share a connection") {
  client_fixture f("");
  for (std::uint64_t call = 1; call <= 3; ++call) {
    f.Call(call, "");
    f.ReadRequest();
    f.Respond("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok");
    std::string number = std::to_string(call);
    CHECK(f.NextEvent() == number + " head 200");
    CHECK(f.NextEvent() == number + " body ok");
    CHECK(f.NextEvent() == number + " end");
  }
}

// Guards against a response that is complete for the caller although the engine stopped in its
// head.
TEST_CASE("a response whose engine stops in the head has failed") {
  client_fixture f;
  f.Call(1, "first");
  f.ReadRequest();
  SECTION("in the status line") { f.Respond("HTTP/1.1 200 O"); }
  SECTION("in a header") { f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Le"); }
  SECTION("before the blank line") { f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: first\r\n"); }
  SECTION("within the blank line") { f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: first\r\n\r"); }
  SECTION("after an interim response") {
    f.Respond("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n");
  }
  SECTION("after the response to another request") {
    f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: other\r\nContent-Length: 2\r\n\r\nok");
  }
  close(std::exchange(f.backend, -1));
  CHECK(f.NextEvent() == "1 failed waiting");
}

// Guards against a part of a response that passes for a whole one because its reset is met by a
// write.
TEST_CASE("a response that is reset while its request is written has failed") {
  client_fixture f;
  f.Call(1, "first", LongBody());
  f.ReadRequest();
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: first\r\n";
  std::string part;
  SECTION("before the head") {}
  SECTION("within the head") { part = head; }
  SECTION("without a length") { part = head + "\r\n"; }
  SECTION("of events") { part = head + "Content-Type: text/event-stream\r\n\r\n"; }
  SECTION("with a length") { part = head + "Content-Length: 9\r\n\r\n"; }
  SECTION("in chunks") { part = head + "Transfer-Encoding: chunked\r\n\r\n"; }
  f.Respond(part);
  bool answered = part.size() > head.size();
  if (answered) CHECK(f.NextEvent() == "1 head 200");
  // The loop waits to write before the reset comes, so that a write is the first to meet it.
  std::this_thread::sleep_for(20ms);
  f.ResetBackend();
  CHECK(f.NextEvent() == (answered ? "1 failed answering" : "1 failed waiting"));
  CHECK(f.last_fault == response_fault::kReset);
}

// Guards against a broken response whose cause an operator cannot find.
TEST_CASE("a failed call tells what was wrong with its response") {
  client_fixture f;
  f.Call(1, "first");
  f.ReadRequest();
  const std::string head = "HTTP/1.1 200 OK\r\nRequest-Id: first\r\n";
  response_fault expected = response_fault::kNone;
  std::string response;
  SECTION("closed") {
    expected = response_fault::kClosed;
    response = head + "Content-Length: 9\r\n\r\nok";
  }
  SECTION("status") {
    expected = response_fault::kInvalidStatus;
    response = "HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok";
  }
  SECTION("head") {
    expected = response_fault::kInvalidHead;
    response = head + "X Y: z\r\n\r\nok";
  }
  SECTION("framing") {
    expected = response_fault::kInvalidFraming;
    response = head + "Transfer-Encoding: gzip\r\n\r\nok";
  }
  SECTION("length of the head") {
    expected = response_fault::kTooLong;
    response = head + "X: " + std::string(std::size_t{128} << 10, 'x');
  }
  SECTION("identity") {
    expected = response_fault::kUnidentified;
    response = head + "Request-Id: other\r\n\r\nok";
  }
  f.Respond(response);
  if (expected == response_fault::kClosed) f.CloseBackend();
  std::string event = f.NextEvent();
  while (event.starts_with("1 head") || event.starts_with("1 body")) event = f.NextEvent();
  CHECK(event.starts_with("1 failed"));
  CHECK(f.last_fault == expected);
}

// Guards against a request that is sent on a connection whose reset was met by a write.
TEST_CASE("a connection that was reset after a whole response is not used again") {
  client_fixture f;
  f.after_end = [&f] {
    f.client->Start({{2}, f.address, "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "second", true});
  };
  f.Call(1, "first", LongBody());
  f.ReadRequest();
  // The loop meets the response and the reset at once.
  std::promise<void> held;
  f.loop.Post([&held] { held.get_future().wait(); });
  f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 2\r\n\r\nok");
  f.ResetBackend();
  held.set_value();
  CHECK(f.NextEvent() == "1 head 200");
  CHECK(f.NextEvent() == "1 body ok");
  CHECK(f.NextEvent() == "1 end");
  f.ReadRequest();
  f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: second\r\nContent-Length: 0\r\n\r\n");
  CHECK(f.NextEvent() == "2 head 200");
  CHECK(f.NextEvent() == "2 end");
}

// Guards against bytes that are no answer and never end, which would fill the memory.
TEST_CASE("a head without end is given up") {
  client_fixture f;
  f.Call(1, "first");
  f.ReadRequest();
  f.Respond("HTTP/1.1 200 OK\r\nX: ");
  std::size_t sent = f.RespondWithoutEnd(std::string(16384, 'x'));
  CHECK(sent < (std::size_t{16} << 20));
  CHECK(f.NextEvent() == "1 failed malformed");
}

// Guards against the same before the response, which would hold the request until its deadline.
TEST_CASE("bytes without end before a response are given up") {
  client_fixture f;
  f.Call(1, "first");
  f.ReadRequest();
  f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 0\r\n\r\n");
  CHECK(f.NextEvent() == "1 head 200");
  CHECK(f.NextEvent() == "1 end");
  f.Call(2, "second");
  f.ReadRequest();
  std::string repeated;
  SECTION("a body of an earlier request") {
    f.Respond("HTTP/1.1 200 OK\r\nRequest-Id: first\r\nContent-Length: 1000000000\r\n\r\n");
    repeated.assign(16384, 'x');
  }
  SECTION("interim responses") {
    while (repeated.size() < 16384) repeated += "HTTP/1.1 100 Continue\r\n\r\n";
  }
  CHECK(f.RespondWithoutEnd(repeated) < (std::size_t{16} << 20));
  CHECK(f.NextEvent() == "2 failed malformed");
}

// Guards against a crash that is not noticed, or a silent machine that is taken for one.
TEST_CASE("a probe tells a backend server that has ended from one that lives") {
  client_fixture f;
  auto probe = [&](const endpoint& to) {
    f.loop.Post([&f, to] {
      f.client->Probe(to, [&f](probe_result result) { f.Record(std::string(ToString(result))); });
    });
    return f.NextEvent();
  };
  CHECK(probe(f.address) == "reachable");
  CHECK(probe({"127.0.0.1", FreeLoopbackPort()}) == "refused");
}

}  // namespace radishroute
