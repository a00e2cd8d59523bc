#ifndef RADISHROUTE_FORWARD_ADMISSION_H_
#define RADISHROUTE_FORWARD_ADMISSION_H_

#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/engine_message.h"
#include "radishroute/forward/backend_selector.h"
#include "radishroute/forward/deployment.h"
#include "radishroute/forward/group_loads.h"

namespace radishroute {

/// Input of the admission decision for one request.
struct admission_query {
  const route* matched_route = nullptr;
  const engine_profile* engine = nullptr;
  /// Backend server that the request would be sent to.
  selected_backend chosen;
  /// Whether the caller is retrying a request that was refused before.
  bool is_caller_retry = false;
  /// Distinct priorities of the streams of this service, the most urgent first; null if unknown.
  const std::vector<std::uint32_t>* stream_priorities = nullptr;
  /// Whether this process lets requests wait for room.
  bool may_wait = false;
  /// Time since the request arrived.
  std::chrono::milliseconds waited{};
};

/// An admission decision and the values it is based on.
struct admission_decision {
  bool admitted = true;
  /// If not admitted: whether the request may be admitted later and is worth keeping until
  /// `decide_by`, counted from its arrival.
  bool waits = false;
  std::chrono::milliseconds decide_by{};
  /// Requests that the backend server may have at once; zero if its capacity is unknown.
  double capacity = 0;
  /// Age of the leader's latest load report of the engine's group, and the mean duration of a
  /// forward pass that it contains.
  std::chrono::milliseconds load_age{};
  std::chrono::microseconds pass{};
};

/// Policy that decides whether a request is sent to a backend server or refused.
template <class A>
concept forward_admission = std::default_initializable<A> &&
    requires(A admission, const admission_query& query, std::shared_ptr<const fleet_load> load,
             random_source& random, steady_time now) {
  { admission.OnFleetLoad(load, now) } -> std::same_as<bool>;
  { admission.Admit(query, now, random) } -> std::same_as<admission_decision>;
  { admission.IsGroupDown(query.chosen.address, now) } -> std::same_as<bool>;
};

/// Admits a request to an engine only if the route's targets for the first token and for the gaps
/// between events are expected to be met, given the engine's configured profile and the recent
/// duration of its forward passes. Less urgent routes leave headroom for more urgent ones; a share
/// of the less urgent requests is admitted into that headroom, so that they are not starved.
class engine_model_admission {
 public:
  /// Returns false if a newer report of the group is known.
  bool OnFleetLoad(std::shared_ptr<const fleet_load> load, steady_time now);
  admission_decision Admit(const admission_query& query, steady_time now, random_source& random);
  /// Whether the leader reports that the group of this engine makes no forward passes.
  bool IsGroupDown(const endpoint& engine, steady_time now) const;

  /// Number of requests that one engine can have at once while this route's targets are met and a
  /// forward pass takes at most `pass_share` of the target gap.
  const group_loads& Loads() const { return loads_; }

  static double Capacity(const route& matched_route, const engine_profile& engine,
                         std::uint32_t slots, double pass_share, const group_load* group);

 private:
  group_loads loads_;
};

/// Admits every request. Baseline for comparisons.
struct admit_all {
  bool OnFleetLoad(const std::shared_ptr<const fleet_load>&, steady_time) { return true; }
  admission_decision Admit(const admission_query&, steady_time, random_source&) { return {}; }
  bool IsGroupDown(const endpoint&, steady_time) const { return false; }
};

static_assert(forward_admission<engine_model_admission>);
static_assert(forward_admission<admit_all>);

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_ADMISSION_H_
