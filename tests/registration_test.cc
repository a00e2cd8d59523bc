#include <algorithm>
#include <catch2/catch.hpp>
#include <limits>

#include "fake_context.h"
#include "platform/control_wire.h"
#include "radishroute/discovery.h"
#include "radishroute/error.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

announcement MakeRecord(const std::string& id, std::uint64_t incarnation, std::uint64_t sequence,
                        backend_status status = backend_status::kUp, std::uint16_t port = 80) {
  announcement a;
  a.backend = id;
  a.incarnation = incarnation;
  a.sequence = sequence;
  a.status = status;
  a.traffic_address = {"10.0.0.9", port};
  a.models = {"draft"};
  return a;
}

/// A controller's directory with a link to another controller and one from an entry.
struct registration_fixture {
  fake_context fake;
  directory controller{{1, 1}, "a", {}, {}, Limits(), process_role::kController};

  static directory_limits Limits() {
    directory_limits limits;
    limits.use_registration = true;
    limits.registration_timeout = milliseconds(5000);
    return limits;
  }

  registration_fixture() {
    fake.Do([&](auto& ctx) { controller.Handle(process_started{}, ctx); });
    hello peer;
    peer.role = process_role::kController;
    fake.Do([&](auto& ctx) {
      controller.Handle(link_opened{{10}, peer, {"10.0.0.2", 7000}}, ctx);
    });
    peer.role = process_role::kEntry;
    fake.Do([&](auto& ctx) { controller.Handle(link_opened{{20}, peer, {}}, ctx); });
  }

  void Register(const announcement& a) {
    fake.Do([&](auto& ctx) { controller.Handle(backend_registered{{1}, a}, ctx); });
  }
  void ReceiveFromController(const announcement& a) {
    fake.Do([&](auto& ctx) { controller.Handle(link_id{10}, directory_delta{{a}}, ctx); });
  }
  void Tick(milliseconds by) {
    fake.Advance(by);
    fake.Do([&](auto& ctx) { controller.Handle(timer_expired{}, ctx); });
  }
  std::size_t CountSentTo(link_id link) const {
    std::size_t sent = 0;
    for (const auto& m : fake.All<send_message>()) sent += m.link == link ? 1 : 0;
    return sent;
  }
};

}  // namespace

// Guards against an entry that learns only by gossip, and too late, that an engine is leaving.
TEST_CASE("a change is pushed to every controller and entry, a repeated registration to none") {
  registration_fixture f;
  f.Register(MakeRecord("e1", 5, 1));
  CHECK(f.CountSentTo({10}) == 1);
  CHECK(f.CountSentTo({20}) == 1);
  f.Register(MakeRecord("e1", 5, 2));
  CHECK(f.CountSentTo({20}) == 0);
  f.Register(MakeRecord("e1", 5, 3, backend_status::kLeaving));
  CHECK(f.CountSentTo({20}) == 1);
}

// Guards against a late registration that puts a leaving engine back in service.
TEST_CASE("an engine that left returns only with a new incarnation") {
  registration_fixture f;
  f.Register(MakeRecord("e1", 5, 4));
  f.fake.Do([&](auto& ctx) { f.controller.Handle(backend_withdrawn{{1}, "e1"}, ctx); });
  f.Register(MakeRecord("e1", 5, 9));
  CHECK(f.controller.Status("e1") == backend_status::kLeaving);
  f.Register(MakeRecord("e1", 6, 1));
  CHECK(f.controller.Status("e1") == backend_status::kUp);
  f.ReceiveFromController(MakeRecord("e1", 5, 10));
  CHECK(f.controller.Status("e1") == backend_status::kUp);
}

// Guards against requests for a crashed engine that reach another engine at its reused address.
TEST_CASE("of two engines at one address the one that started later is used") {
  registration_fixture f;
  f.Register(MakeRecord("old", 5, 4));
  f.Register(MakeRecord("new", 8, 1));
  CHECK(f.controller.Status("old") == backend_status::kLeaving);
  CHECK(f.controller.Status("new") == backend_status::kUp);
  f.Register(MakeRecord("older", 3, 99));
  CHECK(f.controller.Status("older") == backend_status::kDown);
  CHECK(f.controller.Status("new") == backend_status::kUp);
}

// Guards against routing to an engine that crashed silently, and against declaring an engine down
// because it now registers at another controller.
TEST_CASE("a registration expires unless it is repeated here or at another controller") {
  registration_fixture f;
  f.Register(MakeRecord("e1", 5, 1));
  f.Register(MakeRecord("e2", 5, 1, backend_status::kUp, 81));
  for (int i = 0; i < 6; ++i) {
    f.Tick(milliseconds(1000));
    f.ReceiveFromController(
        MakeRecord("e2", 5, static_cast<std::uint64_t>(i) + 2, backend_status::kUp, 81));
  }
  CHECK(f.controller.Status("e1") == backend_status::kDown);
  CHECK(f.controller.Status("e2") == backend_status::kUp);
  f.ReceiveFromController(MakeRecord("e2", 5, 2, backend_status::kDown, 81));
  CHECK(f.controller.Status("e2") == backend_status::kUp);
  CHECK(f.CountSentTo({20}) == 1);
}

// Guards against an entry of another writer that shadows the true registrations of a live engine,
// or takes its address.
TEST_CASE("a registration out of reach or with another identity changes nothing") {
  registration_fixture f;
  auto now = std::chrono::duration_cast<milliseconds>(manual_clock().WallNow().time_since_epoch());
  auto born = static_cast<std::uint64_t>((now - std::chrono::minutes(5)).count());
  f.Register(MakeRecord("e1", born, 40));
  REQUIRE(f.controller.Status("e1") == backend_status::kUp);
  auto rejected = [&](const announcement& odd) {
    f.Register(odd);
    auto answers = f.fake.All<registration_answered>();
    return answers.size() == 1 && !answers.front().accepted && f.CountSentTo({20}) == 0;
  };
  constexpr std::uint64_t kHighest = std::numeric_limits<std::uint64_t>::max();
  auto year = static_cast<std::uint64_t>(milliseconds(std::chrono::hours(24 * 365)).count());
  CHECK(rejected(MakeRecord("e1", born, kHighest)));
  CHECK(rejected(MakeRecord("e1", born, 1000000)));
  CHECK(rejected(MakeRecord("e1", born, 41, backend_status::kUp, 81)));
  CHECK(rejected(MakeRecord("e1", kHighest, 1)));
  CHECK(rejected(MakeRecord("e1", born + year, 1)));
  CHECK(rejected(MakeRecord("other", kHighest, 1)));
  CHECK(rejected(MakeRecord("other", born + year, 1)));
  announcement moved = MakeRecord("e1", born, 41);
  moved.models = {"unknown"};
  CHECK(rejected(moved));
  CHECK(f.controller.Status("e1") == backend_status::kUp);
  f.Register(MakeRecord("e1", born, 41, backend_status::kLeaving));
  CHECK(f.controller.Status("e1") == backend_status::kLeaving);
  CHECK(f.CountSentTo({20}) == 1);
}

// Guards against accepting malformed registrations from other clients as engines.
TEST_CASE("a malformed registration is rejected") {
  announcement out;
  const std::string valid =
      R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"ready",)"
      R"("sequence":3,"born":17})";
  CHECK(!platform::DecodeRegistration("i-1", valid, out));
  CHECK(out.incarnation == 17);
  for (const std::string invalid :
       {R"({"service":"s"})", "{", "[]", R"({"service":7,"address":"x"})",
        R"({"service":"s","address":"10.0.0.1:80","zone":"a","slots":4,"state":"asleep",)"
        R"("sequence":3,"born":17})",
        R"({"service":"s","address":"10.0.0.1","zone":"a","slots":4,"state":"ready",)"
        R"("sequence":3,"born":17})"}) {
    INFO(invalid);
    CHECK(platform::DecodeRegistration("i-1", invalid, out) == errc::kMalformedCall);
  }
}

// Guards against a backend server that gateways take for down for the rest of the day: during a
// split of the controllers, those that do not receive its registrations declare it down, and the
// one that does sees no change afterwards.
TEST_CASE("entries learn from a controller that declared a backend server down that it is up") {
  registration_fixture f;
  f.ReceiveFromController(MakeRecord("e", 1, 5));
  f.Tick(milliseconds(5001));
  auto expired = f.fake.Sent<directory_delta>();
  bool told = std::any_of(expired.begin(), expired.end(), [](const auto& sent) {
    return sent.first == link_id{20} && sent.second.records.size() == 1 &&
           sent.second.records[0].status == backend_status::kDown;
  });
  REQUIRE(told);
  f.ReceiveFromController(MakeRecord("e", 1, 9));
  auto sent = f.fake.All<broadcast_message>();
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].links == std::vector<link_id>{{20}});
  const auto& delta = std::get<directory_delta>(sent[0].body);
  REQUIRE(delta.records.size() == 1);
  CHECK(delta.records[0].status == backend_status::kUp);
  CHECK(delta.records[0].sequence == 9);
  // Later repetitions tell entries nothing new.
  f.ReceiveFromController(MakeRecord("e", 1, 10));
  CHECK(f.fake.All<broadcast_message>().empty());
}

}  // namespace radishroute
