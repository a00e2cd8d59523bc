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
  auto token = ReadTokenOption(parsed);
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

void AddChangeOptions(cxxopts::Options& options) {
  options.add_options()("change-id", "the same one in a resend; random if omitted",
                        cxxopts::value<std::string>())(
      "author", "name shown to others", cxxopts::value<std::string>()->default_value("operator"));
}

std::string ChangeId(const cxxopts::ParseResult& parsed) {
  if (parsed.count("change-id") > 0) return parsed["change-id"].as<std::string>();
  std::random_device entropy;
  std::uint64_t value = (std::uint64_t{entropy()} << 32) | entropy();
  return "change-" + std::to_string(value);
}

std::chrono::milliseconds Timeout(const cxxopts::ParseResult& parsed) {
  return std::chrono::milliseconds(parsed["timeout-ms"].as<std::uint32_t>());
}

// The token comes from a file, since arguments are visible to every user of the VM.
std::optional<std::string> ReadTokenOption(const cxxopts::ParseResult& parsed) {
  if (parsed.count("token-file") == 0) return std::nullopt;
  auto token = ReadFile(parsed["token-file"].as<std::string>());
  if (token) token->erase(token->find_last_not_of(" \r\n\t") + 1);
  return token;
}

int PrintUnknownOutcome(const std::string& change_id) {
  std::cerr << make_error_code(errc::kOutcomeUnknown).message() << "; resend with --change-id "
            << change_id << "\n";
  return kExitFailed;
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
