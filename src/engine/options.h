#ifndef RADISHROUTE_ENGINE_OPTIONS_H_
#define RADISHROUTE_ENGINE_OPTIONS_H_

#include <optional>
#include <string>
#include <vector>

#include "engine/http_api.h"
#include "engine/model.h"
#include "engine/rank_model.h"

namespace radishroute {

/// Options of a stand-in for a rank.
struct rank_options {
  rank_model_settings model;
  /// Addresses of all ranks of the group in their order, this one included.
  std::vector<endpoint> peers;
  /// File to which each step is appended: number, map, wall-clock milliseconds, tokens by layer.
  std::string steps_file;
};

/// Command line of `radishroute engine`.
struct engine_options {
  endpoint listen;
  stand_in_kind kind = stand_in_kind::kEngine;
  engine_settings settings;
  /// Port 0 for none: loading then takes no time.
  endpoint weight_store;
  std::string runs_file;
  rank_options rank;
  std::vector<fault_injected> faults;
};

/// Prints help or a usage error and returns nothing if the command should end with `exit`.
std::optional<engine_options> ParseEngineOptions(int argc, char** argv, int& exit);

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_OPTIONS_H_
