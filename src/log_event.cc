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
    case event_code::kStorageRecovered:
      return "storage-recovered";
    case event_code::kSegmentNotRemoved:
      return "segment-not-removed";
    case event_code::kSnapshotRefused:
      return "snapshot-refused";
    case event_code::kPeerMessageRefused:
      return "peer-message-refused";
    case event_code::kLeaderMissing:
      return "leader-missing";
    case event_code::kVoterCreated:
      return "voter-created";
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
    case event_code::kLeaderLeft:
      return "leader-left";
    case event_code::kConfigDistributed:
      return "config-distributed";
    case event_code::kOrderCommitted:
      return "order-committed";
    case event_code::kOrderEnded:
      return "order-ended";
    case event_code::kOrderFenceLearned:
      return "order-fence-learned";
    case event_code::kOrderRefusedStale:
      return "order-refused-stale";
    case event_code::kOrderRetried:
      return "order-retried";
    case event_code::kEngineOrderFinished:
      return "engine-order-finished";
    case event_code::kGroupCreated:
      return "group-created";
    case event_code::kMapProposed:
      return "map-proposed";
    case event_code::kMapActivated:
      return "map-activated";
    case event_code::kRankReportRefused:
      return "rank-report-refused";
    case event_code::kRankPastGrant:
      return "rank-past-grant";
    case event_code::kGroupPinned:
      return "group-pinned";
    case event_code::kMapPlanned:
      return "map-planned";
    case event_code::kEngineReportUnreadable:
      return "engine-report-unreadable";
    case event_code::kMapWaiting:
      return "map-waiting";
    case event_code::kForwardFinished:
      return "forward-finished";
    case event_code::kForwardRefused:
      return "forward-refused";
    case event_code::kForwardRetried:
      return "forward-retried";
    case event_code::kForwardAttemptFailed:
      return "forward-attempt-failed";
    case event_code::kBackendCrashed:
      return "backend-crashed";
    case event_code::kContentQuarantined:
      return "content-quarantined";
    case event_code::kContentReleased:
      return "content-released";
    case event_code::kBackendDraining:
      return "backend-draining";
    case event_code::kBackendWithheld:
      return "backend-withheld";
    case event_code::kResponseHeaderUnreadable:
      return "response-header-unreadable";
    case event_code::kDeploymentApplied:
      return "deployment-applied";
    case event_code::kDeploymentRejected:
      return "deployment-rejected";
    case event_code::kDocumentAnswered:
      return "document-answered";
    case event_code::kCallRejected:
      return "call-rejected";
    case event_code::kRegistrationRejected:
      return "registration-rejected";
    case event_code::kSettingsReloaded:
      return "settings-reloaded";
    case event_code::kGroupUnpinned:
      return "group-unpinned";
    case event_code::kInvariantViolated:
      return "invariant-violated";
  }
  return "unknown";
}

const std::vector<event_code>& AllEventCodes() {
  static const std::vector<event_code> codes = [] {
    std::vector<event_code> known;
    for (std::uint16_t number = 0; number < 1000; ++number) {
      auto code = static_cast<event_code>(number);
      if (ToString(code) != "unknown") known.push_back(code);
    }
    return known;
  }();
  return codes;
}

}  // namespace radishroute
