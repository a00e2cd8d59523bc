#include "radishroute/experts/map_switch.h"

#include <catch2/catch.hpp>
#include <map>
#include <random>

#include "fake_context.h"
#include "radishroute/experts/bounded_placement.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kRanks = 4;
constexpr group_shape kShape{kRanks, 8, 2, 3};

/// Fake engine of one rank, which executes the leader's orders.
struct fake_engine {
  std::uint64_t map = 0;
  std::uint64_t prepared = 0;
  std::uint64_t highest = 0;
  std::uint64_t armed = 0;
  std::uint64_t armed_step = 0;
  std::uint64_t held_step = 0;
  std::uint64_t highest_token = 0;

  engine_order_result Execute(const engine_command& c, std::uint64_t step) {
    if (c.term < highest_token) return engine_order_result::kFenced;
    highest_token = c.term;
    switch (c.operation) {
      case engine_operation::kPrepare:
        if (prepared == c.map_version) return engine_order_result::kAccepted;
        if (c.map_version <= highest || armed != 0) return engine_order_result::kConflict;
        prepared = highest = c.map_version;
        return engine_order_result::kAccepted;
      case engine_operation::kArm:
        if (armed == c.map_version && armed_step == c.step) return engine_order_result::kAccepted;
        if (prepared != c.map_version || c.step <= step) return engine_order_result::kConflict;
        armed = c.map_version;
        armed_step = c.step;
        return engine_order_result::kAccepted;
      case engine_operation::kDisarm:
        if (armed == c.map_version) armed = armed_step = 0;
        return engine_order_result::kAccepted;
      case engine_operation::kHold:
        if (held_step != 0 || c.step <= step) return engine_order_result::kConflict;
        held_step = c.step;
        return engine_order_result::kAccepted;
      case engine_operation::kRelease:
        if (held_step == c.step) held_step = 0;
        return engine_order_result::kAccepted;
    }
    return engine_order_result::kFailed;
  }
};

/// Simulates a group that makes forward passes, and a network that loses, delays and repeats
/// orders.
struct group_simulation {
  fake_context fake;
  std::mt19937_64 random;
  double unanswered_share;
  std::uint64_t step = 10;
  std::array<fake_engine, kRanks> ranks;
  std::array<std::uint64_t, kRanks> sequences{};
  std::array<std::uint64_t, kRanks> last_command{};
  std::array<engine_order_result, kRanks> last_result{};
  std::array<steady_time, kRanks> uncertain{};
  std::multimap<steady_time, std::pair<std::size_t, engine_command>> delayed_orders;
  std::uint64_t term = 1;
  map_switch switcher{1};
  std::uint64_t switches = 0;

  group_simulation(std::uint64_t seed, double share) : random(seed), unanswered_share(share) {}

  bool Chance(double p) { return std::bernoulli_distribution(p)(random); }

  // Begins the next pass unless a rank holds it; checks that all ranks then have the same map.
  void Pass() {
    for (const fake_engine& r : ranks) {
      if (r.held_step == step + 1) return;
    }
    ++step;
    for (fake_engine& r : ranks) {
      if (r.armed == 0 || r.armed_step != step) continue;
      r.map = r.armed;
      r.armed = r.armed_step = r.prepared = 0;
    }
    for (const fake_engine& r : ranks) REQUIRE(r.map == ranks.front().map);
  }

  void Report(std::size_t i) {
    const fake_engine& r = ranks[i];
    engine_status s;
    s.sequence = ++sequences[i];
    s.group = "g";
    s.epoch = 1;
    s.rank = static_cast<std::uint32_t>(i);
    s.ranks = kRanks;
    s.open = true;
    s.step = step;
    s.map_version = r.map;
    s.prepared_version = r.prepared;
    s.armed_version = r.armed;
    s.armed_step = r.armed_step;
    s.held_step = r.held_step;
    s.last_command = last_command[i];
    s.last_result = last_result[i];
    if (uncertain[i] > fake.Now()) s.uncertain = std::chrono::seconds(1);
    switcher.OnStatus(link_id{i + 1}, s, fake.Now());
  }

  void Deliver() {
    for (const auto& [link, c] : fake.Sent<engine_command>()) {
      std::size_t i = link.value - 1;
      last_command[i] = c.number;
      if (Chance(unanswered_share)) {
        last_result[i] = engine_order_result::kUnknown;
        auto delay = milliseconds(std::uniform_int_distribution<int>(0, 4000)(random));
        delayed_orders.emplace(fake.Now() + delay, std::pair(i, c));
        if (c.operation == engine_operation::kArm) uncertain[i] = fake.Now() + milliseconds(5000);
      } else {
        last_result[i] = ranks[i].Execute(c, step);
      }
    }
  }

  void Run(int ticks) {
    for (int tick = 0; tick < ticks; ++tick) {
      fake.Advance(milliseconds(25));
      while (!delayed_orders.empty() && delayed_orders.begin()->first <= fake.Now()) {
        auto [i, c] = delayed_orders.begin()->second;
        delayed_orders.erase(delayed_orders.begin());
        ranks[i].Execute(c, step);
      }
      if (tick % 3 == 0 && Chance(0.9)) Pass();
      for (std::size_t i = 0; i < kRanks; ++i) {
        if (Chance(0.7)) Report(i);
      }
      if (Chance(0.002)) NewLeader();
      std::uint64_t before = ranks.front().map;
      fake.Do([&](auto& ctx) {
        if (switcher.ReadyToChange(ctx.now)) {
          switcher.Begin(kShape, InitialPlacement(kShape), ctx);
        } else {
          switcher.Advance(ctx);
        }
      });
      Deliver();
      if (ranks.front().map != before) ++switches;
    }
  }

  // Another process becomes leader without any state; orders in transit are still delivered.
  void NewLeader() { switcher = map_switch(++term); }
};

}  // namespace

// Guards against a pass that begins while two ranks have different maps. Orders are lost, repeated
// and carried out late, and the leader changes during map changes.
TEST_CASE("all ranks begin each pass with the same map") {
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    INFO("seed " << seed);
    group_simulation simulation(seed, seed % 3 == 0 ? 0.0 : 0.25);
    std::uint64_t first = simulation.ranks.front().map;
    simulation.Run(2400);
    CHECK(simulation.ranks.front().map > first);
    CHECK(simulation.step > 300);
  }
}

// Guards against a map change that takes longer than copying the experts although nothing fails.
TEST_CASE("a map is changed within a second on a healthy group") {
  group_simulation simulation(1, 0);
  simulation.Run(40);
  CHECK(simulation.ranks.front().map != 0);
}

// Guards against releasing a held pass before the ranks refuse orders of the former leader: their
// results of its commands may have higher numbers than this leader's commands.
TEST_CASE("only the result of its own command fences a rank") {
  fake_context fake;
  map_switch switcher(2);
  engine_status s;
  s.group = "g";
  s.epoch = s.ranks = 1;
  s.open = true;
  s.held_step = 5;
  s.last_result = engine_order_result::kAccepted;
  auto report = [&](std::uint64_t last_command) {
    ++s.sequence;
    s.last_command = last_command;
    switcher.OnStatus(link_id{1}, s, fake.Now());
    fake.Do([&](auto& ctx) { switcher.Advance(ctx); });
    return fake.Sent<engine_command>();
  };
  std::uint64_t former = std::uint64_t{7} << 20;
  auto sent = report(former);
  REQUIRE(sent.size() == 1);
  CHECK(sent[0].second.operation == engine_operation::kDisarm);
  CHECK(report(former).empty());
  auto released = report(sent[0].second.number);
  REQUIRE(released.size() == 1);
  CHECK(released[0].second.operation == engine_operation::kRelease);
}

// Guards against giving up a change, and releasing its pass, while an arm order that a restarted
// sidecar does not know may still be carried out.
TEST_CASE("an order of a restarted sidecar may still be carried out") {
  fake_context fake;
  map_switch switcher(1);
  constexpr group_shape kOneRank{1, 8, 1, 8};
  engine_status s;
  s.group = "g";
  s.epoch = s.ranks = 1;
  s.open = true;
  auto report = [&](std::uint64_t link) {
    ++s.sequence;
    switcher.OnStatus(link_id{link}, s, fake.Now());
    fake.Do([&](auto& ctx) { switcher.Advance(ctx); });
    for (const auto& [to, sent] : fake.Sent<engine_command>()) {
      if (sent.operation == engine_operation::kArm) continue;
      s.last_command = sent.number;
      s.last_result = engine_order_result::kAccepted;
      if (sent.operation == engine_operation::kHold) s.held_step = sent.step;
    }
  };
  report(1);
  fake.Do([&](auto& ctx) { switcher.Begin(kOneRank, InitialPlacement(kOneRank), ctx); });
  s.prepared_version = fake.Sent<engine_command>().front().second.map_version;
  report(1);
  report(1);
  REQUIRE(switcher.Phase() == map_switch::phase::kArming);
  s.prepared_version = 0;
  report(2);
  CHECK(switcher.Phase() == map_switch::phase::kArming);
}

// Guards against planning more new experts for a rank than fit in its spare memory.
TEST_CASE("a planned map limits the new experts on each rank and lowers the skew") {
  group_shape shape{12, 72, 1, 8};
  layer_placement current;
  current.slots.assign(shape.Slots(), kNoExpert);
  for (std::uint32_t e = 0; e < shape.experts; ++e) {
    current.slots[(e % 12) * 8 + e / 12] = static_cast<std::uint16_t>(e);
  }
  std::vector<double> load(shape.experts, 1);
  load[5] = 40;
  load[17] = 20;
  bounded_placement planner;
  planner.max_new_per_rank = 3;
  layer_placement next = planner.Plan(shape, current, load);
  CHECK(IsValid(shape, next));
  std::vector<int> added(shape.ranks, 0);
  for (const expert_move& m : FindMoves(shape, 0, current, next)) ++added[m.slot / 8];
  for (int count : added) CHECK(count <= 3);
  CHECK(MeasureSkew(shape, next, load).Ratio() < MeasureSkew(shape, current, load).Ratio() / 2);
}

}  // namespace radishroute
