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
    case event_code::kVoterStarted:
      return "voter-started";
    case event_code::kElectionStarted:
      return "election-started";
    case event_code::kLeaderElected:
      return "leader-elected";
    case event_code::kLeaderSteppedDown:
      return "leader-stepped-down";
    case event_code::kReplicasChanged:
      return "replicas-changed";
    case event_code::kSnapshotTaken:
      return "snapshot-taken";
    case event_code::kSnapshotInstalled:
      return "snapshot-installed";
    case event_code::kStorageFailed:
      return "storage-failed";
    case event_code::kLogTailTruncated:
      return "log-tail-truncated";
    case event_code::kVoterCreated:
      return "voter-created";
    case event_code::kInvariantViolated:
      return "invariant-violated";
  }
  return "unknown";
}

const std::vector<event_code>& AllEventCodes() {
  static const std::vector<event_code> codes = {
      event_code::kProcessStarted,    event_code::kProcessStopped,
      event_code::kDrainStarted,      event_code::kDrainDeadlinePassed,
      event_code::kListening,         event_code::kLinkOpened,
      event_code::kLinkClosed,        event_code::kLinkRejected,
      event_code::kFrameRejected,     event_code::kBackendUp,
      event_code::kBackendLeaving,    event_code::kBackendDown,
      event_code::kEngineCallFailed,  event_code::kVoterStarted,
      event_code::kElectionStarted,   event_code::kLeaderElected,
      event_code::kLeaderSteppedDown, event_code::kReplicasChanged,
      event_code::kSnapshotTaken,     event_code::kSnapshotInstalled,
      event_code::kStorageFailed,     event_code::kLogTailTruncated,
      event_code::kVoterCreated,      event_code::kInvariantViolated};
  return codes;
}

}  // namespace radishroute
