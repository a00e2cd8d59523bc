#ifndef RADISHROUTE_COMMAND_H_
#define RADISHROUTE_COMMAND_H_

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/group_command.h"
#include "radishroute/order_types.h"
#include "radishroute/types.h"

namespace radishroute {

/// Identifies a replica; drawn at random when its data folder is created, so a replica that lost
/// its disk has a new id.
struct voter_id {
  std::uint64_t value = 0;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  auto operator<=>(const voter_id&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// One replica of a log group.
struct replica {
  voter_id id;
  std::string zone;
  endpoint address;
  /// False for a learner, which receives entries but does not vote.
  bool voting = true;
  /// The voter that this learner replaces once it has caught up; zero for none.
  voter_id replaces;
};

/// First entry of each leader's term.
struct no_operation {};

/// Sets the replica set, which differs from the one in force by at most one voter.
struct replica_change {
  std::vector<replica> replicas;
};

/// Which of two configuration changes takes effect.
enum class config_precedence : std::uint8_t {
  /// A change names the version that it is based on; a change committed since is a conflict.
  kCompareAndSet,
  /// A change names its own version and takes effect if that is the highest so far.
  kHighestVersion,
};

/// Puts a configuration in force as version `base_version + 1`, or with kHighestVersion as version
/// `base_version`.
struct config_change {
  std::uint64_t base_version = 0;
  /// Chosen by the operator; a retry carries the same id.
  std::string change_id;
  std::string author;
  /// The sheet as CSV text, or a document in a deployment-specific format.
  std::string sheet;
  config_precedence precedence = config_precedence::kCompareAndSet;
};

/// Claims an idempotency key before its request is dispatched.
struct record_claim {
  std::string member;
  std::string key;
  std::uint64_t content_hash = 0;
  dispatch_id dispatch;
  std::string backend;
  std::uint64_t backend_incarnation = 0;
  /// Wall-clock time of the leader that appended the claim; replicas expire records by it.
  wall_time at;
};

enum class record_status : std::uint8_t {
  /// Claimed; the request may be running.
  kClaimed,
  /// The request ran; its response is stored if small enough.
  kDone,
  /// The request certainly did not run; the key may be claimed again.
  kNotRun,
  /// Whether the request ran can no longer be determined.
  kUnknown,
};

/// Stores the outcome of a claimed request.
struct record_outcome {
  std::string member;
  std::string key;
  dispatch_id dispatch;
  record_status status = record_status::kDone;
  std::uint32_t answer_status = 0;
  std::string answer_type;
  std::string answer;
};

/// Begins or ends the evacuation of an availability zone: while it lasts, its backend servers get
/// no requests.
struct zone_evacuation {
  std::string zone;
  bool evacuated = true;
};

/// A change of the replicated state; the body of a log entry.
using command = std::variant<  //
    no_operation,              //
    replica_change,            //
    config_change,             //
    record_claim,              //
    record_outcome,            //
    order_submission,          //
    order_completion,
    group_change,  //
    group_pin,     //
    zone_evacuation>;

/// A log entry with its position.
struct log_entry {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
  command body;
};

/// Position at which a command was appended.
struct log_position {
  std::uint64_t term = 0;
  std::uint64_t index = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_COMMAND_H_
