#ifndef RADISHROUTE_FAILURE_MESSAGE_H_
#define RADISHROUTE_FAILURE_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <vector>

#include "radishroute/types.h"

namespace radishroute {

/// One fingerprint that was in flight when a backend server crashed.
struct crash_charge {
  fingerprint content;
  /// Hash of the backend server's name and its agent's incarnation, see CrashSource.
  std::uint64_t source = 0;
  /// Number of the crash in this incarnation of the agent; 0 if the agent itself was lost.
  std::uint32_t sequence = 0;
  /// Time since the crash; an age rather than a timestamp, since the clocks of VMs differ.
  std::chrono::milliseconds age{};
};

/// Crashes, and fingerprints cleared because their requests have completed since.
struct crash_report {
  std::vector<crash_charge> charges;
  std::vector<fingerprint> cleared;
};

/// Latest heartbeat of one entry that the sender has received.
struct entry_heartbeat {
  std::uint64_t node = 0;
  /// Increases over time and across restarts of the entry.
  std::uint64_t value = 0;
};

/// Heartbeats of entries, used to expire the records of a lost entry.
struct entry_heartbeats {
  std::vector<entry_heartbeat> beats;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FAILURE_MESSAGE_H_
