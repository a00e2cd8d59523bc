#include "radishroute/forward/learned_limits.h"

#include <algorithm>
#include <array>
#include <cmath>

namespace radishroute {

namespace {

// Half-life of evidence without new samples. A server that gets no requests because it was slow
// gets some again as the evidence fades. With 10 s a recovered server had 7% instead of 27% of the
// requests after 5 to 15 s; with 3 s, forty processes had 96% instead of 97% in time.
constexpr std::chrono::duration<double> kEvidenceHalfLife{5};

// Samples that an estimate remembers. At 3 requests per second a step is followed to 87% within
// 5 s, and a standard deviation of 50% per sample leaves 13%. 16 followed a step later: 94% instead
// of 96% in time after it.
constexpr double kServerSamples = 8;
constexpr double kRouteSamples = 64;

// Half-life of a route's typical latency, longer because each route has only a part of the samples,
// and the weight below which it is learned anew: servers are not blamed for a route that has
// changed while nobody used it.
constexpr std::chrono::duration<double> kRouteHalfLife{60};
constexpr double kMinRouteWeight = 0.05;

// Samples that the assumption of a typical speed counts as.
constexpr double kPriorSamples = 1;

// Samples that an estimate of the speed needs before slow ones are attributed to load.
constexpr double kMinSpeedSamples = 3;

// Limit relative to low load up to which samples at low load raise it.
constexpr double kRoomAboveLowLoad = 1.5;

// Samples under load before the limit follows them.
constexpr double kMinLoadedSamples = 3;

// Share of the slots up to which latencies show the speed and not the load. With 1/8, a recovered
// server had 20% instead of 27% of the requests; with 1/2 the results were about the same, but a
// server that slows down at half of its slots would be taken for a slow one.
constexpr double kLowLoadShare = 0.25;

// Delay relative to low load that is not taken as a sign of too much work. With 1.5, 98% instead of
// 99% were in time where a server slows down at a quarter of its slots.
constexpr double kToleratedDelay = 1.25;

// Speeds beyond this range are bounded: a server never gets so little that a recovery goes unseen.
constexpr double kMaxSlowness = 16;
constexpr double kMaxSpeed = 4;

// Factor of the limit after an error, and the interval in which several errors count as one: they
// often have one cause.
constexpr double kErrorFactor = 0.9;
constexpr std::chrono::milliseconds kReductionInterval{250};

// AIMD: latency relative to the expected one above which the limit shrinks, the factor, and the
// increase per sample.
constexpr double kAimdTolerance = 2;
constexpr double kAimdFactor = 0.85;
constexpr double kAimdIncrease = 0.5;

// A rise needs evidence from at least this share of the limit in use.
constexpr double kMinUse = 0.5;

// Part of the slots that every request is counted with in addition to the load, since its latency
// depends on the speed even if the server is idle. 1/4 had 97% instead of 94% in time with servers
// of different speeds, but a recovered server had 13% instead of 32% of the requests after 5 to 15
// s.
constexpr double kBaseWorkShare = 0.125;

// Weight of requests above the limit, which delay each other and those below it. In time at 94% of
// the capacity of uneven servers: 77% with 1, 81% with 3 and with 8.
constexpr double kOverLimitWeight = 3;

// Routes whose latencies are remembered. Above it all are forgotten and learned again, which takes
// a few samples each.
constexpr std::size_t kMaxRoutes = 4096;

double Log(std::chrono::nanoseconds latency) {
  constexpr std::chrono::nanoseconds kShortest = std::chrono::microseconds(1);
  return std::log(std::chrono::duration<double>(std::max(latency, kShortest)).count());
}

double Speed(const decayed_mean& slowness, steady_time now) {
  return std::clamp(std::exp(-slowness.WithPrior(now)), 1 / kMaxSlowness, kMaxSpeed);
}

// Load below which the latency does not depend on it.
double LowLoad(double slots) { return std::max(1.0, slots * kLowLoadShare); }

template <class Server>
bool Reduce(Server& s, double factor, steady_time now) {
  if (now - s.reduced_at < kReductionInterval) return false;
  s.reduced_at = now;
  s.limit = std::max(1.0, s.limit * factor);
  return true;
}

// A refusal says only how much work was too much, and only if all of it is known.
template <class Server>
capacity_evidence OnRefused(Server& s, const capacity_sample& sample) {
  if (!sample.work_is_total) return capacity_evidence::kNone;
  s.limit = std::clamp(sample.work, 1.0, s.limit);
  return capacity_evidence::kErrors;
}

}  // namespace

std::string_view ToString(capacity_evidence evidence) {
  constexpr std::array<std::string_view, 4> kNames = {"none", "speed", "load", "errors"};
  return kNames[static_cast<std::size_t>(evidence)];
}

decayed_mean::decayed_mean() : decayed_mean(kEvidenceHalfLife) {}

double decayed_mean::Weight(steady_time now) const {
  double age = std::chrono::duration<double>(now - added_at_) / half_life_;
  return weight_ * std::exp2(-std::max(age, 0.0));
}

void decayed_mean::Add(double value, double max_weight, steady_time now) {
  weight_ = std::min(Weight(now) + 1, max_weight);
  added_at_ = now;
  mean_ += (value - mean_) / weight_;
}

double decayed_mean::WithPrior(steady_time now) const {
  double weight = Weight(now);
  return mean_ * weight / (weight + kPriorSamples);
}

decayed_mean& route_latencies::Find(const capacity_sample& sample, double first, steady_time now) {
  std::string key(sample.service);
  key.append(" ").append(sample.route);
  auto it = routes_.find(key);
  if (it != routes_.end() && it->second.Weight(now) >= kMinRouteWeight) return it->second;
  if (it == routes_.end() && routes_.size() >= kMaxRoutes) routes_.clear();
  decayed_mean& added = routes_[key] = decayed_mean(kRouteHalfLife);
  added.Add(first, kRouteSamples, now);
  return added;
}

gradient_limits::server gradient_limits::Start(std::uint32_t slots) {
  server s;
  s.slots = s.limit = std::max(slots, 1U);
  return s;
}

server_capacity gradient_limits::Capacity(const server& s, steady_time now) const {
  return {s.limit, Speed(s.slowness, now)};
}

capacity_evidence gradient_limits::Observe(server& s, const capacity_sample& sample,
                                           steady_time now) {
  if (sample.outcome == capacity_outcome::kRefused) return OnRefused(s, sample);
  if (sample.outcome == capacity_outcome::kFailed) {
    return Reduce(s, kErrorFactor, now) ? capacity_evidence::kErrors : capacity_evidence::kNone;
  }
  double work = std::max(sample.work, 1.0);
  double latency = Log(sample.latency);
  double queueing = std::log(std::max(1.0, work / s.limit));
  double slowness = s.slowness.WithPrior(now);
  decayed_mean& route = routes_.Find(sample, latency - queueing - slowness, now);
  bool shorter = latency - route.Mean() < slowness + queueing;
  if (sample.outcome == capacity_outcome::kUnfinished && shorter) return capacity_evidence::kNone;
  double low_load = LowLoad(s.slots);
  if (work <= low_load) {
    s.slowness.Add(latency - route.Mean(), kServerSamples, now);
    route.Add(latency - slowness, kRouteSamples, now);
    // The limit must leave room for samples above low load, without which it could not rise.
    double room = std::min(low_load * kRoomAboveLowLoad, s.slots);
    if (s.limit < room && work >= s.limit * kMinUse) s.limit = std::min(s.limit + 1, room);
    return capacity_evidence::kSpeed;
  }
  // While no server is ever at low load, the route's latency is kept up to date from loaded ones.
  if (route.Weight(now) < kServerSamples)
    route.Add(latency - slowness - queueing, kRouteSamples, now);
  // Until a server has been seen at low load, its slots are believed, so it counts as slow.
  if (s.slowness.Weight(now) < kMinSpeedSamples) {
    s.slowness.Add(latency - route.Mean() - queueing, kServerSamples, now);
    return capacity_evidence::kSpeed;
  }
  s.slowness.Keep(now);
  s.delay.Add(latency - route.Mean() - slowness, kServerSamples, now);
  s.work.Add(std::log(work), kServerSamples, now);
  if (s.delay.Weight(now) < kMinLoadedSamples) return capacity_evidence::kNone;
  bool delayed = s.delay.Mean() > std::log(kToleratedDelay);
  double target = delayed ? std::exp(s.work.Mean() - s.delay.Mean()) : std::max(s.limit, work) + 1;
  if (target < s.limit) {
    s.limit = std::max(target, 1.0);
  } else if (work >= s.limit * kMinUse) {
    s.limit = std::min({s.limit + 1, target, s.slots});
  }
  return capacity_evidence::kLoad;
}

aimd_limits::server aimd_limits::Start(std::uint32_t slots) {
  server s;
  s.slots = s.limit = std::max(slots, 1U);
  return s;
}

server_capacity aimd_limits::Capacity(const server& s, steady_time now) const {
  return {s.limit, Speed(s.slowness, now)};
}

capacity_evidence aimd_limits::Observe(server& s, const capacity_sample& sample, steady_time now) {
  if (sample.outcome == capacity_outcome::kRefused) return OnRefused(s, sample);
  if (sample.outcome == capacity_outcome::kFailed) {
    return Reduce(s, kErrorFactor, now) ? capacity_evidence::kErrors : capacity_evidence::kNone;
  }
  double work = std::max(sample.work, 1.0);
  double latency = Log(sample.latency);
  double slowness = s.slowness.WithPrior(now);
  decayed_mean& route = routes_.Find(sample, latency - slowness, now);
  double excess = latency - route.Mean() - slowness;
  if (sample.outcome == capacity_outcome::kUnfinished && excess < 0) {
    return capacity_evidence::kNone;
  }
  bool is_low = work <= LowLoad(s.slots);
  if (is_low) s.slowness.Add(latency - route.Mean(), kServerSamples, now);
  if (!is_low) s.slowness.Keep(now);
  route.Add(latency - slowness, kRouteSamples, now);
  if (!is_low && excess > std::log(kAimdTolerance)) {
    return Reduce(s, kAimdFactor, now) ? capacity_evidence::kLoad : capacity_evidence::kNone;
  }
  if (work >= s.limit * kMinUse) s.limit = std::min(s.limit + kAimdIncrease, s.slots);
  return is_low ? capacity_evidence::kSpeed : capacity_evidence::kLoad;
}

double WeightedLoad(double load, double slots, const server_capacity& capacity) {
  double over = std::max(0.0, load + 1 - capacity.limit);
  double base = std::max(1.0, slots * kBaseWorkShare);
  return (load + base + over * kOverLimitWeight) / capacity.speed - base;
}

}  // namespace radishroute
