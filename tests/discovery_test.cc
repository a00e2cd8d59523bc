#include "radishroute/discovery.h"

#include <catch2/catch.hpp>

#include "fake_context.h"
#include "radishroute/announcer.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

const std::vector<endpoint> peer_addresses = {{"10.0.0.1", 1}, {"10.0.0.2", 1}, {"10.0.0.3", 1}};

announcement MakeRecord(std::uint64_t incarnation, std::uint64_t sequence, backend_status status) {
  announcement a;
  a.backend = "engine-1";
  a.incarnation = incarnation;
  a.sequence = sequence;
  a.status = status;
  a.models = {"draft"};
  a.home = 99;
  return a;
}

struct directory_fixture {
  fake_context fake;
  directory entry{{1, 1000}, "a", {}, peer_addresses};

  directory_fixture() {
    fake.Do([&](auto& ctx) { entry.Handle(process_started{}, ctx); });
  }
  void ReceiveDelta(const announcement& a) {
    fake.Do([&](auto& ctx) { entry.Handle(link_id{50}, directory_delta{{a}}, ctx); });
  }
  void Tick(milliseconds by) {
    fake.Advance(by);
    fake.Do([&](auto& ctx) { entry.Handle(timer_expired{}, ctx); });
  }
  backend_status Status() const { return entry.Status("engine-1"); }
};

}  // namespace

// Guards against a delayed older announcement that routes new work to a leaving backend server.
TEST_CASE("a leaving record is a tombstone for its incarnation") {
  directory_fixture f;
  f.ReceiveDelta(MakeRecord(5, 3, backend_status::kLeaving));
  f.ReceiveDelta(MakeRecord(5, 2, backend_status::kUp));
  f.ReceiveDelta(MakeRecord(5, 9, backend_status::kUp));
  CHECK(f.Status() == backend_status::kLeaving);
  f.ReceiveDelta(MakeRecord(6, 0, backend_status::kUp));
  CHECK(f.Status() == backend_status::kUp);
}

// Guards against declaring a backend server down that has announced itself to another entry.
TEST_CASE("an agent whose link is lost is down only if it announces nothing newer") {
  directory_fixture f;
  auto announce = [&](std::uint64_t link) {
    f.fake.Do([&](auto& ctx) {
      f.entry.Handle(link_id{link}, MakeRecord(5, 1, backend_status::kUp), ctx);
    });
  };
  auto close = [&](std::uint64_t link) {
    f.fake.Do([&](auto& ctx) { f.entry.Handle(link_closed{{link}, {}, {}}, ctx); });
  };
  announce(7);
  close(7);
  f.ReceiveDelta(MakeRecord(5, 2, backend_status::kUp));
  f.Tick(milliseconds(1100));
  CHECK(f.Status() == backend_status::kUp);
  f.fake.Do(
      [&](auto& ctx) { f.entry.Handle(link_id{8}, MakeRecord(5, 3, backend_status::kUp), ctx); });
  close(8);
  CHECK(f.Status() == backend_status::kUp);
  f.Tick(milliseconds(1100));
  CHECK(f.Status() == backend_status::kDown);
}

// Guards against records of a lost zone that never expire, and against records that stay expired
// after a partition heals.
TEST_CASE("records expire with their home entry and are restored with it") {
  directory_fixture f;
  f.ReceiveDelta(MakeRecord(5, 1, backend_status::kUp));
  f.Tick(std::chrono::seconds(31));
  CHECK(f.Status() == backend_status::kDown);
  f.fake.Do([&](auto& ctx) { f.entry.Handle(link_id{50}, entry_heartbeats{{{99, 7}}}, ctx); });
  CHECK(f.Status() == backend_status::kUp);
}

// Guards against directories that stay different after gossip missed a change: a digest detects it
// and a pull transfers only its bucket.
TEST_CASE("digests repair changes that gossip missed") {
  directory_fixture a;
  directory_fixture b;
  for (int i = 0; i < 300; ++i) {
    announcement record = MakeRecord(5, 1, backend_status::kUp);
    record.backend = "engine-" + std::to_string(i);
    a.ReceiveDelta(record);
    if (i != 1) b.ReceiveDelta(record);
  }
  a.Tick(milliseconds(2000));
  b.Tick(milliseconds(2000));
  directory_digest digest;
  b.fake.Do([&](auto& ctx) {
    a.fake.Do([&](auto& inner) { a.entry.Handle(link_id{1}, directory_digest{1, 1}, inner); });
    digest = a.fake.Sent<directory_digest>().at(0).second;
    b.entry.Handle(link_id{1}, digest, ctx);
  });
  REQUIRE(b.fake.Sent<directory_pull>().size() == 1);
  directory_pull pull = b.fake.Sent<directory_pull>()[0].second;
  a.fake.Do([&](auto& ctx) { a.entry.Handle(link_id{1}, pull, ctx); });
  REQUIRE(a.fake.Sent<directory_delta>().size() == 1);
  directory_delta delta = a.fake.Sent<directory_delta>()[0].second;
  CHECK(delta.records.size() < 20);
  b.fake.Do([&](auto& ctx) { b.entry.Handle(link_id{1}, delta, ctx); });
  CHECK(b.Status() == backend_status::kUp);
  b.fake.Do([&](auto& ctx) { b.entry.Handle(link_id{1}, digest, ctx); });
  CHECK(b.fake.Sent<directory_pull>().empty());
}

// Guards against an agent that is no longer announced anywhere after its entries fail one by one.
TEST_CASE("an agent announces to three entries and replaces one that fails") {
  std::vector<endpoint> entries;
  for (std::uint16_t i = 1; i <= 7; ++i) entries.push_back({"10.0.1.1", i});
  fake_context fake;
  announcer agent(MakeRecord(5, 0, backend_status::kUp), entries);
  fake.Do([&](auto& ctx) { agent.Handle(process_started{}, ctx); });
  auto opened = fake.All<open_link>();
  REQUIRE(opened.size() == 3);
  for (std::uint64_t i = 0; i < 3; ++i) {
    fake.Do([&](auto& ctx) { agent.Handle(link_opened{{i + 1}, {}, opened[i].address}, ctx); });
    CHECK(fake.All<open_link>().empty());
  }
  fake.Do([&](auto& ctx) { agent.Handle(link_closed{{1}, opened[0].address, {}}, ctx); });
  REQUIRE(fake.All<open_link>().size() == 1);
  CHECK(fake.All<open_link>()[0].address != opened[0].address);
  // The remaining entries get a newer announcement, which overrides a report that the server is
  // down.
  REQUIRE(fake.Sent<announcement>().size() == 2);
  CHECK(fake.Sent<announcement>()[0].second.sequence == 1);
}

TEST_CASE("closing the link to a substitute entry does not declare the agent down") {
  // Guards against an entry restart that takes backend servers out of service: the entry's
  // substitute declares an agent down when the agent closes the link to it, unless the agent makes
  // a newer announcement.
  std::vector<endpoint> entries = {{"e", 1}, {"e", 2}, {"e", 3}, {"e", 4}};
  announcer agent(MakeRecord(5, 0, backend_status::kUp), entries);
  fake_context context;
  std::map<std::uint16_t, std::uint64_t> links;
  std::uint64_t next_link = 1;
  auto open_all = [&] {
    for (bool more = true; more;) {
      auto opens = context.All<open_link>();
      more = !opens.empty();
      for (const open_link& open : opens) {
        links[open.address.port] = next_link;
        context.Do([&](auto& ctx) {
          agent.Handle(link_opened{{next_link++}, {}, open.address}, ctx);
        });
        if (!context.All<close_link>().empty()) return;
      }
      if (!more) break;
      context.Do([&](auto& ctx) { agent.Handle(timer_expired{}, ctx); });
    }
  };
  context.Do([&](auto& ctx) { agent.Handle(process_started{}, ctx); });
  open_all();
  REQUIRE(links.size() == 3);
  std::uint16_t restarted = links.begin()->first;
  endpoint address{"e", restarted};
  context.Do([&](auto& ctx) {
    agent.Handle(link_closed{{links.at(restarted)}, address, {}}, ctx);
  });
  auto announced = context.Sent<announcement>();
  REQUIRE(announced.size() == 2);
  std::uint64_t before = announced[0].second.sequence;
  open_all();
  REQUIRE(links.size() == 4);
  context.Advance(std::chrono::milliseconds(600));
  context.Do([&](auto& ctx) { agent.Handle(timer_expired{}, ctx); });
  open_all();
  REQUIRE(context.All<close_link>().size() == 1);
  std::size_t newer = 0;
  for (const auto& [link, record] : context.Sent<announcement>()) {
    if (record.sequence > before) ++newer;
  }
  CHECK(newer == 3);
}

}  // namespace radishroute
