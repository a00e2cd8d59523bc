#ifndef RADISHROUTE_METRIC_H_
#define RADISHROUTE_METRIC_H_

#include <cstddef>
#include <cstdint>
#include <string_view>

namespace radishroute {

/// Counters other than those kept per refusal and retry reason.
enum class counter : std::uint8_t {
  kRequestsReceived,
  kAnswersCompleted,
  kAnswersInTime,
  kAnswersAborted,
  kCallersHungUp,
  kStaleChunksDropped,
  kDuplicateDispatches,
  kDispatchesSent,
  kDispatchesCancelled,
  kLinksOpened,
  kLinksClosed,
  kFramesRejected,
  kLinksUnauthorized,
  kEventQueueFull,
  kLinksSilent,
  kLinksReplaced,
  kIdleLinksClosed,
  kHeartbeatsSent,
  kLinkBytesSent,
  kLinkBytesReceived,
  kAnswerGaps,
  kAnswerBytesForgotten,
  kEngineCrashes,
  kEngineStalls,
  kStorageFailures,
  kCrashCharges,
  kSuspectsCleared,
  kDirectoryDeltasSent,
  kDirectoryPulls,
  kDirectoryRecordsExpired,
  kSlowCallersCut,
  kSlowSendersCut,
  kClaimsSubmitted,
  kClaimsHeld,
  kOutcomesStored,
  kOutcomesNotStored,
  kStoredAnswersServed,
  kDispatchesResolved,
  kRetriesOverBudget,
  kOrdersSent,
  kOrdersDone,
  kOrdersFailed,
  kOrdersRetried,
  kOrdersRefusedStale,
  kStepsGranted,
  kPlacementsPlanned,
  kPlacementsNotWorth,
  kMapsActivated,
  kMapBytesMoved,
  kRankReportsRefused,
  kRankCallsFailed,
  kRegistrationsRejected,
  kEvacuationsCommitted,
  kColdBackendsSkipped,
  kRequestsQueued,
  kQueuedRequestsSent,
  kQueuedRequestsRefused,
  kFleetLoadsOutdated,
  kConnectionsEvicted,
  kRequestsOverBudget,
  kCapacityChanges,
  kConfigEntriesLate,
};

inline constexpr std::size_t kCounterCount = 62;

std::string_view ToString(counter c);

/// Latency histograms, one per priority class.
enum class latency_metric : std::uint8_t { kFirstByte, kAnswer, kQueueWait };

inline constexpr std::size_t kLatencyMetricCount = 3;

std::string_view ToString(latency_metric m);

}  // namespace radishroute

#endif  // RADISHROUTE_METRIC_H_
