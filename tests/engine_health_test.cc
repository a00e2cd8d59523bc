#include "radishroute/engine_health.h"

#include <catch2/catch.hpp>

#include "fake_context.h"
#include "radishroute/executions.h"
#include "radishroute/policies.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;

/// An agent whose engine has answered its first probe.
struct probed_agent_fixture {
  probed_agent_fixture() {
    fake.Do([&](auto& ctx) { table.Handle(process_started{}, ctx); });
    AnswerProbe(true);
  }

  void AnswerProbe(bool answered) {
    auto probes = fake.All<probe_engine>();
    REQUIRE(probes.size() == 1);
    fake.Do([&](auto& ctx) { table.Handle(engine_probe_done{probes[0].number, answered}, ctx); });
  }

  dispatch_id Dispatch(bool repeatable) {
    dispatch_request d;
    d.id = {{1, ++dispatched}, 1};
    d.agent_incarnation = 5;
    d.time_left = 5s;
    d.repeatable = repeatable;
    fake.Do([&](auto& ctx) { table.Handle(link_id{9}, d, ctx); });
    return d.id;
  }

  /// Advances in steps of 100 ms; returns the time until a dispatch failed, or empty if none did.
  std::optional<std::chrono::milliseconds> TimeUntilFailure(std::chrono::milliseconds limit) {
    for (auto passed = 100ms; passed <= limit; passed += 100ms) {
      fake.Advance(100ms);
      fake.Do([&](auto& ctx) { table.Handle(timer_expired{}, ctx); });
      if (!fake.Sent<dispatch_failed>().empty()) return passed;
    }
    return std::nullopt;
  }

  fake_context fake;
  execution_table<baseline_policies> table{5, {}, 77};
  std::uint64_t dispatched = 0;
};

}  // namespace

// Guards against non-streaming requests that stay on a hung engine until their deadline: they show
// no progress, and the probe interval of an idle engine is too long.
TEST_CASE("a non-streaming request fails on a hung engine in time for a retry elsewhere") {
  probed_agent_fixture f;
  f.Dispatch(true);
  auto found = f.TimeUntilFailure(5s);
  REQUIRE(found);
  CHECK(*found <= 2500ms);
  REQUIRE(f.fake.Sent<dispatch_failed>().size() == 1);
  CHECK(f.fake.Sent<dispatch_failed>()[0].second.reason == dispatch_failure::kEngineStalled);
}

// Guards against running a non-idempotent call twice.
TEST_CASE("a non-idempotent call is not failed on a hung engine") {
  probed_agent_fixture f;
  f.Dispatch(false);
  CHECK_FALSE(f.TimeUntilFailure(4s));
}

// Guards against probes that cost an engine under steady traffic more than its answers do.
TEST_CASE("an engine that sends answers is not probed") {
  probed_agent_fixture f;
  std::size_t probes = 0;
  for (int i = 0; i < 40; ++i) {
    dispatch_id id = f.Dispatch(true);
    f.fake.Advance(500ms);
    f.fake.Do([&](auto& ctx) { f.table.Handle(timer_expired{}, ctx); });
    probes += f.fake.All<probe_engine>().size();
    f.fake.Do([&](auto& ctx) { f.table.Handle(engine_answer_end{id}, ctx); });
  }
  CHECK(probes == 0);
}

}  // namespace radishroute
