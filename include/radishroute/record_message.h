#ifndef RADISHROUTE_RECORD_MESSAGE_H_
#define RADISHROUTE_RECORD_MESSAGE_H_

#include <cstdint>
#include <string>

#include "radishroute/command.h"
#include "radishroute/record_types.h"

namespace radishroute {

/// Asks the leader to claim a key. `claim.at` is not sent; the leader sets it.
struct claim_request {
  /// Chosen by the sender; unchanged when the request is sent again.
  std::uint64_t proposal = 0;
  record_claim claim;
};

/// Asks the leader to store an outcome.
struct outcome_request {
  std::uint64_t proposal = 0;
  record_outcome outcome;
};

/// Committed result of a claim. After kHeld a second reply follows when the holder's outcome is
/// committed, unless the leader has changed.
struct record_reply {
  std::uint64_t proposal = 0;
  claim_verdict verdict = claim_verdict::kNoQuorum;
  /// The dispatch that holds the key, and where it was sent.
  dispatch_id holder;
  std::string backend;
  std::uint64_t backend_incarnation = 0;
  bool answer_stored = false;
  std::uint32_t answer_status = 0;
  std::string answer_type;
  std::string answer;
};

/// Committed result of an outcome.
struct outcome_reply {
  std::uint64_t proposal = 0;
  outcome_verdict verdict = outcome_verdict::kNotHolder;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECORD_MESSAGE_H_
