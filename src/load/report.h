#ifndef RADISHROUTE_LOAD_REPORT_H_
#define RADISHROUTE_LOAD_REPORT_H_

#include <nlohmann/json_fwd.hpp>
#include <string>

namespace radishroute {

/// One HTML page with inline SVG plots of a result file; needs no network.
std::string RenderReport(const nlohmann::json& result);

/// Two results side by side, as a table for the terminal.
std::string RenderComparison(const nlohmann::json& a, const nlohmann::json& b);

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_REPORT_H_
