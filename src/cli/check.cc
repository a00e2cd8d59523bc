#include <iostream>

#include "cli/commands.h"
#include "cli/options.h"
#include "cli/process.h"
#include "platform/settings_wire.h"
#include "radishroute/sheet.h"

namespace radishroute {

namespace {

int CheckSettings(const std::string& file) {
  auto text = ReadFile(file);
  if (!text) {
    std::cerr << file << ": " << make_error_code(errc::kFileUnreadable).message() << "\n";
    return kExitUsage;
  }
  std::vector<settings_error> errors;
  text = platform::TranslateSettings(*text);
  std::string role = SettingsRole(*text);
  if (role == "entry") {
    ParseEntrySettings(*text, errors);
  } else if (role == "agent") {
    ParseAgentSettings(*text, errors);
  } else if (role == "controller") {
    ParseControllerSettings(*text, errors);
  } else if (role == "gateway") {
    ParseGatewaySettings(*text, errors);
  } else if (role == "sidecar") {
    ParseSidecarSettings(*text, errors);
  } else {
    errors.push_back({"role", "one of \"entry\" \"agent\" \"controller\" \"gateway\" \"sidecar\""});
  }
  return PrintErrors(file, errors) ? kExitUsage : kExitSuccess;
}

int CheckSheet(const std::string& file) { return LoadSheet(file) ? kExitSuccess : kExitUsage; }

}  // namespace

int RunCheck(int argc, char** argv) {
  cxxopts::Options options("radishroute check", "Validates settings or a sheet.");
  options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>())(
      "sheet", "CSV sheet", cxxopts::value<std::string>());
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  if (parsed->count("settings") + parsed->count("sheet") == 0) {
    std::cerr << "--settings or --sheet is required\n";
    return kExitUsage;
  }
  if (parsed->count("settings") > 0) exit = CheckSettings((*parsed)["settings"].as<std::string>());
  if (parsed->count("sheet") > 0) {
    exit = std::max(exit, CheckSheet((*parsed)["sheet"].as<std::string>()));
  }
  return exit;
}

}  // namespace radishroute
