#include "radishroute/scheduler.h"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <set>

namespace radishroute {

namespace {

using namespace std::chrono_literals;
using balanced_queue = fair_queue<kBalancedQueue>;

/// A queue with manual time that records refused work.
template <class Queue>
struct queue_fixture {
  Queue queue;
  steady_time now{1h};
  std::vector<refused_work> refused;
  std::uint64_t next_sequence = 0;

  dispatch_id Push(priority_class cls, const std::string& member, std::uint32_t weight = 1,
                   std::chrono::milliseconds time_left = 1h, bool suspect = false) {
    queued_work work;
    work.id = {{1, next_sequence++}, 1};
    work.member = member;
    work.weight = weight;
    work.cls = cls;
    work.arrival = now;
    work.deadline = now + time_left;
    work.suspect = suspect;
    queue.Push(work, now, refused);
    return work.id;
  }

  void Finish(const queued_work& work, std::chrono::milliseconds service) {
    finished_work finished;
    finished.id = work.id;
    finished.cls = work.cls;
    finished.service_time = service;
    queue.OnFinished(finished, now);
  }

  /// Runs enough work to measure the service time of every class.
  void MeasureServiceTimes(std::chrono::milliseconds service) {
    for (priority_class cls : kPriorityClasses) {
      for (int i = 0; i < 8; ++i) {
        Push(cls, "warm-up");
        Finish(*queue.Pop(now, refused), service);
      }
    }
  }
};

template <class Queue>
int BatchShare(int pops) {
  queue_fixture<Queue> f;
  f.queue.SetFloors({0, 0, 20});
  f.MeasureServiceTimes(100ms);
  int batch = 0;
  for (int i = 0; i < pops; ++i) {
    f.Push(priority_class::kInteractive, "a");
    f.Push(priority_class::kBatch, "a");
    auto work = f.queue.Pop(f.now, f.refused);
    batch += work->cls == priority_class::kBatch ? 1 : 0;
    f.Finish(*work, 100ms);
  }
  return batch;
}

}  // namespace

// Guards against starvation of a less urgent class by a flood of the most urgent one, and against a
// floor that grants more than its share.
TEST_CASE("a waiting class keeps its guaranteed share") {
  CHECK(BatchShare<balanced_queue>(1000) == Approx(200).margin(5));
  CHECK(BatchShare<fair_queue<kUrgentQueue>>(1000) == Approx(100).margin(5));
}

namespace {

/// Keeps one slot busy for 60 s with interactive work at `load` of its capacity and a backlog of
/// batch work with a floor of 20%; returns the fraction of runs that were batch work.
double BatchShareAtLoad(double load) {
  constexpr auto kService = 100ms;
  queue_fixture<fair_queue<kUrgentQueue>> f;
  f.queue.SetFloors({0, 0, 20});
  f.MeasureServiceTimes(kService);
  for (int i = 0; i < 700; ++i) f.Push(priority_class::kBatch, "a");
  double due = 0;
  double batch = 0;
  constexpr int kRuns = 600;
  for (int i = 0; i < kRuns; ++i) {
    for (due += load; due >= 1; due -= 1) f.Push(priority_class::kInteractive, "a");
    auto work = f.queue.Pop(f.now, f.refused);
    batch += work->cls == priority_class::kBatch ? 1 : 0;
    f.now += kService;
    f.Finish(*work, kService);
  }
  return batch / kRuns;
}

}  // namespace

// Guards against late interactive answers while interactive demand alone fits the capacity, and
// against starvation of the less urgent classes once it does not.
TEST_CASE("floors of the urgent policy yield only while interactive demand fits") {
  // Interactive work leaves 0.05 of the capacity; half of the floor would be 0.1.
  CHECK(BatchShareAtLoad(0.95) < 0.055);
  CHECK(BatchShareAtLoad(1.5) == Approx(0.1).margin(0.01));
}

// Guards against a class that is never measured because its first runs start just before their
// deadlines and are all cancelled.
TEST_CASE("first runs of a class start with at least half of their time left") {
  queue_fixture<balanced_queue> f;
  f.Push(priority_class::kInteractive, "a");
  auto running = f.queue.Pop(f.now, f.refused);
  f.Push(priority_class::kBatch, "a", 1, 10s);
  f.now += 6s;
  auto fresh = f.Push(priority_class::kBatch, "a", 1, 10s);
  auto work = f.queue.Pop(f.now, f.refused);
  REQUIRE(work);
  CHECK(work->id == fresh);
  REQUIRE(f.refused.size() == 1);
  CHECK(f.refused[0].reason == refusal_reason::kDeadlineUnreachable);
}

// Guards against a flood of the least urgent class that delays the most urgent class.
TEST_CASE("more urgent work goes first") {
  queue_fixture<balanced_queue> f;
  for (int i = 0; i < 500; ++i) f.Push(priority_class::kBatch, "a");
  auto urgent = f.Push(priority_class::kInteractive, "b");
  CHECK(f.queue.Pop(f.now, f.refused)->id == urgent);
}

// Guards against one Member's flood that displaces the work of other Members.
TEST_CASE("service within a class follows the weights") {
  queue_fixture<balanced_queue> f;
  for (int i = 0; i < 600; ++i) f.Push(priority_class::kInteractive, "flood");
  for (int i = 0; i < 100; ++i) f.Push(priority_class::kInteractive, "small");
  for (int i = 0; i < 300; ++i) f.Push(priority_class::kInteractive, "large", 3);
  std::map<std::string, int> served;
  for (int i = 0; i < 250; ++i) ++served[f.queue.Pop(f.now, f.refused)->member];
  CHECK(served["flood"] == Approx(50).margin(2));
  CHECK(served["small"] == Approx(50).margin(2));
  CHECK(served["large"] == Approx(150).margin(2));
}

// Guards against a full queue that refuses work of a Member within its share.
TEST_CASE("a full class refuses the newest work of the Member most over its share") {
  queue_fixture<balanced_queue> f;
  for (std::size_t i = 0; i < kBalancedQueue.class_capacity; ++i) {
    f.Push(priority_class::kInteractive, "flood");
  }
  f.Push(priority_class::kInteractive, "small");
  REQUIRE(f.refused.size() == 1);
  CHECK(f.refused[0].id.request.sequence == kBalancedQueue.class_capacity - 1);
  CHECK(f.refused[0].reason == refusal_reason::kOverMemberShare);
  CHECK(f.refused[0].retry_after > 0ms);
}

// Guards against queueing work that cannot meet its deadline, and against running it too late.
TEST_CASE("deadlines are checked on entering and on leaving the queue") {
  queue_fixture<balanced_queue> f;
  f.MeasureServiceTimes(100ms);
  f.Push(priority_class::kInteractive, "a");
  auto running = f.queue.Pop(f.now, f.refused);
  f.Push(priority_class::kInteractive, "a", 1, 50ms);
  REQUIRE(f.refused.size() == 1);
  CHECK(f.refused[0].reason == refusal_reason::kDeadlineUnreachable);
  f.Push(priority_class::kInteractive, "a", 1, 300ms);
  f.now += 301ms;
  CHECK_FALSE(f.queue.Pop(f.now, f.refused));
  REQUIRE(f.refused.size() == 2);
  CHECK(f.refused[1].reason == refusal_reason::kDeadlinePassed);
}

// Guards against refusing all work because of an estimate that is too long: without a run, it would
// never be corrected.
TEST_CASE("an idle server takes work that the estimate would refuse") {
  queue_fixture<balanced_queue> f;
  f.MeasureServiceTimes(10000ms);
  f.Push(priority_class::kInteractive, "a", 1, 50ms);
  CHECK(f.queue.Pop(f.now, f.refused));
  CHECK(f.refused.empty());
}

// Guards against two suspects running when an engine crashes, and against a suspect that blocks
// other work.
TEST_CASE("at most one suspect is popped at a time") {
  queue_fixture<balanced_queue> f;
  f.Push(priority_class::kInteractive, "a", 1, 1h, true);
  f.Push(priority_class::kInteractive, "a", 1, 1h, true);
  f.Push(priority_class::kBatch, "a");
  auto first = f.queue.Pop(f.now, f.refused);
  REQUIRE(first->suspect);
  CHECK(f.queue.Pop(f.now, f.refused)->cls == priority_class::kBatch);
  CHECK_FALSE(f.queue.Pop(f.now, f.refused));
  f.Finish(*first, 1ms);
  CHECK(f.queue.Pop(f.now, f.refused)->suspect);
}

// Guards against lost or duplicated work under arbitrary sequences of operations.
TEST_CASE("every pushed item is popped, refused or erased exactly once") {
  CHECK(rc::check([] {
    queue_fixture<balanced_queue> f;
    f.queue.SetConcurrency(4);
    f.queue.SetFloors({10, 20, 30});
    std::vector<queued_work> running;
    std::multiset<std::uint64_t> seen;
    for (int step = *rc::gen::inRange(0, 3000); step > 0; --step) {
      f.now += std::chrono::milliseconds(*rc::gen::inRange(0, 3));
      switch (*rc::gen::inRange(0, 5)) {
        case 0:
        case 1:
          f.Push(kPriorityClasses[*rc::gen::inRange<std::size_t>(0, 3)],
                 std::to_string(*rc::gen::inRange(0, 4)), *rc::gen::inRange(1U, 5U),
                 std::chrono::milliseconds(*rc::gen::inRange(0, 200)),
                 *rc::gen::inRange(0, 9) == 0);
          break;
        case 2:
          if (auto work = f.queue.Pop(f.now, f.refused)) {
            seen.insert(work->id.request.sequence);
            running.push_back(*work);
          }
          break;
        case 3:
          if (!running.empty()) {
            f.Finish(running.back(), std::chrono::milliseconds(*rc::gen::inRange(1, 30)));
            running.pop_back();
          }
          break;
        default: {
          std::uint64_t id = *rc::gen::inRange<std::uint64_t>(0, f.next_sequence + 1);
          if (f.queue.Erase({{1, id}, 1})) seen.insert(id);
        }
      }
    }
    for (const queued_work& work : running) f.Finish(work, 1ms);
    while (auto work = f.queue.Pop(f.now, f.refused)) {
      seen.insert(work->id.request.sequence);
      f.Finish(*work, 1ms);
    }
    for (const refused_work& work : f.refused) seen.insert(work.id.request.sequence);
    RC_ASSERT(f.queue.Size() == 0U);
    RC_ASSERT(seen.size() == f.next_sequence);
    for (std::uint64_t id = 0; id < f.next_sequence; ++id) RC_ASSERT(seen.count(id) == 1U);
  }));
}

}  // namespace radishroute
