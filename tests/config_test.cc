#include <catch2/catch.hpp>

#include "state_fixture.h"

namespace radishroute {

// Guards against two concurrent changes that both seem to be committed under one version number.
TEST_CASE("of concurrent changes one is committed and the others report the winner") {
  state_fixture f;
  CHECK(f.Change(0, "a", "sheet A", "ayse").version == 1);
  auto rejected = f.Change(0, "b", "sheet B", "mehmet");
  CHECK(rejected.verdict == change_verdict::kVersionConflict);
  CHECK(rejected.winner.version == 1);
  CHECK(rejected.winner.author == "ayse");
  CHECK(rejected.winner.change_id == "a");
  CHECK(f.machine.Config().Sheet() == "sheet A");
  // The same sheet from another operator is already committed under the requested number.
  CHECK(f.Change(0, "c", "sheet A", "mehmet").verdict == change_verdict::kCommitted);
  CHECK(f.machine.Config().Version() == 1);
  // A base version that does not exist yet.
  CHECK(f.Change(7, "d", "sheet D").verdict == change_verdict::kVersionConflict);
}

// Guards against a resend that becomes a second change or a false conflict after a lost response.
TEST_CASE("a resent change gets its first result, even after later changes") {
  state_fixture f;
  CHECK(f.Change(0, "a", "sheet A").version == 1);
  CHECK(f.Change(1, "b", "sheet B").version == 2);
  auto conflict = f.Change(1, "c", "sheet C");
  CHECK(conflict.verdict == change_verdict::kVersionConflict);
  CHECK(f.Change(2, "rollback", "sheet A").version == 3);
  auto resent = f.Change(0, "a", "sheet A");
  CHECK(resent.verdict == change_verdict::kCommitted);
  CHECK(resent.version == 1);
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

// Guards against a replica whose state differs after a restart from a snapshot.
TEST_CASE("500 changes survive a snapshot and restore") {
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
  state_fixture restored;
  REQUIRE_FALSE(restored.machine.Restore(snapshot));
  restored.index = restored.machine.LastIndex();
  CHECK(restored.index == f.index);
  CHECK(restored.machine.Snapshot() == snapshot);
  CHECK(restored.machine.Replicas().front().zone == "zone-1");
  CHECK(restored.Change(17, "change-17", "sheet 17").version == 18);
  CHECK(restored.Claim(MakeClaim(MakeKey(kTestEpoch, 0), 9000)).record->answer == "slot");
  CHECK(restored.Claim(MakeClaim(MakeKey(kTestEpoch, 1), 9000)).verdict == claim_verdict::kGranted);
  CHECK(restored.Claim(MakeClaim(MakeKey(kTestEpoch, 2), 9000)).verdict == claim_verdict::kHeld);
}

// Guards against a start from a corrupt snapshot.
TEST_CASE("a corrupt snapshot is rejected with a typed error") {
  state_fixture f;
  f.Change(0, "a", "sheet A");
  std::string snapshot = f.machine.Snapshot();
  for (std::size_t i = 0; i < snapshot.size(); ++i) {
    std::string corrupt = snapshot;
    corrupt[i] = static_cast<char>(corrupt[i] ^ 1);
    state_fixture restored;
    CHECK(restored.machine.Restore(corrupt) == errc::kSnapshotCorrupt);
    CHECK(restored.machine.Restore(snapshot.substr(0, i)) == errc::kSnapshotCorrupt);
    CHECK(restored.machine.LastIndex() == 0);
  }
}

}  // namespace radishroute
