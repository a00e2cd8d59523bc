#ifndef RADISHROUTE_TRAFFIC_MESSAGE_H_
#define RADISHROUTE_TRAFFIC_MESSAGE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

#include "radishroute/error.h"
#include "radishroute/types.h"

namespace radishroute {

/// Load of a backend server as measured by its agent; sent with the end of every dispatch.
struct load_report {
  std::uint32_t running = 0;
  std::uint32_t limit = 0;
  std::uint32_t queued = 0;
  /// Expected wait of a new request of each class.
  std::array<std::chrono::microseconds, kPriorityClassCount> expected_wait{};
};

/// Asks an agent to run a request on its backend server.
struct dispatch_request {
  dispatch_id id;
  /// Incarnation of the agent that this dispatch is for; any other incarnation refuses it.
  std::uint64_t agent_incarnation = 0;
  std::string member;
  std::uint32_t member_weight = 1;
  priority_class cls = priority_class::kInteractive;
  /// Remaining time until the deadline; not a point in time, since the clocks of two VMs differ.
  std::chrono::microseconds time_left{};
  fingerprint content;
  /// True if the content was in flight when a backend server crashed.
  bool suspect = false;
  bool repeatable = true;
  bool stream = false;
  std::uint32_t max_tokens = 0;
  /// Number of bytes of the answer that the caller has already received.
  std::uint64_t resume_offset = 0;
  std::string path;
  std::string idempotency_key;
  /// Configuration version of the guaranteed shares in `floor_percent`; the agent applies the
  /// shares of the highest version it has received.
  std::uint64_t config_version = 0;
  class_shares floor_percent{};
  std::string body;
};

/// Status and content type of the backend server's answer.
struct answer_begin {
  dispatch_id id;
  std::uint32_t status = 0;
  std::string content_type;
};

/// Part of the answer's body.
struct answer_chunk {
  dispatch_id id;
  std::uint64_t offset = 0;
  std::string bytes;
};

/// The answer is complete; `length` counts all bytes of the body.
struct answer_end {
  dispatch_id id;
  std::uint64_t length = 0;
  load_report load;
};

/// The entry has received the complete answer; the agent may discard it.
struct answer_ack {
  dispatch_id id;
};

/// The dispatch did not run and will not run.
struct dispatch_refused {
  dispatch_id id;
  refusal_reason reason = refusal_reason::kNone;
  std::chrono::microseconds retry_after{};
  load_report load;
};

/// The dispatch may have run, but there is no complete answer.
struct dispatch_failed {
  dispatch_id id;
  dispatch_failure reason = dispatch_failure::kNone;
  load_report load;
};

/// Cancels a dispatch, for example because the caller disconnected or the deadline passed.
struct cancel_dispatch {
  dispatch_id id;
};

/// Asks the agent to send the answer on this link, from `offset` on.
struct attach_dispatch {
  dispatch_id id;
  std::uint64_t offset = 0;
};

/// Asks the agent whether a dispatch ran. If it has not started, it is not started afterwards.
struct resolve_dispatch {
  dispatch_id id;
  std::uint64_t agent_incarnation = 0;
};

enum class dispatch_state : std::uint8_t { kNeverStarted, kRunning, kFinished, kUnknown };

struct resolve_reply {
  dispatch_id id;
  dispatch_state state = dispatch_state::kUnknown;
};

}  // namespace radishroute

#endif  // RADISHROUTE_TRAFFIC_MESSAGE_H_
