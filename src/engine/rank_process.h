#ifndef RADISHROUTE_ENGINE_RANK_PROCESS_H_
#define RADISHROUTE_ENGINE_RANK_PROCESS_H_

#include "engine/options.h"

namespace radishroute {

/// Runs a stand-in for a rank of an expert-parallel group; returns the exit code.
int RunRank(const engine_options& options);

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_RANK_PROCESS_H_
