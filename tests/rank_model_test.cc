#include "engine/rank_model.h"

#include <catch2/catch.hpp>
#include <deque>

namespace radishroute {

namespace {

constexpr group_shape kShape{3, 6, 2, 3};

/// Ranks that exchange their steps through one queue, with a clock that the test moves.
class fake_ranks {
 public:
  fake_ranks() {
    for (std::uint32_t r = 0; r < kShape.ranks; ++r) Restart(r);
  }

  void Restart(std::uint32_t r) {
    rank_model_settings settings;
    settings.rank = r;
    settings.ranks = kShape.ranks;
    settings.window_steps = 5;
    settings.popularity.shift_step = 12;
    if (models_.size() <= r) models_.emplace_back(settings);
    models_[r] = rank_model(settings);
    rank_model_effects effects;
    models_[r].Start(now_, effects);
    Execute(r, effects);
  }

  void Order(std::uint32_t r, std::vector<step_range> ranges, std::uint64_t load) {
    rank_order order{std::move(ranges), 0, kShape, {}};
    if (load != 0) order.load = group_map{load, InitialPlacement(kShape)};
    Deliver(r, rank_order_arrived{{1}, std::move(order)});
  }

  void Run(int rounds) {
    for (int i = 0; i < rounds; ++i) {
      now_ += std::chrono::milliseconds(20);
      for (std::uint32_t r = 0; r < kShape.ranks; ++r) {
        if (r != paused) Deliver(r, rank_timer_expired{});
      }
    }
  }

  std::uint64_t Step(std::uint32_t r) { return records[r].empty() ? 0 : records[r].back().step; }

  std::vector<std::vector<record_step>> records{kShape.ranks};
  std::vector<rank_progress> progress{kShape.ranks};
  std::uint32_t paused = kShape.ranks;

 private:
  /// Returns what the rank answered to another rank, if it did.
  std::optional<peer_state> Deliver(std::uint32_t r, const rank_model_event& e) {
    rank_model_effects effects;
    models_[r].Reduce(e, now_, effects);
    return Execute(r, effects);
  }

  std::optional<peer_state> Execute(std::uint32_t r, const rank_model_effects& effects) {
    std::optional<peer_state> answered_state;
    for (const rank_model_effect& effect : effects) {
      if (const auto* told = std::get_if<tell_peer>(&effect)) {
        bool reachable = told->rank < models_.size() && told->rank != paused;
        std::optional<peer_state> state;
        if (reachable) state = Deliver(told->rank, peer_step_arrived{{2}, r, told->step});
        Deliver(r, peer_answered{told->rank, state});
      } else if (const auto* answer = std::get_if<answer_peer>(&effect)) {
        answered_state = answer->state;
      } else if (const auto* load = std::get_if<load_map_weights>(&effect)) {
        Deliver(r, map_weights_arrived{load->map_version, true});
      } else if (const auto* record = std::get_if<record_step>(&effect)) {
        records[r].push_back(*record);
      } else if (const auto* answered = std::get_if<answer_order>(&effect)) {
        progress[r] = answered->progress;
      }
    }
    return answered_state;
  }

  steady_time now_{std::chrono::hours(1)};
  std::vector<rank_model> models_;
};

}  // namespace

// Guards against a rank that runs a step without a grant, without its map, or out of lock-step.
TEST_CASE("ranks run steps only under their grants and together") {
  fake_ranks ranks;
  ranks.Run(5);
  CHECK(ranks.Step(0) == 0);
  for (std::uint32_t r = 0; r < 3; ++r) ranks.Order(r, {{1, 1, 10}}, r == 2 ? 0 : 1);
  ranks.Run(20);
  // Rank 2 lacks the map, so the others wait after their first step.
  CHECK(ranks.Step(2) == 0);
  CHECK(ranks.Step(0) <= 1);
  ranks.Order(2, {{1, 1, 10}}, 1);
  ranks.Run(100);
  for (std::uint32_t r = 0; r < 3; ++r) CHECK(ranks.Step(r) == 10);
  ranks.Order(0, {{1, 1, 10}}, 0);
  CHECK(ranks.progress[0].counts.window == 2);
}

// Guards against a rank that restarts and repeats old steps or blocks the group for good.
TEST_CASE("a rank that restarts goes on with the group") {
  fake_ranks ranks;
  for (std::uint32_t r = 0; r < 3; ++r) ranks.Order(r, {{1, 1, 10}, {2, 11, 30}}, 1);
  ranks.Run(60);
  for (std::uint32_t r = 0; r < 3; ++r) CHECK(ranks.Step(r) == 10);
  ranks.Restart(1);
  for (std::uint32_t r = 0; r < 3; ++r) ranks.Order(r, {{1, 1, 10}, {2, 11, 30}}, 2);
  ranks.Run(100);
  for (std::uint32_t r = 0; r < 3; ++r) {
    CHECK(ranks.Step(r) == 30);
    for (const record_step& record : ranks.records[r]) {
      CHECK(record.map_version == (record.step <= 10 ? 1U : 2U));
    }
  }
}

}  // namespace radishroute
