#include <iostream>

#include "cli/commands.h"
#include "cli/drain_http.h"
#include "cli/operator_options.h"
#include "cli/process.h"

namespace radishroute {

namespace {

constexpr unsigned kAccepted = 202;
constexpr unsigned kUnauthorizedStatus = 401;

/// Why an order to drain was not confirmed; kOk if it was.
errc DrainError(const operator_reply& reply) {
  if (!reply.result) return errc::kOutcomeUnknown;
  if (*reply.result == http_call_result::kNotSent) return errc::kConnectFailed;
  if (*reply.result == http_call_result::kBroken) return errc::kOutcomeUnknown;
  switch (reply.answer.status) {
    case kAccepted:
      return errc::kOk;
    case kUnauthorizedStatus:
      return errc::kUnauthorized;
    default:
      return errc::kNotDrainable;
  }
}

}  // namespace

int RunDrain(int argc, char** argv) {
  cxxopts::Options options("radishroute drain",
                           "Asks an entry or agent to finish its work and stop, as SIGTERM does.");
  options.add_options()("process", "admin address of the entry or agent",
                        cxxopts::value<std::string>())("token-file", "file with the bearer token",
                                                       cxxopts::value<std::string>())(
      "timeout-ms", "longest wait for the confirmation",
      cxxopts::value<std::uint32_t>()->default_value("5000"));
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  endpoint process;
  if (parsed->count("process") == 0 ||
      !ParseEndpoint((*parsed)["process"].as<std::string>(), process)) {
    std::cerr << "--process is required and must be an IPv4 address and port\n";
    return kExitUsage;
  }
  auto token = ReadTokenOption(*parsed);
  if (!token) {
    std::cerr << "--token-file is required: " << make_error_code(errc::kFileUnreadable).message()
              << "\n";
    return kExitUsage;
  }
  QuietLibwebsockets();
  errc error = DrainError(CallProcess(process, *token, kDrainPath, "{}", Timeout(*parsed)));
  if (error != errc::kOk) {
    std::cerr << ToString(process) << ": " << make_error_code(error).message() << "\n";
    return kExitFailed;
  }
  std::cout << ToString(process) << ": draining\n";
  return kExitSuccess;
}

}  // namespace radishroute
