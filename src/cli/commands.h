#ifndef RADISHROUTE_CLI_COMMANDS_H_
#define RADISHROUTE_CLI_COMMANDS_H_

namespace radishroute {

// Each runs one subcommand; `argv[0]` is the subcommand's name. Returns an exit_code.
int RunEntry(int argc, char** argv);
int RunAgent(int argc, char** argv);
int RunGateway(int argc, char** argv);
int RunSidecar(int argc, char** argv);
int RunCheck(int argc, char** argv);
int RunApply(int argc, char** argv);
int RunPin(int argc, char** argv);
int RunStatus(int argc, char** argv);
int RunOrder(int argc, char** argv);
int RunEngine(int argc, char** argv);
int RunLoad(int argc, char** argv);
int RunController(int argc, char** argv);
int RunDrain(int argc, char** argv);
int RunVoter(int argc, char** argv);

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_COMMANDS_H_
