#include "radishroute/forward/forwarder.h"

#include <catch2/catch.hpp>

#include "fake_context.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

route Route(const std::string& prefix, request_kind kind, std::uint32_t attempts) {
  route r;
  r.name = prefix;
  r.host = "h";
  r.path_prefix = prefix;
  r.kind = kind;
  r.timeout = milliseconds(8000);
  r.attempts = attempts;
  r.resumable = kind == request_kind::kStreaming;
  r.split = {{"draft", 1}};
  return r;
}

deployment Deployment() {
  deployment d;
  d.version = 1;
  d.routes = {Route("/look/", request_kind::kIdempotent, 2),
              Route("/book/", request_kind::kNonIdempotent, 2),
              Route("/draft/", request_kind::kStreaming, 2)};
  d.services = {{"draft", "/healthz", 0, std::nullopt}};
  d.members = {{"club", {"key"}, std::nullopt}};
  return d;
}

/// A forwarder before two backend servers, and what it does.
struct forwarder_fixture {
  fake_context fake;
  forwarder<least_loaded_selector, engine_model_admission> requests{Settings()};
  std::uint64_t next_exchange = 1;

  static forwarder_settings Settings() {
    forwarder_settings settings;
    settings.zone = "a";
    settings.retries.own_slack = 10;
    return settings;
  }

  explicit forwarder_fixture(deployment d = Deployment()) {
    auto table = std::make_shared<routing_table>();
    table->directory_known = true;
    for (int i = 0; i < 2; ++i) {
      announcement a;
      a.backend = "engine-" + std::to_string(i);
      a.zone = "a";
      a.traffic_address = {"10.0.0.1", static_cast<std::uint16_t>(80 + i)};
      a.concurrency_limit = 4;
      table->pools["draft"].local.push_back(static_cast<std::uint32_t>(table->backends.size()));
      table->backends.push_back(a);
    }
    Handle(routing_table_published{table, steady_time::max()});
    Handle(deployment_published{std::make_shared<const route_index>(std::move(d))});
  }

  template <class Event>
  void Handle(const Event& e) {
    fake.Do([&](auto& ctx) { requests.Handle(e, ctx); });
  }

  exchange_id Request(const std::string& path, const std::string& key = "key") {
    auto r = std::make_shared<forward_request>();
    r->exchange = {next_exchange++};
    r->method = "POST";
    r->target = r->path = path;
    r->host = "h";
    r->key = key;
    r->time_left = milliseconds(8000);
    Handle(forward_received{r});
    return r->exchange;
  }

  template <class Effect>
  std::vector<Effect> All() const {
    return fake.All<Effect>();
  }

  start_upstream Sent() {
    auto sent = All<start_upstream>();
    REQUIRE(sent.size() == 1);
    return sent.front();
  }

  unsigned RejectedWith() {
    auto rejected = All<send_error_response>();
    REQUIRE(rejected.size() == 1);
    return rejected.front().status;
  }

  void Answer(upstream_id id, unsigned status, bool not_run = false,
              const std::string& type = "text/plain") {
    backend_response answer;
    answer.status = status;
    answer.not_run = not_run;
    answer.headers = {{"Content-Type", type}};
    Handle(upstream_response_begin{id, answer});
  }
};

}  // namespace

// Guards against a Booking that runs twice: nothing that may have run is sent again.
TEST_CASE("a non-idempotent request is not repeated once it was sent") {
  forwarder_fixture f;
  f.Request("/book/1");
  start_upstream first = f.Sent();
  CHECK(!first.may_reuse_connection);
  SECTION("the connection broke") {
    f.Handle(upstream_call_failed{first.id, upstream_stage::kWaiting});
    CHECK(f.All<start_upstream>().empty());
    CHECK(f.RejectedWith() == 502);
  }
  SECTION("the backend server failed") {
    f.Answer(first.id, 500);
    f.Handle(upstream_response_end{first.id});
    CHECK(f.All<start_upstream>().empty());
    CHECK(f.All<forward_begin>().front().status == 500);
  }
  SECTION("a status that promises that nothing ran comes without the statement") {
    f.Answer(first.id, 503);
    f.Handle(upstream_response_end{first.id});
    CHECK(f.All<start_upstream>().empty());
    CHECK(f.RejectedWith() == 502);
  }
  SECTION("the deadline passed") {
    f.fake.Advance(milliseconds(8001));
    f.Handle(timer_expired{});
    CHECK(f.All<cancel_upstream>().size() == 1);
    CHECK(f.RejectedWith() == 504);
  }
}

// Guards against a refusal where another backend server would have run the request.
TEST_CASE("a request that certainly did not run goes to another backend server") {
  forwarder_fixture f;
  f.Request("/book/1");
  start_upstream first = f.Sent();
  SECTION("rejected") {
    f.Answer(first.id, 503, true);
    f.Handle(upstream_response_end{first.id});
  }
  SECTION("not connected") {
    f.Handle(upstream_call_failed{first.id, upstream_stage::kConnecting});
  }
  start_upstream second = f.Sent();
  CHECK(second.backend != first.backend);
  f.Answer(second.id, 503, true);
  f.Handle(upstream_response_end{second.id});
  CHECK(f.RejectedWith() == 503);
}

// Guards against a lookup that fails although it could have been repeated.
TEST_CASE("an idempotent request is repeated after a failure, once") {
  forwarder_fixture f;
  f.Request("/look/1");
  start_upstream first = f.Sent();
  f.Answer(first.id, 500);
  f.Handle(upstream_response_end{first.id});
  start_upstream second = f.Sent();
  f.Answer(second.id, 500);
  f.Handle(upstream_response_end{second.id});
  CHECK(f.All<start_upstream>().empty());
  CHECK(f.All<forward_begin>().front().status == 500);
}

// Guards against a caller that gets half a body as a whole one.
TEST_CASE("a response that is cut off is replaced by a failure") {
  forwarder_fixture f;
  f.Request("/book/1");
  start_upstream sent = f.Sent();
  f.Answer(sent.id, 200);
  f.Handle(upstream_response_bytes{sent.id, "half"});
  f.Handle(upstream_call_failed{sent.id, upstream_stage::kAnswering});
  CHECK(f.All<forward_begin>().empty());
  CHECK(f.RejectedWith() == 502);
}

// Guards against a stream with a missing, repeated or joined event after its engine broke off.
TEST_CASE("a stream goes on at another engine after its last whole event") {
  forwarder_fixture f;
  f.Request("/draft/1");
  start_upstream first = f.Sent();
  f.Answer(first.id, 200, false, "text/event-stream");
  CHECK(f.All<forward_begin>().size() == 1);
  f.Handle(upstream_response_bytes{first.id, "id: 1\ndata: a\n\nid: 2\nda"});
  CHECK(f.All<forward_bytes>().front().bytes == "id: 1\ndata: a\n\n");
  f.Handle(upstream_call_failed{first.id, upstream_stage::kAnswering});
  start_upstream second = f.Sent();
  CHECK(second.last_event == "1");
  f.Answer(second.id, 200, false, "text/event-stream");
  CHECK(f.All<forward_begin>().empty());
  f.Handle(upstream_response_bytes{second.id, "id: 2\ndata: b\n\n"});
  CHECK(f.All<forward_bytes>().front().bytes == "id: 2\ndata: b\n\n");
  f.Handle(upstream_response_end{second.id});
  CHECK(f.All<forward_end>().size() == 1);
}

// Guards against an engine that closes in order in the middle of an event, without a length.
TEST_CASE("a stream that ends in the middle of an event goes on elsewhere") {
  forwarder_fixture f;
  f.Request("/draft/1");
  start_upstream first = f.Sent();
  f.Answer(first.id, 200, false, "text/event-stream");
  f.Handle(upstream_response_bytes{first.id, "id: 1\ndata: a\n\nid: 2\nda"});
  f.Handle(upstream_response_end{first.id});
  CHECK(f.All<forward_end>().empty());
  CHECK(f.Sent().last_event == "1");
}

// Guards against a stream whose end looks complete although it was broken off for good.
TEST_CASE("a stream that cannot go on is aborted") {
  forwarder_fixture f;
  f.Request("/draft/1");
  for (int attempt = 0; attempt < 2; ++attempt) {
    start_upstream sent = f.Sent();
    f.Answer(sent.id, 200, false, "text/event-stream");
    f.Handle(upstream_call_failed{sent.id, upstream_stage::kAnswering});
  }
  CHECK(f.All<forward_abort>().size() == 1);
  CHECK(f.All<forward_end>().empty());
  CHECK(f.requests.Size() == 0);
}

// Guards against requests of unknown routes or keys that reach a backend server.
TEST_CASE("unknown routes and keys are refused") {
  forwarder_fixture f;
  f.Request("/other/1");
  CHECK(f.RejectedWith() == 404);
  f.Request("/look/1", "stolen");
  CHECK(f.RejectedWith() == 401);
  f.Request("/look/1");
  CHECK(f.Sent().member == "club");
}

// Guards against an engine that works on for a caller who has left.
TEST_CASE("a caller that leaves cancels the attempt") {
  forwarder_fixture f;
  exchange_id exchange = f.Request("/draft/1");
  start_upstream sent = f.Sent();
  f.Handle(forward_caller_closed{exchange});
  REQUIRE(f.All<cancel_upstream>().size() == 1);
  CHECK(f.All<cancel_upstream>().front().id == sent.id);
  CHECK(f.requests.Size() == 0);
}

// Guards against a configuration that goes back within the life of a process.
TEST_CASE("an older deployment is not obeyed") {
  forwarder_fixture f;
  deployment newer = Deployment();
  newer.version = 5;
  newer.routes.pop_back();
  f.Handle(deployment_published{std::make_shared<const route_index>(newer)});
  f.Handle(deployment_published{std::make_shared<const route_index>(Deployment())});
  f.Request("/draft/1");
  CHECK(f.RejectedWith() == 404);
}

// Guards against more retries than all processes together may make.
TEST_CASE("the retry budget limits further attempts in a window") {
  shared_retry_budget budget({0.2, milliseconds(10000), 1});
  fake_context fake;
  for (int i = 0; i < 50; ++i) budget.OnRequest("draft", fake.Now());
  int granted = 0;
  for (int i = 0; i < 50; ++i) granted += budget.TakeRetry("draft", fake.Now()) ? 1 : 0;
  CHECK(granted == 10);
  fake.Advance(milliseconds(10001));
  CHECK(budget.TakeRetry("draft", fake.Now()));
  CHECK(!budget.TakeRetry("draft", fake.Now()));
}

// Guards against requests that wait for a group of engines that is known to be down.
TEST_CASE("requests for a group that is down are refused at once, with a later return") {
  deployment d = Deployment();
  engine_profile profile;
  profile.expert_sets = 4;
  profile.step = milliseconds(6);
  d.services.front().engine = profile;
  forwarder_fixture f(d);
  f.Handle(fleet_load_published{std::make_shared<const fleet_load>()});
  f.Request("/draft/1");
  CHECK(f.RejectedWith() == 503);
  f.Request("/draft/1");
  milliseconds after = *f.All<send_error_response>().front().retry_after;
  CHECK(after > milliseconds(1500));
  CHECK(after < milliseconds(8000) / 3);
}

// Guards against a shutdown that lets callers in until the end, or stops under requests.
TEST_CASE("a draining forwarder closes idle callers, then waits for its requests") {
  forwarder_fixture f;
  f.Request("/look/1");
  start_upstream sent = f.Sent();
  f.Handle(drain_requested{f.fake.Now() + milliseconds(8000)});
  CHECK(!f.requests.Ready());
  CHECK(f.All<close_idle_callers>().empty());
  f.fake.Advance(milliseconds(2600));
  f.Handle(timer_expired{});
  CHECK(f.All<close_idle_callers>().size() == 1);
  CHECK(f.All<stop_process>().empty());
  f.Answer(sent.id, 200);
  f.Handle(upstream_response_end{sent.id});
  REQUIRE(f.All<stop_process>().size() == 1);
  CHECK(f.All<stop_process>().front().all_finished);
}

}  // namespace radishroute
