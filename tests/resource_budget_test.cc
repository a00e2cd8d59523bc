#include "radishroute/resource_budget.h"

#include <catch2/catch.hpp>
#include <random>
#include <set>
#include <string>

#include "radishroute/held_memory.h"
#include "radishroute/settings.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;

constexpr std::size_t kBody = std::size_t{4} << 20;

/// A budget at a time that the test sets.
struct budget_fixture {
  explicit budget_fixture(budget_limits limits) { budget.SetLimits(limits); }

  bool Open(connection_number c) { return Keep(budget.Open(c, now)); }
  bool Hold(connection_number c, budget_account account, std::size_t bytes) {
    return Keep(budget.Hold(c, account, bytes, now));
  }
  bool Body(connection_number c, std::size_t bytes) {
    return Hold(c, budget_account::kBodies, bytes);
  }
  void Receive(connection_number c, std::size_t bytes) { budget.OnReceived(c, bytes, now); }

  bool Keep(const budget_decision& decision) {
    evicted.clear();
    for (const budget_eviction& e : decision.evicted) evicted.push_back(e.connection);
    return decision.granted;
  }

  resource_budget budget;
  steady_time now{1h};
  std::vector<connection_number> evicted;
};

}  // namespace

// Guards against announced bodies that together exceed the memory, which none of them does alone.
TEST_CASE("bodies are charged in full when they are announced") {
  budget_fixture f({0, 0, 2 * kBody});
  for (connection_number c : {1, 2, 3}) CHECK(f.Open(c));
  CHECK(f.Body(1, kBody));
  CHECK(f.Body(2, kBody));
  CHECK_FALSE(f.Body(3, kBody));
  CHECK(f.evicted.empty());
  CHECK(f.budget.Total(budget_account::kBodies) == 2 * kBody);
  f.budget.Close(1);
  CHECK(f.Body(3, kBody));
}

// Guards against a client that stops short and keeps its memory from those that send.
TEST_CASE("the slowest progress for the memory held is evicted first") {
  budget_fixture f({0, 0, 3 * kBody});
  for (connection_number c : {1, 2, 3, 4}) {
    CHECK(f.Open(c));
    f.Receive(c, 100);
  }
  for (connection_number c : {1, 2, 3}) CHECK(f.Body(c, kBody));
  f.now += 1s;
  f.Receive(1, kBody / 2);
  f.Receive(3, kBody / 2);
  CHECK(f.Body(4, kBody));
  CHECK(f.evicted == std::vector<connection_number>{2});
}

// Guards against one large body that is evicted for many small ones which are slower.
TEST_CASE("only as many connections are evicted as are needed") {
  budget_fixture f({0, 0, 1000});
  for (connection_number c : {1, 2, 3, 4}) CHECK(f.Open(c));
  CHECK(f.Body(1, 100));
  CHECK(f.Body(2, 600));
  CHECK(f.Body(3, 300));
  f.now += 1s;
  CHECK(f.Body(4, 500));
  CHECK(f.evicted == std::vector<connection_number>{2});
  CHECK(f.budget.Total(budget_account::kBodies) == 900);
}

// Guards against connections that are closed although the use is refused all the same.
TEST_CASE("nothing is evicted if it would not be enough") {
  budget_fixture f({0, 0, 1000});
  for (connection_number c : {1, 2, 3}) CHECK(f.Open(c));
  CHECK(f.Body(1, 500));
  CHECK(f.Body(2, 500));
  f.budget.OnForwarded(1);
  f.now += 5s;
  CHECK_FALSE(f.Body(3, 600));
  CHECK(f.evicted.empty());
  CHECK_FALSE(f.Body(3, 2000));
  CHECK(f.Body(2, 400));
}

// Guards against a caller that loses the response to a request which was run.
TEST_CASE("a forwarded request is never evicted") {
  budget_fixture f({2, 1000, 0});
  CHECK(f.Open(1));
  CHECK(f.Open(2));
  f.Receive(1, 10);
  f.Receive(2, 10);
  CHECK(f.Hold(1, budget_account::kHeads, 900));
  f.budget.OnForwarded(1);
  f.budget.OnForwarded(2);
  f.now += 1min;
  CHECK_FALSE(f.Open(3));
  CHECK_FALSE(f.Hold(2, budget_account::kHeads, 200));
  f.budget.OnAnswered(1, f.now);
  CHECK_FALSE(f.Open(3));
  f.now += 1s;
  CHECK(f.Open(3));
  CHECK(f.evicted == std::vector<connection_number>{1});
}

// Guards against a burst of callers that evict each other before they could send anything.
TEST_CASE("new connections are not judged yet") {
  budget_fixture f({2, 0, 0});
  CHECK(f.Open(1));
  CHECK(f.Open(2));
  f.now += 499ms;
  CHECK_FALSE(f.Open(3));
  f.now += 1ms;
  CHECK(f.Open(3));
  CHECK(f.evicted.size() == 1);
}

// Guards against silent connections that take the place of callers that keep theirs.
TEST_CASE("connections that never sent a request are evicted before idle ones") {
  budget_fixture f({2, 0, 0});
  CHECK(f.Open(1));
  f.Receive(1, 100);
  f.budget.OnForwarded(1);
  f.budget.OnAnswered(1, f.now);
  f.now += 2s;
  CHECK(f.Open(2));
  f.now += 1s;
  CHECK(f.Open(3));
  CHECK(f.evicted == std::vector<connection_number>{2});
}

// Guards against descriptors beyond the limit: those of evicted connections are closed later.
TEST_CASE("evictions for descriptors are limited in each interval") {
  budget_fixture f({100, 0, 0});
  for (connection_number c = 0; c < 100; ++c) CHECK(f.Open(c));
  f.now += 1s;
  int granted = 0;
  for (connection_number c = 100; c < 200; ++c) granted += f.Open(c) ? 1 : 0;
  CHECK(granted == 32);
  f.now += 100ms;
  CHECK(f.Open(200));
}

// Guards against a server without settings that refuses anything.
TEST_CASE("without limits everything is granted") {
  budget_fixture f({});
  CHECK_FALSE(f.budget.IsLimited());
  for (connection_number c = 0; c < 1000; ++c) CHECK((f.Open(c) && f.Body(c, kBody)));
}

// Guards against totals that drift from what the connections hold, or exceed their limit.
TEST_CASE("totals stay within the limits under random use") {
  budget_fixture f({20, 5000, 50000});
  std::mt19937 random(7);
  std::set<connection_number> open;
  std::set<connection_number> forwarded;
  auto pick = [&random](std::size_t n) { return random() % n; };
  for (int step = 0; step < 20000; ++step) {
    f.now += std::chrono::milliseconds(pick(50));
    connection_number c = pick(60);
    bool granted = true;
    f.evicted.clear();
    if (!open.contains(c)) {
      granted = f.Open(c);
      if (granted) open.insert(c);
    } else if (pick(10) == 0) {
      f.budget.Close(c);
      open.erase(c);
      forwarded.erase(c);
    } else if (pick(5) == 0) {
      f.budget.OnForwarded(c);
      forwarded.insert(c);
    } else if (pick(5) == 0) {
      f.budget.OnAnswered(c, f.now);
      forwarded.erase(c);
    } else {
      f.Receive(c, pick(1000));
      auto account = pick(2) == 0 ? budget_account::kHeads : budget_account::kBodies;
      f.Hold(c, account, pick(account == budget_account::kHeads ? 1000 : 20000));
    }
    for (connection_number gone : f.evicted) {
      CHECK(gone != c);
      CHECK_FALSE(forwarded.contains(gone));
      CHECK(open.erase(gone) == 1);
    }
    REQUIRE(f.budget.Total(budget_account::kConnections) == open.size());
    REQUIRE(open.size() <= 20);
    REQUIRE(f.budget.Total(budget_account::kHeads) <= 5000);
    REQUIRE(f.budget.Total(budget_account::kBodies) <= 50000);
  }
  for (connection_number c : open) f.budget.Close(c);
  CHECK(f.budget.Total(budget_account::kBodies) == 0);
}

// Guards against accounts that together exceed the memory, or are too small for one legal request.
TEST_CASE("the parts of a gateway fit into its budgets") {
  for (std::size_t mb : {64, 112, 160, 1000}) {
    gateway_shares s = DivideForGateway({mb, 2870});
    std::size_t bodies = s.callers[static_cast<std::size_t>(budget_account::kBodies)];
    std::size_t heads = s.callers[static_cast<std::size_t>(budget_account::kHeads)];
    CHECK(bodies >= kBody);
    CHECK(heads >= 512U * 1024);
    CHECK(s.request_bytes >= kBody);
    std::size_t used =
        bodies + heads + s.request_bytes / 2 * 3 + s.response_bytes / 4 * 5 + s.unsent_bytes;
    // A process without clients takes 16 MB.
    CHECK(used + 16000000 <= mb * 1000000);
  }
  gateway_shares d = DivideForGateway({112, 2870});
  CHECK(d.callers[static_cast<std::size_t>(budget_account::kConnections)] >= 1600);
  CHECK(d.backend_connections >= 1000);
  CHECK(d.request_bytes >= 4 * kBody);
  CHECK(d.callers[static_cast<std::size_t>(budget_account::kBodies)] >= 4 * kBody);
  CHECK(DivideForGateway({}).callers == budget_limits{});
  CHECK(DivideForController({}).callers == budget_limits{});
}

// Guards against a process that does not start or serves nobody under very small budgets.
TEST_CASE("every budget leaves something for clients") {
  for (std::size_t n : {1, 10, 100, 300}) {
    gateway_shares g = DivideForGateway({n, n});
    controller_shares c = DivideForController({n, n});
    CHECK(g.backend_connections > 0);
    for (const budget_limits& limits : {g.callers, c.callers}) {
      for (std::size_t limit : limits) CHECK(limit > 0);
    }
  }
}

// Guards against a body of 4 MiB that takes 8, as strings double their memory.
TEST_CASE("strings grow by a quarter") {
  std::string text;
  std::string part(1000, 'x');
  while (text.size() + part.size() <= kBody) {
    AppendGrowingSlowly(text, part);
    REQUIRE(text.capacity() <= text.size() + text.size() / 4 + 4096);
  }
  FreeString(text);
  CHECK(text.capacity() < 100);
  CHECK(GrownCapacity(kBody - 10, kBody, kBody) == kBody);
  CHECK(GrownCapacity(100, 50) == 100);
}

// Guards against a budget that is misspelt or out of range and silently not applied.
TEST_CASE("budgets are read from the settings") {
  auto parse = [](const std::string& keys, std::vector<settings_error>& errors) {
    return ParseGatewaySettings(
        R"({"role": "gateway", "node": "g", "zone": "a", "secret": "s", "link_port": 7000,
            "http": {"listen": "127.0.0.1:1", "probe_listen": "127.0.0.1:2"},
            "controllers": ["127.0.0.1:3"])" +
            keys + "}",
        errors);
  };
  std::vector<settings_error> errors;
  gateway_settings absent = parse("", errors);
  CHECK((absent.limits.memory_mb == 0 && absent.limits.max_descriptors == 0));
  gateway_settings set = parse(R"(, "memory_mb": 112, "max_descriptors": 2870)", errors);
  CHECK((set.limits.memory_mb == 112 && set.limits.max_descriptors == 2870));
  CHECK(errors.empty());
  parse(R"(, "memory_mb": 0, "max_descriptors": "many")", errors);
  CHECK(errors.size() == 2);
}

}  // namespace radishroute
