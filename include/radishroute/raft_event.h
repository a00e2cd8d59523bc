#ifndef RADISHROUTE_RAFT_EVENT_H_
#define RADISHROUTE_RAFT_EVENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include "radishroute/raft_message.h"

namespace radishroute {

/// Snapshot: the state after applying all entries up to `index`.
struct log_snapshot {
  std::uint64_t index = 0;
  std::uint64_t term = 0;
  std::vector<replica> replicas;
  std::string state;
};

/// Content of a replica's data folder, as read at start.
struct recovered_log {
  voter_id self;
  std::uint64_t term = 0;
  voter_id voted_for;
  std::shared_ptr<const log_snapshot> snapshot;
  std::vector<log_entry> entries;
};

/// Event: appends a command if this replica leads; results in `proposal_finished`.
struct propose_command {
  proposal_id id;
  command body;
};

enum class voter_operation : std::uint8_t { kAdd, kRemove, kReplace };

/// Event: changes the replica set; results in `proposal_finished` once the first step is committed.
/// An added replica is a learner until it has caught up, and then becomes a voter.
struct change_voters {
  proposal_id id;
  voter_operation operation = voter_operation::kAdd;
  /// The replica to add or remove; for kRemove only the id is used.
  replica target;
  /// For kReplace: the voter that `target` replaces.
  voter_id replaced;
};

/// Event: the batch of a `store_log` effect is synced, or storing it failed.
struct log_stored {
  std::uint32_t log_group = 0;
  std::uint64_t sequence = 0;
  std::error_code error;
};

/// A batch of changes to a replica's data folder, carried out in the order of the fields.
struct store_batch {
  std::uint32_t log_group = 0;
  std::uint64_t sequence = 0;
  bool write_vote = false;
  std::uint64_t term = 0;
  voter_id voted_for;
  std::shared_ptr<const log_snapshot> snapshot;
  /// Removes entries from this index on; zero removes none.
  std::uint64_t truncate_from = 0;
  std::vector<log_entry> entries;
  /// Entries below this index may be deleted.
  std::uint64_t keep_from = 0;
  /// The batch is the replica's whole state. It goes to new files, which replace those on disk.
  bool rewrite = false;
};

/// Effect: writes and syncs a batch, then delivers `log_stored`.
struct store_log {
  std::shared_ptr<const store_batch> batch;
};

/// Effect: reports the result of a `propose_command` or `change_voters` of this process.
struct proposal_finished {
  proposal_id id;
  proposal_status status = proposal_status::kUnknown;
  std::uint64_t index = 0;
  endpoint leader;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RAFT_EVENT_H_
