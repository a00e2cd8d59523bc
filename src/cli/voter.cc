#include <iostream>
#include <nlohmann/json.hpp>
#include <optional>

#include "cli/commands.h"
#include "cli/operator_client.h"
#include "cli/options.h"
#include "cli/process.h"
#include "platform/settings_wire.h"

namespace radishroute {

namespace {

// A change needs one commit; this covers an election in between.
constexpr std::chrono::seconds kAnswerTimeout{5};

struct admin_answer {
  unsigned status = 0;
  nlohmann::json body;
};

/// Sends one request to a controller's admin address; nothing if there is no whole answer.
std::optional<admin_answer> CallAdmin(const endpoint& controller, const std::string& token,
                                      const std::string& body) {
  operator_reply reply = CallProcess(controller, token, "/voters", body, kAnswerTimeout);
  if (reply.result != http_call_result::kComplete) return std::nullopt;
  admin_answer answer{reply.answer.status,
                      nlohmann::json::parse(reply.answer.body, nullptr, false)};
  if (!answer.body.is_object()) return std::nullopt;
  return answer;
}

int ExitCodeOf(const admin_answer& answer) {
  if (answer.status == 200) return kExitSuccess;
  if (answer.status == 400) return kExitUsage;
  return answer.status == 409 ? kExitConflict : kExitFailed;
}

/// Fills in id, zone and address of the replica to add, as it reports them itself.
bool DescribeNewReplica(const endpoint& admin, const std::string& token, nlohmann::json& request) {
  auto self = CallAdmin(admin, token, "");
  if (!self || self->status != 200) return false;
  request["id"] = self->body.value("voter", "");
  request["zone"] = self->body.value("zone", "");
  request["address"] = self->body.value("address", "");
  return true;
}

}  // namespace

int RunVoter(int argc, char** argv) {
  cxxopts::Options options("radishroute voter", "Lists or changes the replicas of the log.");
  options.positional_help("list|add|remove|replace");
  options.add_options()("operation", "list, add, remove or replace", cxxopts::value<std::string>())(
      "settings", "settings file of a controller, for its admin address and token",
      cxxopts::value<std::string>())("controller", "admin address, instead of the settings' one",
                                     cxxopts::value<std::string>())(
      "id", "voter to remove or to be replaced", cxxopts::value<std::string>())(
      "new", "admin address of the replica to add", cxxopts::value<std::string>());
  options.parse_positional({"operation"});
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  auto value = [&](const char* name) {
    return parsed->count(name) > 0 ? (*parsed)[name].as<std::string>() : std::string();
  };
  std::string file = value("settings");
  std::vector<settings_error> errors;
  controller_settings settings =
      ParseControllerSettings(platform::TranslateSettings(ReadFile(file).value_or("")), errors);
  if (PrintErrors(file, errors)) return kExitUsage;
  endpoint controller = settings.admin_listen;
  if (parsed->count("controller") > 0 && !ParseEndpoint(value("controller"), controller)) {
    std::cerr << "--controller must be an address such as 127.0.0.1:9100\n";
    return kExitUsage;
  }

  std::string operation = value("operation");
  bool adds = operation == "add" || operation == "replace";
  bool names_voter = operation == "remove" || operation == "replace";
  endpoint added;
  if ((!adds && !names_voter && operation != "list") || (names_voter && value("id").empty()) ||
      (adds && !ParseEndpoint(value("new"), added))) {
    std::cerr << options.help() << "\n";
    return kExitUsage;
  }
  QuietLibwebsockets();
  std::string body;
  if (operation != "list") {
    nlohmann::json request = {{"operation", operation}};
    if (operation == "remove") request["id"] = value("id");
    if (operation == "replace") request["replaced"] = value("id");
    if (adds && !DescribeNewReplica(added, settings.admin_token, request)) {
      std::cerr << ToString(added) << ": no answer from the new replica\n";
      return kExitFailed;
    }
    body = request.dump();
  }
  auto answer = CallAdmin(controller, settings.admin_token, body);
  if (!answer) {
    // A change that was sent may still be committed.
    std::cerr << ToString(controller) << ": "
              << make_error_code(body.empty() ? errc::kTimeout : errc::kOutcomeUnknown).message()
              << "\n";
    return kExitFailed;
  }
  std::cout << answer->body.dump(2) << "\n";
  return ExitCodeOf(*answer);
}

}  // namespace radishroute
