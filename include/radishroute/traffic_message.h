#ifndef RADISHROUTE_TRAFFIC_MESSAGE_H_
#define RADISHROUTE_TRAFFIC_MESSAGE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>

#include "radishroute/error.h"
#include "radishroute/types.h"

namespace radishroute {

/// Load of a backend server as its agent sees it; carried on every answer.
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
  /// The agent's life that this dispatch is meant for; any other life refuses it.
  std::uint64_t agent_incarnation = 0;
  std::string member;
  std::uint32_t member_weight = 1;
  priority_class cls = priority_class::kInteractive;
  /// Remaining time, not a point in time, since the clocks of two VMs differ.
  std::chrono::microseconds time_left{};
  fingerprint content;
  /// True if the content was in flight when a backend server crashed.
  bool suspect = false;
  bool repeatable = true;
  bool stream = false;
  std::uint32_t max_tokens = 0;
  /// Bytes of the answer that the caller already has.
  std::uint64_t resume_offset = 0;
  std::string path;
  std::string idempotency_key;
  /// The guaranteed shares under `config_version`; the agent uses those of the highest version.
  std::uint64_t config_version = 0;
  class_shares floor_percent{};
  std::string body;
};

/// The backend server began to answer.
struct answer_begin {
  dispatch_id id;
  std::uint32_t status = 0;
  std::string content_type;
};

/// A part of the answer's body.
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

/// The entry has the whole answer; the agent may forget it.
struct answer_ack {
  dispatch_id id;
};

/// The dispatch did not run and never will.
struct dispatch_refused {
  dispatch_id id;
  refusal_reason reason = refusal_reason::kNone;
  std::chrono::microseconds retry_after{};
  load_report load;
};

/// The dispatch may have run; no whole answer exists.
struct dispatch_failed {
  dispatch_id id;
  dispatch_failure reason = dispatch_failure::kNone;
  load_report load;
};

/// The caller hung up or the deadline passed.
struct cancel_dispatch {
  dispatch_id id;
};

/// Continue the answer on this link from `offset`.
struct attach_dispatch {
  dispatch_id id;
  std::uint64_t offset = 0;
};

/// Ask whether a dispatch ran; if it has not started, it never will.
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
