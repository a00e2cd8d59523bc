#include "io/storage.h"

#include <catch2/catch.hpp>
#include <filesystem>
#include <fstream>
#include <random>

#include "io/storage_record.h"
#include "radishroute/error.h"

namespace radishroute {

namespace {

/// Folder that is removed at the end of a test.
class temporary_folder {
 public:
  temporary_folder()
      : path_(std::filesystem::temp_directory_path() /
              ("radishroute-storage-" + std::to_string(std::random_device{}()))) {}
  ~temporary_folder() { std::filesystem::remove_all(path_); }
  std::string Path() const { return path_; }
  std::string File(const std::string& name) const { return path_ / name; }
  std::size_t Segments() const {
    std::size_t found = 0;
    for (const auto& file : std::filesystem::directory_iterator(path_)) {
      if (file.path().filename().string().starts_with("segment-")) ++found;
    }
    return found;
  }

 private:
  std::filesystem::path path_;
};

store_batch Entries(std::uint64_t first, std::uint64_t last, std::uint64_t term = 1) {
  store_batch batch;
  for (std::uint64_t i = first; i <= last; ++i) {
    batch.entries.push_back({term, i, config_change{i, "change", "operator", "sheet"}});
  }
  return batch;
}

std::error_code Reopen(const temporary_folder& folder, recovered_log& out) {
  out = {};
  return log_storage(folder.Path()).Open(out);
}

void FlipByte(const std::string& file, std::uintmax_t at) {
  std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
  stream.seekg(static_cast<std::streamoff>(at));
  char byte = static_cast<char>(stream.get() ^ 0x10);
  stream.seekp(static_cast<std::streamoff>(at));
  stream.put(byte);
}

constexpr const char* kFirstSegment = "segment-000000000001";

}  // namespace

// Guards against a part of the state that is not read back after a restart.
TEST_CASE("a data folder is read back as it was written") {
  temporary_folder folder;
  recovered_log first;
  {
    log_storage storage(folder.Path());
    REQUIRE_FALSE(storage.Open(first));
    CHECK(storage.Created());
    recovered_log second;
    CHECK(log_storage(folder.Path()).Open(second) == errc::kFolderInUse);
    store_batch vote;
    vote.write_vote = true;
    vote.term = 7;
    vote.voted_for = {99};
    REQUIRE_FALSE(storage.Write(vote));
    REQUIRE_FALSE(storage.Write(Entries(1, 10)));
    store_batch replaced = Entries(6, 8, 7);
    replaced.truncate_from = 6;
    REQUIRE_FALSE(storage.Write(replaced));
  }
  recovered_log again;
  REQUIRE_FALSE(Reopen(folder, again));
  CHECK(again.self == first.self);
  CHECK(again.term == 7);
  CHECK(again.voted_for == voter_id{99});
  REQUIRE(again.entries.size() == 8);
  CHECK(again.entries[4].term == 1);
  CHECK(again.entries[5].term == 7);
  CHECK(std::get<config_change>(again.entries[7].body).base_version == 8);
}

// Guards against a restart that fails, or loses a synced batch, after a crash during a write.
TEST_CASE("a torn record at the end is removed at every length") {
  temporary_folder folder;
  std::uintmax_t whole = 0;
  std::uintmax_t all = 0;
  {
    recovered_log out;
    log_storage storage(folder.Path());
    REQUIRE_FALSE(storage.Open(out));
    REQUIRE_FALSE(storage.Write(Entries(1, 3)));
    whole = std::filesystem::file_size(folder.File(kFirstSegment));
    REQUIRE_FALSE(storage.Write(Entries(4, 6)));
    all = std::filesystem::file_size(folder.File(kFirstSegment));
  }
  for (std::uintmax_t length = all - 1; length > whole; --length) {
    std::filesystem::resize_file(folder.File(kFirstSegment), length);
    recovered_log out;
    REQUIRE_FALSE(Reopen(folder, out));
    REQUIRE(out.entries.size() == 3);
    REQUIRE(std::filesystem::file_size(folder.File(kFirstSegment)) == whole);
    // Garbage of the length that a file system may leave where data was not written.
    std::filesystem::resize_file(folder.File(kFirstSegment), length);
  }
}

// Guards against silently dropping synced entries: damage before the tail is not a torn write.
TEST_CASE("a damaged byte before the last record is a typed error") {
  temporary_folder folder;
  std::uintmax_t first_end = 0;
  {
    recovered_log out;
    log_storage storage(folder.Path());
    REQUIRE_FALSE(storage.Open(out));
    REQUIRE_FALSE(storage.Write(Entries(1, 2)));
    first_end = std::filesystem::file_size(folder.File(kFirstSegment));
    REQUIRE_FALSE(storage.Write(Entries(3, 4)));
  }
  recovered_log out;
  for (std::uintmax_t at = 0; at < first_end; ++at) {
    FlipByte(folder.File(kFirstSegment), at);
    INFO("byte " << at);
    REQUIRE(Reopen(folder, out) == errc::kLogCorrupt);
    FlipByte(folder.File(kFirstSegment), at);
  }
  REQUIRE_FALSE(Reopen(folder, out));
  CHECK(out.entries.size() == 4);
}

// Guards against a replica that forgets its vote or identity and starts as if nothing had been.
TEST_CASE("lost or damaged identity, vote and snapshot files are typed errors") {
  temporary_folder folder;
  recovered_log out;
  {
    log_storage storage(folder.Path());
    REQUIRE_FALSE(storage.Open(out));
    store_batch batch = Entries(1, 5);
    batch.snapshot = std::make_shared<log_snapshot>(log_snapshot{3, 1, {}, "state"});
    REQUIRE_FALSE(storage.Write(batch));
  }
  FlipByte(folder.File("snapshot"), 20);
  CHECK(Reopen(folder, out) == errc::kSnapshotCorrupt);
  FlipByte(folder.File("snapshot"), 20);
  for (const char* name : {"vote", "voter"}) {
    std::filesystem::rename(folder.File(name), folder.File("aside"));
    CHECK(Reopen(folder, out) == errc::kLogCorrupt);
    std::filesystem::rename(folder.File("aside"), folder.File(name));
  }
  REQUIRE_FALSE(Reopen(folder, out));
  CHECK(out.snapshot->state == "state");
}

// Guards against disk use that grows for ever, and against deleting entries that are still needed.
TEST_CASE("segments before the kept entries are deleted") {
  temporary_folder folder;
  {
    recovered_log out;
    log_storage storage(folder.Path(), 1000);
    REQUIRE_FALSE(storage.Open(out));
    for (std::uint64_t i = 1; i <= 500; ++i) REQUIRE_FALSE(storage.Write(Entries(i, i)));
    std::size_t before = folder.Segments();
    store_batch batch;
    batch.snapshot = std::make_shared<log_snapshot>(log_snapshot{450, 1, {}, ""});
    batch.keep_from = 400;
    REQUIRE_FALSE(storage.Write(batch));
    CHECK(folder.Segments() < before / 3);
  }
  recovered_log out;
  REQUIRE_FALSE(Reopen(folder, out));
  CHECK(out.entries.front().index <= 400);
  CHECK(out.entries.back().index == 500);
}

// Guards against a log that cannot be read after a crash between a leader's snapshot and the
// removal of the older entries.
TEST_CASE("entries that do not connect to the snapshot are dropped for good") {
  temporary_folder folder;
  recovered_log out;
  {
    log_storage storage(folder.Path());
    REQUIRE_FALSE(storage.Open(out));
    REQUIRE_FALSE(storage.Write(Entries(1, 5)));
    store_batch batch;
    batch.snapshot = std::make_shared<log_snapshot>(log_snapshot{20, 3, {}, ""});
    REQUIRE_FALSE(storage.Write(batch));
  }
  {
    log_storage storage(folder.Path());
    out = {};
    REQUIRE_FALSE(storage.Open(out));
    CHECK(out.entries.empty());
    REQUIRE_FALSE(storage.Write(Entries(21, 22, 3)));
  }
  REQUIRE_FALSE(Reopen(folder, out));
  REQUIRE(out.entries.size() == 2);
  CHECK(out.entries[0].index == 21);
}

// Guards against reporting a batch as synced when the disk is full, and against a later success.
TEST_CASE("a full disk is a typed error that stays") {
  temporary_folder folder;
  recovered_log out;
  log_storage storage(folder.Path());
  REQUIRE_FALSE(storage.Open(out));
  // Every write to this device fails with ENOSPC.
  std::filesystem::create_symlink("/dev/full", folder.File("vote.new"));
  store_batch vote;
  vote.write_vote = true;
  CHECK(storage.Write(vote) == errc::kDiskFull);
  std::filesystem::remove(folder.File("vote.new"));
  CHECK(storage.Write(Entries(1, 1)) == errc::kDiskFull);
}

}  // namespace radishroute
