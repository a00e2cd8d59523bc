#include "radishroute/forward/admission.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace radishroute {

namespace {

using real_seconds = std::chrono::duration<double>;

// The leader sends its view several times a second; an older one says little about queues.
constexpr std::chrono::milliseconds kFresh{1000};

// Passes until the first token of a request that finds a free slot: the rest of the current one,
// its prompt, and its first tokens.
constexpr double kPassesToFirstToken = 2.5;

// Part of the longest pause that passes may take; the rest is for prompts that are read between.
constexpr double kGapShare = 0.85;

// Room that routes of a rank leave to more urgent ones, in requests of an engine.
constexpr std::array<double, 3> kRoomLeft = {0, 1, 2};

// Requests of the less urgent ranks that are admitted beyond that room up to the engine's
// capacity, so that a flood of urgent ones does not starve them.
constexpr double kFloorShare = 0.15;

}  // namespace

void engine_model_admission::OnFleetLoad(std::shared_ptr<const fleet_load> load, steady_time now) {
  load_ = std::move(load);
  heard_ = now;
}

bool engine_model_admission::Fresh(steady_time now) const {
  return load_ != nullptr && now - heard_ <= kFresh;
}

bool engine_model_admission::GroupIsDown(steady_time now) const {
  return Fresh(now) && !load_->open;
}

double engine_model_admission::Capacity(const route& via, const engine_profile& engine,
                                        std::uint32_t slots) const {
  double steps = std::max(engine.steps_per_pass, 1U);
  auto pass_with = [&](double requests) {
    return real_seconds(engine.step + engine.step_per_request * requests) * steps;
  };
  double capacity = slots;
  real_seconds pass = pass_with(capacity);
  if (load_ != nullptr && load_->pass.count() > 0 && !load_->engines.empty()) {
    // The group advances with its slowest rank, which the published figures do not tell.
    double running = 0;
    for (const fleet_engine_load& e : load_->engines) running += e.running;
    running /= static_cast<double>(load_->engines.size());
    double slowdown = std::max(1.0, real_seconds(load_->pass) / pass_with(running));
    pass = pass_with(capacity) * slowdown;
    if (via.target_gap.count() > 0) {
      real_seconds allowed = real_seconds(via.target_gap) * kGapShare / (steps * slowdown);
      double most = (allowed - real_seconds(engine.step)) / real_seconds(engine.step_per_request);
      capacity = std::clamp(most, 2.0, capacity);
    }
  }
  // Requests that wait for a slot are served in turn as others end.
  double passes = std::max(1.0, engine.mean_answer_tokens / steps);
  real_seconds turn = pass * passes / capacity;
  real_seconds spare = real_seconds(via.target_latency) - pass * kPassesToFirstToken;
  double waiting = std::clamp(spare / turn, 0.0, capacity);
  return capacity + waiting;
}

admission_decision engine_model_admission::Admit(const admission_query& query, steady_time now,
                                                 random_source& random) {
  admission_decision decision;
  if (query.engine == nullptr || query.engine->step.count() == 0 || !Fresh(now)) return decision;
  decision.capacity = Capacity(*query.via, *query.engine, query.chosen.slots);
  decision.load_age = std::chrono::duration_cast<std::chrono::milliseconds>(now - heard_);
  decision.pass = load_->pass;
  std::size_t rank = std::min<std::size_t>(query.via->rank, kRanks - 1);
  double room = query.came_back ? 0 : kRoomLeft[rank];
  if (query.chosen.load <= decision.capacity - room) return decision;
  bool fits = query.chosen.load <= decision.capacity;
  decision.admitted = fits && std::bernoulli_distribution(kFloorShare)(random);
  return decision;
}

}  // namespace radishroute
