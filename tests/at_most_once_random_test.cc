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

/// One caller that submits a key until it gets an answer other than "unknown" or gives up.
struct caller {
  std::string key;
  std::optional<exchange_id> waiting;
  int entry = 0;
  int submissions = 0;
  bool told_not_run = false;
  bool finished = false;
};

void ScriptChaos(record_world& w) {
  w.route = [&w](const message& m) -> std::optional<milliseconds> {
    bool announced = std::holds_alternative<announcement>(m);
    auto draw = w.random() % 100;
    if (draw < 4 && !announced) return std::nullopt;
    if (draw < 8) return milliseconds(w.random() % 4000);
    return milliseconds(1 + w.random() % 30);
  };
  w.copies = [&w](const message&) { return w.random() % 10 == 0 ? 2 : 1; };
}

void Fault(record_world& w) {
  int entry = static_cast<int>(w.random() % kEntries);
  int agent = static_cast<int>(w.random() % kAgents);
  switch (w.random() % 12) {
    case 0:
      w.KillEntry(entry);
      w.StartEntry(entry);
      return;
    case 1:
      w.RestartAgent(agent);
      return;
    case 2:
      w.CrashEngine(agent);
      return;
    case 3:
      w.CutLeader(w.random() % 2 == 0);
      return;
    case 4:
      w.engine_refuses = w.random() % 2 == 0;
      return;
    default:
      return;
  }
}

void Check(record_world& w, caller& c) {
  if (!w.violation.empty()) RC_FAIL(w.violation);
  if (c.told_not_run) RC_ASSERT(w.Runs(c.key) == 0);
  if (!c.waiting) return;
  auto it = w.answers.find(*c.waiting);
  if (it == w.answers.end() || it->second.outcome.empty()) return;
  c.waiting.reset();
  if (it->second.outcome == "not-run") {
    RC_ASSERT(w.Runs(c.key) == 0);
    c.told_not_run = true;
  }
  if (it->second.outcome == "done") {
    RC_ASSERT(w.Runs(c.key) == 1);
    if (it->second.failure == dispatch_failure::kNone) RC_ASSERT(it->second.body == "ran " + c.key);
    c.finished = true;
  }
}

void Step(record_world& w, caller& c, unsigned& next_key) {
  if (c.finished) {
    c = caller();
    c.key = MakeKey(kTestEpoch, next_key++);
  }
  if (c.waiting) {
    // A caller that loses patience closes its connection and resends.
    if (w.random() % 8 != 0) return;
    w.HangUp(c.entry, *c.waiting);
  }
  c.entry = static_cast<int>(w.random() % kEntries);
  c.told_not_run = false;
  c.waiting = w.Submit(c.entry, c.key, c.submissions++ == 0);
}

void RunOnce(std::uint64_t seed) {
  record_world w(seed, kEntries, kAgents);
  ScriptChaos(w);
  std::vector<caller> callers(8);
  unsigned next_key = 0;
  for (caller& c : callers) c.key = MakeKey(kTestEpoch, next_key++);
  for (int step = 0; step < 300; ++step) {
    for (caller& c : callers) {
      if (w.random() % 4 == 0) Step(w, c, next_key);
    }
    if (w.random() % 5 == 0) Fault(w);
    w.Run(milliseconds(w.random() % 200));
    for (caller& c : callers) Check(w, c);
    for (const auto& [key, runs] : w.runs) RC_ASSERT(runs <= 1);
  }
  // Once the failures end, every key gets an answer.
  w.route = nullptr;
  w.copies = nullptr;
  w.engine_refuses = false;
  w.CutLeader(false);
  w.Run(seconds(15));
  for (caller& c : callers) {
    if (c.finished) continue;
    if (c.waiting) w.HangUp(c.entry, *c.waiting);
    c.told_not_run = false;
    c.waiting = w.Submit(0, c.key, false);
  }
  w.Run(seconds(15));
  for (caller& c : callers) {
    Check(w, c);
    RC_ASSERT(!c.waiting);
  }
}

}  // namespace

// Guards against any order of failures that runs a key twice, answers "not run" for one that ran,
// or leaves a key without an answer. RC_PARAMS="seed=..." repeats a failure.
TEST_CASE("random failures never run a key twice") {
  CHECK(rc::check("at most once", [] { RunOnce(*rc::gen::arbitrary<std::uint64_t>()); }));
}

}  // namespace radishroute
