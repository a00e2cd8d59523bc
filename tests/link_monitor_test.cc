#include "radishroute/link_monitor.h"

#include <catch2/catch.hpp>

#include "fake_context.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

const endpoint agent_address{"10.0.0.1", 1};

struct monitor_fixture {
  fake_context fake;
  link_monitor monitor;

  void Open(std::uint64_t link) {
    fake.Do([&](auto& ctx) { monitor.Handle(link_opened{{link}, {}, agent_address}, ctx); });
  }
  void Tick(milliseconds by) {
    fake.Advance(by);
    fake.Do([&](auto& ctx) { monitor.Handle(timer_expired{}, ctx); });
  }
};

}  // namespace

// Guards against keeping a permanently silent link while new connections to the peer work.
TEST_CASE("a silent link is replaced by a second link to the same address") {
  monitor_fixture f;
  f.Open(1);
  f.Tick(milliseconds(500));
  CHECK(f.fake.Sent<heartbeat>().size() == 1);
  f.Tick(milliseconds(500));
  CHECK(f.fake.All<open_link>().empty());
  f.Tick(milliseconds(500));
  REQUIRE(f.fake.All<open_link>().size() == 1);
  CHECK(f.fake.All<open_link>()[0].address == agent_address);
  f.Open(2);
  REQUIRE(f.fake.All<close_link>().size() == 1);
  CHECK(f.fake.All<close_link>()[0].link == link_id{1});
}

// Guards against keeping a silent link when the peer is unreachable.
TEST_CASE("the old link is closed when its replacement fails") {
  monitor_fixture f;
  f.Open(1);
  f.Tick(milliseconds(500));
  f.Tick(milliseconds(500));
  f.Tick(milliseconds(500));
  f.fake.Do([&](auto& ctx) { f.monitor.Handle(link_closed{{0}, agent_address, {}}, ctx); });
  REQUIRE(f.fake.All<close_link>().size() == 1);
  CHECK(f.monitor.Size() == 0);
}

// Guards against dropping a link in the middle of a large message, which then starts from its
// beginning.
TEST_CASE("a link on which a large message arrives is not replaced") {
  monitor_fixture f;
  f.Open(1);
  for (int i = 0; i < 8; ++i) {
    f.Tick(milliseconds(400));
    CHECK(f.fake.All<open_link>().empty());
    f.fake.Do([&](auto& ctx) { f.monitor.Handle(link_progressed{{1}}, ctx); });
  }
}

// Guards against replacing all links after a pause of this process.
TEST_CASE("silence during a pause of this process is not counted") {
  monitor_fixture f;
  f.Open(1);
  f.Tick(milliseconds(5000));
  CHECK(f.fake.All<open_link>().empty());
}

}  // namespace radishroute
