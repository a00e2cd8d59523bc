#include <catch2/catch.hpp>

#include "radishroute/idempotency_key.h"
#include "state_fixture.h"

namespace radishroute {

using std::chrono::hours;
using std::chrono::seconds;

// Guards against accepting keys without a valid time, which would never expire.
TEST_CASE("only version 7 UUIDs are accepted as keys") {
  CHECK(ParseKeyTime(MakeKey(kTestEpoch)) == kTestEpoch);
  // Example from RFC 9562, appendix A.6.
  CHECK(ParseKeyTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398F") ==
        wall_time(std::chrono::milliseconds(0x017F22E279B0)));
  CHECK_FALSE(ParseKeyTime("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"));
  CHECK_FALSE(ParseKeyTime("017F22E2-79B0-7CC3-18C4-DC0C0C07398F"));
  CHECK_FALSE(ParseKeyTime("017F22E2-79B0-7CC3-98C4-DC0C0C07398"));
  CHECK_FALSE(ParseKeyTime("017F22E2079B0-7CC3-98C4-DC0C0C07398F"));
  CHECK_FALSE(ParseKeyTime("017F22E2-79G0-7CC3-98C4-DC0C0C07398F"));
  CHECK_FALSE(ParseKeyTime(""));
}

// Guards against a second run of a key when the request is resent through another entry.
TEST_CASE("a key is granted to one dispatch until the dispatch is recorded as not run") {
  state_fixture f;
  record_claim first = MakeClaim(MakeKey(kTestEpoch), 1);
  record_claim second = MakeClaim(first.key, 2);
  REQUIRE(f.Claim(first).verdict == claim_verdict::kGranted);
  CHECK(f.Claim(first).verdict == claim_verdict::kGranted);
  auto held = f.Claim(second);
  CHECK(held.verdict == claim_verdict::kHeld);
  CHECK(held.record->dispatch == first.dispatch);
  CHECK(f.Outcome(MakeOutcome(second, record_status::kNotRun)) == outcome_verdict::kNotHolder);

  SECTION("done: the resend gets the stored answer") {
    CHECK(f.Outcome(MakeOutcome(first, record_status::kDone, "slot 7")) ==
          outcome_verdict::kStored);
    auto done = f.Claim(second);
    CHECK(done.verdict == claim_verdict::kDone);
    CHECK(done.record->answer == "slot 7");
  }
  SECTION("not run: the key may be claimed again, but not by the refused dispatch") {
    CHECK(f.Outcome(MakeOutcome(first, record_status::kNotRun)) == outcome_verdict::kStored);
    CHECK(f.Claim(first).verdict == claim_verdict::kNotRun);
    CHECK(f.Claim(second).verdict == claim_verdict::kGranted);
    CHECK(f.Claim(first).verdict == claim_verdict::kHeld);
    CHECK(f.Outcome(MakeOutcome(first, record_status::kDone)) == outcome_verdict::kNotHolder);
  }
  SECTION("unknown: the key is not granted again, and a late answer is still stored") {
    CHECK(f.Outcome(MakeOutcome(first, record_status::kUnknown)) == outcome_verdict::kStored);
    CHECK(f.Claim(second).verdict == claim_verdict::kUnknown);
    CHECK(f.Outcome(MakeOutcome(first, record_status::kDone, "late")) == outcome_verdict::kStored);
    CHECK(f.Claim(second).verdict == claim_verdict::kDone);
  }
  SECTION("a contradictory outcome leaves the record unchanged and is logged") {
    f.Outcome(MakeOutcome(first, record_status::kDone));
    CHECK(f.Outcome(MakeOutcome(first, record_status::kNotRun)) == outcome_verdict::kContradiction);
    CHECK(f.Claim(second).verdict == claim_verdict::kDone);
    CHECK(f.effects.size() == 1);
  }
}

// Guards against answering a request with the stored answer of another that used the same key.
TEST_CASE("a key with different content is a conflict in every state") {
  state_fixture f;
  record_claim first = MakeClaim(MakeKey(kTestEpoch), 1);
  record_claim other = MakeClaim(first.key, 2);
  other.content_hash = 12;
  f.Claim(first);
  CHECK(f.Claim(other).verdict == claim_verdict::kConflict);
  f.Outcome(MakeOutcome(first, record_status::kNotRun));
  CHECK(f.Claim(other).verdict == claim_verdict::kConflict);
  other.member = "club-2";
  CHECK(f.Claim(other).verdict == claim_verdict::kGranted);
}

// Guards against a second run after the record was removed, even if the clock of a later leader is
// behind, and against keys from the future that would outlast the retention period.
TEST_CASE("expired keys and keys from the future are refused") {
  state_fixture f;
  record_limits limits;
  record_claim first = MakeClaim(MakeKey(kTestEpoch), 1);
  REQUIRE(f.Claim(first).verdict == claim_verdict::kGranted);
  wall_time late = kTestEpoch + limits.retention + seconds(1);
  CHECK(f.Claim(MakeClaim(MakeKey(late), 2, late)).verdict == claim_verdict::kGranted);
  CHECK(f.machine.Records().Size() == 1);
  CHECK(f.Claim(MakeClaim(first.key, 3, late)).verdict == claim_verdict::kExpired);
  CHECK(f.Claim(MakeClaim(first.key, 4, kTestEpoch)).verdict == claim_verdict::kExpired);
  wall_time ahead = late + limits.clock_skew;
  CHECK(f.Claim(MakeClaim(MakeKey(ahead), 5, late)).verdict == claim_verdict::kGranted);
  CHECK(f.Claim(MakeClaim(MakeKey(ahead + seconds(1)), 6, late)).verdict ==
        claim_verdict::kInFuture);
}

// Guards against large answers filling the replicas' memory, and against losing the outcome.
TEST_CASE("only the outcome is stored for an answer above the size limit") {
  state_fixture f;
  record_claim claim = MakeClaim(MakeKey(kTestEpoch), 1);
  f.Claim(claim);
  std::string large(record_limits().max_answer_bytes + 1, 'x');
  CHECK(f.Outcome(MakeOutcome(claim, record_status::kDone, large)) == outcome_verdict::kStored);
  auto resend = f.Claim(MakeClaim(claim.key, 2));
  CHECK(resend.verdict == claim_verdict::kDone);
  CHECK_FALSE(resend.record->answer_stored);
  CHECK(resend.record->answer.empty());
}

// Guards against unbounded memory use when a caller sends many new keys.
TEST_CASE("a full table refuses only new keys") {
  record_limits limits;
  limits.max_records = 2;
  record_table table(limits);
  random_source random(1);
  effect_list effects;
  reduce_context ctx{steady_time(), kTestEpoch, random, effects};
  CHECK(table.Apply(MakeClaim(MakeKey(kTestEpoch, 1), 1), ctx).verdict == claim_verdict::kGranted);
  CHECK(table.Apply(MakeClaim(MakeKey(kTestEpoch, 2), 2), ctx).verdict == claim_verdict::kGranted);
  CHECK(table.Apply(MakeClaim(MakeKey(kTestEpoch, 3), 3), ctx).verdict == claim_verdict::kFull);
  CHECK(table.Apply(MakeClaim(MakeKey(kTestEpoch, 1), 4), ctx).verdict == claim_verdict::kHeld);
}

}  // namespace radishroute
