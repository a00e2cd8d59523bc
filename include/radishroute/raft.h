#ifndef RADISHROUTE_RAFT_H_
#define RADISHROUTE_RAFT_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <system_error>
#include <utility>
#include <vector>

#include "radishroute/link_event.h"
#include "radishroute/raft_log.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Applies committed entries. The state must be a deterministic function of the entry sequence.
template <class S>
concept replicated_state_machine = requires(S machine, const S& const_machine,
                                            const log_entry& entry, std::string_view state,
                                            reduce_context& ctx) {
  {machine.Apply(entry, ctx)};
  { const_machine.Snapshot() } -> std::same_as<std::string>;
  // Leaves the machine as it was if the state cannot be read.
  { machine.Restore(state) } -> std::same_as<std::error_code>;
};

struct raft_limits {
  std::chrono::milliseconds heartbeat_interval{100};
  /// The election timeout is drawn at random between these two values. After a message from the
  /// leader, a replica also grants no vote for `election_timeout_min`.
  std::chrono::milliseconds election_timeout_min{500};
  std::chrono::milliseconds election_timeout_max{900};
  /// How long the leader's lease lasts, counted from the send time of messages that a majority has
  /// acknowledged. 10% below `election_timeout_min`, which covers the assumed drift of at most 1%
  /// between two monotonic clocks.
  std::chrono::milliseconds lease_duration{450};
  /// An unacknowledged message with entries or a snapshot chunk is sent again after this time.
  std::chrono::milliseconds resend_delay{300};
  /// A link on which no reply arrives for this time is closed and reopened.
  std::chrono::milliseconds link_timeout{1500};
  std::chrono::milliseconds reconnect_delay{200};
  /// Each of the two byte limits, plus the fixed fields, stays below the frame limit of 4 MiB.
  std::size_t max_append_bytes = std::size_t{1} << 20;
  std::size_t max_command_bytes = std::size_t{2} << 20;
  std::size_t max_append_entries = 2048;
  std::size_t chunk_bytes = std::size_t{512} << 10;
  std::size_t max_proposals = 16384;
  /// Chunks of a larger snapshot are ignored, so that a peer cannot exhaust memory.
  std::size_t max_snapshot_bytes = std::size_t{256} << 20;
  /// Number of entries between snapshots; bounds the replay after a restart.
  std::uint64_t snapshot_interval = 10000;
  /// Number of entries kept before a snapshot, so that a slightly lagging replica needs no
  /// snapshot.
  std::uint64_t retained_entries = 1000;
  /// A learner is promoted to voter when it lags by at most this many entries.
  std::uint64_t max_promotion_lag = 100;
  /// With this many voters, a learner is promoted only in place of an existing voter.
  std::size_t max_voters = SIZE_MAX;
  /// A voter that has not replied for this time may be replaced by a learner that has caught up.
  std::chrono::milliseconds voter_timeout{2500};
  /// A learner that has not replied for this time is removed.
  std::chrono::milliseconds learner_timeout{30000};
  /// Interval at which a replica logs that it knows no leader.
  std::chrono::milliseconds leader_missing_interval{2000};
  /// After a failed write, the log is written anew in this interval until that succeeds.
  std::chrono::milliseconds storage_retry_delay{250};
};

enum class raft_role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

std::string_view ToString(raft_role role);

/// Raft without the state machine: elections, replication, storage batches, membership changes.
class raft_core {
 public:
  raft_core(std::uint32_t log_group, raft_limits limits) : limits_(limits), log_group_(log_group) {}

  /// Loads the content of a data folder. Error: kLogCorrupt.
  std::error_code Load(recovered_log recovered);

  void Handle(const process_started& e, reduce_context& ctx);
  void Handle(const timer_expired& e, reduce_context& ctx);
  void Handle(const drain_requested& e, reduce_context& ctx);
  void Handle(const link_opened& e, reduce_context& ctx);
  void Handle(const link_closed& e, reduce_context& ctx);
  void Handle(const propose_command& e, reduce_context& ctx);
  void Handle(const change_voters& e, reduce_context& ctx);
  void Handle(const log_stored& e, reduce_context& ctx);
  void Handle(link_id link, const append_request& m, reduce_context& ctx);
  void Handle(link_id link, const append_reply& m, reduce_context& ctx);
  void Handle(link_id link, const vote_request& m, reduce_context& ctx);
  void Handle(link_id link, const vote_reply& m, reduce_context& ctx);
  void Handle(link_id link, const snapshot_chunk& m, reduce_context& ctx);
  void Handle(link_id link, const snapshot_reply& m, reduce_context& ctx);
  void Handle(link_id link, const propose_request& m, reduce_context& ctx);
  void Handle(link_id link, const join_request& m, reduce_context& ctx);

  /// Appends a command for which no reply is sent. Returns its index, or nothing if this replica
  /// cannot commit now.
  std::optional<std::uint64_t> Append(command body, reduce_context& ctx);

  /// Next committed entry that has not been applied, or null. Valid until the next call of Handle.
  const log_entry* NextToApply() const;
  void OnApplied(reduce_context& ctx);
  /// Whole snapshot of a leader that waits for InstallSnapshot or RefuseSnapshot, or null.
  std::shared_ptr<const log_snapshot> ReceivedSnapshot() const { return received_snapshot_; }
  /// Replaces the log by the received snapshot, whose state the state machine has taken over.
  void InstallSnapshot(reduce_context& ctx);
  /// Drops the received snapshot, whose state cannot be read.
  void RefuseSnapshot(std::error_code error, reduce_context& ctx);
  bool IsSnapshotDue() const;
  void Compact(std::string state, reduce_context& ctx);
  /// Emits the pending changes as one `store_log`, unless an earlier one has not finished.
  void Flush(reduce_context& ctx);

  raft_role Role() const { return role_; }
  voter_id Self() const { return self_; }
  std::uint64_t Term() const { return term_; }
  voter_id Leader() const { return leader_; }
  endpoint LeaderAddress() const;
  std::uint64_t CommitIndex() const { return commit_index_; }
  std::uint64_t AppliedIndex() const { return applied_index_; }
  /// Why this replica takes no part in the group: an error of its storage, which ends once the log
  /// has been written anew, or a broken invariant, which is final.
  std::error_code Failure() const { return failure_ ? failure_ : storage_error_; }
  const raft_log& Log() const { return log_; }
  /// Highest index that a replica is known to have synced; 0 if unknown. Leader only.
  std::uint64_t MatchIndex(voter_id id) const;
  /// Whether this replica leads and its lease excludes any other leader now.
  bool LeaseHeld(steady_time now) const;
  /// Whether this leader holds its lease and has also applied every entry of earlier terms, so that
  /// the applied state is current.
  bool IsReadyLeader(steady_time now) const;
  /// Latest time at which a majority is known to have recognized this replica as the leader.
  steady_time LeadershipConfirmedAt(steady_time now) const;
  /// Sends heartbeats at once, whose replies confirm that this replica still leads.
  void RequestConfirmation(reduce_context& ctx);

 private:
  /// The leader's replication state for another replica.
  struct progress {
    std::uint64_t match_index = 0;
    std::uint64_t next_index = 1;
    bool in_flight = false;
    std::uint64_t in_flight_last_index = 0;
    steady_time in_flight_since;
    /// When this leader added the replica; unset if an earlier leader did.
    steady_time tracked_since;
    /// Latest `sent` time that the replica has echoed.
    steady_time acknowledged;
    std::shared_ptr<const log_snapshot> snapshot;
    std::uint64_t snapshot_hash = 0;
    std::uint64_t snapshot_offset = 0;
  };

  /// The outgoing link to a replica's address.
  struct peer_link {
    link_id link;
    bool opening = false;
    steady_time reconnect_at;
    bool awaiting_reply = false;
    steady_time awaiting_reply_since;
  };

  struct proposal {
    proposal_id id;
    /// Link to reply on; zero for a proposal of this process.
    link_id link;
  };

  // raft.cc
  bool CheckInvariant(bool holds, std::string_view invariant, reduce_context& ctx);
  bool CheckMessage(bool holds, std::string_view rule, const raft_header& header,
                    reduce_context& ctx) const;
  bool Accepts(const raft_header& header) const;
  raft_header MakeHeader(voter_id to) const;
  void Send(const replica& to, message m, reduce_context& ctx);
  void Reply(link_id link, message m, reduce_context& ctx);
  void SendAfterSync(link_id link, message m, reduce_context& ctx);
  void OnStorageFailed(std::error_code error, reduce_context& ctx);
  void OnStorageRecovered(reduce_context& ctx);
  store_batch WholeLog() const;
  void SetTermAndVote(std::uint64_t term, voter_id vote, reduce_context& ctx);
  void AppendToLog(log_entry entry);
  void TruncateLog(std::uint64_t index, reduce_context& ctx);
  void UpdateLinks(reduce_context& ctx);
  void MaintainLinks(reduce_context& ctx);
  void LogMissingLeader(reduce_context& ctx);
  void ScheduleWakeup(reduce_context& ctx);
  bool IsSelfVoter() const;
  bool IsMajority(std::size_t count) const;
  template <class Value, class Get>
  Value MajorityValue(Value own, Get get) const;

  // raft_election.cc
  void ResetElectionTimer(reduce_context& ctx);
  void RetryElectionSoon(reduce_context& ctx);
  void BecomeFollower(std::uint64_t term, reduce_context& ctx);
  bool RecognizeLeader(const raft_header& header, reduce_context& ctx);
  void StartPreVote(reduce_context& ctx);
  void StartElection(reduce_context& ctx);
  void RequestVotes(bool pre_vote, std::uint64_t term, reduce_context& ctx);
  void CountVote(voter_id from, reduce_context& ctx);
  void BecomeLeader(reduce_context& ctx);
  void OnHeartbeatTimer(reduce_context& ctx);

  // raft_replication.cc
  void Replicate(const replica& to, progress& p, bool heartbeat, reduce_context& ctx);
  void ReplicateAll(bool heartbeat, reduce_context& ctx);
  void SendEntries(const replica& to, progress& p, reduce_context& ctx);
  void SendSnapshotChunk(const replica& to, progress& p, reduce_context& ctx);
  bool MergeEntries(const append_request& m, reduce_context& ctx);
  void SetCommit(std::uint64_t index, reduce_context& ctx);
  void AdvanceCommit(reduce_context& ctx);
  progress* RecordReply(const raft_header& header, steady_time sent, reduce_context& ctx);

  // raft_proposals.cc
  void Propose(const proposal& p, command body, reduce_context& ctx);
  void FinishProposal(const proposal& p, proposal_status status, std::uint64_t index,
                      reduce_context& ctx);
  void FinishAllProposals(reduce_context& ctx);
  bool IsChangeAllowed(const std::vector<replica>& to, reduce_context& ctx) const;
  void AdvanceMembership(reduce_context& ctx);
  bool IsUnresponsive(const replica& r, std::chrono::milliseconds limit, steady_time now) const;
  const replica* FindUnresponsiveVoter(steady_time now) const;
  bool RemoveUnresponsiveLearner(reduce_context& ctx);

  raft_limits limits_;
  std::uint32_t log_group_ = 0;
  voter_id self_;
  std::error_code failure_;
  /// Error of the last write; unset once the whole log has been written anew.
  std::error_code storage_error_;
  steady_time storage_retry_at_;

  // Persistent state: synced before any message that depends on it is sent.
  std::uint64_t term_ = 0;
  voter_id voted_for_;
  raft_log log_;

  raft_role role_ = raft_role::kFollower;
  voter_id leader_;
  std::uint64_t commit_index_ = 0;
  std::uint64_t applied_index_ = 0;
  steady_time election_deadline_;
  /// When a leader was known last, or its absence was logged.
  steady_time leader_noted_at_;
  steady_time no_votes_until_;
  std::set<voter_id> votes_;

  // Leader state.
  std::map<voter_id, progress> progress_;
  std::uint64_t term_start_index_ = 0;
  steady_time leader_since_;
  steady_time next_heartbeat_;
  std::map<std::uint64_t, proposal> proposals_;

  // Snapshot being received in chunks.
  std::uint64_t incoming_snapshot_index_ = 0;
  std::uint64_t incoming_snapshot_term_ = 0;
  std::string incoming_state_;
  std::shared_ptr<const log_snapshot> received_snapshot_;
  /// Where and how the received snapshot is acknowledged.
  link_id snapshot_link_;
  snapshot_reply snapshot_reply_;

  // Storage: one batch is written at a time; changes made meanwhile collect in the next one.
  store_batch pending_batch_;
  bool has_pending_ = false;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t storing_sequence_ = 0;
  std::uint64_t storing_last_index_ = 0;
  std::uint64_t synced_index_ = 0;
  /// Messages to send, each with the sequence of the batch that has to be synced first.
  std::vector<std::pair<std::uint64_t, effect>> deferred_;

  std::map<endpoint, peer_link> links_;
};

/// A replica of one log group, with its state machine.
template <replicated_state_machine S>
class replicated_log {
 public:
  explicit replicated_log(std::uint32_t log_group, raft_limits limits = {}, S machine = {})
      : core_(log_group, limits), machine_(std::move(machine)) {}

  /// Loads the content of a data folder. Errors: kLogCorrupt, or the error of `S::Restore`.
  std::error_code Load(recovered_log recovered) {
    std::shared_ptr<const log_snapshot> snapshot = recovered.snapshot;
    if (std::error_code error = core_.Load(std::move(recovered))) return error;
    return snapshot ? machine_.Restore(snapshot->state) : std::error_code();
  }

  template <class Event>
  requires requires(raft_core& core, const Event& e, reduce_context& ctx) { core.Handle(e, ctx); }
  void Handle(const Event& e, reduce_context& ctx) {
    core_.Handle(e, ctx);
    ApplyCommitted(ctx);
  }

  template <class Message>
  requires requires(raft_core& core, link_id link, const Message& m, reduce_context& ctx) {
    core.Handle(link, m, ctx);
  }
  void Handle(link_id link, const Message& m, reduce_context& ctx) {
    core_.Handle(link, m, ctx);
    ApplyCommitted(ctx);
  }

  /// Appends a command without applying committed entries. Returns nothing if this replica cannot
  /// commit now.
  std::optional<log_position> Propose(command body, reduce_context& ctx) {
    auto index = core_.Append(std::move(body), ctx);
    if (!index) return std::nullopt;
    core_.Flush(ctx);
    return log_position{core_.Term(), *index};
  }

  const raft_core& Core() const { return core_; }
  void RequestConfirmation(reduce_context& ctx) {
    core_.RequestConfirmation(ctx);
    core_.Flush(ctx);
  }
  const S& Machine() const { return machine_; }
  S& Machine() { return machine_; }

 private:
  void ApplyCommitted(reduce_context& ctx) {
    if (auto snapshot = core_.ReceivedSnapshot()) {
      if (std::error_code error = machine_.Restore(snapshot->state)) {
        core_.RefuseSnapshot(error, ctx);
      } else {
        core_.InstallSnapshot(ctx);
      }
    }
    while (const log_entry* entry = core_.NextToApply()) {
      machine_.Apply(*entry, ctx);
      core_.OnApplied(ctx);
    }
    if (core_.IsSnapshotDue()) core_.Compact(machine_.Snapshot(), ctx);
    core_.Flush(ctx);
  }

  raft_core core_;
  S machine_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RAFT_H_
