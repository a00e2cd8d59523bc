#include "radishroute/leader_session.h"

#include <catch2/catch.hpp>

#include "fake_context.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;

const endpoint controller_address{"10.0.0.1", 9101};

link_opened Opened(std::uint64_t link) { return {{link}, {}, controller_address}; }

}  // namespace

// Guards against two sessions of one process that endlessly close each other's link to the leader.
TEST_CASE("sessions with the same controller share the newest link") {
  fake_context fake;
  leader_session orders({controller_address});
  leader_session rank({controller_address});
  fake.Do([&](auto& ctx) {
    orders.Start(ctx);
    rank.Start(ctx);
  });
  CHECK(fake.All<open_link>().size() == 2);
  for (std::uint64_t link = 1; link <= 2; ++link) {
    CHECK(orders.OnOpened(Opened(link)));
    CHECK(rank.OnOpened(Opened(link)));
  }
  // The transport closes the first link because the second one replaces it.
  fake.Do([&](auto& ctx) {
    CHECK_FALSE(orders.OnClosed({{1}, controller_address, {}}, ctx));
    CHECK_FALSE(rank.OnClosed({{1}, controller_address, {}}, ctx));
  });
  CHECK(fake.All<open_link>().empty());
  CHECK(orders.Link() == link_id{2});
  CHECK(rank.Link() == link_id{2});
}

// Guards against a session that keeps using a silent link after it has been replaced.
TEST_CASE("a session switches to the link that replaces its own") {
  fake_context fake;
  leader_session session({controller_address});
  fake.Do([&](auto& ctx) { session.Start(ctx); });
  CHECK(session.OnOpened(Opened(1)));
  fake.Do([&](auto& ctx) { session.OnLeader(ctx); });
  CHECK(session.OnOpened(Opened(2)));
  CHECK(session.Confirmed());
  CHECK(session.Link() == link_id{2});
}

// Guards against a session that gives up its leader because the leader's replies wait behind a
// large message.
TEST_CASE("a session keeps its leader while a large message arrives") {
  fake_context fake;
  leader_session session({controller_address, {"10.0.0.2", 9101}});
  fake.Do([&](auto& ctx) { session.Start(ctx); });
  bool first = fake.All<open_link>().at(0).address == controller_address;
  link_opened opened = Opened(1);
  if (!first) opened.dialed = {"10.0.0.2", 9101};
  CHECK(session.OnOpened(opened));
  fake.Do([&](auto& ctx) { session.OnLeader(ctx); });
  for (int i = 0; i < 8; ++i) {
    fake.Advance(400ms);
    fake.Do([&](auto& ctx) { session.OnProgress({1}, ctx); });
    fake.Do([&](auto& ctx) { session.OnTimer(ctx); });
    CHECK(session.Confirmed());
  }
  fake.Advance(1500ms);
  fake.Do([&](auto& ctx) { session.OnTimer(ctx); });
  CHECK_FALSE(session.Confirmed());
}

// Guards against using a link that the session did not request.
TEST_CASE("a session without a link ignores links opened by others") {
  fake_context fake;
  leader_session session({controller_address});
  fake.Do([&](auto& ctx) { session.Start(ctx); });
  CHECK(session.OnOpened(Opened(1)));
  fake.Do([&](auto& ctx) { session.OnClosed({{1}, controller_address, {}}, ctx); });
  CHECK_FALSE(session.OnOpened(Opened(2)));
  CHECK_FALSE(session.Link());
}

}  // namespace radishroute
