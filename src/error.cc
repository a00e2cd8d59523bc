#include "radishroute/error.h"

#include <array>
#include <string>

namespace radishroute {

std::string_view ToString(refusal_reason reason) {
  constexpr std::array<std::string_view, kRefusalReasonCount> kNames = {"none",
                                                                        "malformed-request",
                                                                        "body-too-large",
                                                                        "unknown-member",
                                                                        "unknown-kind",
                                                                        "unknown-model",
                                                                        "missing-idempotency-key",
                                                                        "malformed-idempotency-key",
                                                                        "idempotency-key-expired",
                                                                        "idempotency-key-conflict",
                                                                        "no-backend",
                                                                        "queue-full",
                                                                        "over-member-share",
                                                                        "deadline-unreachable",
                                                                        "deadline-passed",
                                                                        "draining",
                                                                        "wrong-incarnation",
                                                                        "quarantined",
                                                                        "no-quorum",
                                                                        "config-lease-lost",
                                                                        "no-configuration",
                                                                        "retry-budget-exhausted",
                                                                        "too-many-requests",
                                                                        "tombstoned",
                                                                        "suspect-already-running",
                                                                        "idempotency-key-in-future",
                                                                        "claim-queue-full",
                                                                        "record-table-full",
                                                                        "unknown-route",
                                                                        "unauthorized",
                                                                        "backends-full"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::string_view ToString(dispatch_failure failure) {
  constexpr std::array<std::string_view, kDispatchFailureCount> kNames = {"none",
                                                                          "engine-unreachable",
                                                                          "engine-crashed",
                                                                          "engine-stalled",
                                                                          "engine-error",
                                                                          "link-lost",
                                                                          "agent-restarted",
                                                                          "cancelled",
                                                                          "deadline-passed",
                                                                          "answer-too-large",
                                                                          "earlier-outcome-unknown",
                                                                          "answer-not-stored"};
  return kNames[static_cast<std::size_t>(failure)];
}

std::string_view ToString(retry_reason reason) {
  constexpr std::array<std::string_view, kRetryReasonCount> kNames = {
      "refused-by-backend", "backend-unreachable", "engine-crashed", "engine-stalled",
      "link-lost",          "agent-restarted",     "engine-error"};
  return kNames[static_cast<std::size_t>(reason)];
}

std::string_view ToString(response_fault fault) {
  constexpr std::array<std::string_view, kResponseFaultCount> kNames = {
      "none",         "reset",           "closed",   "invalid-status",
      "invalid-head", "invalid-framing", "too-long", "unidentified"};
  return kNames[static_cast<std::size_t>(fault)];
}

namespace {

class radishroute_category final : public std::error_category {
 public:
  const char* name() const noexcept override { return "radishroute"; }

  std::string message(int value) const override {
    switch (static_cast<errc>(value)) {
      case errc::kOk:
        return "success";
      case errc::kSettingsInvalid:
        return "settings are invalid";
      case errc::kSheetInvalid:
        return "sheet is invalid";
      case errc::kFileUnreadable:
        return "file cannot be read";
      case errc::kFrameTooLong:
        return "frame exceeds the length limit";
      case errc::kFrameMalformed:
        return "frame cannot be decoded";
      case errc::kUnsupportedVersion:
        return "protocol version is not supported";
      case errc::kUnauthorized:
        return "peer is not authorized";
      case errc::kConnectFailed:
        return "connection failed";
      case errc::kTimeout:
        return "operation timed out";
      case errc::kDiskFull:
        return "disk is full";
      case errc::kSyncFailed:
        return "file could not be synced";
      case errc::kLogCorrupt:
        return "log has a corrupt record before its end";
      case errc::kSnapshotCorrupt:
        return "snapshot is corrupt";
      case errc::kVersionConflict:
        return "version number is already taken by another change";
      case errc::kNotLeader:
        return "this replica is not the leader";
      case errc::kNoQuorum:
        return "no majority of voters is reachable";
      case errc::kUnknownVoter:
        return "voter is not in the replica set";
      case errc::kListenFailed:
        return "cannot listen on the address";
      case errc::kOutcomeUnknown:
        return "outcome is unknown";
      case errc::kFolderInUse:
        return "data folder is in use by another process";
      case errc::kFolderUnusable:
        return "data folder cannot be created or read";
      case errc::kMalformedHttp:
        return "message is not valid HTTP/1.1";
      case errc::kHttpHeadTooLong:
        return "HTTP header section exceeds the length limit";
      case errc::kInvalidHttpStatus:
        return "HTTP status is not one that a final response may have";
      case errc::kInvalidHttpFraming:
        return "HTTP body is framed in an invalid or unsupported way";
      case errc::kMalformedCall:
        return "API request is malformed";
      case errc::kInvalidDeployment:
        return "configuration is invalid";
      case errc::kCompressionFailed:
        return "text cannot be compressed or decompressed";
      case errc::kPatchMismatch:
        return "patch is damaged or was made for another text";
      case errc::kNotDrainable:
        return "process does not take this command";
    }
    return "unknown error";
  }
};

}  // namespace

const std::error_category& RadishrouteCategory() {
  static const radishroute_category category;
  return category;
}

std::error_code make_error_code(errc e) { return {static_cast<int>(e), RadishrouteCategory()}; }

}  // namespace radishroute
