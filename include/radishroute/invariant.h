#ifndef RADISHROUTE_INVARIANT_H_
#define RADISHROUTE_INVARIANT_H_

#include <string_view>

#include "radishroute/reduce_context.h"

namespace radishroute {

/// Logs kInvariantViolated if `holds` is false; the event loop then stops the process. Returns
/// `holds`.
bool CheckInvariant(bool holds, std::string_view invariant, reduce_context& ctx);

}  // namespace radishroute

#endif  // RADISHROUTE_INVARIANT_H_
