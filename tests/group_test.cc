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

group_change GroupAction(group_command action) {
  group_change change;
  change.group = "g";
  change.action = action;
  return change;
}

bool WasApplied(const apply_result& result) {
  return std::get<group_result>(result) == group_result::kApplied;
}

/// Hand-written fake of the log: keeps proposed commands until the test applies them.
struct fake_log {
  std::optional<log_position> Propose(command body, reduce_context&) {
    if (refuses) return std::nullopt;
    proposed_commands.push_back(std::move(body));
    return log_position{1, next++};
  }

  std::deque<command> proposed_commands;
  std::uint64_t next = 1;
  bool refuses = false;
};

/// A leader with its log; the test sends the reports of its two ranks.
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
    while (!log.proposed_commands.empty()) {
      command body = std::move(log.proposed_commands.front());
      log.proposed_commands.pop_front();
      apply_result result = state.Apply(body);
      context.Do([&](reduce_context& ctx) {
        server.OnApplied({1, 1, body}, result, state.machine.Groups(), ctx);
      });
    }
  }

  /// Both ranks report counts in which expert 0 has nearly all tokens; returns the emitted plan
  /// requests.
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

  void ApplyPlan(const plan_placement& plan) {
    plan_result result = MakePlan(*plan.request);
    context.Do(
        [&](reduce_context& ctx) { server.OnPlanned(result, state.machine.Groups(), log, ctx); });
  }

  const expert_group& Group() { return *state.machine.Groups().Find("g"); }
};

}  // namespace

// Guards against encoding errors by which replicas apply a different change than was proposed.
TEST_CASE("group commands and messages round-trip through the wire format") {
  append_request in;
  in.entries = {{1, 1, MakeGroupCreation("g", kShape, 9)},
                {1, 2, Propose(2)},
                {1, 3, GroupAction(activate_map{2, 44})},
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

// Guards against a snapshot that loses or alters committed grants or maps.
TEST_CASE("groups are restored from a snapshot") {
  state_fixture fixture;
  REQUIRE(WasApplied(fixture.Apply(MakeGroupCreation("g", kShape, 9))));
  REQUIRE(WasApplied(fixture.Apply(Propose(2))));
  REQUIRE(WasApplied(fixture.Apply(GroupAction(activate_map{2, 30}))));
  REQUIRE(WasApplied(fixture.Apply(Propose(3))));
  test_state copy;
  REQUIRE_FALSE(copy.Restore(fixture.machine.Snapshot()));
  const expert_group* group = copy.Groups().Find("g");
  REQUIRE(group != nullptr);
  CHECK(group->record.Ranges() == fixture.machine.Groups().Find("g")->record.Ranges());
  CHECK(group->record.ProposedMap() == 3);
  CHECK(group->maps.size() == 3);
  CHECK(group->bytes_moved == 77);
  CHECK(group->reason == Propose(2).reason);
}

// Guards against a map that omits an expert, and against changes of a pinned group.
TEST_CASE("invalid maps and changes of a pinned group are refused") {
  state_fixture fixture;
  REQUIRE(WasApplied(fixture.Apply(MakeGroupCreation("g", kShape, 9))));
  group_change broken = Propose(2);
  for (std::uint16_t& expert : broken.placement.layers[0].slots) {
    if (expert == 3) expert = kNoExpert;
  }
  CHECK_FALSE(WasApplied(fixture.Apply(broken)));
  REQUIRE(WasApplied(fixture.Apply(Propose(2))));
  REQUIRE(WasApplied(fixture.Apply(group_pin{"g", true})));
  CHECK_FALSE(fixture.machine.Groups().Find("g")->record.ProposedMap().has_value());
  CHECK_FALSE(WasApplied(fixture.Apply(GroupAction(activate_map{2, 30}))));
  CHECK_FALSE(WasApplied(fixture.Apply(Propose(3))));
  REQUIRE(WasApplied(fixture.Apply(group_pin{"g", false})));
  CHECK(WasApplied(fixture.Apply(Propose(3))));
}

// Guards against a map change that skips a stage: steps are granted under the new map only after
// every rank has loaded it and only beyond all earlier grants, and a new leader continues the
// change.
TEST_CASE("a skewed load leads to a new map, also across a change of leader") {
  group_fixture fixture;
  CHECK(fixture.Report(0, {}).grant.ranges.empty());
  fixture.Commit();
  REQUIRE(fixture.Report(0, {}).maps.size() == 1);
  std::vector<plan_placement> plans = fixture.ReportSkewedWindow(1);
  REQUIRE(plans.size() == 1);
  fixture.Commit();
  fixture.ApplyPlan(plans[0]);
  REQUIRE(fixture.log.proposed_commands.size() == 1);
  fixture.Commit();
  REQUIRE(fixture.Group().record.ProposedMap() == 2);

  // The next leader has only the replicated record.
  fixture.server = group_server(fixture.settings);
  fixture.server.BecomeLeader();
  std::uint64_t granted = fixture.Group().record.LastStep();
  CHECK(fixture.Report(0, {1, 2}).grant.load_map == 2);
  fixture.Commit();
  CHECK(fixture.Group().record.ProposedMap() == 2);
  fixture.Report(1, {1, 2});
  fixture.Commit();
  REQUIRE(fixture.Group().record.ActiveMap() == 2);
  CHECK(fixture.Group().record.Ranges().back().first == granted + 1);
  fixture.step = granted + 1;
  fixture.Report(0, {1, 2});
  fixture.Report(1, {1, 2});
  fixture.Commit();
  CHECK(fixture.Group().record.Ranges().size() == 1);
  CHECK(fixture.Group().maps.size() == 1);
}

// Guards against an event that every replica logs and counts, instead of only the leader.
TEST_CASE("a replica that is not the leader logs no group change") {
  group_fixture fixture;
  fixture.server.StepDown();
  fixture.log.proposed_commands.push_back(MakeGroupCreation("g", kShape, kHorizon));
  fixture.Commit();
  CHECK(fixture.context.All<write_log>().empty());
  CHECK(fixture.state.machine.Groups().All().size() == 1);
}

// Guards against a plan that is lost, or that blocks the next one, when the log refuses its
// proposal.
TEST_CASE("a new plan is made after a proposal failed") {
  group_fixture fixture;
  fixture.Report(0, {});
  fixture.Commit();
  std::vector<plan_placement> plans = fixture.ReportSkewedWindow(1);
  REQUIRE(plans.size() == 1);
  fixture.Commit();
  fixture.log.refuses = true;
  fixture.ApplyPlan(plans[0]);
  fixture.log.refuses = false;
  plans = fixture.ReportSkewedWindow(2);
  REQUIRE(plans.size() == 1);
  fixture.Commit();
  fixture.ApplyPlan(plans[0]);
  fixture.Commit();
  CHECK(fixture.Group().record.ProposedMap() == 2);
}

// Guards against a rank that accepts a truncated order, or an agent that accepts an invalid answer.
TEST_CASE("orders to ranks round-trip through JSON, and invalid ones are rejected") {
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

// Guards against an agent that forwards a grant which contradicts an earlier one.
TEST_CASE("an agent rejects a grant that contradicts an earlier one") {
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
