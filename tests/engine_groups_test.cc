#include "radishroute/experts/engine_groups.h"

#include <catch2/catch.hpp>
#include <map>

#include "fake_context.h"
#include "radishroute/forward/backend_selector.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

constexpr int kZones = 5;

std::string Zone(int number) { return "zone-" + std::to_string(number); }

/// A controller in the first zone with links to a controller of each other zone and to entries of
/// all zones.
struct controller_fixture {
  fake_context fake;
  engine_groups groups;
  std::uint64_t next_link = 1;
  std::map<link_id, std::string> entries;
  std::map<link_id, std::string> controllers;

  explicit controller_fixture(int entry_count) {
    groups.SetZone(Zone(0));
    for (int i = 1; i < kZones; ++i)
      controllers[Open(process_role::kController, Zone(i))] = Zone(i);
    for (int i = 0; i < entry_count; ++i) {
      entries[Open(process_role::kEntry, Zone(i % kZones))] = Zone(i % kZones);
    }
  }

  link_id Open(process_role role, const std::string& zone) {
    hello peer;
    peer.role = role;
    peer.zone = zone;
    link_id link{next_link++};
    groups.Handle(link_opened{link, peer, {}});
    return link;
  }

  std::vector<link_id> RelayFrom(link_id from) {
    fake.Do([&](auto& ctx) { groups.OnRelayedLoad(from, fleet_load{}, ctx); });
    auto sent = fake.All<broadcast_message>();
    return sent.empty() ? std::vector<link_id>() : sent.front().links;
  }
};

fleet_load MakeLoad(int engines, std::uint32_t running) {
  fleet_load load;
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
    a.zone = Zone(i % kZones);
    a.traffic_address = {"10.0.0.1", static_cast<std::uint16_t>(i + 1)};
    a.concurrency_limit = 6;
    table.pools["draft"].local.push_back(static_cast<std::uint32_t>(i));
    table.backends.push_back(a);
  }
  return table;
}

}  // namespace

// Guards against loads that get older with each entry, because one leader sends all of them.
TEST_CASE("a controller passes the leader's loads on to the entries of its zone only") {
  controller_fixture f(100);
  link_id leader = f.controllers.begin()->first;
  std::vector<link_id> receivers = f.RelayFrom(leader);
  CHECK(receivers.size() == 20);
  for (link_id link : receivers) CHECK(f.entries.at(link) == Zone(0));
  SECTION("an entry has left") {
    f.groups.Handle(link_closed{receivers.front(), {}, {}});
    CHECK(f.RelayFrom(leader).size() == 19);
  }
  SECTION("the sender is no controller") { CHECK(f.RelayFrom(f.entries.begin()->first).empty()); }
}

// Guards against work for each request that grows with the engines, and against an engine without
// requests that is not found among thousands of full ones.
TEST_CASE("the engine with free slots is found among any number of full ones") {
  int engines = GENERATE(3, 130, 3000);
  least_loaded_selector selector;
  selector.OnTable(MakeTable(engines), Zone(0));
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
  selector.OnTable(MakeTable(kEngines), Zone(0));
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

}  // namespace radishroute
