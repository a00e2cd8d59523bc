#include <catch2/catch.hpp>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "cli/config_http.h"
#include "fake_context.h"
#include "platform/control_wire.h"
#include "radishroute/config_client.h"
#include "radishroute/config_leases.h"
#include "radishroute/error.h"
#include "state_fixture.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

/// A leader's leases and one entry, whose messages the test delivers.
struct entry_fixture {
  fake_context leader;
  fake_context entry;
  config_document config;
  config_leases leases;
  directory backends{{1, 1}, "a", {}};
  config_client client{{"entry-1", "a", {{"10.0.0.1", 1}}, {}, {}, true}, backends};

  entry_fixture() {
    leases.BecomeLeader(leader.Now());
    entry.Do([&](auto& ctx) { client.Handle(process_started{}, ctx); });
    entry.Do([&](auto& ctx) { client.Handle(link_opened{{1}, {}, {"10.0.0.1", 1}}, ctx); });
  }

  /// The entry renews its lease and gets this state of the leader.
  void Renew(const evacuation_notice& evacuations) {
    auto renewals = entry.Sent<lease_renew>();
    REQUIRE(renewals.size() == 1);
    leader.Do([&](auto& ctx) {
      leases.OnRenew({7}, renewals[0].second, config, {}, ctx, {}, evacuations);
    });
    auto grants = leader.Sent<lease_grant>();
    REQUIRE(grants.size() == 1);
    entry.Do([&](auto& ctx) { client.Handle({1}, grants[0].second, ctx); });
  }

  void Tick(milliseconds by) {
    leader.Advance(by);
    entry.Advance(by);
    entry.Do([&](auto& ctx) { client.Handle(timer_expired{}, ctx); });
  }

  std::vector<std::vector<std::string>> Published() const {
    std::vector<std::vector<std::string>> zones;
    for (const auto& e : entry.All<publish_evacuations>()) zones.push_back(e.evacuations.zones);
    return zones;
  }
};

control_call Decode(const std::string& method, const std::string& target,
                    const std::string& body = "") {
  received_request request;
  request.head.method = method;
  request.head.target = target;
  request.body = body;
  return platform::control_wire::Decode(std::move(request));
}

unsigned RejectedStatus(const control_call& call) {
  const auto* rejected = std::get_if<rejected_call>(&call);
  return rejected == nullptr ? 0 : rejected->status;
}

}  // namespace

// Guards against an order whose repetition looks like a change, and against crossing orders that
// replicas would resolve differently.
TEST_CASE("the log order of evacuation orders decides") {
  zone_evacuations state;
  CHECK(state.Apply({"a", true}, 4));
  CHECK_FALSE(state.Apply({"a", true}, 5));
  CHECK(state.Version() == 4);
  CHECK(state.Apply({"b", true}, 6));
  CHECK(state.Apply({"a", false}, 7));
  CHECK_FALSE(state.Apply({"a", false}, 8));
  CHECK(state.Version() == 7);
  CHECK_FALSE(state.Contains("a"));
  CHECK(state.Contains("b"));
}

// Guards against state that grows with every name that anyone sends.
TEST_CASE("the number of evacuated zones is bounded") {
  zone_evacuations state;
  for (std::size_t i = 0; i < zone_evacuations::kMaxZones; ++i) {
    CHECK(state.Apply({"zone-" + std::to_string(i), true}, i + 1));
  }
  CHECK_FALSE(state.Apply({"one-more", true}, 1000));
  CHECK(state.Apply({"zone-0", false}, 1001));
  CHECK(state.Apply({"one-more", true}, 1002));
}

// Guards against an acknowledged evacuation that is lost when a replica restores a snapshot.
TEST_CASE("snapshots contain the evacuations") {
  state_fixture state;
  state.Apply(no_operation{});
  state.Apply(zone_evacuation{"a", true});
  test_state restored;
  REQUIRE_FALSE(restored.Restore(state.machine.Snapshot()));
  CHECK(restored.Evacuations().Contains("a"));
  CHECK(restored.Evacuations().Version() == 2);
}

// Guards against a gateway that keeps sending to an evacuated zone because a notice was lost, and
// against one that returns to an earlier state because a notice came late.
TEST_CASE("an entry applies the latest evacuations, from a notice or from its next grant") {
  entry_fixture f;
  f.Renew({});
  // An entry learns that nothing is evacuated as well; before that it must not serve.
  CHECK(f.Published() == std::vector<std::vector<std::string>>{{}});
  f.entry.Do([&](auto& ctx) { f.client.Handle({1}, evacuation_notice{9, {"b"}}, ctx); });
  CHECK(f.Published() == std::vector<std::vector<std::string>>{{"b"}});
  // The leader learns from the renewal that follows that the entry has applied it.
  auto renewals = f.entry.Sent<lease_renew>();
  REQUIRE(renewals.size() == 1);
  CHECK(renewals[0].second.evacuation_version == 9);
  f.entry.Do([&](auto& ctx) { f.client.Handle({1}, evacuation_notice{8, {}}, ctx); });
  CHECK(f.Published().empty());
  f.Tick(milliseconds(1100));
  f.Renew({12, {}});
  CHECK(f.Published() == std::vector<std::vector<std::string>>{{}});
}

// Guards against entries that learn of an evacuation only with their next renewal.
TEST_CASE("a committed evacuation is sent to all entries with a lease at once") {
  entry_fixture f;
  f.Renew({});
  f.leader.Do([&](auto& ctx) { f.leases.OnEvacuationsChanged({5, {"b"}}, ctx); });
  auto sent = f.leader.All<broadcast_message>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].links == std::vector<link_id>{{7}});
  CHECK(std::get<evacuation_notice>(sent[0].body).zones == std::vector<std::string>{"b"});
  f.leader.Advance(config_leases::kLeaseDuration + milliseconds(1));
  f.leader.Do([&](auto& ctx) { f.leases.OnEvacuationsChanged({6, {}}, ctx); });
  CHECK(f.leader.All<broadcast_message>().empty());
}

// Guards against orders that are misread as others, and against calls that get no clear rejection.
TEST_CASE("evacuation calls are decoded, and others are rejected") {
  control_call begin = Decode("POST", "/evacuate/tallinn-a");
  REQUIRE(std::holds_alternative<zone_evacuation_submitted>(begin));
  CHECK(std::get<zone_evacuation_submitted>(begin).order.zone == "tallinn-a");
  CHECK(std::get<zone_evacuation_submitted>(begin).order.evacuated);
  control_call end = Decode("DELETE", "/evacuate/tallinn-a");
  REQUIRE(std::holds_alternative<zone_evacuation_submitted>(end));
  CHECK_FALSE(std::get<zone_evacuation_submitted>(end).order.evacuated);
  CHECK(RejectedStatus(Decode("PUT", "/evacuate/a")) == 405);
  CHECK(RejectedStatus(Decode("GET", "/evacuate/a")) == 405);
  CHECK(RejectedStatus(Decode("POST", "/evacuate/a", "{}")) == 400);
  CHECK(RejectedStatus(Decode("POST", "/evacuate/")) == 404);
  CHECK(RejectedStatus(Decode("POST", "/evacuate/a/b")) == 404);
  CHECK(RejectedStatus(Decode("POST", "/evacuate/" + std::string(300, 'a'))) == 404);
}

// Guards against operators who cannot see which gateways still send to a zone that they evacuated.
TEST_CASE("the status shows the evacuated zones and the entries that have them in force") {
  entry_fixture f;
  f.Renew({});
  state_machine state;
  f.leader.Do([&](auto& ctx) { state.Apply({1, 1, zone_evacuation{"b", true}}, ctx); });
  config_http_backend backend;
  backend.state = &state;
  backend.leases = &f.leases;
  backend.is_leader = [] { return true; };
  backend.token = "t";
  http_request request;
  request.method = "GET";
  request.path = "/v1/status";
  request.headers["authorization"] = "Bearer t";
  auto status = [&] {
    auto answer = HandleConfigHttp(request, backend, f.leader.Now());
    REQUIRE(answer);
    return nlohmann::json::parse(answer->body)["evacuations"];
  };
  CHECK(status()["zones"] == nlohmann::json::array({"b"}));
  REQUIRE(status()["entries"].size() == 1);
  CHECK(status()["entries"][0]["in_force"] == false);
  f.entry.Do([&](auto& ctx) { f.client.Handle({1}, evacuation_notice{1, {"b"}}, ctx); });
  f.Renew({1, {"b"}});
  CHECK(status()["entries"][0]["in_force"] == true);
}

}  // namespace radishroute
