#ifndef RADISHROUTE_IO_RANK_JSON_H_
#define RADISHROUTE_IO_RANK_JSON_H_

#include <optional>
#include <string>

#include "radishroute/rank_event.h"

namespace radishroute {

/// Body of POST /v1/rank, with which an agent hands grants and maps to a rank, and its answer.
std::string RenderRankOrder(const rank_order& order);
std::optional<rank_order> ParseRankOrder(const std::string& body);
std::string RenderRankProgress(const rank_progress& progress);
std::optional<rank_progress> ParseRankProgress(const std::string& body);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_RANK_JSON_H_
