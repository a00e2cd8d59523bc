#ifndef RADISHROUTE_RECORD_EVENT_H_
#define RADISHROUTE_RECORD_EVENT_H_

#include "radishroute/record_message.h"

namespace radishroute {

/// Traffic to control thread: claim a key for `claim.dispatch`.
struct claim_submitted {
  record_claim claim;
};

/// Traffic to control thread: store an outcome, and notify `waiter` when it is committed.
struct outcome_submitted {
  record_outcome outcome;
  dispatch_id waiter;
};

/// Control to traffic thread: verdict on a claim of `claimant`. After kHeld a second verdict may
/// follow.
struct claim_answered {
  dispatch_id claimant;
  record_reply reply;
};

/// Control to traffic thread: an outcome was committed, or its commit timed out.
struct outcome_answered {
  dispatch_id waiter;
  bool committed = false;
  outcome_verdict verdict = outcome_verdict::kNotHolder;
};

/// Traffic shard that assigned this request id; see the constructor of `request_table`.
constexpr std::uint32_t ShardOf(const request_id& id) {
  return static_cast<std::uint32_t>(id.sequence >> 56);
}

}  // namespace radishroute

#endif  // RADISHROUTE_RECORD_EVENT_H_
