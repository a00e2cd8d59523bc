#include <iostream>
#include <string_view>

#include "cli/commands.h"
#include "cli/fault_handler.h"
#include "cli/process.h"

namespace {

struct subcommand {
  std::string_view name;
  std::string_view summary;
  int (*run)(int, char**);
  /// Runs until a signal asks it to stop.
  bool is_daemon = false;
};

constexpr subcommand kSubcommands[] = {
    {"entry", "accept callers' requests and route them", radishroute::RunEntry, true},
    {"agent", "run the work of one backend server", radishroute::RunAgent, true},
    {"gateway", "forward callers' HTTP requests to backend servers", radishroute::RunGateway, true},
    {"sidecar", "read an engine and give it the leader's orders", radishroute::RunSidecar, true},
    {"controller", "run one replica of the log", radishroute::RunController, true},
    {"voter", "list or change the replicas of the log", radishroute::RunVoter},
    {"apply", "put a sheet in force as a new configuration version", radishroute::RunApply},
    {"status", "show the state of the controllers", radishroute::RunStatus},
    {"drain", "ask an entry or agent to finish its work and stop", radishroute::RunDrain},
    {"order", "give an engine a fenced order", radishroute::RunOrder},
    {"pin", "keep the expert map of a group, or allow changes again", radishroute::RunPin},
    {"check", "validate settings or a sheet", radishroute::RunCheck},
    {"engine", "run a stand-in for an engine or a service", radishroute::RunEngine, true},
    {"load", "send requests and check every answer", radishroute::RunLoad},
};

void PrintUsage(std::ostream& out) {
  out << "usage: radishroute SUBCOMMAND [options]\n\n";
  for (const subcommand& command : kSubcommands) {
    out << "  " << command.name << "\t" << command.summary << "\n";
  }
  out << "\nradishroute SUBCOMMAND --help shows a subcommand's options.\n"
         "exit codes: 0 success, 1 failed, 2 usage or settings error, 3 stopped with requests\n"
         "unfinished, 4 conflict with another operator's change\n";
}

}  // namespace

int main(int argc, char** argv) {
  radishroute::InstallFaultHandler();
  if (argc < 2) {
    PrintUsage(std::cerr);
    return radishroute::kExitUsage;
  }
  std::string_view name = argv[1];
  if (name == "--help" || name == "-h") {
    PrintUsage(std::cout);
    return radishroute::kExitSuccess;
  }
  for (const subcommand& command : kSubcommands) {
    if (command.name != name) continue;
    // Before anything else: until then, a signal ends the process at once.
    if (command.is_daemon) radishroute::BlockStopSignals();
    return command.run(argc - 1, argv + 1);
  }
  std::cerr << "unknown subcommand: " << name << "\n";
  PrintUsage(std::cerr);
  return radishroute::kExitUsage;
}
