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

/// The entries of a log held in memory, the snapshot before them, and the replica sets they set.
class raft_log {
 public:
  raft_log() = default;

  /// Replaces the content by what a data folder holds. Error: kLogCorrupt if entries are missing.
  std::error_code Load(std::shared_ptr<const log_snapshot> snapshot,
                       std::vector<log_entry> entries);

  std::uint64_t LastIndex() const { return base_index_ + entries_.size(); }
  std::uint64_t LastTerm() const { return entries_.empty() ? base_term_ : entries_.back().term; }
  /// Index of the entry before the first one held.
  std::uint64_t BaseIndex() const { return base_index_; }
  std::uint64_t SnapshotIndex() const { return snapshot_ ? snapshot_->index : 0; }
  const std::shared_ptr<const log_snapshot>& Snapshot() const { return snapshot_; }

  /// Term of an entry, or nothing if it is not held.
  std::optional<std::uint64_t> TermAt(std::uint64_t index) const;
  const log_entry& At(std::uint64_t index) const { return entries_[index - base_index_ - 1]; }
  /// Lowest index held that has the term of `index`.
  std::uint64_t FirstIndexOfTerm(std::uint64_t index) const;

  /// The entry must have index LastIndex() + 1.
  void Append(log_entry entry);
  void TruncateFrom(std::uint64_t index);
  /// Adopts a snapshot of the state at an index held; keeps `keep` entries before it.
  void Compact(std::shared_ptr<const log_snapshot> snapshot, std::uint64_t keep);
  /// Drops everything and starts after a snapshot.
  void Reset(std::shared_ptr<const log_snapshot> snapshot);

  /// Replica set in force: the latest one in the log, committed or not.
  const std::vector<replica>& Replicas() const { return history_.back().second; }
  std::uint64_t ReplicasIndex() const { return history_.back().first; }
  const std::vector<replica>& ReplicasAt(std::uint64_t index) const;

 private:
  std::uint64_t base_index_ = 0;
  std::uint64_t base_term_ = 0;
  std::deque<log_entry> entries_;
  std::shared_ptr<const log_snapshot> snapshot_;
  /// Replica sets by the index that set them, oldest first; never empty.
  std::vector<std::pair<std::uint64_t, std::vector<replica>>> history_ = {{0, {}}};
};

/// Drops entries that do not connect to the snapshot. A crash between the writing of a leader's
/// snapshot and the removal of the older log leaves such entries.
void DropSupersededEntries(recovered_log& recovered);

const replica* FindReplica(const std::vector<replica>& replicas, voter_id id);
std::size_t VoterCount(const std::vector<replica>& replicas);

/// Whether a set can follow another: at most one voter is added, removed or changed, and a voter
/// remains.
bool IsSingleVoterChange(const std::vector<replica>& from, const std::vector<replica>& to);

/// Bytes that an entry takes in a message, within a factor of two.
std::size_t ApproximateSize(const command& body);

}  // namespace radishroute

#endif  // RADISHROUTE_RAFT_LOG_H_
