#ifndef RADISHROUTE_CLI_OPERATOR_OPTIONS_H_
#define RADISHROUTE_CLI_OPERATOR_OPTIONS_H_

#include <optional>
#include <string>

#include "cli/operator_client.h"
#include "cli/options.h"

namespace radishroute {

/// Adds the options of all commands that talk to the controllers.
void AddOperatorOptions(cxxopts::Options& options);

/// Client for the controllers that the options name; prints a usage error and returns nothing if
/// they are incomplete.
std::optional<operator_client> MakeOperatorClient(const cxxopts::ParseResult& parsed);

std::string RandomChangeId();

/// Prints why a call did not succeed; returns an exit_code.
int PrintCallFailure(const std::optional<http_answer>& answer);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_OPERATOR_OPTIONS_H_
