#include "cli/fault_handler.h"

#include <sys/mman.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdio>
#include <string>

namespace radishroute {

namespace {

/// What a process with the handler writes to standard error until `fault` ends it by a signal.
template <class Fault>
std::string OutputOfFault(Fault fault, int signal) {
  std::array<int, 2> channel;
  REQUIRE(pipe(channel.data()) == 0);
  pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    rlimit no_core{0, 0};
    setrlimit(RLIMIT_CORE, &no_core);
    dup2(channel[1], STDERR_FILENO);
    InstallFaultHandler();
    fault();
    _exit(0);
  }
  close(channel[1]);
  std::string text;
  std::array<char, 4096> buffer;
  for (ssize_t n = 0; (n = read(channel[0], buffer.data(), buffer.size())) > 0;) {
    text.append(buffer.data(), static_cast<std::size_t>(n));
  }
  close(channel[0]);
  int status = 0;
  REQUIRE(waitpid(child, &status, 0) == child);
  CHECK(WIFSIGNALED(status));
  CHECK(WTERMSIG(status) == signal);
  return text;
}

}  // namespace

// Guards against a process that ends by a fault and leaves nothing to find its cause by.
TEST_CASE("a fault leaves its stack and still ends the process") {
  std::string text = OutputOfFault([] { kill(getpid(), SIGSEGV); }, SIGSEGV);
  CHECK(text.starts_with("fault: SIGSEGV\n"));
  CHECK(text.find("unit_tests") != std::string::npos);
}

// Guards against a fault that cannot be told from a signal of another process.
TEST_CASE("a fault leaves its origin and thread") {
  std::string sent = OutputOfFault([] { kill(getpid(), SIGSEGV); }, SIGSEGV);
  CHECK(sent.find("fault: code=0 sender=") != std::string::npos);
  CHECK(sent.find(" thread=") != std::string::npos);
  // A file that has become shorter than its mapping.
  auto read_past_end = [] {
    int file = fileno(std::tmpfile());
    auto* bytes = static_cast<volatile char*>(mmap(nullptr, 4096, PROT_READ, MAP_SHARED, file, 0));
    (void)bytes[8];
  };
  std::string fault = OutputOfFault(read_past_end, SIGBUS);
  CHECK(fault.starts_with("fault: SIGBUS\n"));
  CHECK(fault.find("fault: code=2 address=0x") != std::string::npos);
}

}  // namespace radishroute
