#include <iostream>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "cli/operator_options.h"
#include "cli/process.h"

namespace radishroute {

int RunPin(int argc, char** argv) {
  cxxopts::Options options("radishroute pin", "Keeps the expert map of a group in force.");
  AddOperatorOptions(options);
  options.add_options()("group", "name of the group", cxxopts::value<std::string>())(
      "off", "allow changes of the map again");
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  if (parsed->count("group") == 0) {
    std::cerr << "--group is required\n";
    return kExitUsage;
  }
  auto client = MakeOperatorClient(*parsed);
  if (!client) return kExitUsage;
  QuietLibwebsockets();
  std::chrono::milliseconds timeout = Timeout(*parsed);
  nlohmann::json pin = {{"group", (*parsed)["group"].as<std::string>()},
                        {"pinned", parsed->count("off") == 0}};
  steady_time end = std::chrono::steady_clock::now() + timeout;
  while (true) {
    // The request is repeated until it meets the applied state, also over a change of leader.
    auto answer = client->Call("/v1/groups", pin.dump(), timeout);
    if (answer && answer->status == 200) return kExitSuccess;
    if (!answer || answer->status != 202) return PrintCallFailure(answer);
    if (std::chrono::steady_clock::now() >= end) return PrintCallFailure(std::nullopt);
    operator_client::Pause(kPollInterval);
  }
}

}  // namespace radishroute
