#include "radishroute/routing.h"

#include <array>
#include <catch2/catch.hpp>
#include <set>

#include "radishroute/retry.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;
using balanced_router = two_choice_router<kBalancedRouting>;

constexpr std::uint32_t kLimit = 8;

routing_table MakeTable(std::uint32_t local, std::uint32_t remote, std::uint32_t first = 0) {
  routing_table table;
  for (std::uint32_t i = 0; i < local + remote; ++i) {
    announcement record;
    record.backend = "b" + std::to_string(first + i);
    record.concurrency_limit = kLimit;
    table.backends.push_back(record);
    (i < local ? table.pools["m"].local : table.pools["m"].remote).push_back(i);
  }
  return table;
}

/// A router with its table. The test decides when work finishes.
struct router_fixture {
  explicit router_fixture(routing_table t, std::uint64_t seed = 1)
      : table(std::move(t)), random(seed) {
    router.OnTable(table);
  }

  std::uint32_t Send(std::uint64_t prefix = 0, std::span<const std::uint32_t> excluded = {}) {
    route_query query;
    query.model = "m";
    query.prefix_hash = prefix;
    query.excluded = excluded;
    auto backend = router.Choose(table, query, now, random);
    REQUIRE(backend);
    router.OnSent(*backend);
    return *backend;
  }

  void Report(std::uint32_t backend, std::uint32_t running) {
    load_report load;
    load.running = running;
    load.limit = kLimit;
    router.OnLoad(backend, load, now);
    router.OnDone(backend);
  }

  routing_table table;
  random_source random;
  balanced_router router;
  steady_time now{1h};
};

}  // namespace

// Guards against all entries sending to the one server that their delayed reports show as idle.
TEST_CASE("seven entries with the same delayed report do not overload an idle server") {
  int sent_to_idle = 0;
  for (std::uint64_t entry = 0; entry < 7; ++entry) {
    router_fixture f(MakeTable(12, 0), entry);
    for (std::uint32_t b = 0; b < 12; ++b) f.Report(b, b == 0 ? 0 : kLimit);
    for (int i = 0; i < 12; ++i) sent_to_idle += f.Send() == 0 ? 1 : 0;
  }
  // Of 84 requests, an even spread gives 7 to each server; choosing the least loaded of all
  // servers would send most of them to the idle one.
  CHECK(sent_to_idle <= 28);
  CHECK(sent_to_idle >= 7);
}

// Guards against using a report whose load is no longer current.
TEST_CASE("an old report is ignored") {
  router_fixture f(MakeTable(2, 0));
  f.Report(0, 0);
  f.Report(1, 100);
  f.now += 5s;
  std::array<int, 2> sent{};
  for (int i = 0; i < 100; ++i) ++sent[f.Send()];
  CHECK(sent[0] == Approx(50).margin(1));
}

// Guards against overloading the local zone while other zones are idle, and against leaving it
// unnecessarily.
TEST_CASE("the local zone is used first and spills by load") {
  router_fixture f(MakeTable(2, 4));
  for (std::uint32_t i = 0; i < 2 * kLimit - 4; ++i) CHECK(f.Send() < 2);
  int remote = 0;
  for (int i = 0; i < 40; ++i) remote += f.Send() >= 2 ? 1 : 0;
  CHECK(remote >= 24);
}

// Guards against retrying a request on a server that was already tried.
TEST_CASE("tried servers are excluded") {
  router_fixture f(MakeTable(3, 0));
  std::array<std::uint32_t, 2> tried = {0, 2};
  for (int i = 0; i < 50; ++i) CHECK(f.Send(0, tried) == 1);
  std::array<std::uint32_t, 3> all = {0, 1, 2};
  CHECK_FALSE(
      f.router.Choose(f.table, {"m", "", priority_class::kInteractive, 0, all}, f.now, f.random));
}

// Guards against losing the benefit of cached prefixes, and against overloading the server of a
// common prefix.
TEST_CASE("a prefix keeps its server until that server is loaded") {
  router_fixture f(MakeTable(10, 0));
  std::uint32_t preferred = f.Send(77);
  f.router.OnDone(preferred);
  for (int i = 0; i < 20; ++i) {
    CHECK(f.Send(77) == preferred);
    f.router.OnDone(preferred);
  }
  std::array<int, 10> sent{};
  for (int i = 0; i < 80; ++i) ++sent[f.Send(77)];
  CHECK(*std::max_element(sent.begin(), sent.end()) < 20);
}

// Guards against using indexes of an older table: counts are kept by name, and a server that has
// left the table is ignored.
TEST_CASE("load state is kept by name when a table is republished") {
  router_fixture f(MakeTable(2, 0));
  std::uint32_t used = f.Send();
  for (int i = 0; i < 20; ++i) f.router.OnSent(used);
  std::string name = f.table.backends[used].backend;
  routing_table next = MakeTable(2, 0);
  std::swap(next.backends[0], next.backends[1]);
  f.table = next;
  f.router.OnTable(f.table);
  for (int i = 0; i < 10; ++i) CHECK(f.table.backends[f.Send()].backend != name);
  f.router.OnSent(UINT32_MAX);
  f.router.OnDone(UINT32_MAX);
  f.router.OnLoad(UINT32_MAX, {}, f.now);
}

// Guards against sending a full share of the load at once to a server with empty caches.
TEST_CASE("the load of a new server increases gradually") {
  router_fixture f(MakeTable(2, 0));
  for (int i = 0; i < 4; ++i) f.Send();
  f.table = MakeTable(3, 0);
  f.router.OnTable(f.table);
  std::array<int, 3> sent{};
  for (int i = 0; i < 12; ++i) ++sent[f.Send()];
  CHECK(sent[2] <= 2);
}

// Guards against a retry storm: retries are limited to a small fraction of first attempts.
TEST_CASE("retries are limited to a share of first attempts") {
  retry_budget budget;
  steady_time now{1h};
  int retries = 0;
  for (int i = 0; i < 1000; ++i) {
    budget.OnFirstAttempt("a", now);
    for (int attempt = 0; attempt < 2; ++attempt) retries += budget.TakeRetry("a", now) ? 1 : 0;
  }
  CHECK(retries <= 105);
  CHECK(retries >= 100);
  CHECK(budget.TakeRetry("other", now));
}

// Guards against a hint that outlasts the overload or applies to a Member within its share.
TEST_CASE("hints expire soon and apply only to Members over their share") {
  refusal_hints hints;
  steady_time now{1h};
  announcement backend;
  backend.backend = "b0";
  auto check = [&](const char* member) {
    return hints.Check(backend, member, priority_class::kBatch, now).count() > 0;
  };
  hints.OnRefused(backend, "a", priority_class::kBatch, refusal_reason::kDeadlineUnreachable, 1s,
                  now);
  CHECK_FALSE(check("a"));
  hints.OnRefused(backend, "a", priority_class::kBatch, refusal_reason::kOverMemberShare, 10s, now);
  CHECK(check("a"));
  CHECK_FALSE(check("b"));
  now += refusal_hints::kMaxLifetime;
  CHECK_FALSE(check("a"));
}

}  // namespace radishroute
