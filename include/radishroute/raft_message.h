#ifndef RADISHROUTE_RAFT_MESSAGE_H_
#define RADISHROUTE_RAFT_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/command.h"

namespace radishroute {

/// Addressing of a message between two replicas. A message for another voter id is dropped, so a
/// replica that lost its disk never answers for its former self.
struct raft_header {
  std::uint32_t log_group = 0;
  voter_id from;
  voter_id to;
  std::uint64_t term = 0;
};

/// Replicates entries after `prev_index`; without entries it is a heartbeat.
struct append_request {
  raft_header header;
  std::uint64_t prev_index = 0;
  std::uint64_t prev_term = 0;
  std::uint64_t commit = 0;
  /// Leader's clock; the reply returns it, and the leader counts its lease from it.
  steady_time sent;
  std::vector<log_entry> entries;
};

struct append_reply {
  raft_header header;
  bool matched = false;
  /// Last synced index known to match; if not matched, the last index that may match.
  std::uint64_t match_index = 0;
  steady_time sent;
};

/// `header.term` is the candidate's term; for a pre-vote the term that it would start.
struct vote_request {
  raft_header header;
  bool pre_vote = false;
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
};

struct vote_reply {
  raft_header header;
  bool pre_vote = false;
  bool granted = false;
};

/// Part of a snapshot's state at a byte offset.
struct snapshot_chunk {
  raft_header header;
  std::uint64_t index = 0;
  std::uint64_t snapshot_term = 0;
  std::vector<replica> replicas;
  /// Bytes of the whole state and their StableHash.
  std::uint64_t total = 0;
  std::uint64_t hash = 0;
  std::uint64_t offset = 0;
  std::string bytes;
  steady_time sent;
};

struct snapshot_reply {
  raft_header header;
  std::uint64_t index = 0;
  std::uint64_t next_offset = 0;
  /// The snapshot is installed and synced, or the replica is already past it.
  bool done = false;
  steady_time sent;
};

/// Identity of a proposal, chosen by the proposer; unique on its link.
struct proposal_id {
  std::uint64_t value = 0;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  auto operator<=>(const proposal_id&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// How a proposal ended.
enum class proposal_status : std::uint8_t {
  /// Committed at the reported index.
  kCommitted,
  /// Not appended; the leader's address is reported if it is known.
  kNotLeader,
  /// Not appended: this leader has not heard from a majority within its lease.
  kNoQuorum,
  /// Appended, but leadership was lost before the commit. It may or may not take effect.
  kUnknown,
  /// Not appended: the replica change is not allowed now.
  kInvalidChange,
  /// Not appended: the command exceeds the size limit.
  kTooLarge,
  /// Not appended: too many proposals wait for their commit.
  kQueueFull,
};

struct propose_request {
  std::uint32_t log_group = 0;
  proposal_id id;
  command body;
};

struct propose_reply {
  std::uint32_t log_group = 0;
  proposal_id id;
  proposal_status status = proposal_status::kUnknown;
  std::uint64_t index = 0;
  endpoint leader;
};

/// Asks the leader to add this replica to the group.
struct join_request {
  replica candidate;
};

/// Answer to a join request; names the leader if it is known.
struct join_reply {
  endpoint leader_hint;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RAFT_MESSAGE_H_
