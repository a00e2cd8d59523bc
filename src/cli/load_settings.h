#ifndef RADISHROUTE_CLI_LOAD_SETTINGS_H_
#define RADISHROUTE_CLI_LOAD_SETTINGS_H_

#include <cxxopts.hpp>
#include <iostream>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "cli/process.h"
#include "io/loop.h"
#include "io/metrics.h"
#include "platform/settings_wire.h"
#include "radishroute/settings.h"

namespace radishroute {

/// Adds the option that LoadSettings reads.
inline void AddSettingsOption(cxxopts::Options& options) {
  options.add_options()("settings", "JSON settings file", cxxopts::value<std::string>());
}

/// Reads the settings of a daemon and prepares the process for it: logging, libwebsockets.
/// Prints every fault and returns nothing if there is one.
template <class Settings>
std::optional<Settings> LoadSettings(const cxxopts::ParseResult& parsed,
                                     Settings (*parse)(std::string_view,
                                                       std::vector<settings_error>&)) {
  if (parsed.count("settings") == 0) {
    std::cerr << "--settings is required\n";
    return std::nullopt;
  }
  std::string file = parsed["settings"].as<std::string>();
  std::vector<settings_error> errors;
  Settings settings = parse(platform::TranslateSettings(ReadFile(file).value_or("")), errors);
  if (PrintErrors(file, errors)) return std::nullopt;
  ConfigureLogging(settings.common.log.file, settings.common.log.level);
  QuietLibwebsockets();
  return settings;
}

/// Parses a changed settings file and logs the outcome; nothing if it has a fault.
template <class Settings>
std::optional<Settings> ReloadSettings(const std::string& file, const std::string& text,
                                       Settings (*parse)(std::string_view,
                                                         std::vector<settings_error>&)) {
  std::vector<settings_error> errors;
  Settings settings = parse(platform::TranslateSettings(text), errors);
  LogReload(file, errors);
  if (!errors.empty()) return std::nullopt;
  return settings;
}

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_LOAD_SETTINGS_H_
