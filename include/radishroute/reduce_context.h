#ifndef RADISHROUTE_REDUCE_CONTEXT_H_
#define RADISHROUTE_REDUCE_CONTEXT_H_

#include "radishroute/clock.h"
#include "radishroute/effect.h"
#include "radishroute/policy.h"

namespace radishroute {

/// Time and random numbers for the reduction of one event, and the list that receives its effects.
struct reduce_context {
  steady_time now;
  wall_time wall;
  random_source& random;
  effect_list& effects;

  template <class E>
  void Emit(E&& e) {
    effects.emplace_back(std::forward<E>(e));
  }
};

}  // namespace radishroute

#endif  // RADISHROUTE_REDUCE_CONTEXT_H_
