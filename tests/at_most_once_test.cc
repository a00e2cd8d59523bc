#include <catch2/catch.hpp>
#include <utility>

#include "record_world.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const std::string test_key = MakeKey(kTestEpoch);

template <class M>
bool Is(const message& m) {
  return std::holds_alternative<M>(m);
}

}  // namespace

// Guards against a booking that does not run, or runs again when it is resent through another
// entry, although nothing fails.
TEST_CASE("a booking runs once and its resend through another entry gets the stored answer") {
  record_simulation sim(1);
  auto first = sim.Submit(0, test_key, true);
  sim.Run(seconds(1));
  CHECK(sim.answers[first].outcome == "done");
  CHECK(sim.answers[first].body == "ran " + test_key);
  auto resend = sim.Submit(1, test_key, false);
  sim.Run(seconds(1));
  CHECK(sim.answers[resend].body == "ran " + test_key);
  CHECK(sim.Runs(test_key) == 1);
  auto other = sim.Submit(1, test_key, false, "other contents");
  sim.Run(seconds(1));
  CHECK(sim.answers[other].refusal == refusal_reason::kIdempotencyKeyConflict);
  CHECK(sim.violation.empty());
}

// Guards against a key that stays claimed or runs twice if the entry that claimed it terminates
// before its dispatch arrives, and against running the dispatch when it arrives a minute late.
TEST_CASE("the claiming entry terminates between claim and dispatch") {
  record_simulation sim(1);
  bool late = GENERATE(false, true);
  sim.message_delay = [&](const message& m) -> std::optional<milliseconds> {
    if (!Is<dispatch_request>(m)) return milliseconds(1);
    if (!late) return std::nullopt;
    return seconds(60);
  };
  sim.Submit(0, test_key, true);
  sim.Run(milliseconds(20));
  REQUIRE(sim.Records().Find("club-1", test_key)->status == record_status::kClaimed);
  sim.KillEntry(0);
  sim.message_delay = nullptr;
  auto resend = sim.Submit(1, test_key, false);
  sim.Run(seconds(70));
  CHECK(sim.answers[resend].outcome == "done");
  CHECK(sim.Runs(test_key) == 1);
}

// Guards against a second run if the entry terminates before it has stored the answer.
TEST_CASE("the claiming entry terminates between receiving and storing the answer") {
  record_simulation sim(1);
  sim.message_delay = [&](const message& m) -> std::optional<milliseconds> {
    if (Is<outcome_request>(m)) return std::nullopt;
    return milliseconds(1);
  };
  sim.Submit(0, test_key, true);
  sim.Run(milliseconds(100));
  REQUIRE(sim.Runs(test_key) == 1);
  sim.KillEntry(0);
  sim.message_delay = nullptr;
  auto resend = sim.Submit(1, test_key, false);
  sim.Run(seconds(9));
  CHECK(sim.answers[resend].outcome == "done");
  CHECK(sim.answers[resend].failure == dispatch_failure::kAnswerNotStored);
  CHECK(sim.Runs(test_key) == 1);
}

// Guards against the outcome "not run" for a key that has run: a resend on another entry finds that
// the delayed dispatch has not started and runs the key itself; the delayed dispatch is then
// refused.
TEST_CASE("a resend resolves a delayed dispatch while the claiming entry is running") {
  record_simulation sim(1);
  bool delayed = true;
  sim.message_delay = [&](const message& m) -> std::optional<milliseconds> {
    bool slow = Is<dispatch_request>(m) && std::exchange(delayed, false);
    return slow ? seconds(4) : milliseconds(1);
  };
  auto first = sim.Submit(0, test_key, true);
  sim.Run(milliseconds(100));
  auto resend = sim.Submit(1, test_key, false);
  sim.Run(seconds(8));
  CHECK(sim.answers[resend].outcome == "done");
  CHECK(sim.answers[first].outcome == "unknown");
  CHECK(sim.Runs(test_key) == 1);
}

// Guards against a second run caused by a duplicated message.
TEST_CASE("every message arrives twice") {
  record_simulation sim(1);
  sim.message_copies = [](const message&) { return 2; };
  auto first = sim.Submit(0, test_key, true);
  auto second = sim.Submit(1, test_key, false);
  sim.Run(seconds(5));
  CHECK(sim.Runs(test_key) == 1);
  CHECK(sim.answers[first].outcome == "done");
  CHECK(sim.answers[second].outcome == "done");
  CHECK(sim.violation.empty());
}

// Guards against the outcome "not run" for a dispatch that an earlier incarnation of the agent
// started; the current incarnation has no state for it.
TEST_CASE("an agent restarts while a dispatch runs") {
  record_simulation sim(1);
  sim.engine_latency = seconds(2);
  auto first = sim.Submit(0, test_key, true);
  sim.Run(milliseconds(100));
  REQUIRE(sim.Runs(test_key) == 1);
  sim.RestartAgent(0);
  sim.Run(seconds(1));
  CHECK(sim.answers[first].outcome == "unknown");
  auto resend = sim.Submit(1, test_key, false);
  sim.Run(seconds(9));
  CHECK(sim.answers[resend].outcome == "unknown");
  CHECK(sim.Runs(test_key) == 1);
}

// Guards against a retry after the engine crashed during the run.
TEST_CASE("the engines crash while a dispatch runs") {
  record_simulation sim(1, 2, 2);
  sim.engine_latency = seconds(2);
  auto first = sim.Submit(0, test_key, true);
  sim.Run(milliseconds(100));
  sim.CrashEngine(0);
  sim.CrashEngine(1);
  sim.Run(seconds(1));
  CHECK(sim.answers[first].outcome == "unknown");
  auto resend = sim.Submit(1, test_key, false);
  sim.Run(seconds(9));
  CHECK(sim.answers[resend].outcome == "unknown");
  CHECK(sim.Runs(test_key) == 1);
}

// Guards against the outcome "unknown" when every attempt was refused, and against a key that
// stays claimed.
TEST_CASE("the engine refuses a dispatch before it starts") {
  record_simulation sim(1);
  sim.engine_refuses = true;
  auto first = sim.Submit(0, test_key, true);
  sim.Run(seconds(1));
  CHECK(sim.answers[first].outcome == "not-run");
  sim.engine_refuses = false;
  auto resend = sim.Submit(1, test_key, false);
  sim.Run(seconds(1));
  CHECK(sim.answers[resend].outcome == "done");
  CHECK(sim.Runs(test_key) == 1);
}

// Guards against a run without a claim, and against the outcome "not run" for a key that may have
// run.
TEST_CASE("claims fail without a quorum") {
  record_simulation sim(1);
  sim.PartitionLeader(true);
  auto first = sim.Submit(0, test_key, true);
  auto resend = sim.Submit(1, test_key, false);
  sim.Run(seconds(4));
  CHECK(sim.answers[first].outcome == "not-run");
  CHECK(sim.answers[first].refusal == refusal_reason::kNoQuorum);
  CHECK(sim.answers[resend].outcome == "unknown");
  CHECK(sim.Runs(test_key) == 0);
  // The leases have expired by now.
  auto later = sim.Submit(0, test_key, true);
  sim.Run(milliseconds(1));
  CHECK(sim.answers[later].refusal == refusal_reason::kConfigLeaseLost);
  sim.PartitionLeader(false);
  sim.Run(seconds(2));
  auto last = sim.Submit(0, test_key, false);
  sim.Run(seconds(1));
  CHECK(sim.answers[last].outcome == "done");
  CHECK(sim.Runs(test_key) == 1);
}

// Guards against an unbounded wait for the commit of an outcome.
TEST_CASE("an answer is sent after a time-out if its outcome cannot be committed") {
  record_simulation sim(1);
  sim.message_delay = [](const message& m) -> std::optional<milliseconds> {
    if (Is<outcome_request>(m)) return std::nullopt;
    return milliseconds(1);
  };
  auto first = sim.Submit(0, test_key, true);
  sim.Run(milliseconds(900));
  CHECK(sim.answers[first].outcome.empty());
  sim.Run(milliseconds(300));
  CHECK(sim.answers[first].outcome == "done");
}

// Guards against running keys whose records have expired or would outlast the retention period.
TEST_CASE("expired keys, keys from the future and malformed keys are refused") {
  record_simulation sim(1);
  record_limits limits;
  std::string expired = MakeKey(kTestEpoch - limits.retention - seconds(1));
  std::string future = MakeKey(kTestEpoch + limits.clock_skew + seconds(10));
  auto a = sim.Submit(0, expired, true);
  auto b = sim.Submit(0, expired, false);
  auto c = sim.Submit(0, future, false);
  auto d = sim.Submit(0, "not-a-uuid", false);
  auto e = sim.Submit(0, "", false);
  sim.Run(seconds(1));
  CHECK(sim.answers[a].refusal == refusal_reason::kIdempotencyKeyExpired);
  CHECK(sim.answers[a].outcome == "not-run");
  CHECK(sim.answers[b].outcome == "unknown");
  CHECK(sim.answers[c].refusal == refusal_reason::kIdempotencyKeyInFuture);
  CHECK(sim.answers[c].outcome == "unknown");
  CHECK(sim.answers[d].refusal == refusal_reason::kMalformedIdempotencyKey);
  CHECK(sim.answers[e].refusal == refusal_reason::kMissingIdempotencyKey);
  CHECK(sim.runs.empty());
}

// Guards against cancelling a running booking, whose outcome would then be unknown.
TEST_CASE("a caller disconnects and resends the request") {
  record_simulation sim(1);
  auto first = sim.Submit(0, test_key, true);
  sim.Run(milliseconds(15));
  sim.DisconnectCaller(0, first);
  sim.Run(seconds(1));
  auto resend = sim.Submit(1, test_key, false);
  sim.Run(seconds(1));
  CHECK(sim.answers[resend].body == "ran " + test_key);
  CHECK(sim.answers.count(first) == 0);
  CHECK(sim.Runs(test_key) == 1);
}

}  // namespace radishroute
