#ifndef RADISHROUTE_CLI_OPERATOR_OPTIONS_H_
#define RADISHROUTE_CLI_OPERATOR_OPTIONS_H_

#include <chrono>
#include <optional>
#include <string>

#include "cli/operator_client.h"
#include "cli/options.h"

namespace radishroute {

/// Time between two questions for the result of a change.
inline constexpr std::chrono::milliseconds kPollInterval{100};

/// Adds the options of all commands that talk to the controllers.
void AddOperatorOptions(cxxopts::Options& options);

/// Client for the controllers that the options name; prints a usage error and returns nothing if
/// they are incomplete.
std::optional<operator_client> MakeOperatorClient(const cxxopts::ParseResult& parsed);

/// Adds the options of commands that submit a change.
void AddChangeOptions(cxxopts::Options& options);

/// Id of the change; random unless the options name one.
std::string ChangeId(const cxxopts::ParseResult& parsed);

/// The option --timeout-ms.
std::chrono::milliseconds Timeout(const cxxopts::ParseResult& parsed);

/// Reads the token that --token-file names; nothing if it is missing or cannot be read.
std::optional<std::string> ReadTokenOption(const cxxopts::ParseResult& parsed);

/// Prints that nobody knows whether a change was committed, and how to resend it; returns an
/// exit_code.
int PrintUnknownOutcome(const std::string& change_id);

/// Prints why a call did not succeed; returns an exit_code.
int PrintCallFailure(const std::optional<http_answer>& answer);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_OPERATOR_OPTIONS_H_
