#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "cli/operator_options.h"
#include "cli/process.h"

namespace radishroute {

namespace {

using nlohmann::json;

void PrintZones(const json& in_force, std::ostream& out) {
  if (!in_force.value("known", false)) {
    out << "in force: not known yet, a new leader waits one lease\n";
  }
  for (const json& zone : in_force.value("zones", json::array())) {
    if (zone.value("entries", 0) == 0) {
      // Such a zone counts as in force, since its entries refuse non-idempotent work.
      out << "zone " << zone.value("zone", "") << ": cut off, no entry holds a lease\n";
      continue;
    }
    out << "zone " << zone.value("zone", "") << ": " << zone.value("applied", 0) << " of "
        << zone.value("entries", 0) << " entries, "
        << (zone.value("in_force", false) ? "in force" : "not in force") << "\n";
  }
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
      if (sent->status != 202) return PrintCallFailure(sent);
    }
    operator_client::Pause(kPollInterval);
    auto answer = client.Call(path, "", left());
    if (!answer) break;
    if (answer->status != 200) return PrintCallFailure(answer);
    json parsed = json::parse(answer->body, nullptr, false);
    if (!parsed.is_object()) return PrintCallFailure(answer);
    report = std::move(parsed);
    std::string state = report.value("state", "");
    bool over = state == "conflict" || state == "change-id-reused" ||
                report.value("in_force_everywhere", false);
    if (over) break;
  }
  if (report.value("state", "") == "pending") {
    return PrintUnknownOutcome(change.value("change_id", ""));
  }
  return PrintChange(report, as_json);
}

// Orders of all backend servers, in the order of their names and tokens.
void AddOrders(operator_client& client, std::chrono::milliseconds timeout, json& status) {
  auto answer = client.Call("/v1/orders", "", timeout);
  // A controller of an older version does not know the path.
  if (!answer || answer->status != 200) return;
  json body = json::parse(answer->body, nullptr, false);
  if (!body.is_object() || !body.contains("orders")) return;
  json orders = body["orders"];
  std::stable_sort(orders.begin(), orders.end(), [](const json& a, const json& b) {
    return a.value("backend", "") < b.value("backend", "");
  });
  status["orders"] = std::move(orders);
}

void PrintEvacuations(const json& evacuations) {
  if (evacuations.value("zones", json::array()).empty()) return;
  std::size_t in_force = 0;
  json entries = evacuations.value("entries", json::array());
  for (const json& entry : entries) in_force += entry.value("in_force", false) ? 1 : 0;
  std::cout << "evacuated zones";
  for (const json& zone : evacuations["zones"]) std::cout << " " << zone.get<std::string>();
  std::cout << ", in force at " << in_force << " of " << entries.size() << " entries\n";
  for (const json& entry : entries) {
    if (entry.value("in_force", false)) continue;
    std::cout << "  not yet at " << entry.value("node", "") << " in " << entry.value("zone", "")
              << "\n";
  }
}

void PrintStatus(const json& status) {
  json config = status.value("config", json::object());
  std::cout << "configuration version " << config.value("version", 0) << " by "
            << config.value("author", "") << " (" << config.value("change_id", "") << ")\n";
  PrintZones(status.value("in_force", json::object()), std::cout);
  std::cout << "log index " << status.value("last_index", 0) << ", idempotency records "
            << status.value("records", 0) << "\n";
  PrintEvacuations(status.value("evacuations", json::object()));
  for (const json& r : status.value("replicas", json::array())) {
    std::cout << (r.value("voting", false) ? "voter " : "learner ") << r.value("id", "") << " zone "
              << r.value("zone", "") << " " << r.value("address", "") << "\n";
  }
  for (const json& o : status.value("orders", json::array())) {
    std::cout << "order " << o.value("backend", "") << ": " << o.value("order", "") << " "
              << o.value("name", "") << " token " << o.value("token", 0) << " "
              << o.value("state", "") << " (" << o.value("change_id", "") << " by "
              << o.value("author", "") << ")\n";
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

int RunApply(int argc, char** argv) {
  cxxopts::Options options("radishroute apply", "Puts a sheet in force as a new version.");
  AddOperatorOptions(options);
  options.add_options()("sheet", "CSV sheet", cxxopts::value<std::string>())(
      "base-version", "version that the sheet replaces", cxxopts::value<std::uint64_t>());
  AddChangeOptions(options);
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  if (parsed->count("sheet") == 0 || parsed->count("base-version") == 0) {
    std::cerr << "--sheet and --base-version are required\n";
    return kExitUsage;
  }
  auto client = MakeOperatorClient(*parsed);
  if (!client) return kExitUsage;
  std::string file = (*parsed)["sheet"].as<std::string>();
  auto sheet = ReadFile(file);
  if (!sheet) {
    std::cerr << file << ": " << make_error_code(errc::kFileUnreadable).message() << "\n";
    return kExitUsage;
  }
  json change = {{"base_version", (*parsed)["base-version"].as<std::uint64_t>()},
                 {"change_id", ChangeId(*parsed)},
                 {"author", (*parsed)["author"].as<std::string>()},
                 {"sheet", *sheet}};
  QuietLibwebsockets();
  return ApplyChange(*client, change, Timeout(*parsed), parsed->count("json") > 0);
}

int RunStatus(int argc, char** argv) {
  cxxopts::Options options("radishroute status", "Shows the state of the controllers.");
  AddOperatorOptions(options);
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  auto client = MakeOperatorClient(*parsed);
  if (!client) return kExitUsage;
  QuietLibwebsockets();
  std::chrono::milliseconds timeout = Timeout(*parsed);
  auto answer = client->Call("/v1/status", "", timeout);
  if (!answer || answer->status != 200) return PrintCallFailure(answer);
  json status = json::parse(answer->body, nullptr, false);
  if (!status.is_object()) return PrintCallFailure(answer);
  AddOrders(*client, timeout, status);
  if (parsed->count("json") > 0) {
    std::cout << status.dump(2) << "\n";
  } else {
    PrintStatus(status);
  }
  return kExitSuccess;
}

}  // namespace radishroute
