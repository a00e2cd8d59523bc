#include "io/broken_response.h"

#include <string>

#include "io/metrics.h"

namespace radishroute {

void ReportBrokenResponse(std::string_view call, std::string_view request, const endpoint& engine,
                          response_fault fault) {
  if (fault == response_fault::kNone) return;
  CountBrokenResponse(fault);
  WriteLog({event_code::kEngineCallFailed,
            log_level::kWarning,
            {{"call", std::string(call)},
             {"request", std::string(request)},
             {"engine", ToString(engine)},
             {"fault", std::string(ToString(fault))}}});
}

}  // namespace radishroute
