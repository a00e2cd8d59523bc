#ifndef RADISHROUTE_CLI_PROCESS_H_
#define RADISHROUTE_CLI_PROCESS_H_

#include <chrono>
#include <condition_variable>
#include <functional>
#include <mutex>
#include <optional>
#include <string>

#include "radishroute/message.h"
#include "radishroute/settings.h"
#include "radishroute/sheet.h"

namespace radishroute {

/// Exit codes of the program.
enum exit_code : int {
  kExitSuccess = 0,
  kExitFailed = 1,
  kExitUsage = 2,
  kExitUnfinished = 3,
  kExitConflict = 4,
};

/// Blocks the signals that ask for a graceful stop in this thread and those it starts.
void BlockStopSignals();

/// Waits until SIGTERM or SIGINT arrives. SIGHUP does not end the process.
void WaitForStopSignal();

/// Waits in the same way, and calls `on_change` with the text of a settings file each time that it
/// differs from before: at SIGHUP, or found by looking once a second.
void WaitForStopSignal(const std::string& settings_file,
                       const std::function<void(const std::string&)>& on_change);

/// Waits at most for `longest`; true if SIGTERM or SIGINT arrived.
bool StopSignalWithin(std::chrono::milliseconds longest);

/// Counts threads that report that they have stopped.
class stop_latch {
 public:
  explicit stop_latch(std::size_t threads) : remaining_(threads) {}

  /// Called once or more by each thread; only the first report of a thread may count, so callers
  /// pass the thread's index.
  void Report(std::size_t thread, bool all_finished);

  /// Waits for every thread; true if all requests were finished.
  bool Wait();

  /// Waits for every thread, at most for `longest`; true if all have reported.
  bool WaitFor(std::chrono::milliseconds longest);

 private:
  std::mutex mutex_;
  std::condition_variable changed_;
  std::size_t remaining_;
  std::uint64_t reported_ = 0;
  bool all_finished_ = true;
};

/// Reads a whole file; empty if it cannot be read.
std::optional<std::string> ReadFile(const std::string& path);

/// Reads a sheet; prints every fault to standard error and returns nothing if there is one.
std::optional<work_sheet> LoadSheet(const std::string& file);

/// Identity of this process for `hello`, with a new incarnation.
hello MakeHello(const common_settings& settings, process_role role);

/// Prints settings errors to standard error; true if there are any.
bool PrintErrors(const std::string& file, const std::vector<settings_error>& errors);

/// Logs that a changed settings file was read, with its first fault if it has any.
void LogReload(const std::string& file, const std::vector<settings_error>& errors);

/// Makes the allocator give memory back to the system early, if the process has a memory budget.
void ApplyMemoryLimit(const resource_limits& limits);

void LogProcessEvent(event_code code, std::vector<log_field> fields);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_PROCESS_H_
