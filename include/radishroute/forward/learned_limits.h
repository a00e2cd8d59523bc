#ifndef RADISHROUTE_FORWARD_LEARNED_LIMITS_H_
#define RADISHROUTE_FORWARD_LEARNED_LIMITS_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

#include "radishroute/clock.h"
#include "radishroute/types.h"

namespace radishroute {

/// What an attempt says about the capacity of its backend server.
enum class capacity_outcome : std::uint8_t {
  kServed,
  kFailed,
  /// Refused without being run.
  kRefused,
  /// Ended by this process or the caller; the latency would have been longer.
  kUnfinished,
};

/// An attempt that has ended, paired with the work at its backend server.
struct capacity_sample {
  std::string_view service;
  /// Latencies are compared within one route of one service only.
  std::string_view route;
  std::chrono::nanoseconds latency{};
  /// Requests at the backend server, running and waiting, including this one.
  double work = 1;
  /// Whether `work` counts the requests of all processes, or only those of this one.
  bool work_is_total = false;
  capacity_outcome outcome = capacity_outcome::kServed;
};

/// What a sample changed in the estimate of a backend server.
enum class capacity_evidence : std::uint8_t { kNone, kSpeed, kLoad, kErrors };

std::string_view ToString(capacity_evidence evidence);

struct server_capacity {
  /// Requests that the backend server handles well at once, from 1 to its slots.
  double limit = 1;
  /// Relative to the typical backend server of the service; 1 if unknown.
  double speed = 1;
};

/// Policy that estimates the capacity of backend servers. `server` is the state of one incarnation
/// of a backend server and is kept by the caller; the policy keeps what the servers share.
template <class P>
concept capacity_policy = std::default_initializable<P> &&
    std::default_initializable<typename P::server> &&
    requires(P policy, const P& const_policy, typename P::server& server,
             const capacity_sample& sample, std::uint32_t slots, steady_time now) {
  { P::Start(slots) } -> std::same_as<typename P::server>;
  { policy.Observe(server, sample, now) } -> std::same_as<capacity_evidence>;
  { const_policy.Capacity(server, now) } -> std::same_as<server_capacity>;
};

/// Mean whose weight is bounded and decays with time, so that recent values replace earlier ones.
class decayed_mean {
 public:
  decayed_mean();
  explicit decayed_mean(std::chrono::duration<double> half_life) : half_life_(half_life) {}

  void Add(double value, double max_weight, steady_time now);
  /// Prevents the decay since the last value, which is still valid.
  void Keep(steady_time now) { added_at_ = now; }
  double Weight(steady_time now) const;
  double Mean() const { return mean_; }
  /// Mean together with a prior value of zero; close to zero if there is little recent evidence.
  double WithPrior(steady_time now) const;

 private:
  std::chrono::duration<double> half_life_;
  double mean_ = 0;
  double weight_ = 0;
  steady_time added_at_;
};

/// Typical latency of each route on a typical backend server, as a logarithm of seconds.
class route_latencies {
 public:
  /// The estimate for the sample's route; `first` is its start value if there is no recent one.
  decayed_mean& Find(const capacity_sample& sample, double first, steady_time now);

 private:
  string_map<decayed_mean> routes_;
};

/// Takes the number of slots as the capacity of each backend server. Baseline for comparisons.
class fixed_slots {
 public:
  struct server {
    double slots = 1;
  };
  static server Start(std::uint32_t slots) { return {static_cast<double>(slots)}; }
  capacity_evidence Observe(server&, const capacity_sample&, steady_time) {
    return capacity_evidence::kNone;
  }
  server_capacity Capacity(const server& s, steady_time) const { return {s.slots, 1}; }
};

/// Compares latencies under load with those at low load, as delay-based congestion control does.
/// Work W that takes q times as long as at low load shows that W / q requests fit without delay.
class gradient_limits {
 public:
  struct server {
    double slots = 1;
    double limit = 1;
    /// Logarithm of the latency at low load relative to the route's typical one.
    decayed_mean slowness;
    /// Logarithms of the latency under load relative to low load, and of the work at that time.
    decayed_mean delay;
    decayed_mean work;
    steady_time reduced_at;
  };
  static server Start(std::uint32_t slots);
  capacity_evidence Observe(server& s, const capacity_sample& sample, steady_time now);
  server_capacity Capacity(const server& s, steady_time now) const;

 private:
  route_latencies routes_;
};

/// Additive increase, multiplicative decrease: the limit grows while a backend server in use is not
/// slower than usual for it, and shrinks by a factor on errors and on latencies far above typical.
class aimd_limits {
 public:
  struct server {
    double slots = 1;
    double limit = 1;
    decayed_mean slowness;
    steady_time reduced_at;
  };
  static server Start(std::uint32_t slots);
  capacity_evidence Observe(server& s, const capacity_sample& sample, steady_time now);
  server_capacity Capacity(const server& s, steady_time now) const;

 private:
  route_latencies routes_;
};

static_assert(capacity_policy<fixed_slots>);
static_assert(capacity_policy<gradient_limits>);
static_assert(capacity_policy<aimd_limits>);

/// Load that a backend server with `load` requests has for comparisons: the time that the next
/// request is expected to take there, in units that equal `load` at speed 1 below the limit.
double WeightedLoad(double load, double slots, const server_capacity& capacity);

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_LEARNED_LIMITS_H_
