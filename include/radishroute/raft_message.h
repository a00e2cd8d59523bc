#ifndef RADISHROUTE_RAFT_MESSAGE_H_
#define RADISHROUTE_RAFT_MESSAGE_H_

#include <cstdint>
#include <string>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/command.h"

namespace radishroute {

/// Header of a message between two replicas. A message for another voter id is dropped, so a
/// replica that lost its disk never replies under its old id.
struct raft_header {
  std::uint32_t log_group = 0;
  voter_id from;
  voter_id to;
  std::uint64_t term = 0;
};

/// AppendEntries: replicates the entries after `prev_index`; a heartbeat if there are none.
struct append_request {
  raft_header header;
  std::uint64_t prev_index = 0;
  std::uint64_t prev_term = 0;
  std::uint64_t commit = 0;
  /// Send time on the leader's clock. The reply echoes it, and the leader's lease starts from it.
  steady_time sent;
  std::vector<log_entry> entries;
};

struct append_reply {
  raft_header header;
  bool matched = false;
  /// Highest synced index known to match; if not `matched`, the highest index that may match.
  std::uint64_t match_index = 0;
  steady_time sent;
};

/// `header.term` is the candidate's term, or for a pre-vote the term that it would start.
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

/// Part of a snapshot's state, starting at byte `offset`.
struct snapshot_chunk {
  raft_header header;
  std::uint64_t index = 0;
  std::uint64_t snapshot_term = 0;
  std::vector<replica> replicas;
  /// Size in bytes and StableHash of the complete state.
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
  /// The snapshot is installed and synced, or the replica has already committed beyond it.
  bool done = false;
  steady_time sent;
};

/// Identifies a proposal; chosen by the proposer and unique per link.
struct proposal_id {
  std::uint64_t value = 0;
  // clang-tidy 14 takes the 0 of a rewritten comparison for a null pointer.
  auto operator<=>(const proposal_id&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Result of a proposal.
enum class proposal_status : std::uint8_t {
  /// Committed at the reported index.
  kCommitted,
  /// Not appended: this replica does not lead. The leader's address is reported if known.
  kNotLeader,
  /// Not appended: this leader's lease has expired without replies from a majority.
  kNoQuorum,
  /// Appended, but leadership was lost before the commit. It may or may not take effect.
  kUnknown,
  /// Not appended: the replica change is not allowed now.
  kInvalidChange,
  /// Not appended: the command exceeds the size limit.
  kTooLarge,
  /// Not appended: too many proposals are not committed yet.
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

/// Response to a join request; names the leader if known.
struct join_reply {
  endpoint leader_hint;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RAFT_MESSAGE_H_
