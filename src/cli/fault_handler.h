#ifndef RADISHROUTE_CLI_FAULT_HANDLER_H_
#define RADISHROUTE_CLI_FAULT_HANDLER_H_

namespace radishroute {

/// Writes the signal, its origin, the thread and the stack to standard error when the process ends
/// by a fault. The process still ends by that signal.
void InstallFaultHandler();

}  // namespace radishroute

#endif  // RADISHROUTE_CLI_FAULT_HANDLER_H_
