#include <algorithm>
#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "cli/config_http.h"
#include "fake_context.h"
#include "radishroute/config_admin.h"
#include "radishroute/config_client.h"
#include "state_fixture.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const endpoint first_controller{"10.0.0.1", 1};
const endpoint second_controller{"10.0.0.2", 1};
const endpoint peer_entry{"10.0.1.1", 1};

std::string Sheet(int deadline) {
  return "table,name,class,deadline_ms,worth,repeat,weight,floor_percent,hour,requests\n"
         "kind,quote,interactive," +
         std::to_string(deadline) + ",1,yes,,,,\nmember,club-1,,,,,1,,,\n";
}

/// The client of one entry, with a clock that the test controls.
struct client_fixture {
  manual_clock clock;
  random_source random{1};
  effect_list effects;
  directory backends{{1, 1}, "zone-1", {}};
  config_client client;

  explicit client_fixture(std::vector<endpoint> controllers = {first_controller},
                          std::vector<endpoint> peers = {peer_entry})
      : client({"entry-1", "zone-1", std::move(controllers), std::move(peers), {}}, backends) {
    Reduce([&](reduce_context& ctx) { client.Handle(process_started{}, ctx); });
  }

  template <class F>
  void Reduce(F&& action) {
    effects.clear();
    reduce_context ctx{clock.Now(), clock.WallNow(), random, effects};
    action(ctx);
  }
  template <class M>
  void Receive(link_id link, const M& m) {
    Reduce([&](reduce_context& ctx) { client.Handle(link, m, ctx); });
  }
  void Tick(milliseconds by) {
    clock.Advance(by);
    Reduce([&](reduce_context& ctx) { client.Handle(timer_expired{}, ctx); });
  }
  void OpenLink(link_id link, const endpoint& address, const std::string& zone = "zone-1") {
    link_opened opened{link, {}, address};
    opened.peer.zone = zone;
    Reduce([&](reduce_context& ctx) { client.Handle(opened, ctx); });
  }
  template <class M>
  const M* LastSent() const {
    const M* found = nullptr;
    for (const effect& e : effects) {
      const auto* send = std::get_if<send_message>(&e);
      if (send != nullptr && std::holds_alternative<M>(send->body))
        found = &std::get<M>(send->body);
    }
    return found;
  }
  template <class E>
  const E* LastEffect() const {
    const E* found = nullptr;
    for (const effect& e : effects) {
      if (const auto* match = std::get_if<E>(&e)) found = match;
    }
    return found;
  }
  void ReceiveGrant(std::uint64_t sequence, std::uint64_t version) {
    Receive({1}, lease_grant{sequence, true, {}, config_leases::kLeaseDuration, version});
  }
};

}  // namespace

// Guards against an entry that uses its lease after the leader considers it expired: the lease runs
// from the sending of the renewal and is 1% shorter at the entry because of clock drift.
TEST_CASE("a lease expires 2.97 s after its renewal was sent") {
  client_fixture f;
  f.OpenLink({1}, first_controller);
  std::uint64_t sequence = f.LastSent<lease_renew>()->sequence;
  f.clock.Advance(milliseconds(500));
  f.ReceiveGrant(sequence, 3);
  CHECK_FALSE(f.client.LeaseValid(f.clock.Now()));
  f.Receive({1}, config_push{3, "ayse", Sheet(100)});
  CHECK(f.client.LeaseValid(f.clock.Now()));
  CHECK(f.LastEffect<publish_routing_table>()->config_lease_until ==
        f.clock.Now() + milliseconds(2970 - 500));
  CHECK(f.LastSent<lease_renew>()->applied_version == 3);
  f.clock.Advance(milliseconds(2469));
  CHECK(f.client.LeaseValid(f.clock.Now()));
  f.Tick(milliseconds(1));
  CHECK_FALSE(f.client.LeaseValid(f.clock.Now()));
  CHECK(f.LastEffect<publish_routing_table>()->config_lease_until == steady_time::min());
  // A late grant for the same renewal does not restore the lease.
  f.ReceiveGrant(sequence, 3);
  CHECK_FALSE(f.client.LeaseValid(f.clock.Now()));
}

// Guards against a delayed push that reverts the configuration.
TEST_CASE("an entry never applies a version below the highest known one") {
  client_fixture f;
  f.OpenLink({1}, first_controller);
  f.ReceiveGrant(f.LastSent<lease_renew>()->sequence, 5);
  f.Receive({1}, config_push{4, "ayse", Sheet(100)});
  CHECK(f.client.AppliedVersion() == 0);
  CHECK_FALSE(f.client.Ready());
  f.Receive({1}, config_push{5, "ayse", Sheet(100)});
  f.Receive({1}, config_push{4, "ayse", Sheet(200)});
  CHECK(f.client.AppliedVersion() == 5);
}

// Guards against staying with a controller that is not the leader.
TEST_CASE("an entry follows the hint to the leader") {
  client_fixture f({first_controller, second_controller});
  endpoint first = f.LastEffect<open_link>()->address;
  endpoint second = first == first_controller ? second_controller : first_controller;
  f.OpenLink({1}, first);
  f.Receive({1}, lease_grant{f.LastSent<lease_renew>()->sequence, false, second, {}, 0});
  CHECK(f.LastEffect<open_link>()->address == second);
  CHECK(f.LastEffect<close_link>()->link == link_id{1});
}

// Guards against abandoning a healthy leader between two renewals: the timeout for a silent leader
// was once equal to the renewal interval.
TEST_CASE("an entry keeps a leader that responds slowly") {
  client_fixture f;
  f.OpenLink({1}, first_controller);
  for (int second = 0; second < 20; ++second) {
    const auto* renew = f.LastSent<lease_renew>();
    REQUIRE(renew != nullptr);
    std::uint64_t sequence = renew->sequence;
    f.Tick(milliseconds(200));
    CHECK(f.LastEffect<open_link>() == nullptr);
    f.ReceiveGrant(sequence, 0);
    f.Tick(milliseconds(800));
    CHECK(f.LastEffect<open_link>() == nullptr);
  }
  CHECK(f.client.LeaseValid(f.clock.Now()));
  // A silent leader is abandoned after 1.5 s.
  f.Tick(milliseconds(1500));
  CHECK(f.LastEffect<open_link>() != nullptr);
}

// Guards against a restarted entry, which keeps nothing on disk, that serves under an older
// configuration than the other processes of its zone.
TEST_CASE("a restarted entry without a leader adopts the highest version in its zone") {
  client_fixture f;
  for (int i = 0; i < 3; ++i) f.Tick(milliseconds(1000));
  CHECK_FALSE(f.client.Ready());
  REQUIRE(f.LastEffect<open_link>()->address == peer_entry);
  f.OpenLink({7}, peer_entry, "zone-2");
  CHECK(f.LastSent<version_query>() == nullptr);
  f.OpenLink({8}, peer_entry);
  REQUIRE(f.LastSent<version_query>() != nullptr);
  f.Receive({9}, version_reply{1, 4, Sheet(100), "zone-1"});
  f.Receive({8}, version_reply{1, 6, Sheet(200), "zone-1"});
  f.Receive({7}, version_reply{1, 9, Sheet(300), "zone-2"});
  f.Tick(milliseconds(600));
  CHECK(f.client.Ready());
  CHECK(f.client.AppliedVersion() == 6);
  CHECK_FALSE(f.client.LeaseValid(f.clock.Now()));
  // The leader's version replaces the adopted one once the leader is reached.
  f.OpenLink({1}, first_controller);
  f.ReceiveGrant(f.LastSent<lease_renew>()->sequence, 7);
  f.Receive({1}, config_push{7, "ayse", Sheet(100)});
  CHECK(f.client.AppliedVersion() == 7);
}

// Guards against a restarted process that never serves without a leader because its session tries
// the controllers in turn and replaces the links on which they have replied.
TEST_CASE("a reply of a peer stays valid when its link is replaced") {
  client_fixture f({first_controller}, {first_controller});
  for (int i = 0; i < 3; ++i) f.Tick(milliseconds(1000));
  f.OpenLink({8}, first_controller);
  REQUIRE(f.LastSent<version_query>() != nullptr);
  f.Receive({8}, version_reply{1, 6, Sheet(200), "zone-1"});
  f.Reduce([&](reduce_context& ctx) {
    f.client.Handle(link_closed{{8}, first_controller, {}}, ctx);
  });
  f.Tick(milliseconds(600));
  CHECK(f.client.Ready());
  CHECK(f.client.AppliedVersion() == 6);
}

// Guards against a restarted entry that adopts version 0 from a peer that has no version either.
TEST_CASE("an entry without a version does not answer version queries") {
  client_fixture f;
  f.Receive({8}, version_query{1});
  CHECK(f.LastSent<version_reply>() == nullptr);
}

// Guards against reporting a version in force while an entry may still serve under an older one.
TEST_CASE("a version is in force in a zone when every entry with a lease has applied it") {
  state_fixture state;
  state.Change(0, "a", Sheet(100));
  config_leases leases;
  manual_clock clock;
  random_source random(1);
  effect_list effects;
  auto renew = [&](const char* node, const char* zone, std::uint64_t applied) {
    reduce_context ctx{clock.Now(), clock.WallNow(), random, effects};
    leases.OnRenew({1}, {1, node, zone, applied, applied}, state.machine.Config(), {}, ctx);
    const auto& sent = std::get<send_message>(effects.front()).body;
    bool granted = std::get<lease_grant>(sent).granted;
    effects.clear();
    return granted;
  };
  CHECK_FALSE(renew("e1", "z1", 0));
  leases.BecomeLeader(clock.Now());
  CHECK(renew("e1", "z1", 0));
  CHECK_FALSE(renew("e9", "z1", 2));
  CHECK(renew("e2", "z1", 1));
  CHECK(renew("e3", "z2", 1));
  CHECK_FALSE(leases.Report(1, clock.Now()).known);
  clock.Advance(milliseconds(2900));
  renew("e2", "z1", 1);
  renew("e3", "z2", 1);
  renew("e1", "z1", 0);
  clock.Advance(milliseconds(200));
  auto report = leases.Report(1, clock.Now());
  REQUIRE(report.zones.size() == 2);
  CHECK(report.known);
  CHECK_FALSE(report.zones[0].in_force);
  CHECK(report.zones[1].in_force);
  clock.Advance(milliseconds(1000));
  renew("e2", "z1", 1);
  // The lease of e1 expires, so e1 refuses non-idempotent work and no longer counts.
  clock.Advance(milliseconds(1900));
  CHECK(leases.Report(1, clock.Now()).zones[0].in_force);
}

// Guards against a report that omits an unreachable zone, from which a new leader has no leases.
// A report without any entry must not be taken as in force everywhere.
TEST_CASE("a zone without leases is listed in the report") {
  state_fixture state;
  state.Apply(replica_change{{{{1}, "z1", {}, true, {}}, {{2}, "z2", {}, true, {}}}});
  state.Change(0, "a", Sheet(100));
  config_leases leases;
  manual_clock clock;
  random_source random(1);
  effect_list effects;
  leases.BecomeLeader(clock.Now());
  clock.Advance(config_leases::kLeaseDuration);
  auto report = ReportChange(state.machine, leases, "a", clock.Now());
  REQUIRE(report.in_force.zones.size() == 2);
  CHECK_FALSE(report.InForceEverywhere());
  reduce_context ctx{clock.Now(), clock.WallNow(), random, effects};
  leases.OnRenew({1}, {1, "e1", "z1", 1, 1}, state.machine.Config(), {}, ctx);
  report = ReportChange(state.machine, leases, "a", clock.Now());
  REQUIRE(report.in_force.zones.size() == 2);
  CHECK(report.in_force.zones[0].entries == 1);
  CHECK(report.in_force.zones[1].zone == "z2");
  CHECK(report.in_force.zones[1].entries == 0);
  CHECK(report.InForceEverywhere());
}

// Guards against a running entry that waits for a version in transit while storms of changes make
// each of them old.
TEST_CASE("a running entry applies a newer version although a still newer one is known") {
  client_fixture f;
  f.OpenLink({1}, first_controller);
  f.ReceiveGrant(f.LastSent<lease_renew>()->sequence, 1);
  f.Receive({1}, config_push{1, "ayse", Sheet(100)});
  f.ReceiveGrant(f.LastSent<lease_renew>()->sequence, 3);
  f.Receive({1}, config_push{2, "ayse", Sheet(200)});
  CHECK(f.client.AppliedVersion() == 2);
  CHECK_FALSE(f.client.LeaseValid(f.clock.Now()));
  f.Receive({1}, config_push{3, "ayse", Sheet(300)});
  CHECK(f.client.AppliedVersion() == 3);
  CHECK(f.client.LeaseValid(f.clock.Now()));
}

namespace {

/// The leases of a leader whose documents do not compress, and the pushes of its last reduction.
struct lease_fixture {
  fake_context fake;
  config_document config;
  config_leases leases;

  lease_fixture() { leases.BecomeLeader(fake.Now()); }

  void Commit(std::uint64_t version, std::size_t bytes) {
    config_change change{version, "v", "ayse", std::string(bytes, 'x'),
                         config_precedence::kHighestVersion};
    fake.Do([&](auto& ctx) {
      config.Apply(change, ctx);
      leases.OnCommitted(config, ctx);
    });
  }
  void Renew(std::uint64_t entry, std::uint64_t applied, bool accepts_patch = false) {
    lease_renew renew{1, "e" + std::to_string(entry), "z1", applied, applied, 0, accepts_patch};
    fake.Do([&](auto& ctx) { leases.OnRenew({entry}, renew, config, {}, ctx); });
  }
  std::size_t Pushes() const { return fake.Sent<config_push>().size(); }
};

}  // namespace

// Guards against copies of one document on one link, and against a queue of documents that are old
// on arrival.
TEST_CASE("an entry has one document in transit and gets the latest version next") {
  lease_fixture f;
  f.Commit(1, 1000);
  f.Renew(1, 0);
  CHECK(f.Pushes() == 1);
  // The renewal crosses the document.
  f.Renew(1, 0);
  CHECK(f.Pushes() == 0);
  f.Commit(2, 1000);
  CHECK(f.Pushes() == 0);
  f.Commit(3, 1000);
  CHECK(f.Pushes() == 0);
  f.Renew(1, 1);
  REQUIRE(f.Pushes() == 1);
  CHECK(f.fake.Sent<config_push>()[0].second.version == 3);
  f.Renew(1, 3);
  CHECK(f.Pushes() == 0);
  CHECK(f.fake.All<write_log>().size() == 1);
}

// Guards against entries that are late for a change while nothing tells which and why.
TEST_CASE("an entry that applies a version late is logged with its lag") {
  lease_fixture f;
  constexpr std::size_t kDocumentBytes = config_leases::kMaxBytesInTransit;
  f.Commit(1, kDocumentBytes);
  for (std::uint64_t entry = 1; entry <= 2; ++entry) f.Renew(entry, 1);
  f.Commit(2, kDocumentBytes);
  f.fake.Advance(config_leases::kLateAfter - milliseconds(1));
  f.Renew(1, 2);
  CHECK(f.fake.All<write_log>().empty());
  f.Renew(2, 1);
  f.fake.Advance(milliseconds(1));
  f.Renew(2, 2);
  REQUIRE(!f.fake.All<write_log>().empty());
  const log_event late = f.fake.All<write_log>()[0].event;
  CHECK(late.code == event_code::kConfigEntryLate);
  CHECK(late.fields[0].value == "e2");
  CHECK(late.fields[4].value == std::to_string(config_leases::kLateAfter.count()));
}

// Guards against silent entries that delay a change at the others, since theirs is the oldest
// version.
TEST_CASE("an entry that left a document unanswered is served after the others") {
  lease_fixture f;
  constexpr std::size_t kDocumentBytes = config_leases::kMaxBytesInTransit;
  f.Commit(1, kDocumentBytes);
  for (std::uint64_t entry = 1; entry <= 3; ++entry) f.Renew(entry, 1);
  f.Commit(2, kDocumentBytes);
  REQUIRE(f.Pushes() == 1);
  REQUIRE(f.fake.Sent<config_push>()[0].first == link_id{1});
  f.fake.Advance(config_leases::kPushTimeout);
  f.Renew(3, 2);
  REQUIRE(f.Pushes() == 1);
  CHECK(f.fake.Sent<config_push>()[0].first == link_id{2});
}

// Guards against a leader that fills its link with documents, so that its heartbeats come too late.
TEST_CASE("documents in transit to all entries are bounded") {
  lease_fixture f;
  constexpr std::size_t kDocumentBytes = config_leases::kMaxBytesInTransit / 4;
  for (std::uint64_t entry = 1; entry <= 40; ++entry) f.Renew(entry, 0);
  f.Commit(1, kDocumentBytes);
  CHECK(f.Pushes() == 4);
  for (std::uint64_t entry = 1; entry <= 40; ++entry) f.Renew(entry, 0);
  std::size_t delivered = 4;
  // Entries apply in any order; each of them makes room for one more.
  std::set<std::uint64_t> applied;
  f.Renew(1, 1);
  while (f.Pushes() > 0) {
    REQUIRE(f.Pushes() == 1);
    std::uint64_t next = f.fake.Sent<config_push>()[0].first.value;
    CHECK(applied.insert(next).second);
    ++delivered;
    f.Renew(next, 1);
  }
  CHECK(delivered >= 37);
}

// Guards against an entry that has vanished and holds its share of the documents in transit for
// good.
TEST_CASE("a document that is not applied in time makes room and is sent again") {
  lease_fixture f;
  f.Renew(1, 0);
  f.Renew(2, 0);
  f.Commit(1, config_leases::kMaxBytesInTransit);
  CHECK(f.Pushes() == 1);
  f.fake.Advance(config_leases::kPushTimeout);
  f.Renew(2, 0);
  CHECK(f.Pushes() == 1);
}

// Guards against patches to entries that cannot apply them: of an earlier release, without the base
// or with a damaged copy of it.
TEST_CASE("an entry gets a patch only to a version that it holds, and the document on request") {
  constexpr std::size_t kDocumentBytes = 10'000;
  constexpr bool kAcceptsPatch = true;
  lease_fixture f;
  f.Commit(1, kDocumentBytes);
  f.Renew(1, 1, kAcceptsPatch);
  f.Renew(2, 1);
  f.Renew(3, 0, kAcceptsPatch);
  REQUIRE(f.Pushes() == 1);
  CHECK_FALSE(f.fake.Sent<config_push>()[0].second.patch);
  f.Commit(2, kDocumentBytes + 1);
  REQUIRE(f.Pushes() == 2);
  const config_push patched = f.fake.Sent<config_push>()[0].second;
  REQUIRE(patched.patch);
  CHECK(patched.version == 2);
  CHECK(patched.patch->base_version == 1);
  CHECK(patched.sheet.empty());
  std::string sheet;
  REQUIRE_FALSE(ApplyPatch(std::string(kDocumentBytes, 'x'), patched.patch->changes, sheet));
  CHECK(sheet == f.config.Sheet());
  CHECK_FALSE(f.fake.Sent<config_push>()[1].second.patch);
  // The patch could not be applied.
  f.Renew(1, 1);
  REQUIRE(f.Pushes() == 1);
  CHECK_FALSE(f.fake.Sent<config_push>()[0].second.patch);
  CHECK(f.fake.Sent<config_push>()[0].second.sheet == f.config.Sheet());
}

// Guards against an entry that serves under a text that no operator sent, or waits for good.
TEST_CASE("an entry applies a patch to its own version and asks for the document otherwise") {
  client_fixture f;
  f.OpenLink({1}, first_controller);
  f.ReceiveGrant(f.LastSent<lease_renew>()->sequence, 1);
  f.Receive({1}, config_push{1, "ayse", Sheet(100)});
  CHECK(f.LastSent<lease_renew>()->accepts_patch);
  config_push push{2, "ayse", {}, config_patch{1, {}}};
  REQUIRE_FALSE(MakePatch(Sheet(100), Sheet(200), push.patch->changes));
  f.Receive({1}, push);
  CHECK(f.client.AppliedVersion() == 2);
  CHECK(f.LastSent<lease_renew>()->accepts_patch);
  // A repeated patch is harmless.
  f.Receive({1}, push);
  CHECK(f.LastSent<lease_renew>()->accepts_patch);
  push.version = 3;
  f.Receive({1}, push);
  CHECK(f.client.AppliedVersion() == 2);
  CHECK_FALSE(f.LastSent<lease_renew>()->accepts_patch);
  CHECK(std::any_of(f.effects.begin(), f.effects.end(), [](const effect& e) {
    const auto* log = std::get_if<write_log>(&e);
    return log != nullptr && log->event.code == event_code::kConfigPatchRejected;
  }));
  f.Receive({1}, config_push{3, "ayse", Sheet(300)});
  CHECK(f.client.AppliedVersion() == 3);
  CHECK(f.LastSent<lease_renew>()->accepts_patch);
}

// Guards against whole documents to all entries after a change of leader in a storm.
TEST_CASE("a new leader patches versions that were committed before it led") {
  constexpr std::size_t kDocumentBytes = 10'000;
  lease_fixture f;
  f.leases.StepDown();
  f.Commit(1, kDocumentBytes);
  f.Commit(2, kDocumentBytes + 1);
  f.leases.BecomeLeader(f.fake.Now());
  f.Renew(1, 1, true);
  REQUIRE(f.Pushes() == 1);
  CHECK(f.fake.Sent<config_push>()[0].second.version == 2);
  CHECK(f.fake.Sent<config_push>()[0].second.patch);
}

// Guards against callers who wait while their entry reads one document after the other.
TEST_CASE("an entry reads two versions a second in a storm, and the last one in time") {
  constexpr milliseconds kGap(50);
  constexpr int kChanges = 100;
  lease_fixture f;
  f.Commit(1, 1000);
  f.Renew(1, 1);
  std::uint64_t version = 1;
  int pushes = 0;
  auto apply_pushed = [&] {
    while (f.Pushes() > 0) {
      ++pushes;
      f.Renew(1, f.fake.Sent<config_push>()[0].second.version);
    }
  };
  auto tick = [&] {
    f.fake.Advance(kGap);
    f.fake.Do([&](auto& ctx) { f.leases.OnTimer(f.config, ctx); });
    apply_pushed();
  };
  while (version <= kChanges) {
    f.Commit(++version, 1000);
    apply_pushed();
    tick();
  }
  constexpr auto kStorm = kChanges * kGap;
  CHECK(pushes <= 2 + kStorm / config_leases::kPushInterval);
  for (auto waited = milliseconds(0); waited < config_leases::kPushInterval; waited += kGap) tick();
  auto report = f.leases.Report(version, f.fake.Now());
  REQUIRE(report.zones.size() == 1);
  CHECK(report.zones[0].applied == 1);
}

// Guards against unauthorized changes, invalid sheets in the log, and conflicts that are not
// reported as such.
TEST_CASE("operators change and query the configuration over HTTP") {
  state_fixture state;
  config_leases leases;
  bool leader = true;
  config_http_backend backend{&state.machine, &leases,
                              [&](const config_change& c) {
                                if (leader) state.Apply(c);
                                return leader;
                              },
                              [&] { return leader; }, "token"};
  auto send_request = [&](const char* method, const std::string& path, const std::string& body,
                          const std::string& token = "Bearer token") {
    http_request request;
    request.method = method;
    request.path = path;
    request.headers["authorization"] = token;
    request.body = body;
    return *HandleConfigHttp(request, backend, steady_time());
  };
  auto change = [&](const char* id, const char* author, int deadline) {
    std::string sheet = Sheet(deadline);
    for (std::size_t pos = 0; (pos = sheet.find('\n', pos)) != std::string::npos; pos += 2) {
      sheet.replace(pos, 1, "\\n");
    }
    return R"({"base_version":0,"change_id":")" + std::string(id) + R"(","author":")" + author +
           R"(","sheet":")" + sheet + "\"}";
  };
  const std::string path = "/v1/config/changes";
  CHECK(send_request("POST", path, change("a", "ayse", 100), "Bearer tokem").status == 401);
  CHECK(send_request("POST", path, change("a", "ayse", 0)).status == 422);
  CHECK(send_request("POST", path, change("a/b", "ayse", 100)).status == 422);
  CHECK(send_request("POST", path, "{}").status == 400);
  CHECK(state.machine.Config().Version() == 0);
  CHECK(send_request("POST", path, change("a", "ayse", 100)).status == 202);
  CHECK(send_request("POST", path, change("a", "ayse", 100)).status == 202);
  CHECK(send_request("POST", path, change("b", "mehmet", 200)).status == 202);
  CHECK(send_request("GET", path + "/a", "").body.find("\"committed\"") != std::string::npos);
  std::string conflict = send_request("GET", path + "/b", "").body;
  CHECK(conflict.find("\"conflict\"") != std::string::npos);
  CHECK(conflict.find("\"ayse\"") != std::string::npos);
  CHECK(send_request("GET", path + "/c", "").body.find("\"pending\"") != std::string::npos);
  CHECK(send_request("GET", "/v1/status", "").status == 200);
  leader = false;
  CHECK(send_request("GET", "/v1/status", "").status == 421);
  CHECK(send_request("POST", path, change("d", "ayse", 100)).status == 421);
}

}  // namespace radishroute
