#include "radishroute/forward/admission.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace radishroute {

namespace {

using real_seconds = std::chrono::duration<double>;

// Forward passes until the first token of a request that finds a free slot: the rest of the current
// pass, the prompt, and the first tokens.
constexpr double kPassesToFirstToken = 2.5;

// Share of the target gap that a forward pass may take, by priority; the rest is for prompts
// processed in between and for passes that are longer than the mean. Each request on any engine
// lengthens the passes of all, and one long pass makes a stream late, so less urgent routes yield
// before the streams of urgent ones pause.
constexpr std::array<double, 3> kMaxPassShareOfGap = {0.85, 0.72, 0.62};
constexpr double kLargestPassShareOfGap = kMaxPassShareOfGap[0];

// Capacity per engine, in requests, that routes of each priority leave free for more urgent ones.
constexpr std::array<double, 3> kHeadroom = {0, 1, 2};

// Capacity per engine, in requests, that callers who return after a refusal leave free besides.
// They are late in any case, while a request that comes for the first time can still be in time.
constexpr double kReturnHeadroom = 2;

// Probability that a less urgent request is admitted beyond that, up to the engine's capacity, so
// that a surge of urgent requests does not starve the less urgent ones.
constexpr double kHeadroomAdmitProbability = 0.15;

std::size_t PriorityIndex(const route& matched_route) {
  return std::min<std::size_t>(matched_route.priority, kHeadroom.size() - 1);
}

}  // namespace

bool engine_model_admission::OnFleetLoad(std::shared_ptr<const fleet_load> load, steady_time now) {
  return loads_.OnFleetLoad(std::move(load), now);
}

bool engine_model_admission::IsGroupDown(const endpoint& engine, steady_time now) const {
  const group_load* group = loads_.Find(engine);
  return group != nullptr && group->IsDown(now);
}

double engine_model_admission::Capacity(const route& matched_route, const engine_profile& engine,
                                        std::uint32_t slots, double pass_share,
                                        const group_load* group) {
  double steps = std::max(engine.steps_per_pass, 1U);
  auto pass_with = [&](double requests) {
    return real_seconds(engine.step + engine.step_per_request * requests) * steps;
  };
  double capacity = slots;
  real_seconds pass = pass_with(capacity);
  if (group != nullptr && group->report->pass.count() > 0 && !group->report->engines.empty()) {
    // The slowest rank determines the duration of the group's passes; the configured profile does
    // not show this.
    double slowdown =
        std::max(1.0, real_seconds(group->report->pass) / pass_with(group->mean_running));
    pass = pass_with(capacity) * slowdown;
    if (matched_route.target_gap.count() > 0) {
      real_seconds allowed =
          real_seconds(matched_route.target_gap) * pass_share / (steps * slowdown);
      double max_running =
          (allowed - real_seconds(engine.step)) / real_seconds(engine.step_per_request);
      capacity = std::clamp(max_running, 2.0, capacity);
    }
  }
  // Waiting requests get a slot one after the other, as running requests end.
  double passes = std::max(1.0, engine.mean_answer_tokens / steps);
  real_seconds slot_interval = pass * passes / capacity;
  real_seconds allowed_wait =
      real_seconds(matched_route.target_latency) - pass * kPassesToFirstToken;
  double waiting = std::clamp(allowed_wait / slot_interval, 0.0, capacity);
  return capacity + waiting;
}

admission_decision engine_model_admission::Admit(const admission_query& query, steady_time now,
                                                 random_source& random) {
  admission_decision decision;
  const group_load* group = loads_.Find(query.chosen.address);
  bool known = group != nullptr && group->IsFresh(now);
  if (query.engine == nullptr || query.engine->step.count() == 0 || !known) return decision;
  const route& matched_route = *query.matched_route;
  std::size_t priority = PriorityIndex(matched_route);
  decision.capacity =
      Capacity(matched_route, *query.engine, query.chosen.slots, kLargestPassShareOfGap, group);
  decision.load_age = std::chrono::duration_cast<std::chrono::milliseconds>(now - group->received);
  decision.pass = group->report->pass;
  double headroom = kHeadroom[priority] + (query.is_caller_retry ? kReturnHeadroom : 0);
  double unreserved = Capacity(matched_route, *query.engine, query.chosen.slots,
                               kMaxPassShareOfGap[priority], group) -
                      headroom;
  if (query.chosen.load <= unreserved) return decision;
  bool fits = query.chosen.load <= decision.capacity;
  decision.admitted = fits && std::bernoulli_distribution(kHeadroomAdmitProbability)(random);
  return decision;
}

}  // namespace radishroute
