#include "radishroute/experts/load_fanout.h"

#include <catch2/catch.hpp>
#include <map>

namespace radishroute {

namespace {

using std::chrono::milliseconds;

constexpr int kZones = 5;

std::string Zone(int number) { return "zone-" + std::to_string(number); }

/// A controller in the first zone with links to a controller of each other zone and to entries of
/// all zones.
struct controller_fixture {
  load_fanout fanout;
  steady_time now{std::chrono::hours(1)};
  std::uint64_t next_link = 1;
  std::map<link_id, std::string> entries;
  std::map<link_id, std::string> controllers;

  explicit controller_fixture(int entry_count) {
    fanout.SetZone(Zone(0));
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
    fanout.Handle(link_opened{link, peer, {}});
    return link;
  }

  /// Messages that the leader sends on each link in some seconds.
  std::map<link_id, int> Lead(std::chrono::seconds time) {
    std::map<link_id, int> sent;
    for (steady_time end = now + time; now < end; now += milliseconds(50)) {
      for (link_id link : fanout.Receivers(now)) ++sent[link];
    }
    return sent;
  }
};

}  // namespace

// Guards against loads that get older with each entry, because one leader sends all of them.
TEST_CASE("a controller passes the leader's loads on to the entries of its zone only") {
  controller_fixture f(100);
  link_id leader = f.controllers.begin()->first;
  std::vector<link_id> receivers = f.fanout.RelayReceivers(leader);
  CHECK(receivers.size() == 20);
  for (link_id link : receivers) CHECK(f.entries.at(link) == Zone(0));
  SECTION("an entry has left") {
    f.fanout.Handle(link_closed{receivers.front(), {}, {}});
    CHECK(f.fanout.RelayReceivers(leader).size() == 19);
  }
  SECTION("the sender is no controller") {
    CHECK(f.fanout.RelayReceivers(f.entries.begin()->first).empty());
  }
}

// Guards against the same, and against a leader whose work grows with all entries.
TEST_CASE("a leader sends loads to its zone and to one controller of each other zone") {
  controller_fixture f(100);
  constexpr std::chrono::seconds kTime{20};
  constexpr int kLeast = 20 * 1000 / 300;
  std::map<link_id, int> sent = f.Lead(kTime);
  for (const auto& [link, zone] : f.controllers) CHECK(sent[link] >= kLeast);
  for (const auto& [link, zone] : f.entries) CHECK(sent[link] >= (zone == Zone(0) ? kLeast : 10));
  SECTION("a zone has no controller any more") {
    f.fanout.Handle(link_closed{f.controllers.begin()->first, {}, {}});
    sent = f.Lead(kTime);
    for (const auto& [link, zone] : f.entries) {
      bool direct = zone == Zone(0) || zone == f.controllers.begin()->second;
      CHECK((sent[link] >= kLeast) == direct);
    }
  }
}

// Guards against entries that each take a share of a limit as if there were fewer or more of them.
TEST_CASE("the leader counts the entries that have a link to it") {
  controller_fixture f(12);
  CHECK(f.fanout.EntryCount() == 12);
  f.fanout.Handle(link_closed{f.entries.begin()->first, {}, {}});
  CHECK(f.fanout.EntryCount() == 11);
}

}  // namespace radishroute
