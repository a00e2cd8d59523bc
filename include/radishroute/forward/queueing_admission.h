#ifndef RADISHROUTE_FORWARD_QUEUEING_ADMISSION_H_
#define RADISHROUTE_FORWARD_QUEUEING_ADMISSION_H_

#include <chrono>
#include <memory>

#include "radishroute/forward/admission.h"

namespace radishroute {

/// Lets requests wait in this process for room, as long as their first token can still be in time.
/// A waiting request is decided anew with each load report. The load it answers is demand above the
/// capacity for some hundred milliseconds: a caller that is refused returns after seconds and is
/// late, although room appears after a few forward passes.
///
/// It applies where the gateway's settings and the configuration call for it, and decides like
/// `engine_model_admission` elsewhere:
/// - Engines in several groups: requests that would be refused wait first.
/// - Streams of one priority: nothing is gained by refusing some of them early in favour of others.
///   Room is judged by the mean load of the group, since one full engine delays only the requests
///   that wait there, and a request that can only be late is served if the group bears it.
class queueing_admission {
 public:
  bool OnFleetLoad(std::shared_ptr<const fleet_load> load, steady_time now) {
    return immediate_.OnFleetLoad(std::move(load), now);
  }
  admission_decision Admit(const admission_query& query, steady_time now, random_source& random);
  bool IsGroupDown(const endpoint& engine, steady_time now) const {
    return immediate_.IsGroupDown(engine, now);
  }

  /// Mean requests per engine of the group at which a forward pass takes `pass_share` of the
  /// target gap, between 1 and the slots of an engine.
  static double GroupCapacity(const route& matched_route, const engine_profile& engine,
                              std::uint32_t slots, double pass_share, const group_load& group);
  /// Expected time until the first token at an engine with this load, which includes the request.
  static std::chrono::milliseconds FirstToken(const engine_profile& engine, double load,
                                              std::uint32_t slots, const group_load& group);

 private:
  admission_decision AdmitByGroup(const admission_query& query, const group_load& group,
                                  steady_time now, random_source& random) const;

  engine_model_admission immediate_;
};

static_assert(forward_admission<queueing_admission>);

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_QUEUEING_ADMISSION_H_
