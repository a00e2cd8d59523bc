#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "cli/commands.h"
#include "cli/operator_client.h"
#include "cli/options.h"
#include "cli/process.h"
#include "radishroute/settings.h"

namespace radishroute {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds kPollInterval{100};

std::optional<operator_client> MakeClient(const cxxopts::ParseResult& parsed) {
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
  auto token = ReadFile(file);
  if (controllers.empty() || !token) {
    std::cerr << "--controller and a readable --token-file are required\n";
    return std::nullopt;
  }
  token->erase(token->find_last_not_of(" \r\n\t") + 1);
  return operator_client(std::move(controllers), *token);
}

void AddCommonOptions(cxxopts::Options& options) {
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

void PrintZones(const json& in_force, std::ostream& out) {
  if (!in_force.value("known", false)) {
    out << "in force: not known yet, a new leader waits one lease\n";
  }
  for (const json& zone : in_force.value("zones", json::array())) {
    out << "zone " << zone.value("zone", "") << ": " << zone.value("applied", 0) << " of "
        << zone.value("entries", 0) << " entries, "
        << (zone.value("in_force", false) ? "in force" : "not in force") << "\n";
  }
}

int PrintFailure(const std::optional<http_answer>& answer) {
  if (!answer) {
    std::cerr << make_error_code(errc::kNoQuorum).message() << "\n";
    return kExitFailed;
  }
  std::cerr << "HTTP " << answer->status << ": " << answer->body << "\n";
  return answer->status == 400 || answer->status == 422 ? kExitUsage : kExitFailed;
}

int PrintChange(const json& report, bool as_json) {
  std::string state = report.value("state", "");
  json winner = report.value("winner", json::object());
  if (as_json) {
    std::cout << report.dump(2) << "\n";
  } else if (state == "committed") {
    std::cout << "committed as version " << report.value("version", 0) << "\n";
    PrintZones(report.value("in_force", json::object()), std::cout);
  } else {
    std::cout << state << ": version " << winner.value("version", 0) << " is change "
              << winner.value("change_id", "") << " by " << winner.value("author", "") << "\n";
  }
  if (state == "conflict" || state == "change-id-reused") return kExitConflict;
  return report.value("in_force_everywhere", false) ? kExitSuccess : kExitFailed;
}

/// Sends the change until a controller accepts it, then polls its result.
int ApplyChange(operator_client& client, const json& change, std::chrono::milliseconds timeout,
                bool as_json) {
  steady_time end = std::chrono::steady_clock::now() + timeout;
  std::string path = "/v1/config/changes/" + change.value("change_id", "");
  auto left = [&] {
    return std::max(std::chrono::milliseconds(1),
                    std::chrono::duration_cast<std::chrono::milliseconds>(
                        end - std::chrono::steady_clock::now()));
  };
  json report = {{"state", "pending"}};
  while (std::chrono::steady_clock::now() < end) {
    if (report.value("state", "") == "pending") {
      // A change that its leader lost is sent again; the id makes that harmless.
      auto sent = client.Call("/v1/config/changes", change.dump(), left());
      // Without an answer, the change may have been proposed all the same.
      if (!sent) break;
      if (sent->status != 202) return PrintFailure(sent);
    }
    operator_client::Pause(kPollInterval);
    auto answer = client.Call(path, "", left());
    if (!answer) break;
    if (answer->status != 200) return PrintFailure(answer);
    json parsed = json::parse(answer->body, nullptr, false);
    if (!parsed.is_object()) return PrintFailure(answer);
    report = std::move(parsed);
    std::string state = report.value("state", "");
    bool over = state == "conflict" || state == "change-id-reused" ||
                report.value("in_force_everywhere", false);
    if (over) break;
  }
  if (report.value("state", "") == "pending") {
    std::cerr << make_error_code(errc::kOutcomeUnknown).message() << "; resend with --change-id "
              << change.value("change_id", "") << "\n";
    return kExitFailed;
  }
  return PrintChange(report, as_json);
}

void PrintStatus(const json& status) {
  json config = status.value("config", json::object());
  std::cout << "configuration version " << config.value("version", 0) << " by "
            << config.value("author", "") << " (" << config.value("change_id", "") << ")\n";
  PrintZones(status.value("in_force", json::object()), std::cout);
  std::cout << "log index " << status.value("last_index", 0) << ", idempotency records "
            << status.value("records", 0) << "\n";
  for (const json& r : status.value("replicas", json::array())) {
    std::cout << (r.value("voting", false) ? "voter " : "learner ") << r.value("id", "") << " zone "
              << r.value("zone", "") << " " << r.value("address", "") << "\n";
  }
  for (const json& g : status.value("groups", json::array())) {
    std::cout << "group " << g.value("group", "") << ": map " << g.value("map_in_force", 0)
              << " in force, ";
    if (g.value("proposed_map", 0) != 0) std::cout << g.value("proposed_map", 0) << " proposed, ";
    std::cout << "step " << g.value("step", std::uint64_t{0}) << " of "
              << g.value("steps_granted", std::uint64_t{0}) << " granted, skew "
              << g.value("skew", 0.0) << ", " << g.value("changes", 0) << " changes, "
              << g.value("bytes_moved", std::uint64_t{0}) << " bytes moved"
              << (g.value("pinned", false) ? ", pinned" : "") << "\n";
    if (!g.value("reason", "").empty())
      std::cout << "  last change: " << g.value("reason", "") << "\n";
  }
}

}  // namespace

int RunPin(int argc, char** argv) {
  cxxopts::Options options("radishroute pin", "Keeps the expert map of a group in force.");
  AddCommonOptions(options);
  options.add_options()("group", "name of the group", cxxopts::value<std::string>())(
      "off", "allow changes of the map again");
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  if (parsed->count("group") == 0) {
    std::cerr << "--group is required\n";
    return kExitUsage;
  }
  auto client = MakeClient(*parsed);
  if (!client) return kExitUsage;
  QuietLibwebsockets();
  auto timeout = std::chrono::milliseconds((*parsed)["timeout-ms"].as<std::uint32_t>());
  json pin = {{"group", (*parsed)["group"].as<std::string>()},
              {"pinned", parsed->count("off") == 0}};
  steady_time end = std::chrono::steady_clock::now() + timeout;
  while (true) {
    // The request is repeated until it meets the applied state, also over a change of leader.
    auto answer = client->Call("/v1/groups", pin.dump(), timeout);
    if (answer && answer->status == 200) return kExitSuccess;
    if (!answer || answer->status != 202) return PrintFailure(answer);
    if (std::chrono::steady_clock::now() >= end) return PrintFailure(std::nullopt);
    operator_client::Pause(kPollInterval);
  }
}

int RunApply(int argc, char** argv) {
  cxxopts::Options options("radishroute apply", "Puts a sheet in force as a new version.");
  AddCommonOptions(options);
  options.add_options()("sheet", "CSV sheet", cxxopts::value<std::string>())(
      "base-version", "version that the sheet replaces", cxxopts::value<std::uint64_t>())(
      "change-id", "the same one in a resend; random if omitted", cxxopts::value<std::string>())(
      "author", "name shown to others", cxxopts::value<std::string>()->default_value("operator"));
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  if (parsed->count("sheet") == 0 || parsed->count("base-version") == 0) {
    std::cerr << "--sheet and --base-version are required\n";
    return kExitUsage;
  }
  auto client = MakeClient(*parsed);
  if (!client) return kExitUsage;
  std::string file = (*parsed)["sheet"].as<std::string>();
  auto sheet = ReadFile(file);
  if (!sheet) {
    std::cerr << file << ": " << make_error_code(errc::kFileUnreadable).message() << "\n";
    return kExitUsage;
  }
  std::string id =
      parsed->count("change-id") > 0 ? (*parsed)["change-id"].as<std::string>() : RandomChangeId();
  json change = {{"base_version", (*parsed)["base-version"].as<std::uint64_t>()},
                 {"change_id", id},
                 {"author", (*parsed)["author"].as<std::string>()},
                 {"sheet", *sheet}};
  QuietLibwebsockets();
  return ApplyChange(*client, change,
                     std::chrono::milliseconds((*parsed)["timeout-ms"].as<std::uint32_t>()),
                     parsed->count("json") > 0);
}

int RunStatus(int argc, char** argv) {
  cxxopts::Options options("radishroute status", "Shows the state of the controllers.");
  AddCommonOptions(options);
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  auto client = MakeClient(*parsed);
  if (!client) return kExitUsage;
  QuietLibwebsockets();
  auto timeout = std::chrono::milliseconds((*parsed)["timeout-ms"].as<std::uint32_t>());
  auto answer = client->Call("/v1/status", "", timeout);
  if (!answer || answer->status != 200) return PrintFailure(answer);
  json status = json::parse(answer->body, nullptr, false);
  if (!status.is_object()) return PrintFailure(answer);
  if (parsed->count("json") > 0) {
    std::cout << status.dump(2) << "\n";
  } else {
    PrintStatus(status);
  }
  return kExitSuccess;
}

}  // namespace radishroute
