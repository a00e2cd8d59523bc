#include "radishroute/forward/cold_backends.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "fake_context.h"
#include "radishroute/discovery.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;

constexpr double kRate = 26;
// What a cold engine may get in any second: one and a half times the rate, and five.
constexpr std::size_t kMostPerSecond = 44;

announcement MakeEngine(const std::string& id, std::uint64_t incarnation = 1,
                        milliseconds cold = 0ms, std::uint64_t sequence = 1) {
  announcement a;
  a.backend = id;
  a.incarnation = incarnation;
  a.sequence = sequence;
  a.zone = "a";
  a.cold_remaining = cold;
  return a;
}

routing_table MakeTable(const std::vector<announcement>& engines) {
  routing_table table;
  for (const announcement& a : engines) {
    table.pools["draft"].local.push_back(static_cast<std::uint32_t>(table.backends.size()));
    table.backends.push_back(a);
  }
  return table;
}

cold_backends MakeLimiter(std::uint32_t processes) {
  cold_backends cold;
  cold.SetProfiles({{"draft", {3000ms, kRate}}});
  cold.SetProcesses(processes);
  return cold;
}

/// Most requests that a cold engine gets in any second from processes that all send to it whenever
/// they may.
std::size_t MostPerSecond(std::uint32_t processes, std::uint32_t known, std::uint64_t seed) {
  random_source random(seed);
  steady_time begin{1h};
  std::vector<cold_backends> senders;
  routing_table table = MakeTable({MakeEngine("e", 1, 3000ms)});
  for (std::uint32_t i = 0; i < processes; ++i) {
    senders.push_back(MakeLimiter(known));
    senders.back().OnTable(table, begin, random);
  }
  std::vector<steady_time> sent;
  for (steady_time now = begin; now < begin + 3000ms; now += 5ms) {
    for (cold_backends& sender : senders) {
      if (!sender.MaySend("e", now)) continue;
      sender.OnSent("e", now);
      sent.push_back(now);
    }
  }
  std::size_t most = 0;
  for (auto first = sent.begin(); first != sent.end(); ++first) {
    auto last = std::upper_bound(first, sent.end(), *first + 1s);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

}  // namespace

// Guards against an engine that has just started and crashes because every gateway takes it for the
// least loaded one.
TEST_CASE("all processes together keep to the rate of a cold backend server") {
  std::uint32_t processes = GENERATE(1, 7, 42, 98, 580);
  std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
  INFO(processes << " processes, seed " << seed);
  CHECK(MostPerSecond(processes, processes, seed) <= kMostPerSecond);
}

// Guards against processes that have just started and do not know how many others there are.
TEST_CASE("a process that does not know the number of processes assumes many") {
  CHECK(MostPerSecond(580, 0, 1) <= kMostPerSecond);
}

// Guards against a cold engine that gets no requests at all, so that its zone stays idle.
TEST_CASE("a cold backend server gets a share of requests") {
  random_source random{1};
  std::size_t sent = 0;
  cold_backends cold = MakeLimiter(42);
  steady_time now{1h};
  cold.OnTable(MakeTable({MakeEngine("e", 1, 30000ms)}), now, random);
  for (steady_time end = now + 30s; now < end; now += 10ms) {
    if (!cold.MaySend("e", now)) continue;
    cold.OnSent("e", now);
    ++sent;
  }
  // One in 42 / (0.8 * 26) seconds.
  CHECK(sent >= 13);
  CHECK(sent <= 16);
}

// Guards against engines that were warm all along and are limited when a gateway starts, and
// against late registrations of an engine that has just started.
TEST_CASE("an engine is cold by its registration, or if it is listed later than the others") {
  random_source random{1};
  steady_time now{1h};
  cold_backends cold = MakeLimiter(42);
  CHECK(cold.OnTable(MakeTable({MakeEngine("old")}), now, random).empty());
  CHECK(cold.MaySend("old", now));
  auto marked = cold.OnTable(MakeTable({MakeEngine("old"), MakeEngine("new", 5)}), now, random);
  REQUIRE(marked.size() == 1);
  CHECK(marked[0].backend == "new");
  CHECK(cold.MaySend("old", now));
  // A new incarnation under the same id starts cold too.
  marked = cold.OnTable(MakeTable({MakeEngine("old", 2), MakeEngine("new", 5)}), now, random);
  REQUIRE(marked.size() == 1);
  CHECK(marked[0].backend == "old");
  // An engine that turns cold says so in its registration; the table repeats it without effect.
  now += 10s;
  CHECK(cold.MaySend("old", now));
  auto turned = MakeTable({MakeEngine("old", 2, 2000ms, 9), MakeEngine("new", 5)});
  CHECK(cold.OnTable(turned, now, random).size() == 1);
  CHECK(cold.OnTable(turned, now + 1900ms, random).empty());
  CHECK(cold.MaySend("old", now + 2001ms));
}

// Guards against a zone whose engines get all of the load at the moment at which it returns.
TEST_CASE("the engines of a zone that returns are taken as cold") {
  random_source random{1};
  steady_time now{1h};
  cold_backends cold = MakeLimiter(42);
  announcement elsewhere = MakeEngine("b-1");
  elsewhere.zone = "b";
  routing_table table = MakeTable({MakeEngine("a-1"), elsewhere});
  cold.OnTable(table, now, random);
  auto marked = cold.OnZoneReturned("a", table, now, random);
  REQUIRE(marked.size() == 1);
  CHECK(marked[0].backend == "a-1");
  CHECK(cold.NextTurn("draft", now));
  CHECK_FALSE(cold.NextTurn("draft", now + 3001ms));
}

// Guards against servers that all count as cold because the configuration arrives after the
// directory, and against a process that ends because a configuration has no cold phase any more.
TEST_CASE("a configuration that changes beside the directory marks no server") {
  random_source random{1};
  steady_time now{1h};
  cold_backends cold;
  routing_table table = MakeTable({MakeEngine("e")});
  cold.OnTable(table, now, random);
  cold.SetProfiles({{"draft", {3000ms, kRate}}});
  CHECK(cold.OnTable(table, now, random).empty());
  cold.SetProfiles({});
  CHECK(cold.OnZoneReturned("a", table, now, random).empty());
}

// Guards against limits where the configuration does not ask for them.
TEST_CASE("services without a cold rate are not limited") {
  random_source random{1};
  steady_time now{1h};
  cold_backends cold;
  cold.SetProfiles({});
  CHECK(cold.OnTable(MakeTable({MakeEngine("e", 1, 3000ms)}), now, random).empty());
  CHECK(cold.MaySend("e", now));
}

// Guards against a controller that keeps it to itself that an engine has turned cold, and against
// one that sends a record with each registration while the remaining time runs down.
TEST_CASE("controllers pass on that an engine turns cold or warm") {
  fake_context fake;
  directory_limits limits;
  limits.use_registration = true;
  directory controller({1, 1}, "a", {}, {}, limits, process_role::kController);
  fake.Do([&](auto& ctx) { controller.Handle(process_started{}, ctx); });
  hello entry;
  entry.role = process_role::kEntry;
  fake.Do([&](auto& ctx) { controller.Handle(link_opened{{20}, entry, {}}, ctx); });
  std::uint64_t sequence = 0;
  auto pushes = [&](milliseconds cold) {
    announcement a = MakeEngine("e", 1, cold, ++sequence);
    a.models = {"draft"};
    a.traffic_address = {"10.0.0.9", 80};
    fake.Do([&](auto& ctx) { controller.Handle(backend_registered{{1}, a}, ctx); });
    return fake.Sent<directory_delta>().size();
  };
  CHECK(pushes(3000ms) == 1);
  CHECK(pushes(1800ms) == 0);
  CHECK(pushes(600ms) == 0);
  CHECK(pushes(0ms) == 1);
  CHECK(pushes(0ms) == 0);
  CHECK(pushes(2500ms) == 1);
}

}  // namespace radishroute
