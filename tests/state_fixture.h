#ifndef RADISHROUTE_TESTS_STATE_FIXTURE_H_
#define RADISHROUTE_TESTS_STATE_FIXTURE_H_

#include <cstdio>
#include <string>

#include "radishroute/state_codec.h"
#include "radishroute/state_machine.h"

namespace radishroute {

using test_state = replicated_state<thrift_state_codec>;

inline const wall_time kTestEpoch{std::chrono::hours(24 * 365 * 56)};

/// Returns a version 7 UUID for a time; `tail` distinguishes keys of the same millisecond.
inline std::string MakeKey(wall_time at, unsigned tail = 0) {
  auto millis = static_cast<unsigned long long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(at.time_since_epoch()).count());
  char text[64];
  std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012x", millis >> 16, millis & 0xFFFF,
                tail);
  return text;
}

inline record_claim MakeClaim(const std::string& key, std::uint64_t request,
                              wall_time at = kTestEpoch) {
  record_claim claim;
  claim.member = "club-1";
  claim.key = key;
  claim.content_hash = 11;
  claim.dispatch = {{1, request}, 1};
  claim.backend = "booking-1";
  claim.backend_incarnation = 5;
  claim.at = at;
  return claim;
}

inline record_outcome MakeOutcome(const record_claim& claim, record_status status,
                                  const std::string& answer = "") {
  record_outcome outcome{claim.member, claim.key, claim.dispatch, status, 0, "", ""};
  if (status == record_status::kDone) {
    outcome.answer_status = 200;
    outcome.answer_type = "application/json";
    outcome.answer = answer;
  }
  return outcome;
}

/// A state machine to which commands are applied directly, at consecutive log indexes.
struct state_fixture {
  test_state machine;
  std::uint64_t index = 0;
  random_source random{1};
  effect_list effects;

  apply_result Apply(command body) {
    reduce_context ctx{steady_time(), kTestEpoch, random, effects};
    return machine.Apply({1, ++index, std::move(body)}, ctx);
  }
  claim_result Claim(const record_claim& claim) { return std::get<claim_result>(Apply(claim)); }
  outcome_verdict Outcome(const record_outcome& outcome) {
    return std::get<outcome_verdict>(Apply(outcome));
  }
  change_result Change(std::uint64_t base, const std::string& id, const std::string& sheet,
                       const std::string& author = "operator") {
    return std::get<change_result>(Apply(config_change{base, id, author, sheet}));
  }
};

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_STATE_FIXTURE_H_
