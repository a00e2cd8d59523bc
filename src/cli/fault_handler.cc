#include "cli/fault_handler.h"

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstring>

namespace radishroute {

namespace {

constexpr int kMaxFrames = 48;

// Only calls that are safe in a signal handler: no log, no allocation.
void OnFault(int signal) {
  const char* name = signal == SIGSEGV  ? "fault: SIGSEGV\n"
                     : signal == SIGBUS ? "fault: SIGBUS\n"
                     : signal == SIGILL ? "fault: SIGILL\n"
                     : signal == SIGFPE ? "fault: SIGFPE\n"
                                        : "fault: SIGABRT\n";
  ssize_t written = write(STDERR_FILENO, name, std::strlen(name));
  (void)written;  // There is nobody left to tell.
  std::array<void*, kMaxFrames> frames;
  int count = backtrace(frames.data(), kMaxFrames);
  backtrace_symbols_fd(frames.data(), count, STDERR_FILENO);
  // SA_RESETHAND has restored the default action, which the repeated signal takes.
  raise(signal);
}

}  // namespace

void InstallFaultHandler() {
  // The first call loads a library, which a signal handler must not do.
  std::array<void*, 1> frame;
  backtrace(frame.data(), 1);
  struct sigaction action {};
  action.sa_handler = OnFault;
  action.sa_flags = SA_RESETHAND;
  for (int signal : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) sigaction(signal, &action, nullptr);
}

}  // namespace radishroute
