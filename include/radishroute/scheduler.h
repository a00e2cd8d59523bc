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

/// Constants of a `fair_queue`.
struct queue_rules {
  /// Works queued per priority class.
  std::size_t class_capacity = 1024;
  /// Part of a floor that holds while work of a more urgent class waits, in percent.
  std::uint32_t floor_under_pressure = 100;
  /// While the demand of the most urgent class fits the capacity, floors get what it leaves.
  bool floors_yield = false;
};

inline constexpr queue_rules kBalancedQueue{};
inline constexpr queue_rules kUrgentQueue{1024, 50, true};

/// Service time that arriving work asks for per unit of time, averaged over the last seconds.
class demand_estimate {
 public:
  void Add(std::chrono::microseconds service, steady_time now);
  /// Number of slots that the demand keeps busy.
  double Slots(steady_time now) const;

 private:
  double sum_micros_ = 0;
  steady_time last_;
};

/// Estimates service times from measured runs, per priority class.
class service_estimate {
 public:
  void Add(const finished_work& finished);
  /// False until enough runs of the class were measured to refuse work by the estimate.
  bool Reliable(priority_class cls) const;
  std::chrono::microseconds Of(priority_class cls, std::uint64_t cost) const;
  /// Time within which nearly all works of this cost end.
  std::chrono::microseconds Upper(priority_class cls, std::uint64_t cost) const;

 private:
  struct sums {
    double micros = 0;
    double cost = 0;
    std::uint32_t runs = 0;
    /// Mean deviation of a run from its estimate, as a part of the estimate.
    double deviation = 0;
  };
  std::array<sums, kPriorityClassCount> classes_{};
};

/// Queue of one priority class: start-time fair queueing between Members. Virtual time counts
/// tokens divided by weight. Every operation is O(log n) in the Members.
class member_queue {
 public:
  void Add(queued_work work);
  /// Takes the next work; skips suspects if `allow_suspect` is false.
  std::optional<queued_work> Take(bool allow_suspect);
  bool Erase(const dispatch_id& id);
  /// Removes the newest work of the Member that is most over its share.
  std::optional<dispatch_id> EvictNewestOfLargest();

  std::size_t Size() const { return index_.size(); }
  bool Ready(bool allow_suspect) const;
  std::uint64_t QueuedCost() const { return queued_cost_; }
  std::size_t Members() const { return by_backlog_.size(); }
  /// Tokens served before a new work of `cost` of this Member starts, if no more work arrives.
  std::uint64_t CostAhead(const std::string& member, std::uint32_t weight,
                          std::uint32_t cost) const;
  /// True if the Member's part of the queue exceeds its part of the weights of waiting Members.
  bool OverShare(const std::string& member) const;

 private:
  struct flow {
    std::string key;
    std::uint32_t weight = 1;
    bool suspect = false;
    /// Virtual time at which the next work starts.
    std::uint64_t tag = 0;
    std::uint64_t backlog = 0;
    std::list<queued_work> works;
  };
  using flow_order = std::set<std::pair<std::uint64_t, flow*>>;
  struct position {
    flow* owner;
    std::list<queued_work>::iterator at;
  };

  static std::uint64_t Scaled(std::uint64_t cost, std::uint32_t weight);
  flow_order& ReadyOrder(const flow& f) { return f.suspect ? suspects_ : ready_; }
  queued_work Remove(flow& owner, std::list<queued_work>::iterator at);
  void DropIdle();

  std::unordered_map<std::string, flow> flows_;
  std::unordered_map<dispatch_id, position> index_;
  flow_order ready_;
  flow_order suspects_;
  flow_order by_backlog_;
  /// Flows without work whose tag is still ahead of virtual time.
  flow_order idle_;
  std::uint64_t virtual_time_ = 0;
  std::uint64_t queued_cost_ = 0;
  std::uint64_t waiting_weight_ = 0;
};

/// Queue of an agent: more urgent class first above guaranteed shares, fair between Members.
template <queue_rules kRules>
class fair_queue {
 public:
  void Push(queued_work work, steady_time now, std::vector<refused_work>& rejected);
  std::optional<queued_work> Pop(steady_time now, std::vector<refused_work>& rejected);
  bool Erase(const dispatch_id& id);
  void OnFinished(const finished_work& finished, steady_time now);
  void SetConcurrency(std::uint32_t running);
  void SetFloors(const class_shares& floors) { floors_ = floors; }
  std::size_t Size() const;
  std::chrono::microseconds ExpectedWait(priority_class cls) const;

 private:
  using micros = std::chrono::microseconds;

  std::optional<std::size_t> NextClass(bool& by_floor) const;
  /// In percent.
  double FloorInForce(std::size_t cls) const;
  void Charge(std::size_t cls, micros service, bool by_floor);
  bool TooLate(const queued_work& work, steady_time now) const;
  void UpdateFloors(steady_time now);
  micros WaitFor(std::size_t cls, std::uint64_t cost_ahead) const;
  micros RetryAfter(std::size_t cls) const;

  std::array<member_queue, kPriorityClassCount> classes_;
  class_shares floors_{};
  /// Service time that a waiting class is owed under its floor.
  std::array<micros, kPriorityClassCount> owed_{};
  service_estimate estimate_;
  demand_estimate urgent_demand_;
  /// Floors in force while more urgent work waits, in percent.
  std::array<double, kPriorityClassCount> floors_under_pressure_{};
  std::uint32_t concurrency_ = 1;
  std::uint32_t running_ = 0;
  std::optional<dispatch_id> suspect_running_;
};

static_assert(queue_policy<fair_queue<kBalancedQueue>>);

}  // namespace radishroute

#endif  // RADISHROUTE_SCHEDULER_H_
