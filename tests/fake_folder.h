#ifndef RADISHROUTE_TESTS_FAKE_FOLDER_H_
#define RADISHROUTE_TESTS_FAKE_FOLDER_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "io/data_folder.h"
#include "radishroute/error.h"

namespace radishroute {

/// Files in memory, of which a power loss keeps what was synced and a choice of the rest. Changes
/// are numbered, and a range of them can be made to fail.
class fake_disk {
 public:
  /// Answers whether something that was not synced survives a power loss.
  using survival = std::function<bool()>;

  struct content {
    /// Bytes that the last successful sync covered.
    std::string synced;
    struct piece {
      std::string bytes;
      /// A sync that covered it failed: it can be read, but a later sync does not write it.
      bool lost = false;
    };
    std::vector<piece> unsynced;

    std::string Visible() const {
      std::string all = synced;
      for (const piece& p : unsynced) all += p.bytes;
      return all;
    }
  };

  /// The changes number `first` to `last` fail, counted from 1.
  void FailBetween(std::size_t first, std::size_t last) {
    first_failure_ = first;
    last_failure_ = last;
  }
  /// All changes from this one on fail, as if the machine had no power.
  void FailFrom(std::size_t first) { lost_at_ = first; }
  bool IsLost() const { return changes_ >= lost_at_; }
  std::size_t Changes() const { return changes_; }

  /// Returns the disk after a power loss. Each unsynced write and name survives or not.
  fake_disk PowerLoss(const survival& survives) const {
    fake_disk after;
    auto names = synced_names_;
    for (const name_change& change : unsynced_names_) {
      if (survives()) Apply(change, names);
    }
    for (const auto& [name, file] : names) {
      auto kept = std::make_shared<content>();
      kept->synced = file->synced;
      for (const content::piece& p : file->unsynced) {
        bool whole = !p.lost && survives();
        bool torn = !whole && survives();
        kept->synced += whole  ? p.bytes
                        : torn ? p.bytes.substr(0, p.bytes.size() / 2)
                               : std::string();
        if (!whole) break;
      }
      after.names_[name] = after.synced_names_[name] = kept;
    }
    return after;
  }

  /// Number of names whose last change was not synced.
  std::size_t UnsyncedNames() const { return unsynced_names_.size(); }
  std::vector<std::string> Names() const {
    std::vector<std::string> names;
    for (const auto& [name, file] : names_) names.push_back(name);
    return names;
  }

 private:
  friend class fake_file;
  friend class fake_folder;

  using name_table = std::map<std::string, std::shared_ptr<content>>;
  /// `to` becomes `file` and `from` is removed; an unset part is left out.
  struct name_change {
    std::string from;
    std::string to;
    std::shared_ptr<content> file;
  };

  static void Apply(const name_change& change, name_table& names) {
    if (!change.from.empty()) names.erase(change.from);
    if (!change.to.empty()) names[change.to] = change.file;
  }

  bool Fails() {
    ++changes_;
    return IsLost() || (changes_ >= first_failure_ && changes_ <= last_failure_);
  }

  void Change(name_change change) {
    Apply(change, names_);
    unsynced_names_.push_back(std::move(change));
  }

  // A new file lasts with its own sync.
  void SyncNewName(const std::shared_ptr<content>& file) {
    std::erase_if(unsynced_names_, [&](const name_change& change) {
      if (change.file != file || !change.from.empty()) return false;
      Apply(change, synced_names_);
      return true;
    });
  }

  name_table names_;
  name_table synced_names_;
  std::vector<name_change> unsynced_names_;
  std::size_t changes_ = 0;
  std::size_t first_failure_ = 1;
  std::size_t last_failure_ = 0;
  std::size_t lost_at_ = SIZE_MAX;
};

class fake_file {
 public:
  fake_file(fake_disk& disk, std::shared_ptr<fake_disk::content> content)
      : disk_(&disk), content_(std::move(content)) {}

  /// A failed write leaves half of its bytes.
  std::error_code Append(std::string_view bytes) {
    bool failed = disk_->Fails();
    if (failed) bytes = bytes.substr(0, bytes.size() / 2);
    content_->unsynced.push_back({std::string(bytes), false});
    return failed ? errc::kDiskFull : std::error_code();
  }

  std::error_code Truncate(std::size_t length) {
    if (disk_->Fails()) return errc::kDiskFull;
    std::string visible = content_->Visible().substr(0, length);
    content_->synced = content_->synced.substr(0, length);
    content_->unsynced.clear();
    if (visible.size() > content_->synced.size()) {
      content_->unsynced.push_back({visible.substr(content_->synced.size()), false});
    }
    return {};
  }

  std::error_code Sync() {
    if (disk_->Fails()) {
      for (auto& piece : content_->unsynced) piece.lost = true;
      return errc::kSyncFailed;
    }
    for (const auto& piece : std::exchange(content_->unsynced, {})) {
      content_->synced += piece.lost ? std::string(piece.bytes.size(), '\0') : piece.bytes;
    }
    disk_->SyncNewName(content_);
    return {};
  }

 private:
  fake_disk* disk_;
  std::shared_ptr<fake_disk::content> content_;
};

class fake_folder {
 public:
  using location_type = fake_disk*;
  using file_type = fake_file;

  explicit fake_folder(fake_disk* disk) : disk_(disk) {}

  std::error_code Lock() { return {}; }
  std::error_code List(std::vector<std::string>& names) {
    names = disk_->Names();
    return {};
  }
  std::error_code Read(const std::string& name, std::optional<std::string>& content) {
    auto it = disk_->names_.find(name);
    content = it == disk_->names_.end() ? std::nullopt : std::optional(it->second->Visible());
    return {};
  }
  std::error_code Create(const std::string& name, std::optional<fake_file>& file) {
    if (disk_->Fails()) return errc::kDiskFull;
    auto created = std::make_shared<fake_disk::content>();
    disk_->Change({"", name, created});
    file.emplace(*disk_, created);
    return {};
  }
  std::error_code OpenToAppend(const std::string& name, std::optional<fake_file>& file) {
    if (disk_->Fails()) return errc::kSyncFailed;
    file.emplace(*disk_, disk_->names_.at(name));
    return {};
  }
  std::error_code Rename(const std::string& from, const std::string& to) {
    if (disk_->Fails()) return errc::kDiskFull;
    disk_->Change({from, to, disk_->names_.at(from)});
    return {};
  }
  std::error_code Remove(const std::string& name) {
    if (disk_->Fails()) return errc::kSyncFailed;
    disk_->Change({name, "", nullptr});
    return {};
  }
  std::error_code Sync() {
    if (disk_->Fails()) return errc::kSyncFailed;
    disk_->synced_names_ = disk_->names_;
    disk_->unsynced_names_.clear();
    return {};
  }

 private:
  fake_disk* disk_;
};

static_assert(storage_folder<fake_folder>);

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_FAKE_FOLDER_H_
