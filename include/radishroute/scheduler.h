#ifndef RADISHROUTE_SCHEDULER_H_
#define RADISHROUTE_SCHEDULER_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "radishroute/policy.h"

namespace radishroute {

/// Parameters of a `fair_queue`.
struct queue_parameters {
  /// Maximum queue length of one priority class.
  std::size_t class_capacity = 1024;
  /// Part of a class's guaranteed share (floor) that applies while work of a more urgent class
  /// waits, in percent.
  std::uint32_t contended_floor_percent = 100;
  /// While the demand of the most urgent class fits the capacity, floors are limited to
  /// the remaining capacity.
  bool floors_yield_to_urgent = false;
};

inline constexpr queue_parameters kBalancedQueue{};
inline constexpr queue_parameters kUrgentQueue{1024, 50, true};

/// Service time of the arriving work per unit of time, averaged over the last seconds.
class demand_estimate {
 public:
  void Add(std::chrono::microseconds service, steady_time now);
  /// Returns the mean number of slots that the demand occupies.
  double BusySlots(steady_time now) const;

 private:
  double sum_micros_ = 0;
  steady_time last_;
};

/// Estimates service times per priority class from measured runs.
class service_estimate {
 public:
  void Add(const finished_work& finished);
  /// Returns whether the class has enough measured runs to refuse work based on the estimate.
  bool HasEnoughRuns(priority_class cls) const;
  std::chrono::microseconds Expected(priority_class cls, std::uint64_t cost) const;
  /// Time within which nearly all work of this cost finishes.
  std::chrono::microseconds UpperBound(priority_class cls, std::uint64_t cost) const;

 private:
  struct sums {
    double micros = 0;
    double cost = 0;
    std::uint32_t runs = 0;
    /// Mean absolute deviation of a run from its estimate, relative to the estimate.
    double deviation = 0;
  };
  std::array<sums, kPriorityClassCount> classes_{};
};

/// Queue of one priority class: start-time fair queueing between Members. Virtual time counts
/// tokens divided by weight. Every operation is O(log n) in the number of Members.
class member_queue {
 public:
  void Add(queued_work work);
  /// Removes and returns the next work; skips suspects unless `allow_suspect` is set.
  std::optional<queued_work> Take(bool allow_suspect);
  bool Erase(const dispatch_id& id);
  /// Removes the newest work of the flow with the largest backlog relative to its weight.
  std::optional<dispatch_id> EvictNewestOfLargest();

  std::size_t Size() const { return index_.size(); }
  bool HasReady(bool allow_suspect) const;
  std::uint64_t QueuedCost() const { return queued_cost_; }
  std::size_t ActiveFlows() const { return by_backlog_.size(); }
  /// Tokens served before new work of this Member with this cost starts, if no more work arrives.
  std::uint64_t CostAhead(const std::string& member, std::uint32_t weight,
                          std::uint32_t cost) const;
  /// Whether the Member's share of the backlog exceeds its share of the waiting Members' weights.
  bool IsOverShare(const std::string& member) const;

 private:
  struct flow {
    std::string key;
    std::uint32_t weight = 1;
    bool suspect = false;
    /// Virtual time at which the next item starts.
    std::uint64_t start_tag = 0;
    std::uint64_t backlog = 0;
    std::list<queued_work> items;
  };
  using flow_order = std::set<std::pair<std::uint64_t, flow*>>;
  struct position {
    flow* owner;
    std::list<queued_work>::iterator item;
  };

  static std::uint64_t VirtualCost(std::uint64_t cost, std::uint32_t weight);
  flow_order& ReadyOrder(const flow& f) { return f.suspect ? suspects_ : ready_; }
  queued_work Remove(flow& owner, std::list<queued_work>::iterator item);
  void RemoveExpiredIdleFlows();

  std::unordered_map<std::string, flow> flows_;
  std::unordered_map<dispatch_id, position> index_;
  flow_order ready_;
  flow_order suspects_;
  flow_order by_backlog_;
  /// Empty flows whose start tag is still ahead of virtual time.
  flow_order idle_;
  std::uint64_t virtual_time_ = 0;
  std::uint64_t queued_cost_ = 0;
  std::uint64_t waiting_weight_ = 0;
};

/// Queue of an agent. Every class gets its guaranteed share (floor); the rest goes to the most
/// urgent class with waiting work. Fair between Members within a class.
template <queue_parameters kParams>
class fair_queue {
 public:
  void Push(queued_work work, steady_time now, std::vector<refused_work>& refused);
  std::optional<queued_work> Pop(steady_time now, std::vector<refused_work>& refused);
  bool Erase(const dispatch_id& id);
  void OnFinished(const finished_work& finished, steady_time now);
  void SetConcurrency(std::uint32_t concurrency);
  void SetFloors(const class_shares& floors) { floors_ = floors; }
  std::size_t Size() const;
  std::chrono::microseconds ExpectedWait(priority_class cls) const;

 private:
  using micros = std::chrono::microseconds;

  std::optional<std::size_t> NextClass(bool& chosen_by_floor) const;
  /// The floor that currently applies to a class, in percent.
  double EffectiveFloor(std::size_t cls) const;
  void UpdateFloorCredit(std::size_t cls, micros service, bool chosen_by_floor);
  bool WouldMissDeadline(const queued_work& work, steady_time now) const;
  void UpdateFloors(steady_time now);
  micros EstimateWait(std::size_t cls, std::uint64_t cost_ahead) const;
  micros RetryAfter(std::size_t cls) const;

  std::array<member_queue, kPriorityClassCount> classes_;
  class_shares floors_{};
  /// Service time that a waiting class is entitled to under its floor and has not received.
  std::array<micros, kPriorityClassCount> floor_credit_{};
  service_estimate estimate_;
  demand_estimate urgent_demand_;
  /// Floors that apply while more urgent work waits, in percent.
  std::array<double, kPriorityClassCount> contended_floors_{};
  std::uint32_t concurrency_ = 1;
  std::uint32_t running_ = 0;
  std::optional<dispatch_id> suspect_running_;
};

static_assert(queue_policy<fair_queue<kBalancedQueue>>);

}  // namespace radishroute

#endif  // RADISHROUTE_SCHEDULER_H_
