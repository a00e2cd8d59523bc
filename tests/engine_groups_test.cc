#include "radishroute/experts/engine_groups.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "engine_group_world.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr auto kNever = std::optional<milliseconds>();

/// Events that may clear the state of the leader, a sidecar or the engines.
enum class interruption : std::uint8_t {
  kNone,
  kLostLease,
  kPausedLeader,
  kNewLeader,
  kRestartedSidecar,
  kRestartedSidecars,
  kRestartedEngine,
  kCount,
};

void Interrupt(engine_group_world& world, interruption what) {
  switch (what) {
    case interruption::kLostLease:
      world.LoseLease(milliseconds(100));
      return;
    case interruption::kPausedLeader:
      world.PauseLeader(milliseconds(480));
      return;
    case interruption::kNewLeader:
      world.ChangeLeader();
      return;
    case interruption::kRestartedSidecar:
      world.RestartSidecar(1);
      return;
    case interruption::kRestartedSidecars:
      for (std::uint32_t r = 0; r < engine_group_world::kRanks; ++r) world.RestartSidecar(r);
      return;
    case interruption::kRestartedEngine:
      world.RestartEngine(1);
      return;
    case interruption::kNone:
    case interruption::kCount:
      return;
  }
}

/// Number of orders sent to engines until a map has been changed for the first time.
std::uint64_t OrdersOfFirstChange() {
  engine_group_world world;
  while (world.Changes() == 0) world.Run(engine_group_world::kStep);
  return world.Orders();
}

}  // namespace

// Guards against a version that names two maps because the leader's lease expired while the orders
// that prepare it were still to be carried out.
TEST_CASE("a version is not used again after the leader's lease has expired") {
  engine_group_world world;
  std::uint64_t orders = OrdersOfFirstChange();
  world.SetLate({orders + 1, orders + engine_group_world::kRanks, milliseconds(2600)});
  REQUIRE(world.RunUntilOrder(orders + engine_group_world::kRanks, seconds(10)));
  world.PauseLeader(milliseconds(480));
  world.Run(seconds(20));
  CHECK(world.Failure().empty());
  CHECK(world.Changes() > 1);
}

// Guards against two maps in one pass, or a group that stays held, when the leader, a sidecar or an
// engine is interrupted at any step of a map change and orders are carried out late or never.
TEST_CASE("an interruption at any step of a map change leaves all ranks with the same map") {
  std::uint64_t orders = OrdersOfFirstChange();
  std::uint64_t steps = 4 * engine_group_world::kRanks;
  for (auto late_by : {kNever, std::optional(milliseconds(300)), std::optional(milliseconds(2600)),
                       std::optional(milliseconds(11000))}) {
    for (std::uint64_t late_count : {0, 1, 3, 6}) {
      for (std::uint64_t at = 1; at <= steps; ++at) {
        for (int what = 0; what < static_cast<int>(interruption::kCount); ++what) {
          INFO("interruption " << what << " at order " << at << ", " << late_count << " late by "
                               << (late_by ? late_by->count() : -1));
          engine_group_world world;
          if (late_count > 0) world.SetLate({orders + at, orders + at + late_count - 1, late_by});
          REQUIRE(world.RunUntilOrder(orders + at, seconds(10)));
          Interrupt(world, static_cast<interruption>(what));
          world.Run(seconds(18));
          std::uint64_t pass = world.Pass();
          std::uint64_t changes = world.Changes();
          world.Run(seconds(6));
          REQUIRE(world.Failure() == "");
          REQUIRE(world.Pass() > pass + 20);
          REQUIRE(world.Changes() > changes);
        }
      }
    }
  }
}

// Guards against two maps in one pass under several interruptions, which overlap in any order.
TEST_CASE("interruptions in series leave all ranks with the same map") {
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    INFO("seed " << seed);
    std::mt19937_64 random(seed);
    auto number = [&](int from, int to) {
      return std::uniform_int_distribution<int>(from, to)(random);
    };
    engine_group_world world;
    for (int i = 0; i < 25; ++i) {
      auto first = world.Orders() + static_cast<std::uint64_t>(number(1, 6));
      world.SetLate({first, first + static_cast<std::uint64_t>(number(0, 6)),
                     number(0, 3) == 0 ? kNever : std::optional(milliseconds(number(0, 12000)))});
      world.Run(milliseconds(number(20, 2500)));
      Interrupt(world, static_cast<interruption>(number(0, 6)));
    }
    world.SetLate({});
    world.Run(seconds(18));
    std::uint64_t pass = world.Pass();
    std::uint64_t changes = world.Changes();
    world.Run(seconds(6));
    REQUIRE(world.Failure() == "");
    CHECK(world.Pass() > pass + 20);
    CHECK(world.Changes() > changes);
  }
}

// Guards against orders that are repeated as fast as messages are exchanged when engines refuse
// them, also after the leader's lease has expired.
TEST_CASE("a refused order is repeated at the period of an unanswered one") {
  engine_group_world world;
  REQUIRE(world.RunUntilOrder(OrdersOfFirstChange(), seconds(10)));
  world.RefuseMaps();
  world.LoseLease(milliseconds(100));
  world.Run(seconds(2));
  std::uint64_t orders = world.Orders();
  world.Run(seconds(10));
  // Each rank gets an order every 120 ms at most, so 84 in 10 s.
  CHECK(world.Orders() - orders <= 84 * engine_group_world::kRanks);
}

// Guards against load reports that entries drop as outdated because the leader numbers them anew.
TEST_CASE("load reports of one term are numbered once") {
  engine_group_world world;
  world.Run(seconds(3));
  std::size_t before = world.Loads().size();
  REQUIRE(before > 0);
  world.LoseLease(milliseconds(100));
  world.Run(seconds(3));
  REQUIRE(world.Loads().size() > before);
  CHECK(std::is_sorted(world.Loads().begin(), world.Loads().end()));
}

}  // namespace radishroute
