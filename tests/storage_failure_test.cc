#include <catch2/catch.hpp>

#include "fake_folder.h"
#include "io/log_storage.h"

namespace radishroute {

namespace {

using fake_log_storage = basic_log_storage<fake_folder>;

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

store_batch Entries(std::uint64_t first, std::uint64_t last, std::uint64_t term) {
  store_batch batch;
  for (std::uint64_t i = first; i <= last; ++i) {
    batch.entries.push_back({term, i, config_change{i, "change", "operator", "sheet"}});
  }
  return batch;
}

}  // namespace

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
