#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <cstdlib>

#include "record_world.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kEntries = 3;
constexpr int kAgents = 2;

/// A caller that submits a key until it gets the outcome "done".
struct caller {
  std::string key;
  std::optional<exchange_id> waiting;
  int entry = 0;
  int submissions = 0;
  bool reported_not_run = false;
  bool finished = false;
};

void ConfigureMessageFaults(record_simulation& sim) {
  sim.message_delay = [&sim](const message& m) -> std::optional<milliseconds> {
    bool announced = std::holds_alternative<announcement>(m);
    auto draw = sim.random() % 100;
    if (draw < 4 && !announced) return std::nullopt;
    if (draw < 8) return milliseconds(sim.random() % 4000);
    return milliseconds(1 + sim.random() % 30);
  };
  sim.message_copies = [&sim](const message&) { return sim.random() % 10 == 0 ? 2 : 1; };
}

void InjectFault(record_simulation& sim) {
  int entry = static_cast<int>(sim.random() % kEntries);
  int agent = static_cast<int>(sim.random() % kAgents);
  switch (sim.random() % 12) {
    case 0:
      sim.KillEntry(entry);
      sim.StartEntry(entry);
      return;
    case 1:
      sim.RestartAgent(agent);
      return;
    case 2:
      sim.CrashEngine(agent);
      return;
    case 3:
      sim.PartitionLeader(sim.random() % 2 == 0);
      return;
    case 4:
      sim.engine_refuses = sim.random() % 2 == 0;
      return;
    default:
      return;
  }
}

void Check(record_simulation& sim, caller& c) {
  if (!sim.violation.empty()) RC_FAIL(sim.violation);
  if (c.reported_not_run) RC_ASSERT(sim.Runs(c.key) == 0);
  if (!c.waiting) return;
  auto it = sim.answers.find(*c.waiting);
  if (it == sim.answers.end() || it->second.outcome.empty()) return;
  c.waiting.reset();
  if (it->second.outcome == "not-run") {
    RC_ASSERT(sim.Runs(c.key) == 0);
    c.reported_not_run = true;
  }
  if (it->second.outcome == "done") {
    RC_ASSERT(sim.Runs(c.key) == 1);
    if (it->second.failure == dispatch_failure::kNone) RC_ASSERT(it->second.body == "ran " + c.key);
    c.finished = true;
  }
}

void SubmitOrResend(record_simulation& sim, caller& c, unsigned& next_key) {
  if (c.finished) {
    c = caller();
    c.key = MakeKey(kTestEpoch, next_key++);
  }
  if (c.waiting) {
    // Some callers disconnect before the response and resend the request.
    if (sim.random() % 8 != 0) return;
    sim.DisconnectCaller(c.entry, *c.waiting);
  }
  c.entry = static_cast<int>(sim.random() % kEntries);
  c.reported_not_run = false;
  c.waiting = sim.Submit(c.entry, c.key, c.submissions++ == 0);
}

void RunOnce(std::uint64_t seed) {
  record_simulation sim(seed, kEntries, kAgents);
  ConfigureMessageFaults(sim);
  std::vector<caller> callers(8);
  unsigned next_key = 0;
  for (caller& c : callers) c.key = MakeKey(kTestEpoch, next_key++);
  for (int step = 0; step < 300; ++step) {
    for (caller& c : callers) {
      if (sim.random() % 4 == 0) SubmitOrResend(sim, c, next_key);
    }
    if (sim.random() % 5 == 0) InjectFault(sim);
    sim.Run(milliseconds(sim.random() % 200));
    for (caller& c : callers) Check(sim, c);
    for (const auto& [key, runs] : sim.runs) RC_ASSERT(runs <= 1);
  }
  // After the failures end, every key gets an outcome.
  sim.message_delay = nullptr;
  sim.message_copies = nullptr;
  sim.engine_refuses = false;
  sim.PartitionLeader(false);
  sim.Run(seconds(15));
  for (caller& c : callers) {
    if (c.finished) continue;
    if (c.waiting) sim.DisconnectCaller(c.entry, *c.waiting);
    c.reported_not_run = false;
    c.waiting = sim.Submit(0, c.key, false);
  }
  sim.Run(seconds(15));
  for (caller& c : callers) {
    Check(sim, c);
    RC_ASSERT(!c.waiting);
  }
}

}  // namespace

// Guards against sequences of failures that run a key twice, report "not run" for a key that ran,
// or leave a key without an outcome. RC_PARAMS="seed=..." reproduces a failure.
TEST_CASE("random failures never run a key twice") {
  CHECK(rc::check("at most once", [] { RunOnce(*rc::gen::arbitrary<std::uint64_t>()); }));
}

}  // namespace radishroute
