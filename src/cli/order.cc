#include <algorithm>
#include <array>
#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "cli/operator_options.h"
#include "cli/process.h"
#include "radishroute/order_types.h"

namespace radishroute {

namespace {

using nlohmann::json;

/// Option that gives the name for each kind of order.
constexpr std::array<const char*, kOrderKindCount> kKindOptions = {"load-model", "load-adapter",
                                                                   "set-version", "change-role"};

int PrintOrder(const json& report, bool as_json) {
  std::string state = report.value("state", "");
  if (as_json) {
    std::cout << report.dump(2) << "\n";
  } else if (report.contains("error")) {
    std::cout << report.value("error", "") << ": " << report.value("change_id", "") << " is "
              << report.value("order", "") << " " << report.value("name", "") << " for "
              << report.value("backend", "") << " by " << report.value("author", "") << "\n";
  } else {
    std::cout << "committed with token " << report.value("token", 0) << "; " << state << "\n";
  }
  if (report.contains("error")) return kExitConflict;
  return state == ToString(order_status::kDone) ? kExitSuccess : kExitFailed;
}

/// Sends the order until its end is known. The change id makes repeats harmless.
int GiveOrder(operator_client& client, const json& order, std::chrono::milliseconds timeout,
              bool as_json) {
  steady_time end = std::chrono::steady_clock::now() + timeout;
  json report;
  while (std::chrono::steady_clock::now() < end) {
    auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        end - std::chrono::steady_clock::now());
    auto answer = client.Call("/v1/orders", order.dump(), std::max(left, kPollInterval));
    if (!answer) break;
    json parsed = json::parse(answer->body, nullptr, false);
    bool known = answer->status == 200 || answer->status == 409;
    if ((!known && answer->status != 202) || !parsed.is_object()) return PrintCallFailure(answer);
    if (known) report = std::move(parsed);
    bool ended = known && report.value("state", "") != ToString(order_status::kPending);
    if (ended || answer->status == 409) return PrintOrder(report, as_json);
    operator_client::Pause(kPollInterval);
  }
  if (!report.is_null()) return PrintOrder(report, as_json);
  return PrintUnknownOutcome(order.value("change_id", ""));
}

std::optional<json> ReadOrder(const cxxopts::ParseResult& parsed) {
  json order;
  std::size_t kinds = 0;
  for (std::size_t i = 0; i < kOrderKindCount; ++i) {
    if (parsed.count(kKindOptions[i]) == 0) continue;
    ++kinds;
    order["order"] = ToString(static_cast<order_kind>(i));
    order["name"] = parsed[kKindOptions[i]].as<std::string>();
  }
  if (kinds != 1 || parsed.count("backend") == 0) {
    std::cerr << "--backend and one of --load-model, --load-adapter, --set-version, --change-role "
                 "are required\n";
    return std::nullopt;
  }
  order["backend"] = parsed["backend"].as<std::string>();
  order["bytes"] = parsed["bytes"].as<std::uint64_t>();
  order["author"] = parsed["author"].as<std::string>();
  order["change_id"] = ChangeId(parsed);
  return order;
}

}  // namespace

int RunOrder(int argc, char** argv) {
  cxxopts::Options options("radishroute order", "Gives an engine a fenced order.");
  AddOperatorOptions(options);
  options.add_options()("backend", "name of the backend server", cxxopts::value<std::string>())(
      "load-model", "model to load", cxxopts::value<std::string>())(
      "load-adapter", "adapter to load", cxxopts::value<std::string>())(
      "set-version", "version to set", cxxopts::value<std::string>())(
      "change-role", "role to take", cxxopts::value<std::string>())(
      "bytes", "size of the weights", cxxopts::value<std::uint64_t>()->default_value("0"));
  AddChangeOptions(options);
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  auto order = ReadOrder(*parsed);
  if (!order) return kExitUsage;
  auto client = MakeOperatorClient(*parsed);
  if (!client) return kExitUsage;
  QuietLibwebsockets();
  return GiveOrder(*client, *order, Timeout(*parsed), parsed->count("json") > 0);
}

}  // namespace radishroute
