#include <catch2/catch.hpp>

#include "state_fixture.h"

namespace radishroute {

// Guards against two operators both believing that their sheet has a number.
TEST_CASE("of operators that race for a number one wins and the others learn who") {
  state_fixture f;
  CHECK(f.Change(0, "a", "sheet A", "ayse").version == 1);
  auto lost = f.Change(0, "b", "sheet B", "mehmet");
  CHECK(lost.verdict == change_verdict::kVersionConflict);
  CHECK(lost.winner.version == 1);
  CHECK(lost.winner.author == "ayse");
  CHECK(lost.winner.change_id == "a");
  CHECK(f.machine.Config().Sheet() == "sheet A");
  // The same sheet by another operator has the number that its operator asked for.
  CHECK(f.Change(0, "c", "sheet A", "mehmet").verdict == change_verdict::kCommitted);
  CHECK(f.machine.Config().Version() == 1);
  // A base version from the future exists nowhere.
  CHECK(f.Change(7, "d", "sheet D").verdict == change_verdict::kVersionConflict);
}

// Guards against a lost response that turns a resend into a second change or a false conflict.
TEST_CASE("a resent change gets the first result, also after later changes") {
  state_fixture f;
  CHECK(f.Change(0, "a", "sheet A").version == 1);
  CHECK(f.Change(1, "b", "sheet B").version == 2);
  auto conflict = f.Change(1, "c", "sheet C");
  CHECK(conflict.verdict == change_verdict::kVersionConflict);
  CHECK(f.Change(2, "rollback", "sheet A").version == 3);
  auto again = f.Change(0, "a", "sheet A");
  CHECK(again.verdict == change_verdict::kCommitted);
  CHECK(again.version == 1);
  CHECK(f.Change(1, "c", "sheet C").winner.change_id == "b");
  CHECK(f.machine.Config().Version() == 3);
  CHECK(f.Change(3, "a", "other").verdict == change_verdict::kChangeIdReused);
  CHECK(f.Change(3, "", "other").verdict == change_verdict::kMissingChangeId);
}

// Guards against an unbounded history of changes.
TEST_CASE("the history of change ids is bounded") {
  state_fixture f;
  for (std::uint64_t i = 0; i < config_document::kMaxHistory + 10; ++i) {
    f.Change(i, "change-" + std::to_string(i), "sheet " + std::to_string(i));
  }
  CHECK(f.machine.Config().HistorySize() == config_document::kMaxHistory);
  CHECK(f.machine.Config().FindChange("change-0") == nullptr);
  CHECK(f.Change(0, "change-0", "sheet 0").verdict == change_verdict::kVersionConflict);
}

// Guards against a replica that restarts after hundreds of changes with another state.
TEST_CASE("500 changes survive snapshot and restore") {
  state_fixture f;
  for (std::uint64_t i = 0; i < 500; ++i) {
    f.Change(i, "change-" + std::to_string(i), "sheet " + std::to_string(i));
    record_claim claim = MakeClaim(MakeKey(kTestEpoch, static_cast<unsigned>(i)), i);
    f.Claim(claim);
    if (i % 3 == 0) f.Outcome(MakeOutcome(claim, record_status::kDone, "slot"));
    if (i % 3 == 1) f.Outcome(MakeOutcome(claim, record_status::kNotRun));
  }
  f.Apply(replica_change{{{{7}, "zone-1", {"10.0.0.1", 9000}, true, {}}}});
  std::string snapshot = f.machine.Snapshot();
  state_fixture g;
  REQUIRE_FALSE(g.machine.Restore(snapshot));
  g.index = g.machine.LastIndex();
  CHECK(g.index == f.index);
  CHECK(g.machine.Snapshot() == snapshot);
  CHECK(g.machine.Replicas().front().zone == "zone-1");
  CHECK(g.Change(17, "change-17", "sheet 17").version == 18);
  CHECK(g.Claim(MakeClaim(MakeKey(kTestEpoch, 0), 9000)).record->answer == "slot");
  CHECK(g.Claim(MakeClaim(MakeKey(kTestEpoch, 1), 9000)).verdict == claim_verdict::kGranted);
  CHECK(g.Claim(MakeClaim(MakeKey(kTestEpoch, 2), 9000)).verdict == claim_verdict::kHeld);
}

// Guards against starting from a damaged snapshot.
TEST_CASE("a damaged snapshot is a typed error") {
  state_fixture f;
  f.Change(0, "a", "sheet A");
  std::string snapshot = f.machine.Snapshot();
  for (std::size_t i = 0; i < snapshot.size(); ++i) {
    std::string damaged = snapshot;
    damaged[i] = static_cast<char>(damaged[i] ^ 1);
    state_fixture g;
    CHECK(g.machine.Restore(damaged) == errc::kSnapshotCorrupt);
    CHECK(g.machine.Restore(snapshot.substr(0, i)) == errc::kSnapshotCorrupt);
    CHECK(g.machine.LastIndex() == 0);
  }
}

}  // namespace radishroute
