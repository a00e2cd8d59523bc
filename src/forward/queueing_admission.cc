#include "radishroute/forward/queueing_admission.h"

#include <algorithm>
#include <random>

namespace radishroute {

namespace {

using real_millis = std::chrono::duration<double, std::milli>;

// Share of the target gap that a mean pass may take. The rest is for passes that are longer than
// the mean, after the demand for experts has shifted.
constexpr double kMaxPassShareOfGap = 0.9;

// Range of the mean load around the capacity in which the probability of admission falls from one
// to zero. All processes read the same report; without it they would all send or all hold back.
constexpr double kAdmissionRange = 1.0;

// Load of an engine, in multiples of its slots, up to which requests that can only be late are sent
// to it. Those beyond would wait there for longer than a stream lasts.
constexpr double kMaxLateLoad = 2.0;

// Forward passes until the first token of a request that finds a free slot: the rest of the current
// pass, the prompt, and the first tokens.
constexpr double kPassesToFirstToken = 2.5;

// Load reports come about this often. A request that has less time than this before it would be
// late is not decided anew in time.
constexpr std::chrono::milliseconds kReportInterval{150};

real_millis PassOf(const engine_profile& engine, double requests) {
  return real_millis(engine.step + engine.step_per_request * requests) *
         std::max(engine.steps_per_pass, 1U);
}

// The slowest rank determines the duration of the group's passes; the configured profile does not
// show this.
real_millis MeasuredPass(const engine_profile& engine, const group_load& group) {
  return std::max(real_millis(group.report->pass), PassOf(engine, group.mean_running));
}

double MeanLoad(const group_load& group) {
  double load = 0;
  for (const fleet_engine_load& e : group.report->engines) load += e.running + e.waiting;
  return load / std::max<double>(1, static_cast<double>(group.report->engines.size()));
}

void LetWait(const admission_query& query, std::chrono::milliseconds first_token,
             admission_decision& decision) {
  decision.decide_by = query.matched_route->target_latency - first_token;
  decision.waits = query.waited + kReportInterval <= decision.decide_by;
}

}  // namespace

double queueing_admission::GroupCapacity(const route& matched_route, const engine_profile& engine,
                                         std::uint32_t slots, double pass_share,
                                         const group_load& group) {
  if (matched_route.target_gap.count() == 0 || engine.step_per_request.count() == 0) return slots;
  double slowdown = MeasuredPass(engine, group) / PassOf(engine, group.mean_running);
  double steps = std::max(engine.steps_per_pass, 1U);
  real_millis allowed = real_millis(matched_route.target_gap) * pass_share / (steps * slowdown);
  double capacity = (allowed - real_millis(engine.step)) / real_millis(engine.step_per_request);
  return std::clamp(capacity, 1.0, static_cast<double>(slots));
}

std::chrono::milliseconds queueing_admission::FirstToken(const engine_profile& engine, double load,
                                                         std::uint32_t slots,
                                                         const group_load& group) {
  real_millis pass = MeasuredPass(engine, group);
  double steps = std::max(engine.steps_per_pass, 1U);
  double passes = std::max(1.0, engine.mean_answer_tokens / steps);
  // Requests beyond the slots get one after the other, as running requests end.
  real_millis queue = pass * passes / slots * std::max(0.0, load - slots);
  return std::chrono::duration_cast<std::chrono::milliseconds>(pass * kPassesToFirstToken + queue);
}

admission_decision queueing_admission::Admit(const admission_query& query, steady_time now,
                                             random_source& random) {
  const group_load* group = immediate_.Loads().Find(query.chosen.address);
  bool known = group != nullptr && group->IsFresh(now) && query.engine != nullptr &&
               query.engine->expert_sets > 0 && query.engine->step.count() > 0;
  bool has_target = query.matched_route->target_latency.count() > 0;
  if (!query.may_wait || !known || !has_target) return immediate_.Admit(query, now, random);
  bool one_priority = query.stream_priorities != nullptr && query.stream_priorities->size() == 1;
  if (one_priority) return AdmitByGroup(query, *group, now, random);
  admission_decision decision = immediate_.Admit(query, now, random);
  bool several_groups = immediate_.Loads().Groups().size() > 1;
  if (!decision.admitted && several_groups) {
    LetWait(query, FirstToken(*query.engine, 0, query.chosen.slots, *group), decision);
  }
  return decision;
}

admission_decision queueing_admission::AdmitByGroup(const admission_query& query,
                                                    const group_load& group, steady_time now,
                                                    random_source& random) const {
  const route& matched_route = *query.matched_route;
  const engine_profile& engine = *query.engine;
  std::uint32_t slots = query.chosen.slots;
  admission_decision decision;
  decision.load_age = std::chrono::duration_cast<std::chrono::milliseconds>(now - group.received);
  decision.pass = group.report->pass;
  decision.capacity = GroupCapacity(matched_route, engine, slots, kMaxPassShareOfGap, group);
  double load = MeanLoad(group);
  double probability = (decision.capacity + kAdmissionRange / 2 - load) / kAdmissionRange;
  bool has_room = std::uniform_real_distribution<double>(0, 1)(random) < probability;
  auto first_token = FirstToken(engine, query.chosen.load, slots, group);
  decision.admitted = has_room && query.waited + first_token <= matched_route.target_latency;
  if (decision.admitted) return decision;
  LetWait(query, FirstToken(engine, 0, slots, group), decision);
  if (decision.waits) return decision;
  decision.admitted = load <= decision.capacity && query.chosen.load <= kMaxLateLoad * slots;
  return decision;
}

}  // namespace radishroute
