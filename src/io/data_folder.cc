#include "io/data_folder.h"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <filesystem>
#include <fstream>
#include <iterator>

#include "radishroute/error.h"

namespace radishroute {

namespace {

constexpr const char* kLockFile = "lock";

bool IsFull(int error) { return error == ENOSPC || error == EDQUOT; }

std::error_code WriteError() { return IsFull(errno) ? errc::kDiskFull : errc::kSyncFailed; }

std::error_code CheckCall(int result) { return result == 0 ? std::error_code() : WriteError(); }

}  // namespace

data_file::~data_file() {
  if (fd_ >= 0) close(fd_);
}

std::error_code data_file::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    ssize_t written = write(fd_, bytes.data(), bytes.size());
    if (written < 0 && errno == EINTR) continue;
    if (written < 0) return WriteError();
    bytes.remove_prefix(static_cast<std::size_t>(written));
  }
  return {};
}

std::error_code data_file::Truncate(std::size_t length) {
  return CheckCall(ftruncate(fd_, static_cast<off_t>(length)));
}

// A failed sync must not be repeated: Linux marks the pages clean and a second sync would succeed
// although the data is lost.
std::error_code data_file::Sync() { return CheckCall(fdatasync(fd_)); }

data_folder::~data_folder() {
  if (lock_ >= 0) close(lock_);
}

std::error_code data_folder::Lock() {
  std::error_code error;
  std::filesystem::create_directories(path_, error);
  if (error) return IsFull(error.value()) ? errc::kDiskFull : errc::kFolderUnusable;
  lock_ = open(PathOf(kLockFile).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
  if (lock_ < 0) return IsFull(errno) ? errc::kDiskFull : errc::kFolderUnusable;
  // Two processes with one voter id could vote twice in a term.
  if (flock(lock_, LOCK_EX | LOCK_NB) != 0) return errc::kFolderInUse;
  return {};
}

std::error_code data_folder::List(std::vector<std::string>& names) const {
  std::error_code error;
  for (const auto& file : std::filesystem::directory_iterator(path_, error)) {
    names.push_back(file.path().filename().string());
  }
  return error ? errc::kFolderUnusable : std::error_code();
}

std::error_code data_folder::Read(const std::string& name,
                                  std::optional<std::string>& content) const {
  std::error_code error;
  content.reset();
  if (!std::filesystem::exists(PathOf(name), error)) {
    return error ? errc::kFolderUnusable : std::error_code();
  }
  std::ifstream file(PathOf(name), std::ios::binary);
  if (!file) return errc::kFolderUnusable;
  std::string bytes((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  if (file.bad()) return errc::kFolderUnusable;
  content = std::move(bytes);
  return {};
}

std::error_code data_folder::Open(const std::string& name, int flags,
                                  std::optional<data_file>& file) {
  int fd = open(PathOf(name).c_str(), flags | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
  if (fd < 0) return WriteError();
  file.emplace(fd);
  return {};
}

std::error_code data_folder::Create(const std::string& name, std::optional<data_file>& file) {
  return Open(name, O_CREAT | O_TRUNC, file);
}

std::error_code data_folder::OpenToAppend(const std::string& name, std::optional<data_file>& file) {
  return Open(name, 0, file);
}

std::error_code data_folder::Rename(const std::string& from, const std::string& to) {
  return CheckCall(rename(PathOf(from).c_str(), PathOf(to).c_str()));
}

std::error_code data_folder::Remove(const std::string& name) {
  return CheckCall(unlink(PathOf(name).c_str()));
}

std::error_code data_folder::Sync() {
  int fd = open(path_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (fd < 0) return WriteError();
  std::error_code error = CheckCall(fsync(fd));
  close(fd);
  return error;
}

}  // namespace radishroute
