#ifndef RADISHROUTE_ERROR_H_
#define RADISHROUTE_ERROR_H_

#include <cstddef>
#include <cstdint>
#include <string_view>
#include <system_error>

namespace radishroute {

/// Why a request was refused. A refused request has not been run.
enum class refusal_reason : std::uint8_t {
  kNone,
  kMalformedRequest,
  kBodyTooLarge,
  kUnknownMember,
  kUnknownKind,
  kUnknownModel,
  kMissingIdempotencyKey,
  kMalformedIdempotencyKey,
  kIdempotencyKeyExpired,
  kIdempotencyKeyConflict,
  kNoBackend,
  kQueueFull,
  kOverMemberShare,
  kDeadlineUnreachable,
  kDeadlinePassed,
  kDraining,
  kWrongIncarnation,
  kQuarantined,
  kNoQuorum,
  kConfigLeaseLost,
  kNoConfiguration,
  kRetryBudgetExhausted,
  kTooManyRequests,
  kTombstoned,
  kSuspectAlreadyRunning,
  kIdempotencyKeyInFuture,
  kClaimQueueFull,
  kRecordTableFull,
  kUnknownRoute,
  kUnauthorized,
  kBackendsFull,
};

inline constexpr std::size_t kRefusalReasonCount = 31;

/// Stable name of a refusal reason, used in problem types and counter labels.
std::string_view ToString(refusal_reason reason);

/// Why a dispatch that may have run ended without a complete response.
enum class dispatch_failure : std::uint8_t {
  kNone,
  kEngineUnreachable,
  kEngineCrashed,
  kEngineStalled,
  kEngineError,
  kLinkLost,
  kAgentRestarted,
  kCancelled,
  kDeadlinePassed,
  kAnswerTooLarge,
  kEarlierOutcomeUnknown,
  kAnswerNotStored,
};

inline constexpr std::size_t kDispatchFailureCount = 12;

std::string_view ToString(dispatch_failure failure);

/// Why a request is retried on another backend server.
enum class retry_reason : std::uint8_t {
  kRefusedByBackend,
  kBackendUnreachable,
  kEngineCrashed,
  kEngineStalled,
  kLinkLost,
  kAgentRestarted,
  kEngineError,
};

inline constexpr std::size_t kRetryReasonCount = 7;

std::string_view ToString(retry_reason reason);

/// What is wrong with a response that is not complete and valid.
enum class response_fault : std::uint8_t {
  kNone,
  /// The connection was reset or lost before the end.
  kReset,
  /// The connection was closed in order before the end.
  kClosed,
  /// A status that no final response may have.
  kInvalidStatus,
  /// Lines of the head that readers understand differently.
  kInvalidHead,
  /// Chunks, trailers or a transfer coding that cannot be read.
  kInvalidFraming,
  /// More bytes than any response has there.
  kTooLong,
  /// The response names two requests, or none where an earlier one may be repeated.
  kUnidentified,
};

inline constexpr std::size_t kResponseFaultCount = 8;

std::string_view ToString(response_fault fault);

/// Errors of internal operations, as std::error_code values.
enum class errc {
  kOk = 0,
  kSettingsInvalid,
  kSheetInvalid,
  kFileUnreadable,
  kFrameTooLong,
  kFrameMalformed,
  kUnsupportedVersion,
  kUnauthorized,
  kConnectFailed,
  kTimeout,
  kDiskFull,
  kSyncFailed,
  kLogCorrupt,
  kSnapshotCorrupt,
  kVersionConflict,
  kNotLeader,
  kNoQuorum,
  kUnknownVoter,
  kListenFailed,
  kOutcomeUnknown,
  kFolderInUse,
  kFolderUnusable,
  kNotDrainable,
  kMalformedHttp,
  kHttpHeadTooLong,
  kInvalidHttpStatus,
  kInvalidHttpFraming,
  kMalformedCall,
  kInvalidDeployment,
  kCompressionFailed,
  kPatchMismatch,
};

const std::error_category& RadishrouteCategory();
std::error_code make_error_code(errc e);

}  // namespace radishroute

template <>
struct std::is_error_code_enum<radishroute::errc> : std::true_type {};

#endif  // RADISHROUTE_ERROR_H_
