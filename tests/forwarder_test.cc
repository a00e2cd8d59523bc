#include "radishroute/forward/forwarder.h"

#include <algorithm>
#include <catch2/catch.hpp>

#include "fake_context.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

route MakeRoute(const std::string& prefix, request_kind kind, std::uint32_t attempts) {
  route r;
  r.name = prefix;
  r.host = "h";
  r.path_prefix = prefix;
  r.kind = kind;
  r.timeout = milliseconds(8000);
  r.max_attempts = attempts;
  r.resumable = kind == request_kind::kStreaming;
  r.traffic_split = {{"draft", 1}};
  return r;
}

deployment MakeDeployment() {
  deployment d;
  d.version = 1;
  d.routes = {MakeRoute("/look/", request_kind::kIdempotent, 2),
              MakeRoute("/book/", request_kind::kNonIdempotent, 2),
              MakeRoute("/draft/", request_kind::kStreaming, 2)};
  d.services = {{"draft", "/healthz", 0, std::nullopt}};
  d.members = std::vector<member_account>{{"club", {"key"}, std::nullopt}};
  return d;
}

/// A forwarder with two backend servers, and a fake context that records its effects.
struct forwarder_fixture {
  fake_context fake;
  forwarder<least_loaded_selector, engine_model_admission> requests;
  std::uint64_t next_exchange = 1;

  static forwarder_settings Settings() {
    forwarder_settings settings;
    settings.zone = "a";
    settings.retries.process_allowance = 10;
    return settings;
  }

  explicit forwarder_fixture(deployment d = MakeDeployment(), forwarder_settings s = Settings())
      : requests(std::move(s)) {
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

  exchange_id SendRequest(const std::string& path, const std::string& key = "key",
                          const std::string& last_event = "") {
    auto r = std::make_shared<forward_request>();
    r->exchange = {next_exchange++};
    r->method = "POST";
    r->target = r->path = path;
    r->host = "h";
    r->key = key;
    r->last_event = last_event;
    r->time_left = milliseconds(8000);
    Handle(forward_received{r});
    return r->exchange;
  }

  template <class Effect>
  std::vector<Effect> All() const {
    return fake.All<Effect>();
  }

  start_upstream SingleSentRequest() {
    auto sent = All<start_upstream>();
    REQUIRE(sent.size() == 1);
    return sent.front();
  }

  unsigned ErrorStatus() {
    auto errors = All<send_error_response>();
    REQUIRE(errors.size() == 1);
    return errors.front().status;
  }

  /// The probe after a lost connection shows that the engine has not crashed.
  void ConfirmAlive(const start_upstream& call) {
    Handle(backend_probed{call.backend, probe_result::kReachable});
  }

  void BeginResponse(upstream_id id, unsigned status, bool not_run = false,
                     const std::string& type = "text/plain") {
    backend_response response;
    response.status = status;
    response.not_run = not_run;
    response.headers = {{"Content-Type", type}};
    Handle(upstream_response_begin{id, response});
  }
};

}  // namespace

// Guards against running a non-idempotent request twice, by a retry after a failure that leaves it
// unknown whether the first attempt ran.
TEST_CASE("a non-idempotent request that may have run is not retried") {
  forwarder_fixture f;
  f.SendRequest("/book/1");
  start_upstream first = f.SingleSentRequest();
  CHECK(!first.may_reuse_connection);
  SECTION("the connection is lost") {
    f.Handle(upstream_call_failed{first.id, upstream_stage::kWaiting});
    CHECK(f.All<start_upstream>().empty());
    CHECK(f.ErrorStatus() == 502);
  }
  SECTION("the backend server responds with an error") {
    f.BeginResponse(first.id, 500);
    f.Handle(upstream_response_end{first.id});
    CHECK(f.All<start_upstream>().empty());
    CHECK(f.All<forward_begin>().front().status == 500);
  }
  SECTION("the status is 503 without the statement that the request did not run") {
    f.BeginResponse(first.id, 503);
    f.Handle(upstream_response_end{first.id});
    CHECK(f.All<start_upstream>().empty());
    CHECK(f.ErrorStatus() == 502);
  }
  SECTION("the deadline passes") {
    f.fake.Advance(milliseconds(8001));
    f.Handle(timer_expired{});
    CHECK(f.All<cancel_upstream>().size() == 1);
    CHECK(f.ErrorStatus() == 504);
  }
}

// Guards against refusing a request that another backend server could have run after the first one
// refused it or was unreachable.
TEST_CASE("a request that did not run is retried on another backend server") {
  forwarder_fixture f;
  f.SendRequest("/book/1");
  start_upstream first = f.SingleSentRequest();
  SECTION("refused by the backend server") {
    f.BeginResponse(first.id, 503, true);
    f.Handle(upstream_response_end{first.id});
  }
  SECTION("connection failed") {
    f.Handle(upstream_call_failed{first.id, upstream_stage::kConnecting});
  }
  start_upstream second = f.SingleSentRequest();
  CHECK(second.backend != first.backend);
  f.BeginResponse(second.id, 503, true);
  f.Handle(upstream_response_end{second.id});
  CHECK(f.ErrorStatus() == 503);
}

// Guards against taking an engine's first refusal of a stream, written once more, for its answer to
// the next attempt: both name the same request.
TEST_CASE("a stream that must not run twice is retried on a new connection") {
  deployment d = MakeDeployment();
  bool resumable = GENERATE(false, true);
  d.routes[2].resumable = resumable;
  forwarder_fixture f(d);
  f.SendRequest("/draft/1");
  start_upstream first = f.SingleSentRequest();
  CHECK(first.may_reuse_connection);
  f.BeginResponse(first.id, 503, true);
  f.Handle(upstream_response_end{first.id});
  CHECK(f.SingleSentRequest().may_reuse_connection == resumable);
}

// Guards against a learned capacity that has no effect, or one where it was not asked for: without
// the setting, and for engines, which share the passes of their group.
TEST_CASE("a backend server that answers late gets fewer requests if its capacity is learned") {
  bool enabled = GENERATE(true, false);
  bool is_engine = GENERATE(true, false);
  forwarder_settings settings = forwarder_fixture::Settings();
  settings.learned_capacity = enabled;
  deployment d = MakeDeployment();
  if (is_engine) d.services[0].engine = engine_profile{};
  forwarder_fixture f(std::move(d), std::move(settings));
  std::size_t changes = 0;
  int late_requests = 0;
  for (int i = 0; i < 40; ++i) {
    f.SendRequest("/look/1");
    start_upstream sent = f.SingleSentRequest();
    bool late = sent.backend == "engine-1";
    late_requests += late ? 1 : 0;
    f.fake.Advance(milliseconds(late ? 900 : 100));
    f.BeginResponse(sent.id, 200);
    f.Handle(upstream_response_end{sent.id});
    for (const write_log& line : f.All<write_log>()) {
      changes += line.event.code == event_code::kCapacityChanged ? 1 : 0;
    }
  }
  bool learned = enabled && !is_engine;
  CHECK((changes > 0) == learned);
  CHECK((late_requests < 12) == learned);
}

// Guards against requests that are drawn to a backend server because it rejects them fast.
TEST_CASE("a backend server that rejects requests fast is not taken for a fast one") {
  forwarder_settings settings = forwarder_fixture::Settings();
  settings.learned_capacity = true;
  forwarder_fixture f(MakeDeployment(), std::move(settings));
  int rejected = 0;
  for (int i = 0; i < 100; ++i) {
    f.SendRequest("/look/1");
    start_upstream sent = f.SingleSentRequest();
    bool rejects = sent.backend == "engine-1";
    rejected += rejects ? 1 : 0;
    f.fake.Advance(milliseconds(rejects ? 5 : 200));
    f.BeginResponse(sent.id, rejects ? 404 : 200);
    f.Handle(upstream_response_end{sent.id});
  }
  CHECK(rejected < 65);
}

// Guards against failing an idempotent request after a server error, although it may be retried.
TEST_CASE("an idempotent request is retried once after a failure") {
  forwarder_fixture f;
  f.SendRequest("/look/1");
  start_upstream first = f.SingleSentRequest();
  f.BeginResponse(first.id, 500);
  f.Handle(upstream_response_end{first.id});
  start_upstream second = f.SingleSentRequest();
  f.BeginResponse(second.id, 500);
  f.Handle(upstream_response_end{second.id});
  CHECK(f.All<start_upstream>().empty());
  CHECK(f.All<forward_begin>().front().status == 500);
}

// Guards against forwarding a truncated body as a complete response when the connection to the
// backend server is lost before the end of the body.
TEST_CASE("a truncated response is replaced by an error response") {
  forwarder_fixture f;
  f.SendRequest("/book/1");
  start_upstream sent = f.SingleSentRequest();
  f.BeginResponse(sent.id, 200);
  f.Handle(upstream_response_bytes{sent.id, "half"});
  f.Handle(upstream_call_failed{sent.id, upstream_stage::kAnswering});
  CHECK(f.All<forward_begin>().empty());
  CHECK(f.ErrorStatus() == 502);
}

// Guards against missing, repeated or merged events after an engine disconnects during a stream.
TEST_CASE("a stream resumes on another engine after its last complete event") {
  forwarder_fixture f;
  f.SendRequest("/draft/1");
  start_upstream first = f.SingleSentRequest();
  f.BeginResponse(first.id, 200, false, "text/event-stream");
  CHECK(f.All<forward_begin>().size() == 1);
  f.Handle(upstream_response_bytes{first.id, "id: 1\ndata: a\n\nid: 2\nda"});
  CHECK(f.All<forward_bytes>().front().bytes == "id: 1\ndata: a\n\n");
  f.Handle(upstream_call_failed{first.id, upstream_stage::kAnswering});
  f.ConfirmAlive(first);
  start_upstream second = f.SingleSentRequest();
  CHECK(second.last_event == "1");
  f.BeginResponse(second.id, 200, false, "text/event-stream");
  CHECK(f.All<forward_begin>().empty());
  f.Handle(upstream_response_bytes{second.id, "id: 2\ndata: b\n\n"});
  CHECK(f.All<forward_bytes>().front().bytes == "id: 2\ndata: b\n\n");
  f.Handle(upstream_response_end{second.id});
  CHECK(f.All<forward_end>().size() == 1);
}

// Guards against taking a stream as complete when an engine closes the connection properly, but in
// the middle of an event, and the response has no length.
TEST_CASE("a stream that ends in the middle of an event resumes on another engine") {
  forwarder_fixture f;
  f.SendRequest("/draft/1");
  start_upstream first = f.SingleSentRequest();
  f.BeginResponse(first.id, 200, false, "text/event-stream");
  f.Handle(upstream_response_bytes{first.id, "id: 1\ndata: a\n\nid: 2\nda"});
  f.Handle(upstream_response_end{first.id});
  CHECK(f.All<forward_end>().empty());
  f.ConfirmAlive(first);
  CHECK(f.All<forward_end>().empty());
  CHECK(f.SingleSentRequest().last_event == "1");
}

// Guards against events that come twice, when a stream that its caller resumed breaks off at any
// point: before its head, its first event, or after some.
TEST_CASE("a stream that its caller resumed goes on after the last event that the caller has") {
  forwarder_fixture f;
  f.SendRequest("/draft/1", "key", "5");
  start_upstream first = f.SingleSentRequest();
  CHECK(first.last_event == "5");
  std::string expected = "5";
  SECTION("before the head") {}
  SECTION("after the head") { f.BeginResponse(first.id, 200, false, "text/event-stream"); }
  SECTION("within the first event") {
    f.BeginResponse(first.id, 200, false, "text/event-stream");
    f.Handle(upstream_response_bytes{first.id, "id: 6\nda"});
  }
  SECTION("after a comment") {
    f.BeginResponse(first.id, 200, false, "text/event-stream");
    f.Handle(upstream_response_bytes{first.id, ": wait\n\n"});
  }
  SECTION("after an event") {
    f.BeginResponse(first.id, 200, false, "text/event-stream");
    f.Handle(upstream_response_bytes{first.id, "id: 6\r\ndata: f\r\n\r\nid: 7"});
    expected = "6";
  }
  f.Handle(upstream_call_failed{first.id, upstream_stage::kAnswering});
  f.ConfirmAlive(first);
  CHECK(f.SingleSentRequest().last_event == expected);
}

// Guards against events that come twice, when the last one that the caller has cannot be named.
TEST_CASE("a stream whose last event has no id is not resumed") {
  for (const char* events : {"data: a\n\n", "id: 1\ndata: a\n\ndata: b\n\n", "id:\ndata: a\n\n"}) {
    forwarder_fixture f;
    f.SendRequest("/draft/1");
    start_upstream first = f.SingleSentRequest();
    f.BeginResponse(first.id, 200, false, "text/event-stream");
    f.Handle(upstream_response_bytes{first.id, events});
    f.Handle(upstream_call_failed{first.id, upstream_stage::kAnswering});
    CHECK(f.All<start_upstream>().empty());
    CHECK(f.All<forward_abort>().size() == 1);
  }
}

// Guards against an interrupted stream that looks complete to the caller, because its response is
// ended normally after the last attempt has failed.
TEST_CASE("a stream that cannot be resumed is aborted") {
  forwarder_fixture f;
  f.SendRequest("/draft/1");
  start_upstream first = f.SingleSentRequest();
  f.BeginResponse(first.id, 200, false, "text/event-stream");
  f.Handle(upstream_call_failed{first.id, upstream_stage::kAnswering});
  f.ConfirmAlive(first);
  start_upstream second = f.SingleSentRequest();
  f.BeginResponse(second.id, 200, false, "text/event-stream");
  f.Handle(upstream_call_failed{second.id, upstream_stage::kAnswering});
  CHECK(f.All<forward_abort>().size() == 1);
  CHECK(f.All<forward_end>().empty());
  CHECK(f.requests.Size() == 0);
}

// Guards against an error of the next engine, or its head, in the middle of a caller's stream.
TEST_CASE("a response that is no stream does not continue one") {
  forwarder_fixture f;
  f.SendRequest("/draft/1");
  start_upstream first = f.SingleSentRequest();
  f.BeginResponse(first.id, 200, false, "text/event-stream");
  f.Handle(upstream_response_bytes{first.id, "id: 1\ndata: a\n\n"});
  f.Handle(upstream_call_failed{first.id, upstream_stage::kAnswering});
  f.ConfirmAlive(first);
  start_upstream second = f.SingleSentRequest();
  unsigned status = GENERATE(200U, 400U, 500U, 503U);
  f.BeginResponse(second.id, status, false, "application/json");
  CHECK(f.All<forward_begin>().empty());
  f.Handle(upstream_response_bytes{second.id, "{\"error\": 1}\n\n"});
  CHECK(f.All<forward_bytes>().empty());
  f.Handle(upstream_response_end{second.id});
  CHECK(f.All<forward_bytes>().empty());
  CHECK(f.All<forward_end>().empty());
  CHECK(f.All<forward_abort>().size() == 1);
}

// Guards against a stalled stream that bytes now and then keep open for ever, and against cutting a
// slow but sound one.
TEST_CASE("a stalled stream ends at its deadline, a slow one does not end before") {
  forwarder_fixture f;
  exchange_id exchange = f.SendRequest("/draft/1");
  upstream_id id = f.SingleSentRequest().id;
  f.BeginResponse(id, 200, false, "text/event-stream");
  bool stalled = GENERATE(true, false);
  for (int second = 1; second < 8; ++second) {
    f.fake.Advance(milliseconds(1000));
    f.Handle(upstream_response_bytes{id, stalled ? "x" : "id: 1\ndata: a\n\n"});
    CHECK(f.All<forward_bytes>().size() == (stalled ? 0U : 1U));
    f.Handle(timer_expired{});
    CHECK(f.All<forward_abort>().empty());
  }
  f.fake.Advance(milliseconds(1000));
  f.Handle(timer_expired{});
  CHECK(f.All<cancel_upstream>().size() == 1);
  REQUIRE(f.All<forward_abort>().size() == 1);
  CHECK(f.All<forward_abort>().front().exchange == exchange);
}

// Guards against a broken response that leaves no trace, and against its backend server getting the
// next request as if it were sound.
TEST_CASE("a broken response is logged, counted and held against its backend server") {
  forwarder_fixture f;
  auto [path, retried] =
      GENERATE(table<const char*, bool>({{"/book/1", false}, {"/look/1", true}}));
  f.SendRequest(path);
  start_upstream first = f.SingleSentRequest();
  f.Handle(
      upstream_call_failed{first.id, upstream_stage::kMalformed, response_fault::kInvalidStatus});
  REQUIRE(f.All<count_broken_response>().size() == 1);
  CHECK(f.All<count_broken_response>()[0].fault == response_fault::kInvalidStatus);
  const log_event line = f.All<write_log>().front().event;
  CHECK(line.code == event_code::kForwardAttemptFailed);
  auto has = [&](const std::string& key, const std::string& value) {
    return std::any_of(line.fields.begin(), line.fields.end(), [&](const log_field& field) {
      return field.key == key && field.value == value;
    });
  };
  CHECK(has("backend", first.backend));
  CHECK(has("fault", "invalid-status"));
  CHECK(f.All<start_upstream>().size() == (retried ? 1 : 0));
  if (retried) CHECK(f.All<count_retry>()[0].reason == retry_reason::kEngineError);
  if (!retried) CHECK(f.ErrorStatus() == 502);
  for (int i = 0; i < 3; ++i) {
    f.SendRequest("/book/1");
    CHECK(f.SingleSentRequest().backend != first.backend);
  }
}

// Guards against a refusal that is believed although the response with it is broken.
TEST_CASE("a broken refusal promises nothing") {
  forwarder_fixture f;
  f.SendRequest("/book/1");
  start_upstream first = f.SingleSentRequest();
  f.BeginResponse(first.id, 503, true);
  f.Handle(
      upstream_call_failed{first.id, upstream_stage::kMalformed, response_fault::kInvalidFraming});
  CHECK(f.All<start_upstream>().empty());
  CHECK(f.ErrorStatus() == 502);
}

// Guards against bytes that are no answer and never end, which would fill the memory.
TEST_CASE("an event or an error without end is given up") {
  forwarder_fixture f;
  f.SendRequest("/draft/1");
  start_upstream sent = f.SingleSentRequest();
  bool is_event = GENERATE(true, false);
  f.BeginResponse(sent.id, 200, false, "text/event-stream");
  if (!is_event) {
    f.Handle(upstream_call_failed{sent.id, upstream_stage::kMalformed});
    sent = f.SingleSentRequest();
    f.BeginResponse(sent.id, 500, false, "text/plain");
  }
  std::size_t received = 0;
  constexpr std::size_t kMost = std::size_t{8} << 20;
  do {
    f.Handle(upstream_response_bytes{sent.id, std::string(16384, 'x')});
    received += 16384;
  } while (f.All<cancel_upstream>().empty() && received < kMost);
  CHECK(received < kMost);
  CHECK(f.All<forward_bytes>().empty());
  if (is_event) CHECK(f.All<start_upstream>().size() == 1);
  if (!is_event) CHECK(f.All<forward_abort>().size() == 1);
}

// Guards against forwarding requests with unknown routes or API keys to a backend server.
TEST_CASE("requests with unknown routes or API keys are refused") {
  forwarder_fixture f;
  f.SendRequest("/other/1");
  CHECK(f.ErrorStatus() == 404);
  f.SendRequest("/look/1", "stolen");
  CHECK(f.ErrorStatus() == 401);
  f.SendRequest("/look/1");
  CHECK(f.SingleSentRequest().member == "club");
}

// Guards against running requests of anybody once no tenant is left.
TEST_CASE("without any member only public routes are served") {
  deployment d = MakeDeployment();
  d.members.emplace();
  d.routes.push_back(MakeRoute("/public/", request_kind::kIdempotent, 1));
  d.routes.back().is_public = true;
  forwarder_fixture f(d);
  for (const char* key : {"key", "", "never-held"}) {
    f.SendRequest("/book/1", key);
    CHECK(f.ErrorStatus() == 401);
    CHECK(f.All<start_upstream>().empty());
  }
  f.SendRequest("/public/1", "");
  f.SingleSentRequest();
}

// Guards against requiring keys where the configuration has no members at all.
TEST_CASE("without a list of members requests need no key") {
  deployment d = MakeDeployment();
  d.members.reset();
  forwarder_fixture f(d);
  f.SendRequest("/book/1", "");
  f.SingleSentRequest();
}

// Guards against an engine that keeps working for a disconnected caller.
TEST_CASE("the attempt is cancelled when the caller disconnects") {
  forwarder_fixture f;
  exchange_id exchange = f.SendRequest("/draft/1");
  start_upstream sent = f.SingleSentRequest();
  f.Handle(forward_caller_closed{exchange});
  REQUIRE(f.All<cancel_upstream>().size() == 1);
  CHECK(f.All<cancel_upstream>().front().id == sent.id);
  CHECK(f.requests.Size() == 0);
}

// Guards against a running process that reverts to an older configuration, when that is published
// after a newer one.
TEST_CASE("an older deployment is ignored") {
  forwarder_fixture f;
  deployment newer = MakeDeployment();
  newer.version = 5;
  newer.routes.pop_back();
  f.Handle(deployment_published{std::make_shared<const route_index>(newer)});
  f.Handle(deployment_published{std::make_shared<const route_index>(MakeDeployment())});
  f.SendRequest("/draft/1");
  CHECK(f.ErrorStatus() == 404);
}

// Guards against exceeding the retry limit that all processes share.
TEST_CASE("the retry budget limits the retries in a window") {
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

// Guards against requests that wait for an engine group that is known to be down.
TEST_CASE("requests for a group that is down are refused at once, with a longer Retry-After") {
  deployment d = MakeDeployment();
  engine_profile profile;
  profile.expert_sets = 4;
  profile.step = milliseconds(6);
  d.services.front().engine = profile;
  forwarder_fixture f(d);
  f.Handle(fleet_load_published{std::make_shared<const fleet_load>()});
  f.SendRequest("/draft/1");
  CHECK(f.ErrorStatus() == 503);
  f.SendRequest("/draft/1");
  milliseconds after = *f.All<send_error_response>().front().retry_after;
  CHECK(after > milliseconds(1500));
  CHECK(after < milliseconds(8000) / 3);
}

// Guards against a shutdown that accepts callers until the end, or stops while requests are active.
TEST_CASE("a draining forwarder closes idle connections, then waits for active requests") {
  forwarder_fixture f;
  f.SendRequest("/look/1");
  start_upstream sent = f.SingleSentRequest();
  f.Handle(drain_requested{f.fake.Now() + milliseconds(8000)});
  CHECK(!f.requests.Ready());
  CHECK(f.All<close_idle_callers>().empty());
  f.fake.Advance(milliseconds(2600));
  f.Handle(timer_expired{});
  CHECK(f.All<close_idle_callers>().size() == 1);
  CHECK(f.All<stop_process>().empty());
  f.BeginResponse(sent.id, 200);
  f.Handle(upstream_response_end{sent.id});
  REQUIRE(f.All<stop_process>().size() == 1);
  CHECK(f.All<stop_process>().front().all_finished);
}

// Guards against more connections to a backend server than it accepts from all processes together:
// it resets those beyond its limit, with the requests on them.
TEST_CASE("a process keeps to its share of a backend server's connections") {
  deployment d = MakeDeployment();
  d.services[0].max_connections = 49;
  forwarder_fixture f(d);
  auto count = [&](std::uint32_t entries) {
    auto load = std::make_shared<fleet_load>();
    load->open = true;
    load->entries = entries;
    f.Handle(fleet_load_published{load});
  };
  count(20);
  std::vector<start_upstream> sent;
  // Nine tenths of 49 connections are two for each of 20 processes, at each of two engines.
  for (int i = 0; i < 4; ++i) {
    f.SendRequest("/book/1");
    sent.push_back(f.SingleSentRequest());
    CHECK(sent.back().max_connections == 2);
  }
  f.SendRequest("/book/1");
  CHECK(f.All<start_upstream>().empty());
  REQUIRE(f.ErrorStatus() == 503);
  CHECK(f.All<send_error_response>().front().reason == refusal_reason::kBackendsFull);
  CHECK(f.All<send_error_response>().front().retry_after);
  f.BeginResponse(sent[0].id, 200);
  f.Handle(upstream_response_end{sent[0].id});
  f.SendRequest("/book/1");
  CHECK(f.SingleSentRequest().backend == sent[0].backend);
  // The share grows when processes leave, and is one connection at least.
  count(7);
  f.SendRequest("/book/1");
  CHECK(f.SingleSentRequest().max_connections == 6);
  count(1000);
  f.SendRequest("/book/1");
  CHECK(f.ErrorStatus() == 503);
}

// Guards against memory that runs out when engines send bytes that are no answers, without end, to
// many requests at once; the answers of sound engines must not be the ones that are given up.
TEST_CASE("responses without end are bounded over all requests") {
  constexpr std::size_t kPart = 20 * 1024;
  for (const char* path : {"/look/1", "/draft/1"}) {
    forwarder_settings settings = forwarder_fixture::Settings();
    settings.max_response_bytes = 10 * kPart;
    forwarder_fixture f(MakeDeployment(), settings);
    f.SendRequest("/look/1");
    start_upstream sound = f.SingleSentRequest();
    f.BeginResponse(sound.id, 200);
    f.Handle(upstream_response_bytes{sound.id, std::string(kPart / 2, 'a')});
    std::vector<upstream_id> calls;
    for (int i = 0; i < 5; ++i) {
      f.SendRequest(path);
      calls.push_back(f.SingleSentRequest().id);
      f.BeginResponse(calls.back(), 200, false, "text/event-stream");
    }
    std::size_t given_up = 0;
    for (int round = 0; round < 12; ++round) {
      for (upstream_id id : calls) {
        f.Handle(upstream_response_bytes{id, std::string(kPart, 'x')});
        given_up += f.All<cancel_upstream>().size();
        for (const cancel_upstream& c : f.All<cancel_upstream>()) CHECK(c.id != sound.id);
      }
    }
    CHECK(given_up == 5);
    f.Handle(upstream_response_end{sound.id});
    CHECK(f.All<forward_end>().size() == 1);
  }
}

// Guards against memory that runs out on the bodies of requests that engines are slow to answer.
TEST_CASE("bodies of requests in progress are bounded together") {
  forwarder_settings settings = forwarder_fixture::Settings();
  settings.max_request_bytes = 1000;
  forwarder_fixture f(MakeDeployment(), settings);
  auto send = [&f](std::size_t bytes) {
    auto r = std::make_shared<forward_request>();
    r->exchange = {f.next_exchange++};
    r->path = "/look/1";
    r->host = "h";
    r->key = "key";
    r->body.assign(bytes, 'b');
    f.Handle(forward_received{r});
  };
  send(600);
  start_upstream first = f.SingleSentRequest();
  send(600);
  CHECK(f.ErrorStatus() == 503);
  CHECK(f.All<send_error_response>().front().retry_after);
  f.BeginResponse(first.id, 200);
  f.Handle(upstream_response_end{first.id});
  send(600);
  CHECK(f.All<start_upstream>().size() == 1);
}

// Guards against requests that come late in a planned stop, are passed on, and are cut off without
// an answer when the process ends.
TEST_CASE("a draining forwarder refuses requests that may not end before it does") {
  struct late_request {
    const char* path;
    int after;
    bool taken;
  };
  // All have 8 s left, and the process ends 8 s after the signal.
  for (const late_request& r : {late_request{"/book/1", 0, false},
                                {"/book/1", 2200, false},
                                {"/book/1", 7900, false},
                                {"/look/1", 2200, true},
                                {"/look/1", 3700, true},
                                {"/look/1", 3900, false},
                                {"/draft/1", 3700, true},
                                {"/draft/1", 3900, false},
                                {"/draft/1", 7900, false}}) {
    forwarder_fixture f;
    f.SendRequest("/look/1");
    f.Handle(drain_requested{f.fake.Now() + milliseconds(8000)});
    f.fake.Advance(milliseconds(r.after));
    f.SendRequest(r.path);
    INFO(r.path << " after " << r.after << " ms");
    CHECK(f.All<start_upstream>().size() == (r.taken ? 1 : 0));
    if (r.taken) continue;
    CHECK(f.ErrorStatus() == 503);
    CHECK(f.All<send_error_response>().front().retry_after);
  }
  // A short request is taken as long as its deadline lies before the end.
  deployment d = MakeDeployment();
  d.routes[1].timeout = milliseconds(1000);
  forwarder_fixture f(d);
  f.Handle(drain_requested{f.fake.Now() + milliseconds(8000)});
  f.fake.Advance(milliseconds(2400));
  f.SendRequest("/book/1");
  CHECK(f.All<start_upstream>().size() == 1);
}

// Guards against connections that are closed without an answer at the end of a planned stop.
TEST_CASE("requests in progress at the end of a drain are answered before the process ends") {
  forwarder_fixture f;
  f.SendRequest("/book/1");
  start_upstream booking = f.SingleSentRequest();
  f.SendRequest("/draft/1");
  start_upstream stream = f.SingleSentRequest();
  f.BeginResponse(stream.id, 200, false, "text/event-stream");
  f.SendRequest("/look/1");
  f.Handle(drain_requested{f.fake.Now() + milliseconds(7000)});
  f.fake.Advance(milliseconds(6700));
  f.Handle(timer_expired{});
  CHECK(f.All<send_error_response>().empty());
  f.fake.Advance(milliseconds(100));
  f.Handle(timer_expired{});
  // Both may have run. A stream that has begun has no other end than that of its connection.
  REQUIRE(f.All<send_error_response>().size() == 2);
  for (const send_error_response& e : f.All<send_error_response>()) CHECK(e.status == 502);
  CHECK(f.All<forward_abort>().size() == 1);
  CHECK(f.All<cancel_upstream>().size() == 3);
  CHECK(f.requests.Size() == 0);
  REQUIRE(f.All<stop_process>().size() == 1);
  CHECK_FALSE(f.All<stop_process>().front().all_finished);
  CHECK(f.All<stop_process>().front().flush);
  // Output that cannot be written does not keep the process.
  f.fake.Advance(milliseconds(200));
  f.Handle(timer_expired{});
  REQUIRE(f.All<stop_process>().size() == 1);
  CHECK_FALSE(f.All<stop_process>().front().flush);
}

namespace {

constexpr fingerprint kDeadlyPart{7};

/// A forwarder whose requests have prompts with shared parts.
struct crash_fixture : forwarder_fixture {
  start_upstream SendPrompt(std::vector<fingerprint> parts, const std::string& body = "one") {
    auto r = std::make_shared<forward_request>();
    r->exchange = {next_exchange++};
    r->method = "POST";
    r->target = r->path = "/draft/1";
    r->host = "h";
    r->key = "key";
    r->body = body;
    r->time_left = milliseconds(8000);
    r->prompt_parts = std::move(parts);
    Handle(forward_received{r});
    auto sent = All<start_upstream>();
    return sent.empty() ? start_upstream{} : sent.front();
  }
  /// The engine of a request crashes before it has answered.
  void CrashEngine(const start_upstream& call) {
    Handle(upstream_call_failed{call.id, upstream_stage::kWaiting});
    auto probes = All<probe_backend>();
    REQUIRE(probes.size() == 1);
    Handle(backend_probed{probes[0].backend, probe_result::kRefused});
  }
};

}  // namespace

// Guards against a prompt part that crashes one engine after the other, in requests that are never
// alike.
TEST_CASE("a prompt part that was at two crashes reaches no engine any more") {
  crash_fixture f;
  f.CrashEngine(f.SendPrompt({{1}, kDeadlyPart}, "one"));
  // The request itself does not go to a second engine.
  CHECK(f.All<start_upstream>().empty());
  CHECK(f.ErrorStatus() == 502);
  f.fake.Advance(milliseconds(5000));
  f.CrashEngine(f.SendPrompt({{2}, kDeadlyPart}, "two"));
  REQUIRE(f.All<share_crash_evidence>().size() == 1);
  f.SendPrompt({{3}, kDeadlyPart}, "three");
  CHECK(f.All<start_upstream>().empty());
  CHECK(f.ErrorStatus() == 503);
  CHECK(f.All<send_error_response>()[0].reason == refusal_reason::kQuarantined);
  CHECK(f.All<send_error_response>()[0].retry_after > milliseconds(0));
  // Requests that share the other part are served.
  f.SendPrompt({{1}}, "four");
  CHECK(f.All<start_upstream>().size() == 1);
}

// Guards against sending a request to a second engine before it is known whether it crashed the
// first one.
TEST_CASE("a request whose connection broke is retried once its engine is known to live") {
  crash_fixture f;
  start_upstream first = f.SendPrompt({{1}});
  f.Handle(upstream_call_failed{first.id, upstream_stage::kWaiting});
  CHECK(f.All<start_upstream>().empty());
  REQUIRE(f.All<probe_backend>().size() == 1);
  probe_result result = GENERATE(probe_result::kReachable, probe_result::kUnknown);
  f.Handle(backend_probed{first.backend, result});
  CHECK(f.SingleSentRequest().backend != first.backend);
  CHECK(f.All<share_crash_evidence>().empty());
}

// Guards against charging streams that an engine had written for long when another request crashed
// it.
TEST_CASE("a stream that had lasted when its engine crashed is resumed and not charged") {
  crash_fixture f;
  start_upstream first = f.SendPrompt({{1}});
  f.BeginResponse(first.id, 200, false, "text/event-stream");
  f.fake.Advance(milliseconds(800));
  f.Handle(upstream_response_bytes{first.id, "id: 1\ndata: a\n\n"});
  f.Handle(upstream_call_failed{first.id, upstream_stage::kAnswering});
  CHECK(f.All<probe_backend>().empty());
  CHECK(f.SingleSentRequest().last_event == "1");
}

// Guards against a quarantine that comes too late for requests that wait in engines.
TEST_CASE("requests in engines' queues are withdrawn when their content is quarantined") {
  crash_fixture f;
  start_upstream waiting = f.SendPrompt({kDeadlyPart}, "one");
  crash_evidence evidence;
  evidence.crashes = {{kDeadlyPart, milliseconds(4000)}, {kDeadlyPart, milliseconds(0)}};
  f.Handle(crash_evidence_shared{evidence});
  REQUIRE(f.All<cancel_upstream>().size() == 1);
  CHECK(f.All<cancel_upstream>()[0].id == waiting.id);
  // It may have run, so the caller is not told that it has not.
  CHECK(f.ErrorStatus() == 502);
}

// Guards against refusing sound requests for good because they were beside the one that crashes
// engines.
TEST_CASE("an answer clears the content of its request and tells the other processes") {
  crash_fixture f;
  f.CrashEngine(f.SendPrompt({{1}, kDeadlyPart}, "one"));
  f.fake.Advance(milliseconds(3000));
  start_upstream sound = f.SendPrompt({{1}}, "two");
  f.BeginResponse(sound.id, 200);
  f.Handle(upstream_response_end{sound.id});
  auto shared = f.All<share_crash_evidence>();
  REQUIRE(shared.size() == 1);
  REQUIRE(shared[0].evidence.successes.size() == 1);
  CHECK(shared[0].evidence.successes[0].content == fingerprint{1});
}

// Guards against requests that reach an engine of a zone which operators have evacuated, by a new
// request, a retry or a resumed stream, and against a stream that is cut off by the evacuation.
TEST_CASE("no request is sent to an evacuated zone, and streams there complete") {
  forwarder_fixture f;
  f.SendRequest("/draft/1");
  auto running = f.SingleSentRequest();
  f.BeginResponse(running.id, 200, false, "text/event-stream");
  f.SendRequest("/look/1");
  auto interrupted = f.SingleSentRequest();
  f.Handle(evacuations_published{{3, {"a"}}});
  CHECK(f.All<cancel_upstream>().empty());
  f.Handle(upstream_response_bytes{running.id, "id: 1\ndata: x\n\n"});
  CHECK(f.All<forward_bytes>().size() == 1);
  f.Handle(upstream_response_end{running.id});
  CHECK(f.All<forward_end>().size() == 1);
  // A retry finds no backend server, and neither does a new request, which is told that it has not
  // run.
  f.Handle(upstream_call_failed{interrupted.id, upstream_stage::kConnecting});
  CHECK(f.All<start_upstream>().empty());
  f.SendRequest("/book/1");
  CHECK(f.All<start_upstream>().empty());
  CHECK(f.ErrorStatus() == 503);
  // Another table changes nothing, the end of the evacuation does.
  f.Handle(evacuations_published{{4, {}}});
  f.SendRequest("/book/2");
  CHECK(f.All<start_upstream>().size() == 1);
}

// Guards against a gateway that forgets an evacuation as soon as the directory changes.
TEST_CASE("an evacuation holds for engines that register during it") {
  forwarder_fixture f;
  f.Handle(evacuations_published{{3, {"b"}}});
  auto table = std::make_shared<routing_table>();
  table->directory_known = true;
  for (int i = 0; i < 2; ++i) {
    announcement a;
    a.backend = "new-" + std::to_string(i);
    a.zone = i == 0 ? "a" : "b";
    a.traffic_address = {"10.0.0.2", static_cast<std::uint16_t>(80 + i)};
    a.concurrency_limit = 4;
    (i == 0 ? table->pools["draft"].local : table->pools["draft"].remote)
        .push_back(static_cast<std::uint32_t>(i));
    table->backends.push_back(a);
  }
  f.Handle(routing_table_published{table, steady_time::max()});
  for (int i = 0; i < 20; ++i) {
    f.SendRequest("/book/1");
    CHECK(f.SingleSentRequest().backend == "new-0");
  }
}

}  // namespace radishroute
