#include <catch2/catch.hpp>
#include <map>

#include "radishroute/policies.h"
#include "radishroute/reducer.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;

/// One shard of an entry that is linked to two agents, simulated by the test.
struct entry_fixture {
  entry_fixture() {
    state.traffic.requests.emplace(1, 0, request_limits{});
    auto table = std::make_shared<routing_table>();
    table->has_configuration = true;
    table->kinds["quote"] = {"quote", priority_class::kInteractive, 5s, 1, true};
    for (const char* name : {"flood", "small"}) table->members[name] = {name, 1};
    for (std::uint16_t port = 1; port <= 2; ++port) {
      announcement record;
      record.backend = "b" + std::to_string(port);
      record.traffic_address = {"host", port};
      record.concurrency_limit = 8;
      table->backends.push_back(record);
      table->pools["m"].local.push_back(port - 1U);
    }
    Apply(routing_table_published{table});
  }

  void Apply(const event& e) {
    effects.clear();
    reduce_context ctx{clock.Now(), clock.WallNow(), random, effects};
    Reduce(state, e, ctx);
    // Every link that the entry opens is established at once; its ID is the server's port.
    for (const effect& one : effects) {
      const auto* open = std::get_if<open_link>(&one);
      if (open == nullptr) continue;
      endpoint address = open->address;
      Reduce(state, link_opened{{address.port}, {}, address}, ctx);
      break;
    }
  }

  /// Submits a request and returns its dispatch, if one was sent.
  std::optional<dispatch_request> Submit(const std::string& member) {
    caller_request request;
    request.exchange = {next++};
    request.member = member;
    request.kind = "quote";
    request.model = "m";
    Apply(request);
    return SentDispatch();
  }

  std::optional<dispatch_request> SentDispatch() {
    for (const effect& e : effects) {
      if (const auto* send = std::get_if<send_message>(&e)) {
        if (const auto* d = std::get_if<dispatch_request>(&send->body)) {
          link = send->link;
          return *d;
        }
      }
    }
    return std::nullopt;
  }

  const respond_problem* Problem() const {
    for (const effect& e : effects) {
      if (const auto* problem = std::get_if<respond_problem>(&e)) return problem;
    }
    return nullptr;
  }

  void Refuse(const dispatch_request& dispatch, refusal_reason reason) {
    Apply(message_received{link, dispatch_refused{dispatch.id, reason, 150ms, {}}});
  }

  manual_clock clock;
  random_source random{3};
  effect_list effects;
  thread_state<balanced_policies> state;
  std::uint64_t next = 1;
  /// Link of the dispatch that SentDispatch returned last.
  link_id link;
};

dispatch_request MakeDispatch(std::uint64_t sequence, priority_class cls, std::uint64_t version,
                              std::uint32_t batch_floor) {
  dispatch_request dispatch;
  dispatch.id = {{1, sequence}, 1};
  dispatch.cls = cls;
  dispatch.time_left = 1h;
  dispatch.config_version = version;
  dispatch.floor_percent = {0, 0, batch_floor};
  return dispatch;
}

}  // namespace

// Guards against a round trip for every request of a flooding Member, and against refusing the
// requests of other Members.
TEST_CASE("a Member over its share everywhere is refused at the entry") {
  entry_fixture f;
  auto first = f.Submit("flood");
  f.Refuse(*first, refusal_reason::kOverMemberShare);
  auto retry = f.SentDispatch();
  REQUIRE(retry);
  f.Refuse(*retry, refusal_reason::kOverMemberShare);
  REQUIRE(f.Problem() != nullptr);
  CHECK(f.Problem()->outcome == run_outcome::kNotRun);
  CHECK(f.Problem()->retry_after == 150ms);
  CHECK_FALSE(f.Submit("flood"));
  CHECK(f.Problem()->refusal == refusal_reason::kOverMemberShare);
  CHECK(f.Submit("small"));
  f.clock.Advance(refusal_hints::kMaxLifetime);
  CHECK(f.Submit("flood"));
}

// Guards against a retry storm when servers refuse because of overload.
TEST_CASE("refusals for overload are retried elsewhere only within the retry budget") {
  entry_fixture f;
  int retries = 0;
  for (int i = 0; i < 200; ++i) {
    auto dispatch = f.Submit("flood");
    REQUIRE(dispatch);
    f.Refuse(*dispatch, refusal_reason::kQueueFull);
    auto retry = f.SentDispatch();
    if (!retry) continue;
    ++retries;
    f.Refuse(*retry, refusal_reason::kQueueFull);
    REQUIRE(f.Problem() != nullptr);
    CHECK(f.Problem()->refusal != refusal_reason::kNone);
  }
  CHECK(retries <= 25);
  CHECK(retries >= 20);
}

// Guards against requests that fail because a lost server ran more of a Member's requests than the
// Member's retry budget covers.
TEST_CASE("the loss of a backend server does not use up the retry budget") {
  entry_fixture f;
  std::map<std::uint64_t, int> in_flight;
  for (int i = 0; i < 60; ++i) {
    REQUIRE(f.Submit("small"));
    ++in_flight[f.link.value];
  }
  auto lost = static_cast<std::uint16_t>(in_flight.begin()->first);
  f.Apply(link_closed{{lost}, {"host", lost}, errc::kTimeout});
  f.Apply(link_closed{{0}, {"host", lost}, errc::kTimeout});
  int retried = 0;
  for (const effect& e : f.effects) {
    const auto* send = std::get_if<send_message>(&e);
    retried += send != nullptr && std::holds_alternative<dispatch_request>(send->body) ? 1 : 0;
  }
  CHECK(in_flight[lost] > 20);
  CHECK(retried == in_flight[lost]);
  CHECK(f.Problem() == nullptr);
}

// Guards against reporting "not run" for a request that an earlier attempt may have run.
TEST_CASE("a refusal after a crash is not reported as not run") {
  entry_fixture f;
  auto first = f.Submit("small");
  f.Apply(
      message_received{f.link, dispatch_failed{first->id, dispatch_failure::kEngineCrashed, {}}});
  auto retry = f.SentDispatch();
  REQUIRE(retry);
  f.Refuse(*retry, refusal_reason::kQueueFull);
  REQUIRE(f.Problem() != nullptr);
  CHECK(f.Problem()->outcome == run_outcome::kUnknown);
}

// Guards against a failure of a request that another backend server could have run.
TEST_CASE("a request whose engine broke the protocol is retried elsewhere") {
  entry_fixture f;
  auto dispatch = f.Submit("small");
  int attempts = 0;
  for (; dispatch; dispatch = f.SentDispatch()) {
    ++attempts;
    f.Apply(message_received{f.link,
                             dispatch_failed{dispatch->id, dispatch_failure::kEngineError, {}}});
  }
  CHECK(attempts > 1);
  REQUIRE(f.Problem() != nullptr);
  CHECK(f.Problem()->failure == dispatch_failure::kEngineError);
  CHECK(f.Problem()->outcome == run_outcome::kUnknown);
}

// Guards against older shares being restored by a dispatch from an entry with an older
// configuration.
TEST_CASE("an agent keeps the shares of the highest configuration version") {
  thread_state<balanced_policies> state;
  execution_limits limits;
  limits.concurrency = 1;
  state.traffic.executions.emplace(0, limits);
  manual_clock clock;
  random_source random(1);
  int batch = 0;
  std::optional<dispatch_id> running;
  auto apply = [&](const event& e) {
    effect_list effects;
    reduce_context ctx{clock.Now(), clock.WallNow(), random, effects};
    Reduce(state, e, ctx);
    for (const effect& one : effects) {
      if (const auto* start = std::get_if<start_engine_call>(&one)) {
        running = start->id;
        batch += start->cls == priority_class::kBatch ? 1 : 0;
      }
    }
  };
  for (std::uint64_t i = 0; i < 200; ++i) {
    bool first = i % 2 == 0;
    priority_class cls = first ? priority_class::kInteractive : priority_class::kBatch;
    apply(message_received{{1}, MakeDispatch(i, cls, first ? 5 : 4, first ? 50 : 0)});
  }
  for (int i = 0; i < 100; ++i) {
    clock.Advance(10ms);
    apply(engine_answer_end{*running});
  }
  CHECK(batch == Approx(50).margin(2));
}

// Guards against refusing repeatable requests when a silent link lost more of a Member's dispatches
// than its retry budget covers. The agent refuses them as tombstoned over the new link.
TEST_CASE("dispatches lost on a link do not use up the retry budget") {
  entry_fixture f;
  std::vector<std::pair<link_id, dispatch_request>> sent;
  for (int i = 0; i < 60; ++i) {
    auto dispatch = f.Submit("small");
    REQUIRE(dispatch);
    sent.emplace_back(f.link, *dispatch);
  }
  for (const auto& [link, dispatch] : sent) {
    f.link = link;
    f.Refuse(dispatch, refusal_reason::kTombstoned);
    CHECK(f.SentDispatch());
  }
}

}  // namespace radishroute
