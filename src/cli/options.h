#ifndef RADISHROUTE_CLI_OPTIONS_H_
#define RADISHROUTE_CLI_OPTIONS_H_

#include <cxxopts.hpp>
#include <optional>

namespace radishroute {

/// Parses arguments. Prints help or a usage error and returns nothing if the command should end;
/// `exit` then holds the exit code.
std::optional<cxxopts::ParseResult> ParseOptions(cxxopts::Options& options, int argc, char** argv,
                                                 int& exit);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_OPTIONS_H_
