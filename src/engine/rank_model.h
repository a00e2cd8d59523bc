#ifndef RADISHROUTE_ENGINE_RANK_MODEL_H_
#define RADISHROUTE_ENGINE_RANK_MODEL_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "engine/popularity.h"
#include "radishroute/clock.h"
#include "radishroute/rank_event.h"
#include "radishroute/types.h"

namespace radishroute {

struct rank_model_settings {
  std::uint32_t rank = 0;
  std::uint32_t ranks = 1;
  std::uint64_t incarnation = 1;
  popularity_settings popularity;
  /// Duration of a step: a fixed part and one for each token of this rank.
  std::chrono::microseconds step_base{2000};
  std::chrono::nanoseconds per_token{1000};
  /// Steps of one window of counts.
  std::uint32_t window_steps = 50;
  std::uint64_t expert_bytes = std::uint64_t{1} << 20;
};

/// The agent's order.
struct rank_order_arrived {
  exchange_id exchange;
  rank_order order;
};

/// Another rank says which step it has completed; 0 from one that has just started.
struct peer_step_arrived {
  exchange_id exchange;
  std::uint32_t rank = 0;
  std::uint64_t step = 0;
};

/// What a rank answers to another: its own step, and the last one that it heard from the other.
struct peer_state {
  std::uint64_t step = 0;
  std::uint64_t heard = 0;
};

struct peer_answered {
  std::uint32_t rank = 0;
  std::optional<peer_state> state;
};

struct map_weights_arrived {
  std::uint64_t map_version = 0;
  bool loaded = false;
};

struct rank_timer_expired {};

using rank_model_event = std::variant<rank_order_arrived, peer_step_arrived, peer_answered,
                                      map_weights_arrived, rank_timer_expired>;

struct answer_order {
  exchange_id exchange;
  rank_progress progress;
};

struct answer_peer {
  exchange_id exchange;
  peer_state state;
};

struct tell_peer {
  std::uint32_t rank = 0;
  std::uint64_t step = 0;
};

struct load_map_weights {
  std::uint64_t map_version = 0;
  std::uint64_t bytes = 0;
};

/// One completed step: its map and this rank's tokens by layer.
struct record_step {
  std::uint64_t step = 0;
  std::uint64_t map_version = 0;
  std::vector<double> tokens;
};

struct rank_wakeup {
  steady_time at;
};

using rank_model_effect =
    std::variant<answer_order, answer_peer, tell_peer, load_map_weights, record_step, rank_wakeup>;
using rank_model_effects = std::vector<rank_model_effect>;

/// Stand-in for one rank of a group. It runs a step only when it is granted, the map of the step
/// is loaded, and every other rank has completed the step before.
class rank_model {
 public:
  explicit rank_model(rank_model_settings settings);

  /// Asks the other ranks which step they are at.
  void Start(steady_time now, rank_model_effects& effects);
  void Reduce(const rank_model_event& e, steady_time now, rank_model_effects& effects);

 private:
  struct peer {
    std::uint64_t step = 0;
    /// Last step of this rank that the peer knows.
    std::uint64_t told = 0;
    bool telling = false;
    bool answered = false;
    std::optional<steady_time> retry_at;
    std::uint64_t heard = 0;
  };

  struct running_step {
    std::uint64_t map_version = 0;
    steady_time ends;
    std::vector<double> tokens;
  };

  /// Tokens of one step of this rank under one map, by cell.
  struct step_load {
    std::uint64_t map_version = 0;
    std::uint64_t window = 0;
    bool shifted = false;
    std::vector<std::uint32_t> cells;
    std::vector<double> tokens;
    std::vector<double> by_layer;
  };

  void Handle(const rank_order_arrived& e, steady_time now, rank_model_effects& effects);
  void Handle(const peer_step_arrived& e, steady_time now, rank_model_effects& effects);
  void Handle(const peer_answered& e, steady_time now, rank_model_effects& effects);
  void Handle(const map_weights_arrived& e, steady_time now, rank_model_effects& effects);
  void Handle(const rank_timer_expired& e, steady_time now, rank_model_effects& effects);

  void Tell(std::uint32_t rank, rank_model_effects& effects);
  void TellAll(steady_time now, rank_model_effects& effects);
  void Join();
  void Advance(steady_time now, rank_model_effects& effects);
  bool StartStep(steady_time now, rank_model_effects& effects);
  void EndStep(steady_time now, rank_model_effects& effects);
  const step_load& LoadOf(std::uint64_t step, std::uint64_t map_version);
  void AddLayer(std::uint32_t layer, const layer_placement& placement, step_load& load) const;
  std::uint64_t BytesFor(const expert_placement& placement) const;
  bool Holds(std::uint32_t layer, std::uint16_t expert) const;

  rank_model_settings settings_;
  group_shape shape_;
  rank_grants grants_;
  std::map<std::uint64_t, expert_placement> maps_;
  std::optional<group_map> loading_;
  std::vector<peer> peers_;
  bool joined_ = false;
  std::uint64_t done_ = 0;
  std::optional<running_step> running_;
  step_load load_;
  std::map<std::uint32_t, double> window_tokens_;
  std::uint32_t window_counted_ = 0;
  steady_time window_started_{};
  expert_counts counts_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_RANK_MODEL_H_
