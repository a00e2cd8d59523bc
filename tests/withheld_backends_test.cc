#include "radishroute/forward/withheld_backends.h"

#include <array>
#include <catch2/catch.hpp>
#include <set>
#include <string>
#include <vector>

#include "fake_context.h"
#include "platform/http_wire.h"
#include "radishroute/forward/forwarder.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

constexpr std::uint64_t kFirstIncarnation = 5;

deployment MakeDeployment() {
  deployment d;
  d.version = 1;
  for (auto kind : {request_kind::kIdempotent, request_kind::kStreaming}) {
    route r;
    r.name = r.path_prefix = kind == request_kind::kStreaming ? "/draft/" : "/look/";
    r.host = "h";
    r.kind = kind;
    r.resumable = kind == request_kind::kStreaming;
    r.timeout = milliseconds(8000);
    r.max_attempts = 2;
    r.traffic_split = {{"draft", 1}};
    d.routes.push_back(r);
  }
  d.services = {{"draft", "/healthz", 0, std::nullopt}};
  return d;
}

/// A forwarder with two backend servers that the test answers for.
struct gateway_fixture {
  fake_context fake;
  forwarder<least_loaded_selector, engine_model_admission> requests{Settings()};
  std::uint64_t next_exchange = 1;
  std::array<std::uint64_t, 2> incarnations = {kFirstIncarnation, kFirstIncarnation};

  static forwarder_settings Settings() {
    forwarder_settings settings;
    settings.zone = "a";
    settings.retries.process_allowance = 100;
    return settings;
  }

  gateway_fixture() {
    PublishTable();
    Handle(deployment_published{std::make_shared<const route_index>(MakeDeployment())});
  }

  template <class Event>
  void Handle(const Event& e) {
    fake.Do([&](auto& ctx) { requests.Handle(e, ctx); });
  }

  void PublishTable() {
    auto table = std::make_shared<routing_table>();
    table->directory_known = true;
    for (std::size_t i = 0; i < incarnations.size(); ++i) {
      announcement a;
      a.backend = "engine-" + std::to_string(i);
      a.incarnation = incarnations[i];
      a.zone = "a";
      a.traffic_address = {"10.0.0.1", static_cast<std::uint16_t>(80 + i)};
      a.concurrency_limit = 4;
      table->pools["draft"].local.push_back(static_cast<std::uint32_t>(i));
      table->backends.push_back(a);
    }
    Handle(routing_table_published{table, steady_time::max()});
  }

  void Receive(const std::string& path) {
    auto r = std::make_shared<forward_request>();
    r->exchange = {next_exchange++};
    r->method = "POST";
    r->target = r->path = path;
    r->host = "h";
    r->time_left = milliseconds(8000);
    Handle(forward_received{r});
  }

  /// Sends a request and returns the attempt that it starts.
  start_upstream Send(const std::string& path = "/look/1") {
    Receive(path);
    return SingleAttempt();
  }

  start_upstream SingleAttempt() {
    auto sent = fake.All<start_upstream>();
    REQUIRE(sent.size() == 1);
    return sent.front();
  }

  void Answer(upstream_id id, const backend_response& response) {
    Handle(upstream_response_begin{id, response});
    Handle(upstream_response_end{id});
  }

  static backend_response Served() {
    backend_response response;
    response.status = 200;
    return response;
  }

  static backend_response Refused(std::optional<milliseconds> retry_after) {
    backend_response response;
    response.status = 503;
    response.not_run = true;
    response.retry_after = retry_after;
    return response;
  }

  /// Backend servers that get the next `count` requests, which run side by side.
  std::set<std::string> ServedBy(int count) {
    std::vector<start_upstream> calls;
    calls.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) calls.push_back(Send());
    std::set<std::string> backends;
    for (const start_upstream& call : calls) {
      backends.insert(call.backend);
      Answer(call.id, Served());
    }
    return backends;
  }
};

}  // namespace

// Guards against requests for an engine that has said in a response that it is leaving, while the
// directory still lists it.
TEST_CASE("a backend server that says that it is leaving gets no further request") {
  gateway_fixture f;
  start_upstream first = f.Send();
  backend_response leaving = f.Served();
  leaving.leaving = true;
  f.Answer(first.id, leaving);
  auto others = [&] { return f.ServedBy(12).count(first.backend) == 0; };
  CHECK(others());
  SECTION("the directory repeats it") {
    f.PublishTable();
    CHECK(others());
    f.fake.Advance(std::chrono::minutes(2));
    f.PublishTable();
    CHECK(others());
  }
  SECTION("a new incarnation registers") {
    f.incarnations = {kFirstIncarnation + 1, kFirstIncarnation + 1};
    f.PublishTable();
    CHECK(!others());
  }
  SECTION("the other one fails, and a retry would go to it") {
    start_upstream second = f.Send();
    f.Answer(second.id, f.Refused(std::nullopt));
    CHECK(f.fake.All<start_upstream>().empty());
    CHECK(f.fake.All<send_error_response>().front().status == 503);
  }
  SECTION("a stream of the other one breaks and would resume at it") {
    start_upstream second = f.Send("/draft/1");
    backend_response stream = f.Served();
    stream.headers = {{"Content-Type", "text/event-stream"}};
    f.Handle(upstream_response_begin{second.id, stream});
    f.Handle(upstream_response_bytes{second.id, "id: 1\ndata: a\n\n"});
    f.fake.Advance(milliseconds(700));
    f.Handle(upstream_call_failed{second.id, upstream_stage::kAnswering});
    CHECK(f.fake.All<start_upstream>().empty());
    CHECK(f.fake.All<forward_abort>().size() == 1);
  }
  SECTION("the other one leaves too") {
    start_upstream second = f.Send();
    f.Answer(second.id, leaving);
    f.Receive("/look/2");
    CHECK(f.fake.All<start_upstream>().empty());
    CHECK(f.fake.All<send_error_response>().front().reason == refusal_reason::kNoBackend);
  }
}

// Guards against charging the content of a request with a crash when an engine that was leaving
// has exited.
TEST_CASE("the end of a backend server that is leaving is no crash") {
  gateway_fixture f;
  start_upstream first = f.Send();
  start_upstream second = f.Send();
  REQUIRE(second.backend != first.backend);
  start_upstream third = f.Send();
  backend_response leaving = f.Served();
  leaving.leaving = true;
  f.Answer(third.backend == first.backend ? first.id : second.id, leaving);
  f.Handle(upstream_call_failed{third.id, upstream_stage::kWaiting});
  CHECK(f.fake.All<probe_backend>().empty());
  CHECK(f.SingleAttempt().backend != third.backend);
}

// Guards against a response of another engine at a reused address that is taken for a statement of
// the engine that the request named.
TEST_CASE("a leaving backend server at the address of another one does not stop requests") {
  gateway_fixture f;
  start_upstream first = f.Send();
  backend_response other = f.Refused(milliseconds(5000));
  other.status = 421;
  other.wrong_backend = other.leaving = true;
  f.Answer(first.id, other);
  f.Answer(f.SingleAttempt().id, f.Served());
  f.fake.Advance(milliseconds(4100));
  CHECK(f.ServedBy(12).size() == 2);
}

// Guards against requests for an engine within the time for which it wants none.
TEST_CASE("a backend server that names a time to come back gets no request before") {
  gateway_fixture f;
  start_upstream first = f.Send();
  f.Answer(first.id, f.Refused(milliseconds(2000)));
  f.Answer(f.SingleAttempt().id, f.Served());
  f.fake.Advance(milliseconds(1990));
  CHECK(f.ServedBy(12).count(first.backend) == 0);
  SECTION("the time has passed") {
    f.fake.Advance(milliseconds(10));
    CHECK(f.ServedBy(12).size() == 2);
  }
  SECTION("it has restarted under the same id") {
    f.incarnations = {kFirstIncarnation + 1, kFirstIncarnation + 1};
    f.PublishTable();
    CHECK(f.ServedBy(12).size() == 2);
  }
}

// Guards against callers that wait in vain, or that are sent away for longer than needed.
TEST_CASE("callers are refused with the earliest time at which a backend server returns") {
  gateway_fixture f;
  start_upstream first = f.Send();
  f.Answer(first.id, f.Refused(milliseconds(2000)));
  start_upstream second = f.SingleAttempt();
  f.Answer(second.id, f.Refused(milliseconds(700)));
  auto refusal = f.fake.All<send_error_response>().front();
  CHECK(refusal.status == 503);
  CHECK(refusal.retry_after == milliseconds(700));
  f.fake.Advance(milliseconds(300));
  f.Receive("/look/2");
  CHECK(f.fake.All<start_upstream>().empty());
  refusal = f.fake.All<send_error_response>().front();
  CHECK(refusal.reason == refusal_reason::kBackendsFull);
  CHECK(refusal.retry_after == milliseconds(400));
}

// Guards against losing an engine for a day by one wrong header.
TEST_CASE("an absurd time to come back is bounded and logged") {
  gateway_fixture f;
  start_upstream first = f.Send();
  f.Handle(upstream_response_begin{first.id, f.Refused(std::chrono::hours(24))});
  auto lines = f.fake.All<write_log>();
  REQUIRE(lines.size() == 1);
  CHECK(lines.front().event.code == event_code::kBackendWithheld);
  CHECK(lines.front().event.level == log_level::kWarning);
  f.Handle(upstream_response_end{first.id});
  f.fake.Advance(std::chrono::minutes(1));
  CHECK(f.ServedBy(12).size() == 2);
}

// Guards against headers of engines that are read wrongly, or that overflow a time.
TEST_CASE("statements of engines about themselves are read from their responses") {
  auto decode = [](unsigned status, std::vector<http_header> headers) {
    http_head head;
    head.status = status;
    head.headers = std::move(headers);
    return platform::http_wire::DecodeResponse(std::move(head));
  };
  CHECK(decode(200, {{"server-leaving", "1"}}).leaving);
  CHECK(decode(503, {{"Server-Leaving", "1"}}).leaving);
  CHECK(!decode(200, {{"Server-Leaving", "0"}}).leaving);
  CHECK(!decode(200, {}).leaving);
  CHECK(decode(503, {{"Retry-After", "2"}}).retry_after == milliseconds(2000));
  CHECK(decode(503, {{"Retry-After", " 0.2501 "}}).retry_after == milliseconds(251));
  CHECK(decode(503, {{"Retry-After", "1e999"}}).retry_after == std::chrono::hours(24));
  CHECK(decode(503, {{"Retry-After", "99999999999999999999"}}).retry_after ==
        std::chrono::hours(24));
  CHECK(!decode(200, {{"Retry-After", "2"}}).retry_after);
  for (const char* unreadable :
       {"", "soon", "-1", "-1e999", "nan", "1 2", "Sat, 05 Dec 2026 07:00:00 GMT"}) {
    INFO(unreadable);
    backend_response response = decode(503, {{"Retry-After", unreadable}});
    CHECK(!response.retry_after);
    CHECK(response.retry_after_unreadable);
  }
}

}  // namespace radishroute
