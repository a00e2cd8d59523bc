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

// Guards against losing or repeating a request when nothing fails.
TEST_CASE("a booking runs once and its resend on another entry gets the stored answer") {
  record_world w(1);
  auto first = w.Submit(0, test_key, true);
  w.Run(seconds(1));
  CHECK(w.answers[first].outcome == "done");
  CHECK(w.answers[first].body == "ran " + test_key);
  auto resend = w.Submit(1, test_key, false);
  w.Run(seconds(1));
  CHECK(w.answers[resend].body == "ran " + test_key);
  CHECK(w.Runs(test_key) == 1);
  auto other = w.Submit(1, test_key, false, "other contents");
  w.Run(seconds(1));
  CHECK(w.answers[other].refusal == refusal_reason::kIdempotencyKeyConflict);
  CHECK(w.violation.empty());
}

// Guards against a key that stays claimed for ever, or runs twice, if its owner dies before the
// dispatch is sent, and against running the dispatch when it arrives a minute late.
TEST_CASE("owner dies between claim and dispatch") {
  record_world w(1);
  bool late = GENERATE(false, true);
  w.route = [&](const message& m) -> std::optional<milliseconds> {
    if (!Is<dispatch_request>(m)) return milliseconds(1);
    if (!late) return std::nullopt;
    return seconds(60);
  };
  w.Submit(0, test_key, true);
  w.Run(milliseconds(20));
  REQUIRE(w.Records().Find("club-1", test_key)->status == record_status::kClaimed);
  w.KillEntry(0);
  w.route = nullptr;
  auto resend = w.Submit(1, test_key, false);
  w.Run(seconds(70));
  CHECK(w.answers[resend].outcome == "done");
  CHECK(w.Runs(test_key) == 1);
}

// Guards against a second run if the owner dies with an answer that it has not stored yet.
TEST_CASE("owner dies between answer and storing it") {
  record_world w(1);
  w.route = [&](const message& m) -> std::optional<milliseconds> {
    if (Is<outcome_request>(m)) return std::nullopt;
    return milliseconds(1);
  };
  w.Submit(0, test_key, true);
  w.Run(milliseconds(100));
  REQUIRE(w.Runs(test_key) == 1);
  w.KillEntry(0);
  w.route = nullptr;
  auto resend = w.Submit(1, test_key, false);
  w.Run(seconds(9));
  CHECK(w.answers[resend].outcome == "done");
  CHECK(w.answers[resend].failure == dispatch_failure::kAnswerNotStored);
  CHECK(w.Runs(test_key) == 1);
}

// Guards against "not run" for a submission whose key runs under a resend on another entry.
TEST_CASE("a delayed dispatch is resolved by a resend while its owner lives") {
  record_world w(1);
  bool delayed = true;
  w.route = [&](const message& m) -> std::optional<milliseconds> {
    bool slow = Is<dispatch_request>(m) && std::exchange(delayed, false);
    return slow ? seconds(4) : milliseconds(1);
  };
  auto first = w.Submit(0, test_key, true);
  w.Run(milliseconds(100));
  auto resend = w.Submit(1, test_key, false);
  w.Run(seconds(8));
  CHECK(w.answers[resend].outcome == "done");
  CHECK(w.answers[first].outcome == "unknown");
  CHECK(w.Runs(test_key) == 1);
}

// Guards against running both copies of a repeated message.
TEST_CASE("every message arrives twice") {
  record_world w(1);
  w.copies = [](const message&) { return 2; };
  auto first = w.Submit(0, test_key, true);
  auto second = w.Submit(1, test_key, false);
  w.Run(seconds(5));
  CHECK(w.Runs(test_key) == 1);
  CHECK(w.answers[first].outcome == "done");
  CHECK(w.answers[second].outcome == "done");
  CHECK(w.violation.empty());
}

// Guards against reporting "not run" for a dispatch that an earlier life of the agent started.
TEST_CASE("agent restarts while a dispatch runs") {
  record_world w(1);
  w.engine_time = seconds(2);
  auto first = w.Submit(0, test_key, true);
  w.Run(milliseconds(100));
  REQUIRE(w.Runs(test_key) == 1);
  w.RestartAgent(0);
  w.Run(seconds(1));
  CHECK(w.answers[first].outcome == "unknown");
  auto resend = w.Submit(1, test_key, false);
  w.Run(seconds(9));
  CHECK(w.answers[resend].outcome == "unknown");
  CHECK(w.Runs(test_key) == 1);
}

// Guards against a retry after the engine died during the run.
TEST_CASE("engine restarts while a dispatch runs") {
  record_world w(1, 2, 2);
  w.engine_time = seconds(2);
  auto first = w.Submit(0, test_key, true);
  w.Run(milliseconds(100));
  w.CrashEngine(0);
  w.CrashEngine(1);
  w.Run(seconds(1));
  CHECK(w.answers[first].outcome == "unknown");
  auto resend = w.Submit(1, test_key, false);
  w.Run(seconds(9));
  CHECK(w.answers[resend].outcome == "unknown");
  CHECK(w.Runs(test_key) == 1);
}

// Guards against telling "unknown" when every attempt was refused, and against a stuck key.
TEST_CASE("engine refuses before it starts") {
  record_world w(1);
  w.engine_refuses = true;
  auto first = w.Submit(0, test_key, true);
  w.Run(seconds(1));
  CHECK(w.answers[first].outcome == "not-run");
  w.engine_refuses = false;
  auto resend = w.Submit(1, test_key, false);
  w.Run(seconds(1));
  CHECK(w.answers[resend].outcome == "done");
  CHECK(w.Runs(test_key) == 1);
}

// Guards against running without a claim, and against "not run" for a key that may have run.
TEST_CASE("no quorum") {
  record_world w(1);
  w.CutLeader(true);
  auto first = w.Submit(0, test_key, true);
  auto resend = w.Submit(1, test_key, false);
  w.Run(seconds(4));
  CHECK(w.answers[first].outcome == "not-run");
  CHECK(w.answers[first].refusal == refusal_reason::kNoQuorum);
  CHECK(w.answers[resend].outcome == "unknown");
  CHECK(w.Runs(test_key) == 0);
  // The leases have ended by now.
  auto later = w.Submit(0, test_key, true);
  w.Run(milliseconds(1));
  CHECK(w.answers[later].refusal == refusal_reason::kConfigLeaseLost);
  w.CutLeader(false);
  w.Run(seconds(2));
  auto last = w.Submit(0, test_key, false);
  w.Run(seconds(1));
  CHECK(w.answers[last].outcome == "done");
  CHECK(w.Runs(test_key) == 1);
}

// Guards against a wait without end for the commit of an outcome.
TEST_CASE("an answer is not held back for ever when its outcome cannot be committed") {
  record_world w(1);
  w.route = [](const message& m) -> std::optional<milliseconds> {
    if (Is<outcome_request>(m)) return std::nullopt;
    return milliseconds(1);
  };
  auto first = w.Submit(0, test_key, true);
  w.Run(milliseconds(900));
  CHECK(w.answers[first].outcome.empty());
  w.Run(milliseconds(300));
  CHECK(w.answers[first].outcome == "done");
}

// Guards against running keys whose records are gone or would outlive the retention.
TEST_CASE("expired keys, keys from the future and malformed keys") {
  record_world w(1);
  record_limits limits;
  std::string expired = MakeKey(kTestEpoch - limits.retention - seconds(1));
  std::string future = MakeKey(kTestEpoch + limits.clock_skew + seconds(10));
  auto a = w.Submit(0, expired, true);
  auto b = w.Submit(0, expired, false);
  auto c = w.Submit(0, future, false);
  auto d = w.Submit(0, "not-a-uuid", false);
  auto e = w.Submit(0, "", false);
  w.Run(seconds(1));
  CHECK(w.answers[a].refusal == refusal_reason::kIdempotencyKeyExpired);
  CHECK(w.answers[a].outcome == "not-run");
  CHECK(w.answers[b].outcome == "unknown");
  CHECK(w.answers[c].refusal == refusal_reason::kIdempotencyKeyInFuture);
  CHECK(w.answers[c].outcome == "unknown");
  CHECK(w.answers[d].refusal == refusal_reason::kMalformedIdempotencyKey);
  CHECK(w.answers[e].refusal == refusal_reason::kMissingIdempotencyKey);
  CHECK(w.runs.empty());
}

// Guards against cancelling a booking half-way, after which nobody knows its outcome.
TEST_CASE("the caller hangs up and asks again") {
  record_world w(1);
  auto first = w.Submit(0, test_key, true);
  w.Run(milliseconds(15));
  w.HangUp(0, first);
  w.Run(seconds(1));
  auto resend = w.Submit(1, test_key, false);
  w.Run(seconds(1));
  CHECK(w.answers[resend].body == "ran " + test_key);
  CHECK(w.answers.count(first) == 0);
  CHECK(w.Runs(test_key) == 1);
}

}  // namespace radishroute
