#ifndef RADISHROUTE_RAFT_LOG_H_
#define RADISHROUTE_RAFT_LOG_H_

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <system_error>
#include <utility>
#include <vector>

#include "radishroute/raft_event.h"

namespace radishroute {

/// In-memory log: the entries, the latest snapshot, and the replica sets that the entries define.
class raft_log {
 public:
  raft_log() = default;

  /// Replaces the content with that of a data folder. Error: kLogCorrupt if the entries do not
  /// connect to the snapshot or to each other.
  std::error_code Load(std::shared_ptr<const log_snapshot> snapshot,
                       std::vector<log_entry> entries);

  std::uint64_t LastIndex() const { return base_index_ + entries_.size(); }
  std::uint64_t LastTerm() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  /// Index of the entry before the first one in memory.
  std::uint64_t BaseIndex() const { return base_index_; }
  std::uint64_t SnapshotIndex() const { return snapshot_ ? snapshot_->index : 0; }
  const std::shared_ptr<const log_snapshot>& Snapshot() const { return snapshot_; }

  /// Term of an entry, or nothing if it is not in memory.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  const log_entry& At(std::uint64_t index) const { return entries_[index - base_index_ - 1]; }
  /// Lowest index in memory whose entry has the same term as the entry at `index`.
  std::uint64_t FirstIndexOfTerm(std::uint64_t index) const;

  /// The entry must have index LastIndex() + 1.
  void Append(log_entry entry);
  void TruncateFrom(std::uint64_t index);
  /// Sets the latest snapshot, whose index must be in memory, and drops all but the last `keep`
  /// entries up to that index.
  void Compact(std::shared_ptr<const log_snapshot> snapshot, std::uint64_t keep);
  /// Removes all entries and continues after a snapshot.
  void Reset(std::shared_ptr<const log_snapshot> snapshot);

  /// Replica set in force: the latest one in the log, committed or not.
  const std::vector<replica>& Replicas() const { return replica_sets_.back().second; }
  std::uint64_t ReplicasIndex() const { return replica_sets_.back().first; }
  const std::vector<replica>& ReplicasAt(std::uint64_t index) const;

 private:
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<log_entry> entries_;
  std::shared_ptr<const log_snapshot> snapshot_;
  /// Replica sets with the index of the entry that set each, oldest first; never empty.
  std::vector<std::pair<std::uint64_t, std::vector<replica>>> replica_sets_ = {{0, {}}};
};

/// Removes all entries if they do not connect to the snapshot. A crash between writing a snapshot
/// received from the leader and removing the older log leaves such entries.
void DropSupersededEntries(recovered_log& recovered);

const replica* FindReplica(const std::vector<replica>& replicas, voter_id id);
std::size_t VoterCount(const std::vector<replica>& replicas);

/// Whether two replica sets differ by at most one added or removed voter, and the new one has a
/// voter.
bool IsSingleVoterChange(const std::vector<replica>& from, const std::vector<replica>& to);

/// Encoded size of an entry in a message, accurate to a factor of two.
std::size_t ApproximateSize(const command& body);

}  // namespace radishroute

#endif  // RADISHROUTE_RAFT_LOG_H_
