#ifndef RADISHROUTE_POLICY_H_
#define RADISHROUTE_POLICY_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/error.h"
#include "radishroute/routing_table.h"
#include "radishroute/traffic_message.h"
#include "radishroute/types.h"

namespace radishroute {

/// Random number generator passed to the reducer; seeded by the process or the test.
using random_source = std::mt19937_64;

/// A dispatch waiting for its backend server.
struct queued_work {
  dispatch_id id;
  std::string member;
  std::uint32_t weight = 1;
  priority_class cls = priority_class::kInteractive;
  steady_time arrival;
  steady_time deadline;
  /// Expected number of tokens; fairness between Members is measured in tokens.
  std::uint32_t cost = 1;
  fingerprint content;
  bool suspect = false;
};

/// Work that a queue policy refused; it was never started.
struct refused_work {
  dispatch_id id;
  refusal_reason reason = refusal_reason::kNone;
  std::chrono::microseconds retry_after{};
};

/// End of a dispatch that Pop returned. Estimates of waits use only completed runs.
struct finished_work {
  dispatch_id id;
  bool completed = true;
  priority_class cls = priority_class::kInteractive;
  std::uint32_t cost = 1;
  std::chrono::microseconds service_time{};
};

/// Order and size limit of an agent's queue.
template <class Q>
concept queue_policy = std::default_initializable<Q> &&
    requires(Q queue, const Q& const_queue, queued_work work, finished_work finished,
             std::vector<refused_work>& refused, steady_time now, std::uint32_t concurrency,
             const class_shares& floors) {
  {queue.Push(std::move(work), now, refused)};
  { queue.Pop(now, refused) } -> std::same_as<std::optional<queued_work>>;
  { queue.Erase(dispatch_id{}) } -> std::same_as<bool>;
  {queue.OnFinished(finished, now)};
  {queue.SetConcurrency(concurrency)};
  {queue.SetFloors(floors)};
  { const_queue.Size() } -> std::same_as<std::size_t>;
  {
    const_queue.ExpectedWait(priority_class::kInteractive)
    } -> std::same_as<std::chrono::microseconds>;
};

/// Properties of a request that a routing policy may use.
struct route_query {
  std::string_view model;
  std::string_view adapter;
  priority_class cls = priority_class::kInteractive;
  std::uint64_t prefix_hash = 0;
  /// Indexes of backend servers already tried for this request.
  std::span<const std::uint32_t> excluded;
};

/// Choice of a backend server; indexes refer to `routing_table::backends`.
template <class R>
concept routing_policy = std::default_initializable<R> &&
    requires(R router, const routing_table& table, const route_query& query, random_source& random,
             const load_report& load, std::uint32_t backend, steady_time now) {
  {router.OnTable(table)};
  { router.Choose(table, query, now, random) } -> std::same_as<std::optional<std::uint32_t>>;
  {router.OnSent(backend)};
  {router.OnDone(backend)};
  {router.OnLoad(backend, load, now)};
};

/// Limits retries per Member.
template <class T>
concept retry_policy = std::default_initializable<T> &&
    requires(T retries, std::string_view member, steady_time now) {
  {retries.OnFirstAttempt(member, now)};
  { retries.TakeRetry(member, now) } -> std::same_as<bool>;
};

/// Refusal by an entry without contacting the backend server. `Check` returns how long the server
/// is expected to refuse work of this Member and class, or zero.
template <class A>
concept admission_policy = std::default_initializable<A> &&
    requires(A admission, const A& const_admission, const announcement& backend,
             std::string_view member, priority_class cls, refusal_reason reason,
             std::chrono::microseconds retry_after, steady_time now) {
  {admission.OnRefused(backend, member, cls, reason, retry_after, now)};
  { const_admission.Check(backend, member, cls, now) } -> std::same_as<std::chrono::microseconds>;
};

/// A complete selection of traffic policies.
template <class P>
concept policy_set =
    queue_policy<typename P::queue_type> && routing_policy<typename P::routing_type> &&
    retry_policy<typename P::retry_type> && admission_policy<typename P::admission_type>;

}  // namespace radishroute

#endif  // RADISHROUTE_POLICY_H_
