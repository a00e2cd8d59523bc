#ifndef RADISHROUTE_LOAD_TOOLS_H_
#define RADISHROUTE_LOAD_TOOLS_H_

namespace radishroute {

// Each runs one tool of `radishroute load`; `argv[0]` is the tool's name. Returns an exit_code.
int RunLoadReport(int argc, char** argv);
int RunLoadCompare(int argc, char** argv);
int RunLoadCheck(int argc, char** argv);

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_TOOLS_H_
