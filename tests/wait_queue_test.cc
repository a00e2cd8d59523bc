#include "radishroute/forward/wait_queue.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "fake_context.h"
#include "radishroute/forward/forwarder.h"
#include "radishroute/forward/queueing_admission.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

/// A gateway before one engine of a group, with streams of one priority.
struct waiting_fixture {
  fake_context fake;
  forwarder<least_loaded_selector, queueing_admission> requests;
  std::uint64_t next_exchange = 1;
  std::uint64_t next_report = 1;

  explicit waiting_fixture(bool wait_for_room = true) : requests(Settings(wait_for_room)) {
    auto table = std::make_shared<routing_table>();
    table->directory_known = true;
    announcement a;
    a.backend = "engine";
    a.zone = "a";
    a.traffic_address = {"10.0.0.1", 80};
    a.concurrency_limit = 10;
    table->pools["draft"].local.push_back(0);
    table->backends.push_back(a);
    Handle(routing_table_published{table, steady_time::max()});
    Handle(deployment_published{std::make_shared<const route_index>(MakeDeployment())});
  }

  static forwarder_settings Settings(bool wait_for_room) {
    forwarder_settings settings;
    settings.zone = "a";
    settings.wait_for_room = wait_for_room;
    return settings;
  }

  static deployment MakeDeployment() {
    deployment d;
    d.version = 1;
    route r;
    r.name = "draft";
    r.host = "h";
    r.path_prefix = "/";
    r.kind = request_kind::kStreaming;
    r.timeout = 8000ms;
    r.target_latency = 500ms;
    r.target_gap = 150ms;
    r.priority = 1;
    r.traffic_split = {{"draft", 1}};
    d.routes = {r};
    engine_profile engine;
    engine.slots = 10;
    engine.steps_per_pass = 5;
    engine.step = std::chrono::microseconds(4500);
    engine.step_per_request = std::chrono::microseconds(1000);
    engine.mean_answer_tokens = 100;
    engine.expert_sets = 4;
    d.services = {{"draft", "/healthz", 0, engine}};
    return d;
  }

  template <class Event>
  void Handle(const Event& e) {
    fake.Do([&](auto& ctx) { requests.Handle(e, ctx); });
  }

  void Report(std::uint32_t running, std::uint32_t waiting = 0, bool open = true) {
    auto load = std::make_shared<fleet_load>();
    load->group = "g";
    load->term = 1;
    load->sequence = next_report++;
    load->open = open;
    load->pass = 70ms;
    load->engines.push_back({{"10.0.0.1", 80}, running, waiting, 0ms});
    Handle(fleet_load_published{load});
  }

  exchange_id SendRequest() {
    auto r = std::make_shared<forward_request>();
    r->exchange = {next_exchange++};
    r->method = "POST";
    r->target = r->path = "/x";
    r->host = "h";
    r->time_left = 8000ms;
    Handle(forward_received{r});
    return r->exchange;
  }

  std::size_t SentNow() const { return fake.All<start_upstream>().size(); }
  std::size_t RefusedNow() const { return fake.All<send_error_response>().size(); }
};

}  // namespace

// Guards against requests that overtake more urgent ones, and against a queue without a bound.
TEST_CASE("waiting requests are ordered by urgency, then by the time to decide them") {
  wait_queue queue(3);
  steady_time now{1h};
  CHECK(queue.Add({1}, 5, now + 300ms));
  CHECK(queue.Add({2}, 1, now + 400ms));
  CHECK(queue.Add({3}, 5, now + 100ms));
  CHECK_FALSE(queue.Add({4}, 0, now + 50ms));
  CHECK(queue.InOrder() == std::vector<exchange_id>{{2}, {3}, {1}});
  CHECK(queue.NextDecision() == now + 100ms);
  CHECK(queue.Add({3}, 5, now + 500ms));
  CHECK(queue.InOrder() == std::vector<exchange_id>{{2}, {1}, {3}});
  queue.Remove({2});
  queue.Remove({2});
  CHECK(queue.Size() == 2);
}

// Guards against callers that are sent away for seconds although room appears within their target.
TEST_CASE("a request waits for room and is sent when a report shows it") {
  waiting_fixture f;
  f.Report(10, 10);
  f.SendRequest();
  CHECK(f.SentNow() == 0);
  CHECK(f.RefusedNow() == 0);
  f.fake.Advance(100ms);
  f.Report(3);
  CHECK(f.SentNow() == 1);
  f.Report(3);
  CHECK(f.SentNow() == 0);
}

// Guards against a request that is held until its deadline although it cannot be served.
TEST_CASE("a request without room is refused while it could still be in time elsewhere") {
  waiting_fixture f;
  f.Report(10, 20);
  f.SendRequest();
  CHECK(f.RefusedNow() == 0);
  f.fake.Advance(400ms);
  f.Handle(timer_expired{});
  CHECK(f.SentNow() == 0);
  REQUIRE(f.RefusedNow() == 1);
  CHECK(f.fake.All<send_error_response>()[0].status == 503);
  CHECK(f.fake.All<send_error_response>()[0].retry_after);
}

// Guards against engines that work for callers who left while they waited.
TEST_CASE("a caller that leaves while waiting is never sent") {
  waiting_fixture f;
  f.Report(10, 20);
  exchange_id left = f.SendRequest();
  f.Handle(forward_caller_closed{left});
  f.Report(0);
  CHECK(f.SentNow() == 0);
}

// Guards against a queue that holds requests past the end of the process.
TEST_CASE("requests that wait at the end of a drain are refused as not run") {
  waiting_fixture f;
  f.Report(10, 20);
  f.SendRequest();
  f.Handle(drain_requested{f.fake.Now() + 300ms});
  f.fake.Advance(150ms);
  f.Handle(timer_expired{});
  REQUIRE(f.RefusedNow() == 1);
  CHECK(f.fake.All<send_error_response>()[0].status == 503);
}

// Guards against a request that waits for a zone which is evacuated meanwhile: it must neither be
// sent there nor be held.
TEST_CASE("an evacuation refuses the requests that waited for its zone") {
  waiting_fixture f;
  f.Report(10, 20);
  f.SendRequest();
  f.Handle(evacuations_published{{1, {"a"}}});
  CHECK(f.RefusedNow() == 1);
  f.Report(0);
  CHECK(f.SentNow() == 0);
}

// Guards against a request that is sent to a group which stopped while the request waited for it.
TEST_CASE("a group that goes down refuses the requests that waited for it") {
  waiting_fixture f;
  f.Report(10, 20);
  f.SendRequest();
  f.Report(0, 0, false);
  CHECK(f.SentNow() == 0);
  CHECK(f.RefusedNow() == 1);
}

// Guards against a change for deployments that have not asked for it.
TEST_CASE("without the setting no request waits") {
  waiting_fixture f(false);
  f.Report(10, 20);
  f.SendRequest();
  CHECK(f.RefusedNow() == 1);
}

}  // namespace radishroute
