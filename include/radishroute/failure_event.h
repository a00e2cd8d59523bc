#ifndef RADISHROUTE_FAILURE_EVENT_H_
#define RADISHROUTE_FAILURE_EVENT_H_

#include <cstdint>

#include "radishroute/failure_message.h"

namespace radishroute {

/// Another thread of this process learned of crashes or of cleared fingerprints.
struct crash_report_shared {
  crash_report report;
};

/// The traffic thread of an agent found that its backend server went down or came back.
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
