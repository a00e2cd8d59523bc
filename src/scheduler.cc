#include "radishroute/scheduler.h"

#include <algorithm>
#include <cmath>

namespace radishroute {

namespace {

// Virtual time has 20 fractional bits, so that the largest weight (a million) still advances it.
constexpr unsigned kVirtualTimeBits = 20;

// Sums are halved after this many runs, so the estimate follows changes of an engine's speed.
constexpr std::uint32_t kEstimateRuns = 64;
constexpr std::uint32_t kReliableRuns = 8;

// In an overload, work is handed out just before its deadline. With the mean service time as the
// limit, half of that work would run in vain; two mean deviations cover evenly spread lengths.
constexpr double kUpperDeviations = 2;
constexpr double kDeviationGain = 1.0 / 16;
// One stalled run must not make the class refuse everything.
constexpr double kLargestDeviation = 1;

// Used for shares of classes until the first run of any class is measured.
constexpr double kUnmeasuredMicrosPerToken = 1000;

// A class is owed at most this many of its own works, so that a long wait is not followed by a
// burst that delays the more urgent classes.
constexpr int kMaxOwedWorks = 4;

// Long enough to average about 200 interactive works of a server at 0.9 of its capacity, short
// enough to follow an audience that arrives within a minute.
constexpr std::chrono::duration<double, std::micro> kDemandWindow{4e6};

// Kept free of guaranteed work while floors yield, since the estimate of demand varies by 5%.
constexpr double kDemandReserve = 0.04;

constexpr std::chrono::milliseconds kMinRetryAfter{50};
constexpr std::chrono::seconds kMaxRetryAfter{10};

}  // namespace

void service_estimate::Add(const finished_work& finished) {
  sums& s = classes_[ClassIndex(finished.cls)];
  if (s.runs > 0) {
    auto expected = static_cast<double>(Of(finished.cls, finished.cost).count());
    auto measured = static_cast<double>(finished.service_time.count());
    double off = std::abs(measured - expected) / std::max(expected, 1.0);
    s.deviation += (std::min(off, kLargestDeviation) - s.deviation) * kDeviationGain;
  }
  s.micros += static_cast<double>(finished.service_time.count());
  s.cost += finished.cost;
  if (++s.runs < kEstimateRuns) return;
  s.micros /= 2;
  s.cost /= 2;
  s.runs /= 2;
}

bool service_estimate::Reliable(priority_class cls) const {
  return classes_[ClassIndex(cls)].runs >= kReliableRuns;
}

std::chrono::microseconds service_estimate::Of(priority_class cls, std::uint64_t cost) const {
  const sums* s = &classes_[ClassIndex(cls)];
  for (const sums& other : classes_) {
    if (s->cost <= 0) s = &other;
  }
  double per_token = s->cost > 0 ? s->micros / s->cost : kUnmeasuredMicrosPerToken;
  return std::chrono::microseconds(
      static_cast<std::int64_t>(per_token * static_cast<double>(cost)));
}

std::chrono::microseconds service_estimate::Upper(priority_class cls, std::uint64_t cost) const {
  double factor = 1 + kUpperDeviations * classes_[ClassIndex(cls)].deviation;
  return std::chrono::microseconds(
      static_cast<std::int64_t>(factor * static_cast<double>(Of(cls, cost).count())));
}

std::uint64_t member_queue::Scaled(std::uint64_t cost, std::uint32_t weight) {
  return (cost << kVirtualTimeBits) / std::max(weight, 1U);
}

void demand_estimate::Add(std::chrono::microseconds service, steady_time now) {
  sum_micros_ = Slots(now) * kDemandWindow.count() + static_cast<double>(service.count());
  last_ = now;
}

double demand_estimate::Slots(steady_time now) const {
  std::chrono::duration<double, std::micro> age = now - last_;
  return sum_micros_ * std::exp(-age / kDemandWindow) / kDemandWindow.count();
}

void member_queue::Add(queued_work work) {
  // Suspects wait in a flow of their own, so that one that must wait does not hold up the rest.
  std::string key = (work.suspect ? "s/" : "m/") + work.member;
  auto [it, fresh] = flows_.try_emplace(key);
  flow& f = it->second;
  if (fresh) {
    f.key = key;
    f.suspect = work.suspect;
    f.tag = virtual_time_;
  }
  if (f.works.empty()) {
    idle_.erase({f.tag, &f});
    f.tag = std::max(f.tag, virtual_time_);
    f.weight = std::max(work.weight, 1U);
    waiting_weight_ += f.weight;
    ReadyOrder(f).insert({f.tag, &f});
  } else {
    by_backlog_.erase({Scaled(f.backlog, f.weight), &f});
  }
  f.backlog += work.cost;
  queued_cost_ += work.cost;
  by_backlog_.insert({Scaled(f.backlog, f.weight), &f});
  dispatch_id id = work.id;
  f.works.push_back(std::move(work));
  index_[id] = {&f, std::prev(f.works.end())};
}

queued_work member_queue::Remove(flow& owner, std::list<queued_work>::iterator at) {
  queued_work work = std::move(*at);
  owner.works.erase(at);
  index_.erase(work.id);
  by_backlog_.erase({Scaled(owner.backlog, owner.weight), &owner});
  owner.backlog -= work.cost;
  queued_cost_ -= work.cost;
  if (!owner.works.empty()) {
    by_backlog_.insert({Scaled(owner.backlog, owner.weight), &owner});
    return work;
  }
  ReadyOrder(owner).erase({owner.tag, &owner});
  waiting_weight_ -= owner.weight;
  idle_.insert({owner.tag, &owner});
  DropIdle();
  return work;
}

void member_queue::DropIdle() {
  while (!idle_.empty() && idle_.begin()->first <= virtual_time_) {
    flow* f = idle_.begin()->second;
    idle_.erase(idle_.begin());
    flows_.erase(std::string(f->key));
  }
}

bool member_queue::Ready(bool allow_suspect) const {
  return !ready_.empty() || (allow_suspect && !suspects_.empty());
}

std::optional<queued_work> member_queue::Take(bool allow_suspect) {
  if (!Ready(allow_suspect)) return std::nullopt;
  bool suspect = ready_.empty() ||
                 (allow_suspect && !suspects_.empty() && *suspects_.begin() < *ready_.begin());
  flow_order& order = suspect ? suspects_ : ready_;
  flow* f = order.begin()->second;
  order.erase(order.begin());
  virtual_time_ = std::max(virtual_time_, f->tag);
  f->tag += Scaled(f->works.front().cost, f->weight);
  order.insert({f->tag, f});
  queued_work work = Remove(*f, f->works.begin());
  DropIdle();
  return work;
}

bool member_queue::Erase(const dispatch_id& id) {
  auto it = index_.find(id);
  if (it == index_.end()) return false;
  position p = it->second;
  Remove(*p.owner, p.at);
  return true;
}

std::optional<dispatch_id> member_queue::EvictNewestOfLargest() {
  if (by_backlog_.empty()) return std::nullopt;
  flow* f = by_backlog_.rbegin()->second;
  return Remove(*f, std::prev(f->works.end())).id;
}

std::uint64_t member_queue::CostAhead(const std::string& member, std::uint32_t weight,
                                      std::uint32_t cost) const {
  std::uint64_t own = 0;
  std::uint64_t weights = waiting_weight_;
  weight = std::max(weight, 1U);
  auto it = flows_.find("m/" + member);
  if (it != flows_.end()) own = it->second.backlog;
  if (own == 0) weights += weight;
  // Under fair queueing the others get at most their weights' part until the own work starts.
  std::uint64_t others = (own + cost) * (weights - weight) / weight;
  return own + std::min(queued_cost_ - own, others);
}

bool member_queue::OverShare(const std::string& member) const {
  auto it = flows_.find("m/" + member);
  if (it == flows_.end() || it->second.works.empty()) return false;
  return it->second.backlog * waiting_weight_ > queued_cost_ * it->second.weight;
}

template <queue_rules kRules>
void fair_queue<kRules>::Push(queued_work work, steady_time now,
                              std::vector<refused_work>& rejected) {
  std::size_t cls = ClassIndex(work.cls);
  if (kRules.floors_yield && cls == 0) urgent_demand_.Add(estimate_.Of(work.cls, work.cost), now);
  member_queue& queue = classes_[cls];
  // With nothing running, work is always taken: its run corrects an estimate that is too long.
  if (running_ > 0 && estimate_.Reliable(work.cls)) {
    micros wait = WaitFor(cls, queue.CostAhead(work.member, work.weight, work.cost));
    if (now + wait + estimate_.Upper(work.cls, work.cost) > work.deadline) {
      bool over = queue.OverShare(work.member);
      rejected.push_back(
          {work.id, over ? refusal_reason::kOverMemberShare : refusal_reason::kDeadlineUnreachable,
           RetryAfter(cls)});
      return;
    }
  }
  queue.Add(std::move(work));
  if (queue.Size() <= kRules.class_capacity) return;
  auto reason = queue.Members() > 1 ? refusal_reason::kOverMemberShare : refusal_reason::kQueueFull;
  if (auto id = queue.EvictNewestOfLargest()) rejected.push_back({*id, reason, RetryAfter(cls)});
}

template <queue_rules kRules>
double fair_queue<kRules>::FloorInForce(std::size_t cls) const {
  bool pressure = false;
  for (std::size_t c = 0; c < cls; ++c) pressure = pressure || classes_[c].Size() > 0;
  return pressure ? floors_under_pressure_[cls] : floors_[cls];
}

// The most urgent class cannot be in time if its demand and the floors exceed the capacity. If the
// demand alone fits, the floors get what it leaves, more urgent classes first; if it does not,
// refusals are due anyway and the floors hold.
template <queue_rules kRules>
void fair_queue<kRules>::UpdateFloors(steady_time now) {
  for (std::size_t c = 0; c < kPriorityClassCount; ++c) {
    floors_under_pressure_[c] = floors_[c] * (kRules.floor_under_pressure / 100.0);
  }
  if constexpr (!kRules.floors_yield) return;
  double demand = urgent_demand_.Slots(now) / concurrency_;
  if (demand > 1) return;
  double left = 100 * std::max(1 - kDemandReserve - demand, 0.0);
  for (std::size_t c = 1; c < kPriorityClassCount; ++c) {
    floors_under_pressure_[c] = std::min(left, static_cast<double>(floors_[c]));
    left -= floors_under_pressure_[c];
  }
}

template <queue_rules kRules>
std::optional<std::size_t> fair_queue<kRules>::NextClass(bool& by_floor) const {
  bool allow_suspect = !suspect_running_;
  std::optional<std::size_t> first;
  std::optional<std::size_t> owed;
  for (std::size_t c = 0; c < kPriorityClassCount; ++c) {
    if (!classes_[c].Ready(allow_suspect)) continue;
    if (!first) first = c;
    if (owed_[c].count() > 0 && (!owed || owed_[c] > owed_[*owed])) owed = c;
  }
  by_floor = owed.has_value();
  return owed ? owed : first;
}

template <queue_rules kRules>
void fair_queue<kRules>::Charge(std::size_t cls, micros service, bool by_floor) {
  for (std::size_t c = 0; c < kPriorityClassCount; ++c) {
    if (classes_[c].Size() == 0 && c != cls) {
      owed_[c] = std::min(owed_[c], micros(0));
      continue;
    }
    owed_[c] += std::chrono::duration_cast<micros>(service * (FloorInForce(c) / 100));
    owed_[c] =
        std::min(owed_[c], std::max(service, estimate_.Of(kPriorityClasses[c], 1)) * kMaxOwedWorks);
  }
  // Service beyond the floor leaves no debt: spare capacity is free.
  if (by_floor) {
    owed_[cls] -= service;
  } else {
    owed_[cls] = std::min(owed_[cls], std::max(owed_[cls] - service, micros(0)));
  }
}

// Before the class is measured, a run gets at least half of the time that its work had. Handed out
// just before their deadlines, as in an overload, the first runs would all be cancelled, and the
// class would never be measured: on some servers 20 of 28 batch runs ended so.
template <queue_rules kRules>
bool fair_queue<kRules>::TooLate(const queued_work& work, steady_time now) const {
  if (!estimate_.Reliable(work.cls))
    return (work.deadline - now) * 2 < work.deadline - work.arrival;
  return now + estimate_.Upper(work.cls, work.cost) > work.deadline;
}

template <queue_rules kRules>
std::optional<queued_work> fair_queue<kRules>::Pop(steady_time now,
                                                   std::vector<refused_work>& rejected) {
  UpdateFloors(now);
  while (true) {
    bool by_floor = false;
    auto cls = NextClass(by_floor);
    if (!cls) return std::nullopt;
    auto work = classes_[*cls].Take(!suspect_running_);
    if (!work) return std::nullopt;
    if (work->deadline <= now) {
      rejected.push_back({work->id, refusal_reason::kDeadlinePassed, RetryAfter(*cls)});
      continue;
    }
    micros service = estimate_.Of(work->cls, work->cost);
    if (running_ > 0 && TooLate(*work, now)) {
      rejected.push_back({work->id, refusal_reason::kDeadlineUnreachable, RetryAfter(*cls)});
      continue;
    }
    Charge(*cls, service, by_floor);
    ++running_;
    if (work->suspect) suspect_running_ = work->id;
    return work;
  }
}

template <queue_rules kRules>
bool fair_queue<kRules>::Erase(const dispatch_id& id) {
  return std::any_of(classes_.begin(), classes_.end(),
                     [&](member_queue& queue) { return queue.Erase(id); });
}

template <queue_rules kRules>
void fair_queue<kRules>::OnFinished(const finished_work& finished, steady_time) {
  if (running_ > 0) --running_;
  if (suspect_running_ == finished.id) suspect_running_.reset();
  // A run that was cancelled shows that its class takes at least this long. With completed runs
  // alone, the estimate would follow only the short ones.
  bool too_long = finished.service_time > estimate_.Of(finished.cls, finished.cost);
  if (finished.completed || too_long) estimate_.Add(finished);
}

template <queue_rules kRules>
void fair_queue<kRules>::SetConcurrency(std::uint32_t running) {
  concurrency_ = std::max(running, 1U);
}

template <queue_rules kRules>
std::size_t fair_queue<kRules>::Size() const {
  std::size_t size = 0;
  for (const member_queue& queue : classes_) size += queue.Size();
  return size;
}

template <queue_rules kRules>
std::chrono::microseconds fair_queue<kRules>::WaitFor(std::size_t cls,
                                                      std::uint64_t cost_ahead) const {
  if (running_ < concurrency_ && Size() == 0) return micros(0);
  micros own = estimate_.Of(kPriorityClasses[cls], cost_ahead);
  micros urgent{};
  for (std::size_t c = 0; c < cls; ++c) {
    urgent += estimate_.Of(kPriorityClasses[c], classes_[c].QueuedCost());
  }
  double others = 0;
  for (std::size_t c = 0; c < kPriorityClassCount; ++c) {
    if (c != cls && classes_[c].Size() > 0) others += FloorInForce(c);
  }
  micros total = own + urgent;
  auto at_share = [own](double percent) {
    return std::chrono::duration_cast<micros>(own * (100 / percent));
  };
  if (cls == 0 && others < 100) total = at_share(100 - others);
  double floor = FloorInForce(cls);
  if (floor > 0) total = std::min(total, at_share(floor));
  return total / concurrency_;
}

template <queue_rules kRules>
std::chrono::microseconds fair_queue<kRules>::ExpectedWait(priority_class cls) const {
  return WaitFor(ClassIndex(cls), classes_[ClassIndex(cls)].QueuedCost());
}

template <queue_rules kRules>
std::chrono::microseconds fair_queue<kRules>::RetryAfter(std::size_t cls) const {
  return std::clamp<micros>(ExpectedWait(kPriorityClasses[cls]), kMinRetryAfter, kMaxRetryAfter);
}

template class fair_queue<kBalancedQueue>;
template class fair_queue<kUrgentQueue>;

}  // namespace radishroute
