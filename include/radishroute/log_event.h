#ifndef RADISHROUTE_LOG_EVENT_H_
#define RADISHROUTE_LOG_EVENT_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace radishroute {

/// Number of a log event. docs/events.md lists all of them.
enum class event_code : std::uint16_t {
  kProcessStarted = 100,
  kProcessStopped = 101,
  kDrainStarted = 102,
  kDrainDeadlinePassed = 103,
  kListening = 104,
  kLinkOpened = 200,
  kLinkClosed = 201,
  kLinkRejected = 202,
  kFrameRejected = 203,
  kLinkSilent = 250,
  kLinkReplaced = 251,
  kLinkReplacementFailed = 252,
  kBackendLost = 253,
  kBackendUp = 300,
  kBackendLeaving = 301,
  kBackendDown = 302,
  kEngineDown = 350,
  kEngineUp = 351,
  kEngineCrashed = 352,
  kEngineStalled = 353,
  kFingerprintQuarantined = 354,
  kDirectoryRecordExpired = 355,
  kEngineCallFailed = 400,
  kVoterStarted = 500,
  kElectionStarted = 501,
  kLeaderElected = 502,
  kLeaderSteppedDown = 503,
  kReplicasChanged = 504,
  kSnapshotTaken = 505,
  kSnapshotInstalled = 506,
  kStorageFailed = 507,
  kLogTailTruncated = 508,
  kVoterCreated = 509,
  kStorageRecovered = 510,
  kSegmentNotRemoved = 511,
  kSnapshotRefused = 512,
  kPeerMessageRefused = 513,
  kLeaderMissing = 514,
  kConfigApplied = 600,
  kConfigRejected = 601,
  kRecordContradiction = 602,
  kConfigLeaseLost = 603,
  kConfigLeaseGained = 604,
  kLeaderFound = 605,
  kLeaderLeft = 606,
  kConfigDistributed = 607,
  kConfigEntryLate = 608,
  kConfigPatchRejected = 609,
  kOrderCommitted = 700,
  kOrderEnded = 701,
  kOrderFenceLearned = 702,
  kOrderRefusedStale = 703,
  kOrderRetried = 704,
  kEngineOrderFinished = 705,
  kGroupCreated = 720,
  kMapProposed = 721,
  kMapActivated = 722,
  kRankReportRefused = 723,
  kRankPastGrant = 724,
  kGroupPinned = 725,
  kGroupUnpinned = 726,
  kMapPlanned = 727,
  kEngineReportUnreadable = 728,
  kMapWaiting = 729,
  kForwardFinished = 800,
  kForwardRefused = 801,
  kForwardRetried = 802,
  kForwardAttemptFailed = 803,
  kBackendCrashed = 804,
  kContentQuarantined = 805,
  kContentReleased = 806,
  kBackendDraining = 807,
  kBackendWithheld = 808,
  kResponseHeaderUnreadable = 809,
  kDeploymentApplied = 810,
  kDeploymentRejected = 811,
  kDocumentAnswered = 812,
  kCallRejected = 813,
  kRegistrationRejected = 814,
  kEvacuationAnswered = 815,
  kEvacuationsChanged = 816,
  kEvacuationsApplied = 817,
  kBackendCold = 818,
  kRequestQueued = 819,
  kSettingsReloaded = 820,
  kConnectionEvicted = 821,
  kCapacityChanged = 822,
  kInvariantViolated = 900,
};

enum class log_level : std::uint8_t { kDebug, kInfo, kWarning, kError };

struct log_field {
  std::string key;
  std::string value;
};

struct log_event {
  event_code code = event_code::kProcessStarted;
  log_level level = log_level::kInfo;
  std::vector<log_field> fields;
};

/// Name of a log event, as in docs/events.md.
std::string_view ToString(event_code code);

/// All event codes; used by the test that compares them with docs/events.md.
const std::vector<event_code>& AllEventCodes();

}  // namespace radishroute

#endif  // RADISHROUTE_LOG_EVENT_H_
