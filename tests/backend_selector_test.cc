#include "radishroute/forward/backend_selector.h"

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "fake_context.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

constexpr const char* kZone = "a";

fleet_load MakeLoad(int engines, std::uint32_t running) {
  fleet_load load;
  load.open = true;
  for (int i = 0; i < engines; ++i) {
    endpoint address{"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
    load.engines.push_back({address, i == engines / 2 ? 0 : running, 0, milliseconds(0)});
  }
  return load;
}

routing_table MakeTable(int engines) {
  routing_table table;
  for (int i = 0; i < engines; ++i) {
    announcement a;
    a.backend = "engine-" + std::to_string(i);
    a.zone = i % 2 == 0 ? kZone : "b";
    a.traffic_address = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
    a.concurrency_limit = 6;
    table.pools["draft"].local.push_back(static_cast<std::uint32_t>(i));
    table.backends.push_back(a);
  }
  return table;
}

}  // namespace

// Guards against work for each request that grows with the engines, and against an engine without
// requests that is not found among thousands of full ones.
TEST_CASE("the engine with free slots is found among any number of full ones") {
  int engines = GENERATE(3, 130, 3000);
  least_loaded_selector selector;
  selector.OnTable(MakeTable(engines), kZone);
  fake_context fake;
  selector.OnFleetLoad(MakeLoad(engines, 6), fake.Now());
  withheld_backends withheld;
  std::string idle = "engine-" + std::to_string(engines / 2);
  random_source random{7};
  std::vector<std::string> tried;
  for (int i = 0; i < 20; ++i) {
    selection_query query{"draft", 5, tried, withheld};
    auto chosen = selector.Choose(query, fake.Now(), random);
    REQUIRE(chosen);
    CHECK(chosen->backend == idle);
    CHECK(chosen->load == Approx(1));
  }
  tried = {idle};
  auto chosen = selector.Choose({"draft", 5, tried, withheld}, fake.Now(), random);
  REQUIRE(chosen);
  CHECK(chosen->backend != idle);
}

// Guards against a few engines that get the requests of all entries until the next report.
TEST_CASE("requests spread over engines with equal loads") {
  constexpr int kEngines = 130;
  least_loaded_selector selector;
  selector.OnTable(MakeTable(kEngines), kZone);
  fake_context fake;
  selector.OnFleetLoad(MakeLoad(kEngines, 0), fake.Now());
  withheld_backends withheld;
  random_source random{7};
  std::map<std::string, int> requests;
  for (int i = 0; i < kEngines; ++i) {
    auto chosen = selector.Choose({"draft", 5, {}, withheld}, fake.Now(), random);
    REQUIRE(chosen);
    selector.OnSent(chosen->backend, fake.Now());
    ++requests[chosen->backend];
  }
  CHECK(requests.size() > kEngines * 3 / 4);
  for (const auto& [backend, count] : requests) CHECK(count <= 3);
}

// Guards against more connections to one backend server than this process may have.
TEST_CASE("a backend server gets no more attempts than its limit, sampled or not") {
  int engines = GENERATE(2, 130);
  least_loaded_selector selector;
  selector.OnTable(MakeTable(engines), kZone);
  fake_context fake;
  withheld_backends withheld;
  random_source random{7};
  std::map<std::string, int> attempts;
  selection_query query{"draft", 5, {}, withheld, 3};
  for (int i = 0; i < 3 * engines; ++i) {
    auto chosen = selector.Choose(query, fake.Now(), random);
    REQUIRE(chosen);
    selector.OnSent(chosen->backend, fake.Now());
    CHECK(++attempts[chosen->backend] <= 3);
  }
  CHECK_FALSE(selector.Choose(query, fake.Now(), random));
  selector.OnDone("engine-0", attempt_result::kCancelled, fake.Now());
  auto chosen = selector.Choose(query, fake.Now(), random);
  REQUIRE(chosen);
  CHECK(chosen->backend == "engine-0");
}

}  // namespace radishroute
