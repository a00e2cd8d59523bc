#ifndef RADISHROUTE_INVARIANT_H_
#define RADISHROUTE_INVARIANT_H_

#include <string_view>

#include "radishroute/reduce_context.h"

namespace radishroute {

/// Reports a violated invariant: writes kInvariantViolated, on which the event loop stops the
/// process. Returns `holds`.
bool CheckInvariant(bool holds, std::string_view what, reduce_context& ctx);

}  // namespace radishroute

#endif  // RADISHROUTE_INVARIANT_H_
