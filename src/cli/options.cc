#include "cli/options.h"

#include <iostream>

#include "cli/process.h"

namespace radishroute {

std::optional<cxxopts::ParseResult> ParseOptions(cxxopts::Options& options, int argc, char** argv,
                                                 int& exit) {
  options.add_options()("h,help", "show this help");
  // cxxopts reports usage errors by exceptions; they end here.
  try {
    cxxopts::ParseResult parsed = options.parse(argc, argv);
    if (parsed.count("help") > 0) {
      std::cout << options.help() << "\n";
      exit = kExitSuccess;
      return std::nullopt;
    }
    if (!parsed.unmatched().empty()) {
      std::cerr << "unexpected argument: " << parsed.unmatched().front() << "\n";
      exit = kExitUsage;
      return std::nullopt;
    }
    return parsed;
  } catch (const cxxopts::exceptions::exception& error) {
    std::cerr << error.what() << "\n";
    exit = kExitUsage;
    return std::nullopt;
  }
}

}  // namespace radishroute
