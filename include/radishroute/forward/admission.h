#ifndef RADISHROUTE_FORWARD_ADMISSION_H_
#define RADISHROUTE_FORWARD_ADMISSION_H_

#include <array>
#include <chrono>
#include <concepts>
#include <cstdint>
#include <memory>
#include <optional>

#include "radishroute/clock.h"
#include "radishroute/engine_message.h"
#include "radishroute/forward/backend_selector.h"
#include "radishroute/forward/deployment.h"

namespace radishroute {

/// What admission may look at for one request.
struct admission_query {
  const route* via = nullptr;
  const engine_profile* engine = nullptr;
  /// The backend server that it would go to.
  selection chosen;
  /// The caller was refused before and has come back.
  bool came_back = false;
};

/// An answer and what it was decided by.
struct admission_decision {
  bool admitted = true;
  /// Requests that the backend server may have at once; zero if nothing is known of it.
  double capacity = 0;
  /// Age of the leader's view of loads, and the duration of passes in it.
  std::chrono::milliseconds load_age{};
  std::chrono::microseconds pass{};
};

/// Decides whether a request is sent to a backend server now.
template <class A>
concept forward_admission = std::default_initializable<A> &&
    requires(A admission, const admission_query& query, std::shared_ptr<const fleet_load> load,
             random_source& random, steady_time now) {
  {admission.OnFleetLoad(load, now)};
  { admission.Admit(query, now, random) } -> std::same_as<admission_decision>;
  { admission.GroupIsDown(now) } -> std::same_as<bool>;
};

/// Admits a request to an engine only while its first token and its pauses can be expected in time,
/// by the published figures of the engine and the passes lately. Less urgent routes leave room for
/// more urgent ones, and keep a part of the engines for themselves.
class engine_model_admission {
 public:
  void OnFleetLoad(std::shared_ptr<const fleet_load> load, steady_time now);
  admission_decision Admit(const admission_query& query, steady_time now, random_source& random);
  /// The leader knows that the group makes no passes.
  bool GroupIsDown(steady_time now) const;

  /// Requests that one engine can have at once so that this route's targets are met.
  double Capacity(const route& via, const engine_profile& engine, std::uint32_t slots) const;

 private:
  static constexpr std::size_t kRanks = 3;

  bool Fresh(steady_time now) const;

  std::shared_ptr<const fleet_load> load_;
  steady_time heard_;
};

/// Admits everything; for comparisons.
struct admit_all {
  void OnFleetLoad(const std::shared_ptr<const fleet_load>&, steady_time) {}
  admission_decision Admit(const admission_query&, steady_time, random_source&) { return {}; }
  bool GroupIsDown(steady_time) const { return false; }
};

static_assert(forward_admission<engine_model_admission>);
static_assert(forward_admission<admit_all>);

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_ADMISSION_H_
