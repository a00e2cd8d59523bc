#ifndef RADISHROUTE_FAILURE_EVENT_H_
#define RADISHROUTE_FAILURE_EVENT_H_

#include <cstdint>

#include "radishroute/failure_message.h"

namespace radishroute {

/// Crashes or cleared fingerprints from another thread of this process.
struct crash_report_shared {
  crash_report report;
};

/// An agent's traffic thread detected that its backend server went down or came back up.
struct engine_status_changed {
  bool up = false;
};

/// Result of a `probe_engine` effect.
struct engine_probe_done {
  std::uint64_t number = 0;
  bool answered = false;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FAILURE_EVENT_H_
