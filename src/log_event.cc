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
    case event_code::kLinkSilent:
      return "link-silent";
    case event_code::kLinkReplaced:
      return "link-replaced";
    case event_code::kLinkReplacementFailed:
      return "link-replacement-failed";
    case event_code::kBackendLost:
      return "backend-lost";
    case event_code::kEngineDown:
      return "engine-down";
    case event_code::kEngineUp:
      return "engine-up";
    case event_code::kEngineCrashed:
      return "engine-crashed";
    case event_code::kEngineStalled:
      return "engine-stalled";
    case event_code::kFingerprintQuarantined:
      return "fingerprint-quarantined";
    case event_code::kDirectoryRecordExpired:
      return "directory-record-expired";
    case event_code::kEngineCallFailed:
      return "engine-call-failed";
    case event_code::kInvariantViolated:
      return "invariant-violated";
  }
  return "unknown";
}

const std::vector<event_code>& AllEventCodes() {
  static const std::vector<event_code> codes = {event_code::kProcessStarted,
                                                event_code::kProcessStopped,
                                                event_code::kDrainStarted,
                                                event_code::kDrainDeadlinePassed,
                                                event_code::kListening,
                                                event_code::kLinkOpened,
                                                event_code::kLinkClosed,
                                                event_code::kLinkRejected,
                                                event_code::kFrameRejected,
                                                event_code::kBackendUp,
                                                event_code::kBackendLeaving,
                                                event_code::kBackendDown,
                                                event_code::kEngineCallFailed,
                                                event_code::kLinkSilent,
                                                event_code::kLinkReplaced,
                                                event_code::kLinkReplacementFailed,
                                                event_code::kBackendLost,
                                                event_code::kEngineDown,
                                                event_code::kEngineUp,
                                                event_code::kEngineCrashed,
                                                event_code::kEngineStalled,
                                                event_code::kFingerprintQuarantined,
                                                event_code::kDirectoryRecordExpired,
                                                event_code::kInvariantViolated};
  return codes;
}

}  // namespace radishroute
