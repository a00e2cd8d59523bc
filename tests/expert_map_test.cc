#include "radishroute/expert_map.h"

#include <catch2/catch.hpp>
#include <deque>
#include <random>
#include <set>

namespace radishroute {

namespace {

constexpr std::uint32_t kRanks = 4;

/// Hand-written fake of a group: ranks, a leader and a log. Messages are delayed, dropped,
/// reordered and duplicated. Ranks run in lock-step and may restart; the leader may be replaced.
class fake_group {
 public:
  explicit fake_group(std::uint64_t seed)
      : random_(seed), ranks_(kRanks), incarnations_(kRanks, 1) {
    record_.Apply(create_group{kRanks, 20});
    for (rank_grants& rank : ranks_) rank.OnMapLoaded(1);
  }

  void SimulateRound() {
    for (std::uint32_t rank = 0; rank < kRanks; ++rank) SendReport(rank);
    DeliverReports();
    if (OneIn(20)) RestartRandomRank();
    if (OneIn(30)) coordinator_ = map_coordinator(kHorizon);
    if (OneIn(10)) Propose(coordinator_.ProposeMap(record_, next_map_));
    for (rank_grants& rank : ranks_) {
      auto load = rank.MapToLoad();
      if (load && OneIn(3)) rank.OnMapLoaded(*load);
    }
    RunStep();
  }

  std::uint64_t Step() const { return step_; }
  std::size_t MapsUsed() const { return maps_used_.size(); }

 private:
  static constexpr horizon_settings kHorizon{20, 10};

  bool OneIn(std::uint64_t n) { return random_() % n == 0; }

  void SendReport(std::uint32_t rank_number) {
    rank_report report{rank_number, incarnations_[rank_number], step_,
                       ranks_[rank_number].LastGrantedStep(), ranks_[rank_number].LoadedMaps()};
    queue_.push_back(report);
    if (OneIn(10)) queue_.push_back(report);
  }

  void DeliverReports() {
    for (int i = 0; i < 6 && !queue_.empty(); ++i) {
      std::size_t index = random_() % queue_.size();
      rank_report report = queue_[index];
      queue_.erase(queue_.begin() + static_cast<std::ptrdiff_t>(index));
      if (OneIn(5)) continue;
      Propose(coordinator_.Handle(record_, report));
      step_grant grant = coordinator_.GrantFor(record_, report);
      if (OneIn(4)) {
        late_grants_.push_back({report.rank, grant});
      } else {
        REQUIRE(ranks_[report.rank].Handle(grant));
      }
    }
    while (late_grants_.size() > 5) {
      REQUIRE(ranks_[late_grants_.front().first].Handle(late_grants_.front().second));
      late_grants_.pop_front();
    }
  }

  void Propose(std::optional<group_command> command) {
    if (!command) return;
    if (std::holds_alternative<propose_map>(*command)) ++next_map_;
    // A command of a failed leader may or may not have been committed.
    if (!OneIn(5)) record_.Apply(*command);
    if (!OneIn(5)) coordinator_.OnCommandDone();
  }

  void RestartRandomRank() {
    std::uint32_t rank_number = static_cast<std::uint32_t>(random_() % kRanks);
    ranks_[rank_number] = rank_grants();
    ++incarnations_[rank_number];
  }

  void RunStep() {
    std::set<std::uint64_t> maps;
    for (const rank_grants& rank : ranks_) {
      auto map = rank.MapForStep(step_ + 1);
      if (!map) return;
      maps.insert(*map);
    }
    REQUIRE(maps.size() == 1);
    maps_used_.insert(*maps.begin());
    ++step_;
  }

  std::mt19937_64 random_;
  group_record record_;
  map_coordinator coordinator_{kHorizon};
  std::vector<rank_grants> ranks_;
  std::vector<std::uint64_t> incarnations_;
  std::deque<rank_report> queue_;
  std::deque<std::pair<std::uint32_t, step_grant>> late_grants_;
  std::uint64_t step_ = 0;
  std::uint64_t next_map_ = 2;
  std::set<std::uint64_t> maps_used_;
};

}  // namespace

// Guards against two ranks running the same step under different maps, and against a group that
// makes no progress, while messages are lost, delayed and duplicated, ranks restart and leaders
// change.
TEST_CASE("a step never runs under two expert maps") {
  std::uint64_t seed = GENERATE(range(std::uint64_t{1}, std::uint64_t{21}));
  INFO("seed " << seed);
  fake_group group(seed);
  for (int round = 0; round < 3000; ++round) group.SimulateRound();
  CHECK(group.Step() > 300);
  CHECK(group.MapsUsed() > 2);
}

// Guards against a new map whose steps overlap those already granted under the old one.
TEST_CASE("a new map starts after the last granted step") {
  group_record record;
  REQUIRE(record.Apply(create_group{2, 100}) == group_result::kApplied);
  REQUIRE(record.Apply(propose_map{2}) == group_result::kApplied);
  REQUIRE(record.Apply(activate_map{2, 50}) == group_result::kApplied);
  CHECK(record.Ranges().back().first == 101);
  CHECK(record.Ranges().back().last == 101);
}

// Guards against effects of a former leader's command that is applied after its successor's.
TEST_CASE("late commands of a former leader have no effect") {
  group_record record;
  REQUIRE(record.Apply(create_group{2, 100}) == group_result::kApplied);
  REQUIRE(record.Apply(propose_map{2}) == group_result::kApplied);
  REQUIRE(record.Apply(activate_map{2, 200}) == group_result::kApplied);
  CHECK(record.Apply(activate_map{2, 300}) == group_result::kStale);
  CHECK(record.Apply(extend_steps{150}) == group_result::kStale);
  CHECK(record.Apply(propose_map{2}) == group_result::kStale);
  CHECK(record.Apply(create_group{2, 100}) == group_result::kConflict);
}

// Guards against a rank that accepts a grant which contradicts an earlier one.
TEST_CASE("a contradicting grant is detected") {
  rank_grants rank;
  CHECK(rank.Handle({{{1, 1, 100}}, 0, 0}));
  CHECK(rank.Handle({{{1, 1, 50}}, 0, 0}));
  CHECK(rank.LastGrantedStep() == 100);
  CHECK_FALSE(rank.Handle({{{2, 90, 120}}, 0, 0}));
}

}  // namespace radishroute
