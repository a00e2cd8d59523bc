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

/// Applies committed entries. The state must depend on the entries only, in their order.
template <class S>
concept replicated_state_machine = requires(S machine, const S& const_machine,
                                            const log_entry& entry, std::string_view state,
                                            reduce_context& ctx) {
  {machine.Apply(entry, ctx)};
  { const_machine.Snapshot() } -> std::same_as<std::string>;
  { machine.Restore(state) } -> std::same_as<std::error_code>;
};

struct raft_limits {
  std::chrono::milliseconds heartbeat{100};
  /// A replica that heard from a leader grants no vote for `election_min`, and starts an election
  /// after a random time between the two.
  std::chrono::milliseconds election_min{500};
  std::chrono::milliseconds election_max{900};
  /// Validity of the leader's lease from the sending of the messages that a majority answered. 10%
  /// below `election_min`, which covers the drift bound of 1% between two monotonic clocks.
  std::chrono::milliseconds lease{450};
  /// A message with entries or a snapshot chunk is repeated after this time.
  std::chrono::milliseconds resend{300};
  /// A link that does not answer for this time is opened again.
  std::chrono::milliseconds silent_link{1500};
  std::chrono::milliseconds redial{200};
  /// Both stay below the frame limit of 4 MiB together with the fixed fields.
  std::size_t max_append_bytes = std::size_t{1} << 20;
  std::size_t max_command_bytes = std::size_t{2} << 20;
  std::size_t max_append_entries = 2048;
  std::size_t chunk_bytes = std::size_t{512} << 10;
  std::size_t max_proposals = 16384;
  /// A larger snapshot is refused, so that a peer cannot exhaust memory.
  std::size_t max_snapshot_bytes = std::size_t{256} << 20;
  /// Entries between snapshots; bounds the replay after a restart.
  std::uint64_t snapshot_interval = 10000;
  /// Entries kept before a snapshot for replicas that are a little behind.
  std::uint64_t retained_entries = 1000;
  /// A learner at most this many entries behind becomes a voter.
  std::uint64_t max_promotion_lag = 100;
  /// Learners beyond this many voters wait until they can replace one.
  std::size_t max_voters = SIZE_MAX;
  /// A voter that answers nothing for this time gives its place to a waiting learner.
  std::chrono::milliseconds replace_silent{2500};
  /// A learner that answers nothing for this time is removed.
  std::chrono::milliseconds learner_timeout{30000};
};

enum class raft_role : std::uint8_t { kFollower, kPreCandidate, kCandidate, kLeader };

std::string_view ToString(raft_role role);

/// Raft without a state machine: elections, replication, storage batches and replica changes.
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

  /// Appends a command without a reply; its index, or nothing if this replica cannot commit now.
  std::optional<std::uint64_t> Append(command body, reduce_context& ctx);

  /// Next committed entry that is not applied, or null; valid until the next call of Handle.
  const log_entry* NextToApply() const;
  void OnApplied(reduce_context& ctx);
  /// Snapshot that a leader sent and that replaces the state machine's state, once.
  std::shared_ptr<const log_snapshot> TakeInstalled() { return std::exchange(installed_, nullptr); }
  bool SnapshotDue() const;
  void Compact(std::string state, reduce_context& ctx);
  /// Emits the waiting changes as one `store_log` unless one is under way.
  void Flush(reduce_context& ctx);
  /// Stops voting and leading for good.
  void Fail(std::error_code error, reduce_context& ctx);

  raft_role Role() const { return role_; }
  voter_id Self() const { return self_; }
  std::uint64_t Term() const { return term_; }
  voter_id Leader() const { return leader_; }
  endpoint LeaderAddress() const;
  std::uint64_t CommitIndex() const { return commit_; }
  std::uint64_t AppliedIndex() const { return applied_; }
  std::error_code Failure() const { return failure_; }
  const raft_log& Log() const { return log_; }
  /// Last index that a replica is known to have synced; leader only.
  std::uint64_t MatchIndex(voter_id id) const;
  /// Whether no other replica can be leader now, so that applied state may be read as current.
  bool LeaseHeld(steady_time now) const;
  /// Whether this leader has applied every entry of earlier terms, too.
  bool IsReadyLeader(steady_time now) const;
  /// Latest time at which this replica certainly was the only leader, as a majority confirmed.
  steady_time LeadershipConfirmedAt(steady_time now) const;
  /// Asks the others at once to confirm that this replica still leads.
  void RequestConfirmation(reduce_context& ctx);

 private:
  /// What the leader knows about another replica.
  struct progress {
    std::uint64_t match = 0;
    std::uint64_t next = 1;
    bool in_flight = false;
    std::uint64_t in_flight_last = 0;
    steady_time in_flight_since;
    /// When this leader began to send to the replica.
    steady_time tracked_since;
    /// Latest `sent` time that the replica returned.
    steady_time acknowledged;
    std::shared_ptr<const log_snapshot> snapshot;
    std::uint64_t snapshot_hash = 0;
    std::uint64_t snapshot_offset = 0;
  };

  /// The link that this replica opened to an address.
  struct peer_link {
    link_id link;
    bool opening = false;
    steady_time redial_at;
    bool waiting = false;
    steady_time waiting_since;
  };

  struct proposal {
    proposal_id id;
    /// Zero for a proposal of this process.
    link_id link;
  };

  // raft.cc
  bool Check(bool holds, std::string_view invariant, reduce_context& ctx);
  bool Accepts(const raft_header& header) const;
  raft_header HeaderTo(voter_id to) const;
  void Send(const replica& to, message m, reduce_context& ctx);
  void Defer(link_id link, message m, reduce_context& ctx);
  void SetVote(std::uint64_t term, voter_id vote, reduce_context& ctx);
  void AppendToLog(log_entry entry);
  void TruncateLog(std::uint64_t index, reduce_context& ctx);
  void SyncLinks(reduce_context& ctx);
  void CheckLinks(reduce_context& ctx);
  void ScheduleNext(reduce_context& ctx);
  bool SelfVotes() const;
  bool IsMajority(std::size_t count) const;
  template <class Value, class Get>
  Value MajorityValue(Value own, Get get) const;

  // raft_election.cc
  void ResetElectionTimer(reduce_context& ctx);
  void RetryElectionSoon(reduce_context& ctx);
  void BecomeFollower(std::uint64_t term, reduce_context& ctx);
  bool HearLeader(const raft_header& header, reduce_context& ctx);
  void StartPreVote(reduce_context& ctx);
  void StartElection(reduce_context& ctx);
  void RequestVotes(bool pre_vote, std::uint64_t term, reduce_context& ctx);
  void CountVote(voter_id from, reduce_context& ctx);
  void BecomeLeader(reduce_context& ctx);
  void TickLeader(reduce_context& ctx);

  // raft_replication.cc
  void Replicate(const replica& to, progress& p, bool heartbeat, reduce_context& ctx);
  void ReplicateAll(bool heartbeat, reduce_context& ctx);
  void SendEntries(const replica& to, progress& p, reduce_context& ctx);
  void SendChunk(const replica& to, progress& p, reduce_context& ctx);
  bool MergeEntries(const append_request& m, reduce_context& ctx);
  void SetCommit(std::uint64_t index, reduce_context& ctx);
  void AdvanceCommit(reduce_context& ctx);
  progress* ProgressOf(const raft_header& header, steady_time sent, reduce_context& ctx);
  void InstallSnapshot(const snapshot_chunk& m, reduce_context& ctx);

  // raft_proposals.cc
  void Propose(const proposal& p, command body, reduce_context& ctx);
  void Finish(const proposal& p, proposal_status status, std::uint64_t index, reduce_context& ctx);
  void FinishAllUnknown(reduce_context& ctx);
  bool ChangeAllowed(const std::vector<replica>& to, reduce_context& ctx) const;
  void AdvanceMembership(reduce_context& ctx);
  bool IsSilent(const replica& r, std::chrono::milliseconds limit, steady_time now) const;
  const replica* SilentVoter(steady_time now) const;
  bool ForgetSilentLearner(reduce_context& ctx);

  raft_limits limits_;
  std::uint32_t log_group_ = 0;
  voter_id self_;
  std::error_code failure_;

  // Synced before any message that depends on it is sent.
  std::uint64_t term_ = 0;
  voter_id voted_for_;
  raft_log log_;

  raft_role role_ = raft_role::kFollower;
  voter_id leader_;
  std::uint64_t commit_ = 0;
  std::uint64_t applied_ = 0;
  std::shared_ptr<const log_snapshot> installed_;
  steady_time election_at_;
  steady_time no_votes_until_;
  std::set<voter_id> votes_;

  // Leader.
  std::map<voter_id, progress> progress_;
  std::uint64_t term_start_ = 0;
  steady_time leader_since_;
  steady_time heartbeat_at_;
  std::map<std::uint64_t, proposal> proposals_;

  // Snapshot that is being received.
  std::uint64_t incoming_index_ = 0;
  std::uint64_t incoming_term_ = 0;
  std::string incoming_;

  // Storage: one batch at a time; changes that arise meanwhile form the next one.
  store_batch pending_;
  bool has_pending_ = false;
  std::uint64_t next_sequence_ = 1;
  std::uint64_t storing_ = 0;
  std::uint64_t storing_last_ = 0;
  std::uint64_t stored_index_ = 0;
  std::vector<std::pair<std::uint64_t, effect>> deferred_;

  std::map<endpoint, peer_link> links_;
};

/// A replica of one log group together with its state machine.
template <replicated_state_machine S>
class replicated_log {
 public:
  explicit replicated_log(std::uint32_t log_group, raft_limits limits = {}, S machine = {})
      : core_(log_group, limits), machine_(std::move(machine)) {}

  /// Loads the content of a data folder. Errors: kLogCorrupt, or what the state machine reports.
  std::error_code Load(recovered_log recovered) {
    std::shared_ptr<const log_snapshot> snapshot = recovered.snapshot;
    if (std::error_code error = core_.Load(std::move(recovered))) return error;
    return snapshot ? machine_.Restore(snapshot->state) : std::error_code();
  }

  template <class Event>
  requires requires(raft_core& core, const Event& e, reduce_context& ctx) { core.Handle(e, ctx); }
  void Handle(const Event& e, reduce_context& ctx) {
    core_.Handle(e, ctx);
    Deliver(ctx);
  }

  template <class Message>
  requires requires(raft_core& core, link_id link, const Message& m, reduce_context& ctx) {
    core.Handle(link, m, ctx);
  }
  void Handle(link_id link, const Message& m, reduce_context& ctx) {
    core_.Handle(link, m, ctx);
    Deliver(ctx);
  }

  /// Appends a command; nothing if this replica cannot commit now. Applies nothing.
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
  void Deliver(reduce_context& ctx) {
    if (auto snapshot = core_.TakeInstalled()) {
      if (std::error_code error = machine_.Restore(snapshot->state)) core_.Fail(error, ctx);
    }
    while (const log_entry* entry = core_.NextToApply()) {
      machine_.Apply(*entry, ctx);
      core_.OnApplied(ctx);
    }
    if (core_.SnapshotDue()) core_.Compact(machine_.Snapshot(), ctx);
    core_.Flush(ctx);
  }

  raft_core core_;
  S machine_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RAFT_H_
