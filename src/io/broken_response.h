#ifndef RADISHROUTE_IO_BROKEN_RESPONSE_H_
#define RADISHROUTE_IO_BROKEN_RESPONSE_H_

#include <string_view>

#include "radishroute/error.h"
#include "radishroute/types.h"

namespace radishroute {

/// Counts and logs a broken response of the engine beside this process. `request` names what it
/// answers, if that has a name; a fault of kNone is ignored.
void ReportBrokenResponse(std::string_view call, std::string_view request, const endpoint& engine,
                          response_fault fault);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_BROKEN_RESPONSE_H_
