#include "radishroute/quarantine.h"

#include <catch2/catch.hpp>

#include "fake_context.h"
#include "radishroute/executions.h"
#include "radishroute/policies.h"

namespace radishroute {

namespace {

constexpr fingerprint kContent{42};
constexpr steady_time kNow{std::chrono::hours(1)};

crash_report MakeReport(std::uint64_t source, std::uint32_t sequence) {
  return {{{kContent, source, sequence, {}}}, {}};
}

}  // namespace

// Guards against counting a crash twice when its report arrives over two paths.
TEST_CASE("repeated reports of one crash count once") {
  quarantine q;
  CHECK_FALSE(Empty(q.Merge(MakeReport(1, 1), kNow)));
  CHECK(Empty(q.Merge(MakeReport(1, 1), kNow)));
  CHECK(Empty(q.Merge(MakeReport(1, 0), kNow)));
  CHECK(q.CrashStatus(kContent, kNow) == crash_status::kSuspect);
  q.Merge(MakeReport(1, 2), kNow);
  CHECK(q.CrashStatus(kContent, kNow) == crash_status::kQuarantined);
  CHECK(q.CrashStatus(kContent, kNow + std::chrono::minutes(10)) == crash_status::kClean);
}

// Guards against a delayed copy of an old report that makes a cleared fingerprint suspect again,
// and against clearing a fingerprint that two crashes have identified.
TEST_CASE("completion clears a suspect but not a quarantined fingerprint") {
  quarantine q;
  q.Merge(MakeReport(1, 1), kNow);
  q.Merge({{}, {kContent}}, kNow);
  CHECK(q.CrashStatus(kContent, kNow) == crash_status::kClean);
  CHECK(Empty(q.Merge(MakeReport(1, 1), kNow)));
  q.Merge(MakeReport(2, 1), kNow);
  CHECK(q.CrashStatus(kContent, kNow) == crash_status::kSuspect);
  q.Merge(MakeReport(3, 1), kNow);
  q.Merge({{}, {kContent}}, kNow);
  CHECK(q.CrashStatus(kContent, kNow) == crash_status::kQuarantined);
  CHECK(q.Snapshot(kNow).charges.size() == 2);
}

// Guards against unbounded memory for many distinct requests that crash engines.
TEST_CASE("the table of suspects is bounded") {
  quarantine q({.max_fingerprints = 10});
  for (std::uint64_t i = 0; i < 100; ++i) q.Merge({{{{i}, 1, 1, {}}}, {}}, kNow);
  CHECK(q.Size() == 10);
}

namespace {

struct agent_fixture {
  fake_context fake;
  execution_table<baseline_policies> table{5, {}, 77};

  dispatch_id Dispatch(std::uint64_t number, bool suspect) {
    dispatch_request d;
    d.id = {{1, number}, 1};
    d.agent_incarnation = 5;
    d.time_left = std::chrono::seconds(60);
    d.content = {number};
    d.suspect = suspect;
    d.stream = true;
    d.body = "b";
    fake.Do([&](auto& ctx) { table.Handle(link_id{9}, d, ctx); });
    return d.id;
  }
};

}  // namespace

// Guards against two suspects in one batch: a crash would not identify which one caused it.
TEST_CASE("at most one suspect runs on an engine") {
  agent_fixture f;
  dispatch_id first = f.Dispatch(1, true);
  CHECK(f.fake.All<start_engine_call>().size() == 1);
  f.Dispatch(2, true);
  CHECK(f.fake.All<start_engine_call>().empty());
  f.Dispatch(3, false);
  CHECK(f.fake.All<start_engine_call>().size() == 1);
  f.fake.Do([&](auto& ctx) { f.table.Handle(engine_answer_end{first}, ctx); });
  CHECK(f.fake.All<start_engine_call>().size() == 1);
}

// Guards against a retry of a crashing request before its entry knows of the crash.
TEST_CASE("an engine crash is reported before the dispatches fail") {
  agent_fixture f;
  dispatch_id a = f.Dispatch(1, false);
  f.Dispatch(2, false);
  f.fake.Do([&](auto& ctx) {
    f.table.Handle(engine_call_failed{a, dispatch_failure::kEngineCrashed, true}, ctx);
  });
  REQUIRE(f.fake.All<probe_engine>().size() == 1);
  CHECK(f.fake.Sent<dispatch_failed>().empty());
  f.fake.Do([&](auto& ctx) { f.table.Handle(engine_probe_done{1, false}, ctx); });
  REQUIRE(f.fake.Sent<crash_report>().size() == 1);
  CHECK(f.fake.Sent<crash_report>()[0].second.charges.size() == 2);
  CHECK(f.fake.Sent<dispatch_failed>().size() == 2);
  auto sent = f.fake.All<send_message>();
  CHECK(std::holds_alternative<crash_report>(sent.front().body));
}

// Guards against blaming every request in flight when only one connection is lost.
TEST_CASE("a disconnected call on a running engine is not reported as a crash") {
  agent_fixture f;
  dispatch_id a = f.Dispatch(1, false);
  f.Dispatch(2, false);
  f.fake.Do([&](auto& ctx) {
    f.table.Handle(engine_call_failed{a, dispatch_failure::kEngineCrashed, true}, ctx);
  });
  f.fake.Do([&](auto& ctx) { f.table.Handle(engine_probe_done{1, true}, ctx); });
  CHECK(f.fake.Sent<crash_report>().empty());
  CHECK(f.fake.Sent<dispatch_failed>().size() == 1);
}

// Guards against content that is quarantined because its engine sends responses that break the
// protocol.
TEST_CASE("a response that breaks the protocol is not reported as a crash") {
  agent_fixture f;
  dispatch_id a = f.Dispatch(1, false);
  f.fake.Do([&](auto& ctx) {
    f.table.Handle(engine_call_failed{a, dispatch_failure::kEngineError, true}, ctx);
  });
  REQUIRE(f.fake.Sent<dispatch_failed>().size() == 1);
  CHECK(f.fake.Sent<dispatch_failed>()[0].second.reason == dispatch_failure::kEngineError);
  CHECK(f.fake.All<probe_engine>().size() == 1);
  f.fake.Do([&](auto& ctx) { f.table.Handle(engine_probe_done{1, false}, ctx); });
  CHECK(f.fake.Sent<crash_report>().empty());
}

// Guards against a stream that hangs on a stalled engine while heartbeats continue.
TEST_CASE("a stream without progress is cancelled") {
  agent_fixture f;
  dispatch_id a = f.Dispatch(1, false);
  f.fake.Do([&](auto& ctx) { f.table.Handle(engine_answer_bytes{a, "x"}, ctx); });
  f.fake.Advance(std::chrono::milliseconds(1900));
  f.fake.Do([&](auto& ctx) { f.table.Handle(engine_answer_bytes{a, "x"}, ctx); });
  f.fake.Advance(std::chrono::milliseconds(1900));
  f.fake.Do([&](auto& ctx) { f.table.Handle(timer_expired{}, ctx); });
  CHECK(f.fake.Sent<dispatch_failed>().empty());
  f.fake.Advance(std::chrono::milliseconds(200));
  f.fake.Do([&](auto& ctx) { f.table.Handle(timer_expired{}, ctx); });
  REQUIRE(f.fake.Sent<dispatch_failed>().size() == 1);
  CHECK(f.fake.Sent<dispatch_failed>()[0].second.reason == dispatch_failure::kEngineStalled);
  CHECK(f.fake.All<cancel_engine_call>().size() == 1);
}

// Guards against an agent that retains all bytes of many long answers.
TEST_CASE("retained answer bytes are bounded over all executions") {
  fake_context fake;
  execution_limits limits;
  limits.max_total_answer_bytes = 1000;
  agent_fixture f{{}, {5, limits, 77}};
  for (std::uint64_t i = 1; i <= 10; ++i) {
    dispatch_id id = f.Dispatch(i, false);
    f.fake.Do([&](auto& ctx) {
      f.table.Handle(engine_answer_bytes{id, std::string(300, 'x')}, ctx);
    });
    CHECK(f.table.RetainedBytes() <= 1000);
  }
}

}  // namespace radishroute
