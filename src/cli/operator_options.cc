#include "cli/operator_options.h"

#include <iostream>
#include <random>

#include "cli/process.h"
#include "radishroute/settings.h"

namespace radishroute {

std::optional<operator_client> MakeOperatorClient(const cxxopts::ParseResult& parsed) {
  std::vector<endpoint> controllers;
  if (parsed.count("controller") > 0) {
    for (const auto& text : parsed["controller"].as<std::vector<std::string>>()) {
      endpoint address;
      if (!ParseEndpoint(text, address)) {
        std::cerr << "--controller " << text << ": expected an IPv4 address and port\n";
        return std::nullopt;
      }
      controllers.push_back(address);
    }
  }
  // The token comes from a file, since arguments are visible to every user of the VM.
  std::string file = parsed.count("token-file") > 0 ? parsed["token-file"].as<std::string>() : "";
  auto token = ReadToken(file);
  if (controllers.empty() || !token) {
    std::cerr << "--controller and a readable --token-file are required\n";
    return std::nullopt;
  }
  return operator_client(std::move(controllers), *token);
}

void AddOperatorOptions(cxxopts::Options& options) {
  options.add_options()("controller", "admin address of a controller; may be repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "token-file", "file with the bearer token", cxxopts::value<std::string>())(
      "json", "print JSON")("timeout-ms", "longest wait",
                            cxxopts::value<std::uint32_t>()->default_value("8000"));
}

std::string RandomChangeId() {
  std::random_device entropy;
  std::uint64_t value = (std::uint64_t{entropy()} << 32) | entropy();
  return "change-" + std::to_string(value);
}

int PrintCallFailure(const std::optional<http_answer>& answer) {
  if (!answer) {
    std::cerr << make_error_code(errc::kNoQuorum).message() << "\n";
    return kExitFailed;
  }
  std::cerr << "HTTP " << answer->status << ": " << answer->body << "\n";
  return answer->status == 400 || answer->status == 422 ? kExitUsage : kExitFailed;
}

}  // namespace radishroute
