#include <catch2/catch.hpp>
#include <deque>

#include "fake_context.h"
#include "io/rank_json.h"
#include "io/wire.h"
#include "radishroute/expert_groups.h"
#include "radishroute/group_server.h"
#include "radishroute/rank_agent.h"
#include "state_fixture.h"

namespace radishroute {

namespace {

constexpr group_shape kShape{2, 4, 2, 3};
constexpr std::uint64_t kHorizon = 20;

group_change Propose(std::uint64_t version) {
  group_change change;
  change.group = "g";
  change.action = propose_map{version};
  change.placement = InitialPlacement(kShape);
  std::swap(change.placement.layers[1].slots[0], change.placement.layers[1].slots[1]);
  change.reason = "skew 2.000 to 1.000, greedy";
  change.bytes = 77;
  return change;
}

group_change Step(group_command action) {
  group_change change;
  change.group = "g";
  change.action = action;
  return change;
}

bool Applied(const apply_result& result) {
  return std::get<group_result>(result) == group_result::kApplied;
}

/// Hand-written fake of the log: holds what is proposed until the test applies it.
struct fake_log {
  std::optional<log_position> Propose(command body, reduce_context&) {
    if (refuses) return std::nullopt;
    waiting.push_back(std::move(body));
    return log_position{1, next++};
  }

  std::deque<command> waiting;
  std::uint64_t next = 1;
  bool refuses = false;
};

/// A leader with its log and two ranks that report by hand.
struct group_fixture {
  group_settings settings{{kHorizon, kHorizon / 2}};
  group_server server{settings};
  state_fixture state;
  fake_log log;
  fake_context context;
  std::uint64_t step = 0;

  group_fixture() { server.BecomeLeader(); }

  group_grant Report(std::uint32_t rank, std::vector<std::uint64_t> loaded,
                     expert_counts counts = {}) {
    group_report report{1, "g", kShape, {rank, 1, step, 0, std::move(loaded)}, std::move(counts)};
    context.Do([&](reduce_context& ctx) {
      server.OnReport({1}, report, state.machine.Groups(), log, ctx);
    });
    return context.Sent<group_grant>().at(0).second;
  }

  void Commit() {
    while (!log.waiting.empty()) {
      command body = std::move(log.waiting.front());
      log.waiting.pop_front();
      apply_result result = state.Apply(body);
      context.Do([&](reduce_context& ctx) {
        server.OnApplied({1, 1, body}, result, state.machine.Groups(), ctx);
      });
    }
  }

  /// Both ranks report counts in which expert 0 has nearly all tokens; returns the plan's request.
  std::vector<plan_placement> ReportSkewedWindow(std::uint64_t window) {
    expert_counts counts{window,
                         std::chrono::seconds(1),
                         50,
                         {0, 1, 2, 3, 4, 5, 6, 7},
                         {900, 1, 900, 1, 900, 1, 900, 1}};
    std::vector<plan_placement> plans;
    for (std::uint32_t rank = 0; rank < 2; ++rank) {
      Report(rank, {1}, counts);
      auto emitted = context.All<plan_placement>();
      plans.insert(plans.end(), emitted.begin(), emitted.end());
    }
    return plans;
  }

  void TakePlan(const plan_placement& plan) {
    plan_result result = MakePlan(*plan.request);
    context.Do(
        [&](reduce_context& ctx) { server.OnPlanned(result, state.machine.Groups(), log, ctx); });
  }

  const expert_group& Group() { return *state.machine.Groups().Find("g"); }
};

}  // namespace

// Guards against replicas that apply another group change than the leader proposed.
TEST_CASE("group commands and messages survive encoding") {
  append_request in;
  in.entries = {{1, 1, MakeGroupCreation("g", kShape, 9)},
                {1, 2, Propose(2)},
                {1, 3, Step(activate_map{2, 44})},
                {1, 4, group_pin{"g", true}}};
  std::string frame;
  REQUIRE_FALSE(EncodeFrame(in, frame));
  message out;
  REQUIRE_FALSE(DecodeFrame(std::string_view(frame).substr(kFramePrefixBytes), out));
  const auto& entries = std::get<append_request>(out).entries;
  REQUIRE(entries.size() == 4);
  auto created = std::get<group_change>(entries[0].body);
  CHECK(std::get<create_group>(created.action).last_step == 9);
  CHECK(created.shape.slots_per_rank == 3);
  auto proposed = std::get<group_change>(entries[1].body);
  CHECK(std::get<propose_map>(proposed.action).map_version == 2);
  REQUIRE(proposed.placement.layers.size() == 2);
  CHECK(proposed.placement.layers[1].slots == Propose(2).placement.layers[1].slots);
  CHECK(proposed.bytes == 77);
  CHECK(std::get<activate_map>(std::get<group_change>(entries[2].body).action).last_step == 44);
  CHECK(std::get<group_pin>(entries[3].body).pinned);

  group_grant grant{
      3, "g", true, {"10.0.0.1", 1}, {{{1, 1, 9}}, 2, 0}, {{2, Propose(2).placement}}};
  frame.clear();
  REQUIRE_FALSE(EncodeFrame(grant, frame));
  REQUIRE_FALSE(DecodeFrame(std::string_view(frame).substr(kFramePrefixBytes), out));
  auto read = std::get<group_grant>(out);
  CHECK(read.grant.ranges == grant.grant.ranges);
  CHECK(read.grant.load_map == 2);
  REQUIRE(read.maps.size() == 1);
  CHECK(read.maps[0].placement.layers[1].slots == grant.maps[0].placement.layers[1].slots);
}

// Guards against a new leader that knows other grants or maps than the old one had committed.
TEST_CASE("groups survive a snapshot") {
  state_fixture f;
  REQUIRE(Applied(f.Apply(MakeGroupCreation("g", kShape, 9))));
  REQUIRE(Applied(f.Apply(Propose(2))));
  REQUIRE(Applied(f.Apply(Step(activate_map{2, 30}))));
  REQUIRE(Applied(f.Apply(Propose(3))));
  test_state copy;
  REQUIRE_FALSE(copy.Restore(f.machine.Snapshot()));
  const expert_group* group = copy.Groups().Find("g");
  REQUIRE(group != nullptr);
  CHECK(group->record.Ranges() == f.machine.Groups().Find("g")->record.Ranges());
  CHECK(group->record.ProposedMap() == 3);
  CHECK(group->maps.size() == 3);
  CHECK(group->bytes_moved == 77);
  CHECK(group->reason == Propose(2).reason);
}

// Guards against a map without some expert, and against a change that an operator has forbidden.
TEST_CASE("invalid maps and changes of a pinned group are refused") {
  state_fixture f;
  REQUIRE(Applied(f.Apply(MakeGroupCreation("g", kShape, 9))));
  group_change broken = Propose(2);
  for (std::uint16_t& expert : broken.placement.layers[0].slots) {
    if (expert == 3) expert = kNoExpert;
  }
  CHECK_FALSE(Applied(f.Apply(broken)));
  REQUIRE(Applied(f.Apply(Propose(2))));
  REQUIRE(Applied(f.Apply(group_pin{"g", true})));
  CHECK_FALSE(f.machine.Groups().Find("g")->record.ProposedMap().has_value());
  CHECK_FALSE(Applied(f.Apply(Step(activate_map{2, 30}))));
  CHECK_FALSE(Applied(f.Apply(Propose(3))));
  REQUIRE(Applied(f.Apply(group_pin{"g", false})));
  CHECK(Applied(f.Apply(Propose(3))));
}

// Guards against a change of map that skips a stage: steps must be granted under the new map only
// above every earlier grant, after every rank has loaded it, and a new leader must go on from it.
TEST_CASE("a skewed load leads to a new map, also over a change of leader") {
  group_fixture f;
  CHECK(f.Report(0, {}).grant.ranges.empty());
  f.Commit();
  REQUIRE(f.Report(0, {}).maps.size() == 1);
  std::vector<plan_placement> plans = f.ReportSkewedWindow(1);
  REQUIRE(plans.size() == 1);
  f.Commit();
  f.TakePlan(plans[0]);
  REQUIRE(f.log.waiting.size() == 1);
  f.Commit();
  REQUIRE(f.Group().record.ProposedMap() == 2);

  // The next leader has the record only.
  f.server = group_server(f.settings);
  f.server.BecomeLeader();
  std::uint64_t granted = f.Group().record.LastStep();
  CHECK(f.Report(0, {1, 2}).grant.load_map == 2);
  f.Commit();
  CHECK(f.Group().record.ProposedMap() == 2);
  f.Report(1, {1, 2});
  f.Commit();
  REQUIRE(f.Group().record.ActiveMap() == 2);
  CHECK(f.Group().record.Ranges().back().first == granted + 1);
  f.step = granted + 1;
  f.Report(0, {1, 2});
  f.Report(1, {1, 2});
  f.Commit();
  CHECK(f.Group().record.Ranges().size() == 1);
  CHECK(f.Group().maps.size() == 1);
}

// Guards against an event that is logged and counted once by every replica.
TEST_CASE("a replica that does not lead reports no change") {
  group_fixture f;
  f.server.StepDown();
  f.log.waiting.push_back(MakeGroupCreation("g", kShape, kHorizon));
  f.Commit();
  CHECK(f.context.All<write_log>().empty());
  CHECK(f.state.machine.Groups().All().size() == 1);
}

// Guards against a plan that is lost or blocks the next one while the log cannot commit.
TEST_CASE("a plan is made again after its proposal failed") {
  group_fixture f;
  f.Report(0, {});
  f.Commit();
  std::vector<plan_placement> plans = f.ReportSkewedWindow(1);
  REQUIRE(plans.size() == 1);
  f.Commit();
  f.log.refuses = true;
  f.TakePlan(plans[0]);
  f.log.refuses = false;
  plans = f.ReportSkewedWindow(2);
  REQUIRE(plans.size() == 1);
  f.Commit();
  f.TakePlan(plans[0]);
  f.Commit();
  CHECK(f.Group().record.ProposedMap() == 2);
}

// Guards against a rank that acts on half an order, or an agent that reports half an answer.
TEST_CASE("orders to ranks survive encoding, and damaged ones are refused") {
  rank_order order{{{1, 1, 9}, {2, 10, 30}}, 0, kShape, group_map{2, Propose(2).placement}};
  std::string text = RenderRankOrder(order);
  auto read = ParseRankOrder(text);
  REQUIRE(read.has_value());
  CHECK(read->ranges == order.ranges);
  REQUIRE(read->load.has_value());
  CHECK(read->load->placement.layers[1].slots == order.load->placement.layers[1].slots);
  rank_progress progress{5, 9, {1, 2}, 3, {4, std::chrono::microseconds(7), 50, {0, 3}, {8, 9}}};
  auto answer = ParseRankProgress(RenderRankProgress(progress));
  REQUIRE(answer.has_value());
  CHECK(answer->loaded == progress.loaded);
  CHECK(answer->counts.duration == progress.counts.duration);
  CHECK(answer->counts.counts == progress.counts.counts);
  progress.counts.cells.pop_back();
  CHECK_FALSE(ParseRankProgress(RenderRankProgress(progress)).has_value());
  CHECK_FALSE(ParseRankProgress("[]").has_value());
  for (std::size_t cut = 0; cut < text.size(); cut += 7) {
    CHECK_FALSE(ParseRankOrder(text.substr(0, cut)).has_value());
  }
}

// Guards against an agent that passes on a grant under another map than an earlier one named.
TEST_CASE("an agent stops at a grant that contradicts an earlier one") {
  fake_context context;
  rank_agent agent({"g", 0, kShape}, {{"10.0.0.1", 1}});
  context.Do([&](reduce_context& ctx) { agent.Handle(process_started{}, ctx); });
  context.Do([&](reduce_context& ctx) {
    agent.Handle(link_opened{{7}, {}, {"10.0.0.1", 1}}, ctx);
  });
  REQUIRE(context.Sent<group_report>().size() == 1);
  group_grant grant{1, "g", true, {}, {{{1, 1, 9}}, 0, 0}, {}};
  context.Do([&](reduce_context& ctx) { agent.Handle({7}, grant, ctx); });
  for (const write_log& entry : context.All<write_log>()) {
    CHECK(entry.event.code != event_code::kInvariantViolated);
  }
  grant.grant.ranges = {{2, 5, 12}};
  context.Do([&](reduce_context& ctx) { agent.Handle({7}, grant, ctx); });
  auto logged = context.All<write_log>();
  REQUIRE_FALSE(logged.empty());
  CHECK(logged.back().event.code == event_code::kInvariantViolated);
}

}  // namespace radishroute
