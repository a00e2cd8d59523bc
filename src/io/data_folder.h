#ifndef RADISHROUTE_IO_DATA_FOLDER_H_
#define RADISHROUTE_IO_DATA_FOLDER_H_

#include <concepts>
#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

namespace radishroute {

/// A file that is open for appending.
template <class F>
concept storage_file = requires(F file, std::string_view bytes, std::size_t length) {
  { file.Append(bytes) } -> std::same_as<std::error_code>;
  { file.Truncate(length) } -> std::same_as<std::error_code>;
  { file.Sync() } -> std::same_as<std::error_code>;
};

/// The folder in which a replica keeps its files. A file's content lasts once the file is synced;
/// a name that was created, renamed or removed lasts once the folder is.
template <class F>
concept storage_folder = storage_file<typename F::file_type> &&
    std::constructible_from<F, typename F::location_type> &&
    requires(F folder, const std::string& name, std::vector<std::string>& names,
             std::optional<std::string>& content, std::optional<typename F::file_type>& file) {
  { folder.Lock() } -> std::same_as<std::error_code>;
  { folder.List(names) } -> std::same_as<std::error_code>;
  { folder.Read(name, content) } -> std::same_as<std::error_code>;
  { folder.Create(name, file) } -> std::same_as<std::error_code>;
  { folder.OpenToAppend(name, file) } -> std::same_as<std::error_code>;
  { folder.Rename(name, name) } -> std::same_as<std::error_code>;
  { folder.Remove(name) } -> std::same_as<std::error_code>;
  { folder.Sync() } -> std::same_as<std::error_code>;
};

/// An open file of a data folder. Errors: kDiskFull, kSyncFailed.
class data_file {
 public:
  explicit data_file(int fd) : fd_(fd) {}
  ~data_file();
  data_file(data_file&& other) noexcept : fd_(std::exchange(other.fd_, -1)) {}
  data_file& operator=(data_file&& other) noexcept {
    std::swap(fd_, other.fd_);
    return *this;
  }

  std::error_code Append(std::string_view bytes);
  std::error_code Truncate(std::size_t length);
  std::error_code Sync();

 private:
  int fd_;
};

/// A folder on the disk of this VM. Errors of reads: kFolderUnusable; of changes: kDiskFull,
/// kSyncFailed.
class data_folder {
 public:
  using location_type = std::string;
  using file_type = data_file;

  explicit data_folder(std::string path) : path_(std::move(path)) {}
  ~data_folder();
  data_folder(const data_folder&) = delete;
  data_folder& operator=(const data_folder&) = delete;

  /// Creates the folder if it is missing and locks it. Errors: kFolderInUse, kFolderUnusable,
  /// kDiskFull.
  std::error_code Lock();
  std::error_code List(std::vector<std::string>& names) const;
  /// Leaves `content` empty if there is no such file.
  std::error_code Read(const std::string& name, std::optional<std::string>& content) const;
  /// Creates the file, or empties it.
  std::error_code Create(const std::string& name, std::optional<data_file>& file);
  std::error_code OpenToAppend(const std::string& name, std::optional<data_file>& file);
  std::error_code Rename(const std::string& from, const std::string& to);
  std::error_code Remove(const std::string& name);
  std::error_code Sync();

 private:
  std::string PathOf(const std::string& name) const { return path_ + "/" + name; }
  std::error_code Open(const std::string& name, int flags, std::optional<data_file>& file);

  std::string path_;
  int lock_ = -1;
};

static_assert(storage_folder<data_folder>);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_DATA_FOLDER_H_
