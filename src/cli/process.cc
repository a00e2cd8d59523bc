#include "cli/process.h"

#include <fcntl.h>
#include <malloc.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <iostream>
#include <random>

#include "io/metrics.h"

namespace radishroute {

namespace {

// A file may change without a signal; its readers need the change within seconds.
constexpr std::chrono::seconds kSettingsInterval{1};

// Settings and sheets are far smaller; a device or an endless file is none.
constexpr std::size_t kMaxFileBytes = std::size_t{16} << 20;

sigset_t StopSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  return signals;
}

}  // namespace

void BlockStopSignals() {
  sigset_t signals = StopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
}

void WaitForStopSignal() {
  sigset_t signals = StopSignals();
  int received = 0;
  do {
    sigwait(&signals, &received);
  } while (received == SIGHUP);
}

void WaitForStopSignal(const std::string& settings_file,
                       const std::function<void(const std::string&)>& on_change) {
  sigset_t signals = StopSignals();
  std::string known = ReadFile(settings_file).value_or("");
  for (;;) {
    timespec interval{kSettingsInterval.count(), 0};
    int received = sigtimedwait(&signals, nullptr, &interval);
    if (received > 0 && received != SIGHUP) return;
    auto text = ReadFile(settings_file);
    // A file that is being replaced may be missing for a moment.
    if (!text || text->empty() || *text == known) continue;
    known = *text;
    on_change(known);
  }
}

bool StopSignalWithin(std::chrono::milliseconds longest) {
  sigset_t signals = StopSignals();
  auto seconds = std::chrono::duration_cast<std::chrono::seconds>(longest);
  auto rest = std::chrono::duration_cast<std::chrono::nanoseconds>(longest - seconds);
  timespec interval{seconds.count(), rest.count()};
  int received = sigtimedwait(&signals, nullptr, &interval);
  return received > 0 && received != SIGHUP;
}

void stop_latch::Report(std::size_t thread, bool all_finished) {
  std::lock_guard lock(mutex_);
  std::uint64_t bit = std::uint64_t{1} << thread;
  if ((reported_ & bit) != 0) return;
  reported_ |= bit;
  all_finished_ = all_finished_ && all_finished;
  --remaining_;
  changed_.notify_all();
}

bool stop_latch::Wait() {
  std::unique_lock lock(mutex_);
  changed_.wait(lock, [this] { return remaining_ == 0; });
  return all_finished_;
}

bool stop_latch::WaitFor(std::chrono::milliseconds longest) {
  std::unique_lock lock(mutex_);
  return changed_.wait_for(lock, longest, [this] { return remaining_ == 0; });
}

std::optional<std::string> ReadFile(const std::string& path) {
  // A settings file is read each second and may be replaced, cut short or removed meanwhile. A
  // failed read is a status here, while the buffer of a standard stream throws on it.
  int file = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (file < 0) return std::nullopt;
  std::string text;
  std::array<char, 16 * 1024> part;
  ssize_t got = 0;
  while (text.size() <= kMaxFileBytes) {
    got = read(file, part.data(), part.size());
    if (got < 0 && errno == EINTR) continue;
    if (got <= 0) break;
    text.append(part.data(), static_cast<std::size_t>(got));
  }
  close(file);
  if (got < 0 || text.size() > kMaxFileBytes) return std::nullopt;
  return text;
}

std::optional<work_sheet> LoadSheet(const std::string& file) {
  auto text = ReadFile(file);
  if (!text) {
    std::cerr << file << ": " << make_error_code(errc::kFileUnreadable).message() << "\n";
    return std::nullopt;
  }
  std::vector<sheet_error> errors;
  work_sheet sheet = ParseSheet(*text, errors);
  for (const sheet_error& error : errors) {
    std::cerr << file << ": row " << error.row << ", column " << error.column << ": expected "
              << error.expected << "\n";
  }
  if (!errors.empty()) return std::nullopt;
  return sheet;
}

hello MakeHello(const common_settings& settings, process_role role) {
  hello self;
  self.process.node = StableHash(settings.node);
  // Microseconds since 1970: grows with each restart unless the clock is set back.
  self.process.incarnation =
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                     std::chrono::system_clock::now().time_since_epoch())
                                     .count());
  self.role = role;
  self.node_name = settings.node;
  self.zone = settings.zone;
  self.secret = settings.secret;
  return self;
}

bool PrintErrors(const std::string& file, const std::vector<settings_error>& errors) {
  for (const settings_error& error : errors) {
    std::cerr << file << ": " << (error.path.empty() ? "(whole file)" : error.path) << ": expected "
              << error.expected << "\n";
  }
  return !errors.empty();
}

void LogReload(const std::string& file, const std::vector<settings_error>& errors) {
  log_event line;
  line.code = event_code::kSettingsReloaded;
  line.fields = {{"file", file}, {"changed", errors.empty() ? "yes" : "no"}};
  if (!errors.empty()) {
    line.level = log_level::kError;
    line.fields.push_back({"error", errors.front().path + ": expected " + errors.front().expected});
  }
  WriteLog(line);
}

// By default, freed bodies stay in the process: after the first one, glibc takes memory for others
// of that length from its heap, which shrinks at its end only.
void ApplyMemoryLimit(const resource_limits& limits) {
  if (limits.memory_mb == 0) return;
  constexpr int kMapBytes = 64 * 1024;
  constexpr int kTrimBytes = 1 << 20;
  mallopt(M_MMAP_THRESHOLD, kMapBytes);
  mallopt(M_TRIM_THRESHOLD, kTrimBytes);
}

void LogProcessEvent(event_code code, std::vector<log_field> fields) {
  WriteLog({code, log_level::kInfo, std::move(fields)});
}

}  // namespace radishroute
