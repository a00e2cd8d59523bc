#include "cli/fault_handler.h"

#include <execinfo.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <csignal>
#include <cstdint>
#include <cstring>
#include <string_view>

namespace radishroute {

namespace {

constexpr int kMaxFrames = 48;

/// One line of text in a fixed buffer.
class fault_line {
 public:
  void Append(std::string_view text) {
    std::size_t taken = std::min(text.size(), buffer_.size() - size_);
    std::memcpy(buffer_.data() + size_, text.data(), taken);
    size_ += taken;
  }

  template <class Integer>
  void AppendField(std::string_view name, Integer value, int base = 10) {
    std::array<char, 24> digits;
    auto [end, error] = std::to_chars(digits.data(), digits.data() + digits.size(), value, base);
    if (error != std::errc()) return;
    Append(name);
    Append({digits.data(), static_cast<std::size_t>(end - digits.data())});
  }

  void Write() {
    Append("\n");
    ssize_t written = write(STDERR_FILENO, buffer_.data(), size_);
    (void)written;  // There is nobody left to tell.
  }

 private:
  std::array<char, 256> buffer_;
  std::size_t size_ = 0;
};

// Tells a fault of the program from a signal that another process sent: the kernel sets a positive
// code for a fault, and `si_pid` is the sender's otherwise.
void WriteOrigin(const siginfo_t& info) {
  fault_line line;
  line.AppendField("fault: code=", info.si_code);
  if (info.si_code > 0) {
    line.AppendField(" address=0x", reinterpret_cast<std::uintptr_t>(info.si_addr), 16);
  } else {
    line.AppendField(" sender=", info.si_pid);
  }
  line.AppendField(" process=", getpid());
  line.AppendField(" thread=", static_cast<pid_t>(syscall(SYS_gettid)));
  line.Write();
}

// Only calls that are safe in a signal handler: no log, no allocation.
void OnFault(int signal, siginfo_t* info, void*) {
  const char* name = signal == SIGSEGV  ? "fault: SIGSEGV\n"
                     : signal == SIGBUS ? "fault: SIGBUS\n"
                     : signal == SIGILL ? "fault: SIGILL\n"
                     : signal == SIGFPE ? "fault: SIGFPE\n"
                                        : "fault: SIGABRT\n";
  ssize_t written = write(STDERR_FILENO, name, std::strlen(name));
  (void)written;  // There is nobody left to tell.
  WriteOrigin(*info);
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
  action.sa_sigaction = OnFault;
  action.sa_flags = static_cast<int>(SA_RESETHAND | SA_SIGINFO);
  for (int signal : {SIGSEGV, SIGBUS, SIGILL, SIGFPE, SIGABRT}) sigaction(signal, &action, nullptr);
}

}  // namespace radishroute
