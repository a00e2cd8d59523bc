#include "radishroute/scheduler.h"

#include <algorithm>
#include <cmath>

namespace radishroute {

namespace {

// With 20 fractional bits, one token advances virtual time even at the largest weight (a million).
constexpr unsigned kVirtualTimeBits = 20;

// Sums are halved after this many runs, so that the estimate follows changes in engine speed.
constexpr std::uint32_t kEstimateRuns = 64;
constexpr std::uint32_t kReliableRuns = 8;

// Under overload, work starts just before its deadline. With the mean service time as the limit,
// half the work would miss its deadline; two mean deviations cover uniformly distributed lengths.
constexpr double kUpperBoundDeviations = 2;
constexpr double kDeviationGain = 1.0 / 16;
// Limits the effect of one stalled run, which would otherwise make the class refuse all work.
constexpr double kMaxRunDeviation = 1;

// Used to compute class shares until the first run of any class has been measured.
constexpr double kUnmeasuredMicrosPerToken = 1000;

// Limit on the floor credit of a class, in runs, so that a long wait is not followed by a burst
// that delays the more urgent classes.
constexpr int kMaxCreditRuns = 4;

// Long enough to average about 200 interactive requests on a server at 0.9 of its capacity, short
// enough to follow a load that builds up within a minute.
constexpr std::chrono::duration<double, std::micro> kDemandWindow{4e6};

// Capacity withheld from floors that yield, since the estimate of demand varies by 5%.
constexpr double kDemandReserve = 0.04;

constexpr std::chrono::milliseconds kMinRetryAfter{50};
constexpr std::chrono::seconds kMaxRetryAfter{10};

}  // namespace

void service_estimate::Add(const finished_work& finished) {
  sums& totals = classes_[ClassIndex(finished.cls)];
  if (totals.runs > 0) {
    auto expected = static_cast<double>(Expected(finished.cls, finished.cost).count());
    auto measured = static_cast<double>(finished.service_time.count());
    double relative_error = std::abs(measured - expected) / std::max(expected, 1.0);
    totals.deviation +=
        (std::min(relative_error, kMaxRunDeviation) - totals.deviation) * kDeviationGain;
  }
  totals.micros += static_cast<double>(finished.service_time.count());
  totals.cost += finished.cost;
  if (++totals.runs < kEstimateRuns) return;
  totals.micros /= 2;
  totals.cost /= 2;
  totals.runs /= 2;
}

bool service_estimate::HasEnoughRuns(priority_class cls) const {
  return classes_[ClassIndex(cls)].runs >= kReliableRuns;
}

std::chrono::microseconds service_estimate::Expected(priority_class cls, std::uint64_t cost) const {
  const sums* totals = &classes_[ClassIndex(cls)];
  for (const sums& other : classes_) {
    if (totals->cost <= 0) totals = &other;
  }
  double per_token = totals->cost > 0 ? totals->micros / totals->cost : kUnmeasuredMicrosPerToken;
  return std::chrono::microseconds(
      static_cast<std::int64_t>(per_token * static_cast<double>(cost)));
}

std::chrono::microseconds service_estimate::UpperBound(priority_class cls,
                                                       std::uint64_t cost) const {
  double factor = 1 + kUpperBoundDeviations * classes_[ClassIndex(cls)].deviation;
  return std::chrono::microseconds(
      static_cast<std::int64_t>(factor * static_cast<double>(Expected(cls, cost).count())));
}

std::uint64_t member_queue::VirtualCost(std::uint64_t cost, std::uint32_t weight) {
  return (cost << kVirtualTimeBits) / std::max(weight, 1U);
}

void demand_estimate::Add(std::chrono::microseconds service, steady_time now) {
  sum_micros_ = BusySlots(now) * kDemandWindow.count() + static_cast<double>(service.count());
  last_ = now;
}

double demand_estimate::BusySlots(steady_time now) const {
  std::chrono::duration<double, std::micro> age = now - last_;
  return sum_micros_ * std::exp(-age / kDemandWindow) / kDemandWindow.count();
}

void member_queue::Add(queued_work work) {
  // Suspects have a separate flow, so that a blocked suspect does not block the Member's other
  // work.
  std::string key = (work.suspect ? "s/" : "m/") + work.member;
  auto [it, inserted] = flows_.try_emplace(key);
  flow& owner = it->second;
  if (inserted) {
    owner.key = key;
    owner.suspect = work.suspect;
    owner.start_tag = virtual_time_;
  }
  if (owner.items.empty()) {
    idle_.erase({owner.start_tag, &owner});
    owner.start_tag = std::max(owner.start_tag, virtual_time_);
    owner.weight = std::max(work.weight, 1U);
    waiting_weight_ += owner.weight;
    ReadyOrder(owner).insert({owner.start_tag, &owner});
  } else {
    by_backlog_.erase({VirtualCost(owner.backlog, owner.weight), &owner});
  }
  owner.backlog += work.cost;
  queued_cost_ += work.cost;
  by_backlog_.insert({VirtualCost(owner.backlog, owner.weight), &owner});
  dispatch_id id = work.id;
  owner.items.push_back(std::move(work));
  index_[id] = {&owner, std::prev(owner.items.end())};
}

queued_work member_queue::Remove(flow& owner, std::list<queued_work>::iterator item) {
  queued_work work = std::move(*item);
  owner.items.erase(item);
  index_.erase(work.id);
  by_backlog_.erase({VirtualCost(owner.backlog, owner.weight), &owner});
  owner.backlog -= work.cost;
  queued_cost_ -= work.cost;
  if (!owner.items.empty()) {
    by_backlog_.insert({VirtualCost(owner.backlog, owner.weight), &owner});
    return work;
  }
  ReadyOrder(owner).erase({owner.start_tag, &owner});
  waiting_weight_ -= owner.weight;
  idle_.insert({owner.start_tag, &owner});
  RemoveExpiredIdleFlows();
  return work;
}

void member_queue::RemoveExpiredIdleFlows() {
  while (!idle_.empty() && idle_.begin()->first <= virtual_time_) {
    flow* expired = idle_.begin()->second;
    idle_.erase(idle_.begin());
    flows_.erase(std::string(expired->key));
  }
}

bool member_queue::HasReady(bool allow_suspect) const {
  return !ready_.empty() || (allow_suspect && !suspects_.empty());
}

std::optional<queued_work> member_queue::Take(bool allow_suspect) {
  if (!HasReady(allow_suspect)) return std::nullopt;
  bool suspect = ready_.empty() ||
                 (allow_suspect && !suspects_.empty() && *suspects_.begin() < *ready_.begin());
  flow_order& order = suspect ? suspects_ : ready_;
  flow* next = order.begin()->second;
  order.erase(order.begin());
  virtual_time_ = std::max(virtual_time_, next->start_tag);
  next->start_tag += VirtualCost(next->items.front().cost, next->weight);
  order.insert({next->start_tag, next});
  queued_work work = Remove(*next, next->items.begin());
  RemoveExpiredIdleFlows();
  return work;
}

bool member_queue::Erase(const dispatch_id& id) {
  auto it = index_.find(id);
  if (it == index_.end()) return false;
  position p = it->second;
  Remove(*p.owner, p.item);
  return true;
}

std::optional<dispatch_id> member_queue::EvictNewestOfLargest() {
  if (by_backlog_.empty()) return std::nullopt;
  flow* largest = by_backlog_.rbegin()->second;
  return Remove(*largest, std::prev(largest->items.end())).id;
}

std::uint64_t member_queue::CostAhead(const std::string& member, std::uint32_t weight,
                                      std::uint32_t cost) const {
  std::uint64_t own = 0;
  std::uint64_t total_weight = waiting_weight_;
  weight = std::max(weight, 1U);
  auto it = flows_.find("m/" + member);
  if (it != flows_.end()) own = it->second.backlog;
  if (own == 0) total_weight += weight;
  // Under fair queueing, other Members get at most their weighted share until this work starts.
  std::uint64_t others = (own + cost) * (total_weight - weight) / weight;
  return own + std::min(queued_cost_ - own, others);
}

bool member_queue::IsOverShare(const std::string& member) const {
  auto it = flows_.find("m/" + member);
  if (it == flows_.end() || it->second.items.empty()) return false;
  return it->second.backlog * waiting_weight_ > queued_cost_ * it->second.weight;
}

template <queue_parameters kParams>
void fair_queue<kParams>::Push(queued_work work, steady_time now,
                               std::vector<refused_work>& refused) {
  std::size_t cls = ClassIndex(work.cls);
  if (kParams.floors_yield_to_urgent && cls == 0)
    urgent_demand_.Add(estimate_.Expected(work.cls, work.cost), now);
  member_queue& queue = classes_[cls];
  // An idle server accepts all work: running it corrects an estimate that is too long.
  if (running_ > 0 && estimate_.HasEnoughRuns(work.cls)) {
    micros wait = EstimateWait(cls, queue.CostAhead(work.member, work.weight, work.cost));
    if (now + wait + estimate_.UpperBound(work.cls, work.cost) > work.deadline) {
      bool over_share = queue.IsOverShare(work.member);
      refused.push_back(
          {work.id,
           over_share ? refusal_reason::kOverMemberShare : refusal_reason::kDeadlineUnreachable,
           RetryAfter(cls)});
      return;
    }
  }
  queue.Add(std::move(work));
  if (queue.Size() <= kParams.class_capacity) return;
  auto reason =
      queue.ActiveFlows() > 1 ? refusal_reason::kOverMemberShare : refusal_reason::kQueueFull;
  if (auto id = queue.EvictNewestOfLargest()) refused.push_back({*id, reason, RetryAfter(cls)});
}

template <queue_parameters kParams>
double fair_queue<kParams>::EffectiveFloor(std::size_t cls) const {
  bool contended = false;
  for (std::size_t c = 0; c < cls; ++c) contended = contended || classes_[c].Size() > 0;
  return contended ? contended_floors_[cls] : floors_[cls];
}

// The most urgent class misses deadlines if its demand plus the floors exceed the capacity. If the
// demand alone fits, the floors get the remaining capacity, more urgent classes first. If it does
// not fit, some urgent work must be refused anyway, and the floors stay.
template <queue_parameters kParams>
void fair_queue<kParams>::UpdateFloors(steady_time now) {
  for (std::size_t c = 0; c < kPriorityClassCount; ++c) {
    contended_floors_[c] = floors_[c] * (kParams.contended_floor_percent / 100.0);
  }
  if constexpr (!kParams.floors_yield_to_urgent) return;
  double demand = urgent_demand_.BusySlots(now) / concurrency_;
  if (demand > 1) return;
  double left = 100 * std::max(1 - kDemandReserve - demand, 0.0);
  for (std::size_t c = 1; c < kPriorityClassCount; ++c) {
    contended_floors_[c] = std::min(left, static_cast<double>(floors_[c]));
    left -= contended_floors_[c];
  }
}

template <queue_parameters kParams>
std::optional<std::size_t> fair_queue<kParams>::NextClass(bool& chosen_by_floor) const {
  bool allow_suspect = !suspect_running_;
  std::optional<std::size_t> first;
  std::optional<std::size_t> most_credit;
  for (std::size_t c = 0; c < kPriorityClassCount; ++c) {
    if (!classes_[c].HasReady(allow_suspect)) continue;
    if (!first) first = c;
    if (floor_credit_[c].count() > 0 &&
        (!most_credit || floor_credit_[c] > floor_credit_[*most_credit]))
      most_credit = c;
  }
  chosen_by_floor = most_credit.has_value();
  return most_credit ? most_credit : first;
}

template <queue_parameters kParams>
void fair_queue<kParams>::UpdateFloorCredit(std::size_t cls, micros service, bool chosen_by_floor) {
  for (std::size_t c = 0; c < kPriorityClassCount; ++c) {
    if (classes_[c].Size() == 0 && c != cls) {
      floor_credit_[c] = std::min(floor_credit_[c], micros(0));
      continue;
    }
    floor_credit_[c] += std::chrono::duration_cast<micros>(service * (EffectiveFloor(c) / 100));
    floor_credit_[c] =
        std::min(floor_credit_[c],
                 std::max(service, estimate_.Expected(kPriorityClasses[c], 1)) * kMaxCreditRuns);
  }
  // Service beyond the floor does not make the credit negative: spare capacity is free.
  if (chosen_by_floor) {
    floor_credit_[cls] -= service;
  } else {
    floor_credit_[cls] =
        std::min(floor_credit_[cls], std::max(floor_credit_[cls] - service, micros(0)));
  }
}

// Until the class has been measured, work starts only with at least half of its time left. Under
// overload, the first runs would otherwise start just before their deadlines and all be cancelled,
// so the class would never be measured: on some servers, 20 of 28 batch runs ended this way.
template <queue_parameters kParams>
bool fair_queue<kParams>::WouldMissDeadline(const queued_work& work, steady_time now) const {
  if (!estimate_.HasEnoughRuns(work.cls))
    return (work.deadline - now) * 2 < work.deadline - work.arrival;
  return now + estimate_.UpperBound(work.cls, work.cost) > work.deadline;
}

template <queue_parameters kParams>
std::optional<queued_work> fair_queue<kParams>::Pop(steady_time now,
                                                    std::vector<refused_work>& refused) {
  UpdateFloors(now);
  while (true) {
    bool chosen_by_floor = false;
    auto cls = NextClass(chosen_by_floor);
    if (!cls) return std::nullopt;
    auto work = classes_[*cls].Take(!suspect_running_);
    if (!work) return std::nullopt;
    if (work->deadline <= now) {
      refused.push_back({work->id, refusal_reason::kDeadlinePassed, RetryAfter(*cls)});
      continue;
    }
    micros service = estimate_.Expected(work->cls, work->cost);
    if (running_ > 0 && WouldMissDeadline(*work, now)) {
      refused.push_back({work->id, refusal_reason::kDeadlineUnreachable, RetryAfter(*cls)});
      continue;
    }
    UpdateFloorCredit(*cls, service, chosen_by_floor);
    ++running_;
    if (work->suspect) suspect_running_ = work->id;
    return work;
  }
}

template <queue_parameters kParams>
bool fair_queue<kParams>::Erase(const dispatch_id& id) {
  return std::any_of(classes_.begin(), classes_.end(),
                     [&](member_queue& queue) { return queue.Erase(id); });
}

template <queue_parameters kParams>
void fair_queue<kParams>::OnFinished(const finished_work& finished, steady_time) {
  if (running_ > 0) --running_;
  if (suspect_running_ == finished.id) suspect_running_.reset();
  // A cancelled run is a lower bound for the service time. With completed runs alone, the
  // estimate would be biased towards short ones.
  bool too_long = finished.service_time > estimate_.Expected(finished.cls, finished.cost);
  if (finished.completed || too_long) estimate_.Add(finished);
}

template <queue_parameters kParams>
void fair_queue<kParams>::SetConcurrency(std::uint32_t concurrency) {
  concurrency_ = std::max(concurrency, 1U);
}

template <queue_parameters kParams>
std::size_t fair_queue<kParams>::Size() const {
  std::size_t size = 0;
  for (const member_queue& queue : classes_) size += queue.Size();
  return size;
}

template <queue_parameters kParams>
std::chrono::microseconds fair_queue<kParams>::EstimateWait(std::size_t cls,
                                                            std::uint64_t cost_ahead) const {
  if (running_ < concurrency_ && Size() == 0) return micros(0);
  micros own = estimate_.Expected(kPriorityClasses[cls], cost_ahead);
  micros urgent{};
  for (std::size_t c = 0; c < cls; ++c) {
    urgent += estimate_.Expected(kPriorityClasses[c], classes_[c].QueuedCost());
  }
  double others = 0;
  for (std::size_t c = 0; c < kPriorityClassCount; ++c) {
    if (c != cls && classes_[c].Size() > 0) others += EffectiveFloor(c);
  }
  micros total = own + urgent;
  auto at_share = [own](double percent) {
    return std::chrono::duration_cast<micros>(own * (100 / percent));
  };
  if (cls == 0 && others < 100) total = at_share(100 - others);
  double floor = EffectiveFloor(cls);
  if (floor > 0) total = std::min(total, at_share(floor));
  return total / concurrency_;
}

template <queue_parameters kParams>
std::chrono::microseconds fair_queue<kParams>::ExpectedWait(priority_class cls) const {
  return EstimateWait(ClassIndex(cls), classes_[ClassIndex(cls)].QueuedCost());
}

template <queue_parameters kParams>
std::chrono::microseconds fair_queue<kParams>::RetryAfter(std::size_t cls) const {
  return std::clamp<micros>(ExpectedWait(kPriorityClasses[cls]), kMinRetryAfter, kMaxRetryAfter);
}

template class fair_queue<kBalancedQueue>;
template class fair_queue<kUrgentQueue>;

}  // namespace radishroute
