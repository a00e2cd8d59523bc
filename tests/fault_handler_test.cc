#include "cli/fault_handler.h"

#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <string>

namespace radishroute {

// Guards against a process that ends by a fault and leaves nothing to find its cause by.
TEST_CASE("a fault leaves its stack and still ends the process") {
  std::array<int, 2> channel;
  REQUIRE(pipe(channel.data()) == 0);
  pid_t child = fork();
  REQUIRE(child >= 0);
  if (child == 0) {
    rlimit no_core{0, 0};
    setrlimit(RLIMIT_CORE, &no_core);
    dup2(channel[1], STDERR_FILENO);
    InstallFaultHandler();
    kill(getpid(), SIGSEGV);
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
  CHECK(WTERMSIG(status) == SIGSEGV);
  CHECK(text.starts_with("fault: SIGSEGV\n"));
  CHECK(text.find("unit_tests") != std::string::npos);
}

}  // namespace radishroute
