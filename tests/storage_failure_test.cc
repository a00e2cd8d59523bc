#include <catch2/catch.hpp>
#include <random>

#include "fake_folder.h"
#include "io/log_storage.h"
#include "radishroute/raft_log.h"

namespace radishroute {

namespace {

using fake_log_storage = basic_log_storage<fake_folder>;

// So small that every record starts a segment.
constexpr std::size_t kSegmentBytes = 1;

/// State of a replica, as a log_storage has been told to store it.
struct stored_state {
  std::uint64_t term = 0;
  voter_id voted_for;
  std::shared_ptr<const log_snapshot> snapshot;
  std::vector<log_entry> entries;

  void Add(const store_batch& batch) {
    if (batch.write_vote) {
      term = batch.term;
      voted_for = batch.voted_for;
    }
    if (batch.snapshot) snapshot = batch.snapshot;
    if (batch.truncate_from != 0) {
      std::erase_if(entries, [&](const log_entry& e) { return e.index >= batch.truncate_from; });
    }
    entries.insert(entries.end(), batch.entries.begin(), batch.entries.end());
    std::erase_if(entries, [&](const log_entry& e) { return e.index < batch.keep_from; });
  }

  store_batch Whole() const {
    store_batch batch;
    batch.rewrite = batch.write_vote = true;
    batch.term = term;
    batch.voted_for = voted_for;
    batch.snapshot = snapshot;
    batch.truncate_from = 1;
    batch.entries = entries;
    return batch;
  }
};

store_batch Vote(std::uint64_t term, std::uint64_t candidate) {
  store_batch batch;
  batch.write_vote = true;
  batch.term = term;
  batch.voted_for = {candidate};
  return batch;
}

store_batch Entries(std::uint64_t first, std::uint64_t last, std::uint64_t term) {
  store_batch batch;
  for (std::uint64_t i = first; i <= last; ++i) {
    batch.entries.push_back({term, i, config_change{i, "change", "operator", "sheet"}});
  }
  return batch;
}

store_batch Snapshot(std::uint64_t index, std::uint64_t term, std::uint64_t keep_from) {
  store_batch batch;
  batch.snapshot = std::make_shared<log_snapshot>(log_snapshot{index, term, {}, "state"});
  batch.keep_from = keep_from;
  return batch;
}

/// Batches that use each kind of change, in an order in which a replica may store them.
std::vector<store_batch> Script() {
  std::vector<store_batch> script = {Vote(1, 7), Entries(1, 3, 1), Entries(4, 5, 1), Vote(2, 8)};
  store_batch replaced = Entries(5, 6, 2);
  replaced.truncate_from = 5;
  script.push_back(replaced);
  script.push_back(Snapshot(4, 1, 4));
  script.push_back(Entries(7, 7, 2));
  script.push_back(Entries(8, 8, 2));
  script.push_back(Snapshot(8, 2, 8));
  script.push_back(Entries(9, 9, 2));
  // A snapshot of the leader, which replaces all entries.
  store_batch installed = Snapshot(20, 3, 21);
  installed.write_vote = true;
  installed.term = 3;
  installed.truncate_from = 1;
  script.push_back(installed);
  script.push_back(Entries(21, 22, 3));
  return script;
}

/// Opens what a power loss has left and returns how it contradicts what was acknowledged; empty if
/// it does not. `unfinished` is the batch of which any part may have been stored.
std::string Recover(fake_disk disk, const stored_state& acknowledged,
                    const store_batch* unfinished) {
  fake_log_storage storage(&disk, kSegmentBytes);
  recovered_log found;
  if (auto error = storage.Open(found)) return "open: " + error.message();
  if (found.term < acknowledged.term) return "a term was lost";
  if (found.term == acknowledged.term && found.voted_for != acknowledged.voted_for) {
    return "a vote was lost";
  }
  raft_log log;
  if (auto error = log.Load(found.snapshot, found.entries)) return "load: " + error.message();
  std::uint64_t snapshot = acknowledged.snapshot ? acknowledged.snapshot->index : 0;
  if (log.SnapshotIndex() < snapshot) return "a snapshot was lost";
  for (const log_entry& e : acknowledged.entries) {
    bool replaced = unfinished != nullptr && !unfinished->rewrite &&
                    unfinished->truncate_from != 0 && e.index >= unfinished->truncate_from;
    if (replaced || e.index <= log.SnapshotIndex()) continue;
    if (log.TermAt(e.index) != e.term) return "entry " + std::to_string(e.index) + " was lost";
  }
  // What was recovered must be a folder that can be written and read again.
  std::uint64_t next = log.LastIndex() + 1;
  if (auto error = storage.Write(Entries(next, next, found.term))) {
    return "write: " + error.message();
  }
  recovered_log again;
  if (auto error = fake_log_storage(&disk).Open(again)) return "reopen: " + error.message();
  return !again.entries.empty() && again.entries.back().index == next ? "" : "write was lost";
}

/// Keeps or loses what was not synced by the bits of a number, in order.
fake_disk::survival ByBits(std::uint64_t bits) {
  return [bits]() mutable {
    bool survives = (bits & 1) != 0;
    bits >>= 1;
    return survives;
  };
}

}  // namespace

// Guards against a controller that cannot start after a power loss of which the removal of one
// segment survived and that of an earlier one did not.
TEST_CASE("any part of the removal of segments may survive a power loss") {
  fake_disk disk;
  fake_log_storage storage(&disk, kSegmentBytes);
  recovered_log opened;
  REQUIRE_FALSE(storage.Open(opened));
  stored_state state;
  for (const store_batch& batch : Script()) {
    stored_state before = state;
    REQUIRE_FALSE(storage.Write(batch));
    state.Add(batch);
    // Each removal is a change of its own, so every subset of them may last.
    for (std::uint64_t bits = 0; bits < 256; ++bits) {
      INFO("bits " << bits << ", last entry "
                   << (state.entries.empty() ? 0 : state.entries.back().index));
      REQUIRE(Recover(disk.PowerLoss(ByBits(bits)), state, nullptr) == "");
    }
  }
}

// Guards against files that a replica cannot read, or that lack what it acknowledged, after a power
// loss at any change to the folder.
TEST_CASE("a power loss at any change to the folder loses nothing acknowledged") {
  for (std::size_t lost_at = 1;; ++lost_at) {
    fake_disk disk;
    fake_log_storage storage(&disk, kSegmentBytes);
    recovered_log opened;
    REQUIRE_FALSE(storage.Open(opened));
    std::size_t first = disk.Changes();
    // Nothing is changed after the power loss.
    disk.FailBetween(first + lost_at, SIZE_MAX);
    stored_state state;
    std::vector<store_batch> script = Script();
    const store_batch* unfinished = nullptr;
    for (const store_batch& batch : script) {
      if (storage.Write(batch)) {
        unfinished = &batch;
        break;
      }
      state.Add(batch);
    }
    for (std::uint64_t bits = 0; bits < 64; ++bits) {
      INFO("change " << lost_at << ", bits " << bits);
      REQUIRE(Recover(disk.PowerLoss(ByBits(bits)), state, unfinished) == "");
    }
    if (unfinished == nullptr && disk.Changes() < first + lost_at) break;
  }
}

// Guards against a replica that is out of the group for good after its disk was full, and against
// one that has lost what it acknowledged when it loses power during or after its recovery.
TEST_CASE("a log is written anew after failures at any change to the folder") {
  for (std::size_t failed_at = 1;; ++failed_at) {
    bool reached = false;
    for (std::size_t failures : {1, 2, 3, 8, 20}) {
      // Changes after the last failure at which the replica loses power; the last is never reached.
      for (std::size_t lost_after : {0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 16, 1000}) {
        fake_disk disk;
        fake_log_storage storage(&disk, kSegmentBytes);
        recovered_log opened;
        REQUIRE_FALSE(storage.Open(opened));
        std::size_t first = disk.Changes() + failed_at;
        disk.FailBetween(first, first + failures - 1);
        disk.FailFrom(first + failures + lost_after);
        stored_state acknowledged;
        std::optional<store_batch> unfinished;
        for (const store_batch& batch : Script()) {
          stored_state memory = acknowledged;
          memory.Add(batch);
          std::error_code error = storage.Write(batch);
          reached = reached || error;
          while (error && !disk.IsLost()) error = storage.Write(memory.Whole());
          if (error) unfinished = batch;
          if (error) break;
          acknowledged = memory;
        }
        for (std::uint64_t bits : {0x0, 0xff, 0x55, 0xaa, 0x33, 0x0f}) {
          INFO("failed at " << failed_at << ", failures " << failures << ", lost after "
                            << lost_after << ", bits " << bits);
          REQUIRE(Recover(disk.PowerLoss(ByBits(bits)), acknowledged,
                          unfinished ? &*unfinished : nullptr) == "");
        }
      }
    }
    if (!reached) break;
  }
}

// Guards against a batch that counts as stored although an earlier one was lost.
TEST_CASE("after a failed write only the whole log is accepted") {
  fake_disk disk;
  fake_log_storage storage(&disk);
  recovered_log opened;
  REQUIRE_FALSE(storage.Open(opened));
  disk.FailBetween(disk.Changes() + 1, disk.Changes() + 1);
  CHECK(storage.Write(Entries(1, 1, 1)) == errc::kDiskFull);
  CHECK(storage.Write(Entries(2, 2, 1)) == errc::kDiskFull);
  stored_state state;
  state.Add(Entries(1, 2, 1));
  CHECK_FALSE(storage.Write(state.Whole()));
  CHECK_FALSE(storage.Write(Entries(3, 3, 1)));
}

}  // namespace radishroute
