#ifndef RADISHROUTE_REDUCER_H_
#define RADISHROUTE_REDUCER_H_

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"
#include "radishroute/state.h"

namespace radishroute {

/// Applies one event to a thread's state and appends the effects to `ctx.effects`.
/// Performs no I/O and takes the time only from `ctx`.
template <policy_set P>
void Reduce(thread_state<P>& state, const event& e, reduce_context& ctx);

}  // namespace radishroute

#endif  // RADISHROUTE_REDUCER_H_
