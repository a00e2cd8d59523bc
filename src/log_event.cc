#include "radishroute/log_event.h"

namespace radishroute {

std::string_view ToString(event_code code) {
  switch (code) {
    case event_code::kProcessStarted:
      return "process-started";
    case event_code::kProcessStopped:
      return "process-stopped";
    case event_code::kDrainStarted:
      return "drain-started";
    case event_code::kDrainDeadlinePassed:
      return "drain-deadline-passed";
    case event_code::kListening:
      return "listening";
    case event_code::kLinkOpened:
      return "link-opened";
    case event_code::kLinkClosed:
      return "link-closed";
    case event_code::kLinkRejected:
      return "link-rejected";
    case event_code::kFrameRejected:
      return "frame-rejected";
    case event_code::kBackendUp:
      return "backend-up";
    case event_code::kBackendLeaving:
      return "backend-leaving";
    case event_code::kBackendDown:
      return "backend-down";
    case event_code::kEngineCallFailed:
      return "engine-call-failed";
    case event_code::kConfigApplied:
      return "config-applied";
    case event_code::kConfigRejected:
      return "config-rejected";
    case event_code::kRecordContradiction:
      return "record-contradiction";
    case event_code::kConfigLeaseLost:
      return "config-lease-lost";
    case event_code::kConfigLeaseGained:
      return "config-lease-gained";
    case event_code::kLeaderFound:
      return "leader-found";
    case event_code::kInvariantViolated:
      return "invariant-violated";
  }
  return "unknown";
}

const std::vector<event_code>& AllEventCodes() {
  static const std::vector<event_code> codes = {
      event_code::kProcessStarted,   event_code::kProcessStopped,
      event_code::kDrainStarted,     event_code::kDrainDeadlinePassed,
      event_code::kListening,        event_code::kLinkOpened,
      event_code::kLinkClosed,       event_code::kLinkRejected,
      event_code::kFrameRejected,    event_code::kBackendUp,
      event_code::kBackendLeaving,   event_code::kBackendDown,
      event_code::kEngineCallFailed, event_code::kConfigApplied,
      event_code::kConfigRejected,   event_code::kRecordContradiction,
      event_code::kConfigLeaseLost,  event_code::kConfigLeaseGained,
      event_code::kLeaderFound,      event_code::kInvariantViolated};
  return codes;
}

}  // namespace radishroute
