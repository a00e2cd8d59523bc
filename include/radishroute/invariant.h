#ifndef RADISHROUTE_INVARIANT_H_
#define RADISHROUTE_INVARIANT_H_

#include "radishroute/reduce_context.h"

namespace radishroute {

/// Checks an invariant in every build. If it does not hold, the process logs kInvariantViolated
/// with `name` and stops: continuing could return a wrong answer.
inline void CheckInvariant(bool holds, const char* name, reduce_context& ctx) {
  if (!holds) ctx.Emit(report_violation{name});
}

}  // namespace radishroute

#endif  // RADISHROUTE_INVARIANT_H_
