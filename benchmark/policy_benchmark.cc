#include <benchmark/benchmark.h>

#include <atomic>
#include <cstdlib>
#include <new>

#include "radishroute/policies.h"

// Counts every allocation of the program, so that decisions can be checked for none.
static std::atomic<std::uint64_t> allocations{0};

__attribute__((noinline)) void* operator new(std::size_t size) {
  allocations.fetch_add(1, std::memory_order_relaxed);
  if (void* p = std::malloc(size)) return p;
  std::abort();
}
__attribute__((noinline)) void operator delete(void* p) noexcept { std::free(p); }
__attribute__((noinline)) void operator delete(void* p, std::size_t) noexcept { std::free(p); }

namespace radishroute {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t kSeed = 7;

routing_table MakeTable(std::size_t servers) {
  routing_table table;
  for (std::uint32_t i = 0; i < servers; ++i) {
    announcement record;
    record.backend = "drafting-engine-" + std::to_string(i);
    record.concurrency_limit = 16;
    table.backends.push_back(record);
    backend_pool& pool = table.pools["drafting-model"];
    (i % 3 == 0 ? pool.local : pool.remote).push_back(i);
  }
  return table;
}

std::vector<std::string> MemberNames(std::size_t count) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < count; ++i) names.push_back("member-" + std::to_string(i));
  return names;
}

void ReportAllocations(benchmark::State& state, std::uint64_t before) {
  state.counters["allocations"] = benchmark::Counter(static_cast<double>(allocations - before) /
                                                     static_cast<double>(state.iterations()));
}

// One choice with its bookkeeping; a quarter of the requests carry a prefix.
template <class Router>
void Route(benchmark::State& state) {
  routing_table table = MakeTable(static_cast<std::size_t>(state.range(0)));
  random_source random(kSeed);
  Router router;
  router.OnTable(table);
  steady_time now{1h};
  load_report load;
  load.limit = 16;
  std::uint64_t i = 0;
  std::uint64_t before = allocations;
  for (auto _ : state) {
    route_query query;
    query.model = "drafting-model";
    query.prefix_hash = i % 4 == 0 ? i * 0x9E3779B97F4A7C15ULL : 0;
    auto backend = router.Choose(table, query, now, random);
    router.OnSent(*backend);
    load.running = static_cast<std::uint32_t>(i % 16);
    router.OnLoad(*backend, load, now);
    router.OnDone(*backend);
    now += 1us;
    ++i;
  }
  ReportAllocations(state, before);
}
BENCHMARK(Route<round_robin_router>)->Arg(15)->Arg(3000);
BENCHMARK(Route<two_choice_router<kBalancedRouting>>)->Arg(15)->Arg(3000);

// Push, pop and finish of one work in a queue that holds 300 works of many Members.
template <class Queue>
void Enqueue(benchmark::State& state) {
  auto members = MemberNames(static_cast<std::size_t>(state.range(0)));
  Queue queue;
  queue.SetConcurrency(16);
  queue.SetFloors({0, 10, 10});
  steady_time now{1h};
  std::vector<refused_work> rejected;
  rejected.reserve(1024);
  std::uint64_t i = 0;
  auto push = [&] {
    queued_work work;
    work.id = {{1, i}, 1};
    work.member = members[i * 7919 % members.size()];
    work.cls = kPriorityClasses[i % kPriorityClassCount];
    work.deadline = now + 1h;
    queue.Push(std::move(work), now, rejected);
    ++i;
  };
  for (int filled = 0; filled < 300; ++filled) push();
  finished_work finished;
  finished.service_time = 100ms;
  std::uint64_t before = allocations;
  for (auto _ : state) {
    push();
    auto work = queue.Pop(now, rejected);
    finished.cls = work->cls;
    queue.OnFinished(finished, now);
    rejected.clear();
  }
  ReportAllocations(state, before);
}
BENCHMARK(Enqueue<fifo_queue>)->Arg(10)->Arg(4200);
BENCHMARK(Enqueue<fair_queue<kBalancedQueue>>)->Arg(10)->Arg(4200);

void RetryBudget(benchmark::State& state) {
  auto members = MemberNames(static_cast<std::size_t>(state.range(0)));
  retry_budget budget;
  steady_time now{1h};
  std::uint64_t i = 0;
  std::uint64_t before = allocations;
  for (auto _ : state) {
    const std::string& member = members[i++ * 7919 % members.size()];
    budget.OnFirstAttempt(member, now);
    benchmark::DoNotOptimize(budget.TakeRetry(member, now));
  }
  ReportAllocations(state, before);
}
BENCHMARK(RetryBudget)->Arg(10)->Arg(4200);

void RefusalHint(benchmark::State& state) {
  auto members = MemberNames(static_cast<std::size_t>(state.range(0)));
  refusal_hints hints;
  announcement backend;
  backend.backend = "drafting-engine-1";
  steady_time now{1h};
  std::uint64_t i = 0;
  std::uint64_t before = allocations;
  for (auto _ : state) {
    const std::string& member = members[i++ * 7919 % members.size()];
    hints.OnRefused(backend, member, priority_class::kBatch, refusal_reason::kOverMemberShare, 1s,
                    now);
    benchmark::DoNotOptimize(hints.Check(backend, member, priority_class::kBatch, now));
  }
  ReportAllocations(state, before);
}
BENCHMARK(RefusalHint)->Arg(10)->Arg(4200);

}  // namespace

}  // namespace radishroute

BENCHMARK_MAIN();
