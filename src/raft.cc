#include "radishroute/raft.h"

#include <algorithm>
#include <array>

#include "radishroute/error.h"

namespace radishroute {

namespace {

// No group reaches this term by elections; a replica that took over a greater one could start none.
constexpr std::uint64_t kMaxTerm = std::uint64_t{1} << 62;

}  // namespace

std::string_view ToString(raft_role role) {
  constexpr std::array<std::string_view, 4> kNames = {"follower", "pre-candidate", "candidate",
                                                      "leader"};
  return kNames[static_cast<std::size_t>(role)];
}

std::error_code raft_core::Load(recovered_log recovered) {
  self_ = recovered.self;
  voted_for_ = recovered.voted_for;
  std::error_code error = log_.Load(std::move(recovered.snapshot), std::move(recovered.entries));
  if (error) return error;
  term_ = recovered.term;
  if (log_.LastTerm() > term_) {
    // A new term is written to the vote file before any entry of that term, so the vote file of
    // this data folder was never written.
    term_ = log_.LastTerm();
    voted_for_ = {};
  }
  commit_index_ = applied_index_ = log_.SnapshotIndex();
  synced_index_ = log_.LastIndex();
  return {};
}

bool raft_core::CheckInvariant(bool holds, std::string_view invariant, reduce_context& ctx) {
  if (holds) return true;
  failure_ = errc::kLogCorrupt;
  role_ = raft_role::kFollower;
  ctx.Emit(write_log{{event_code::kInvariantViolated,
                      log_level::kError,
                      {{"invariant", std::string(invariant)},
                       {"log_group", std::to_string(log_group_)},
                       {"voter", std::to_string(self_.value)},
                       {"term", std::to_string(term_)},
                       {"commit", std::to_string(commit_index_)},
                       {"last", std::to_string(log_.LastIndex())}}}});
  ctx.Emit(stop_process{false});
  return false;
}

// What the failed write has left on disk is unknown, and a second sync of the same file may succeed
// although its data is lost. Until the whole log is in new files, this replica therefore neither
// votes, leads nor acknowledges anything. It has promised nothing that was not synced before, so it
// may keep following in memory.
void raft_core::OnStorageFailed(std::error_code error, reduce_context& ctx) {
  bool failed_before = static_cast<bool>(storage_error_);
  storage_error_ = error;
  storing_sequence_ = 0;
  storage_retry_at_ = ctx.now + limits_.storage_retry_delay;
  ctx.Emit(schedule_wakeup{storage_retry_at_});
  // Messages that depend on the failed sync must never be sent.
  deferred_.clear();
  ctx.Emit(count{counter::kStorageFailures});
  if (failed_before) return;
  ctx.Emit(write_log{{event_code::kStorageFailed,
                      log_level::kError,
                      {{"log_group", std::to_string(log_group_)},
                       {"voter", std::to_string(self_.value)},
                       {"error", error.message()}}}});
  if (role_ != raft_role::kFollower) BecomeFollower(term_, ctx);
}

void raft_core::OnStorageRecovered(reduce_context& ctx) {
  storage_error_ = {};
  ctx.Emit(write_log{{event_code::kStorageRecovered,
                      log_level::kInfo,
                      {{"log_group", std::to_string(log_group_)},
                       {"voter", std::to_string(self_.value)},
                       {"last", std::to_string(synced_index_)}}}});
  ResetElectionTimer(ctx);
  ScheduleWakeup(ctx);
}

store_batch raft_core::WholeLog() const {
  store_batch batch;
  batch.rewrite = true;
  batch.write_vote = true;
  batch.term = term_;
  batch.voted_for = voted_for_;
  batch.snapshot = log_.Snapshot();
  batch.truncate_from = 1;
  for (std::uint64_t i = log_.BaseIndex() + 1; i <= log_.LastIndex(); ++i) {
    batch.entries.push_back(log_.At(i));
  }
  return batch;
}

// Another replica's message must not end this process: it is dropped, and its sender takes this
// replica for lost.
bool raft_core::CheckMessage(bool holds, std::string_view rule, const raft_header& header,
                             reduce_context& ctx) const {
  if (holds) return true;
  ctx.Emit(write_log{{event_code::kPeerMessageRefused,
                      log_level::kError,
                      {{"rule", std::string(rule)},
                       {"from", std::to_string(header.from.value)},
                       {"term", std::to_string(header.term)}}}});
  return false;
}

bool raft_core::Accepts(const raft_header& header) const {
  return !failure_ && header.log_group == log_group_ && header.to == self_ &&
         header.from != self_ && header.term <= kMaxTerm;
}

raft_header raft_core::MakeHeader(voter_id to) const { return {log_group_, self_, to, term_}; }

void raft_core::Send(const replica& to, message m, reduce_context& ctx) {
  auto it = links_.find(to.address);
  if (it == links_.end() || it->second.link.value == 0) return;
  if (!it->second.awaiting_reply) {
    it->second.awaiting_reply = true;
    it->second.awaiting_reply_since = ctx.now;
  }
  ctx.Emit(send_message{it->second.link, std::move(m)});
}

// A replica whose storage failed counts as lost, so that it is replaced if that lasts.
void raft_core::Reply(link_id link, message m, reduce_context& ctx) {
  if (!storage_error_) ctx.Emit(send_message{link, std::move(m)});
}

void raft_core::SendAfterSync(link_id link, message m, reduce_context& ctx) {
  // Whatever is not acknowledged is sent again.
  if (storage_error_) return;
  if (has_pending_) {
    deferred_.emplace_back(next_sequence_, send_message{link, std::move(m)});
  } else if (storing_sequence_ != 0) {
    deferred_.emplace_back(storing_sequence_, send_message{link, std::move(m)});
  } else {
    ctx.Emit(send_message{link, std::move(m)});
  }
}

void raft_core::SetTermAndVote(std::uint64_t term, voter_id vote, reduce_context& ctx) {
  if (!CheckInvariant(term >= term_, "the term never decreases", ctx)) return;
  bool second_vote = term == term_ && voted_for_ != voter_id{} && vote != voted_for_;
  if (!CheckInvariant(!second_vote, "at most one vote in a term", ctx)) return;
  if (term > term_) deferred_.clear();
  term_ = term;
  voted_for_ = vote;
  pending_batch_.write_vote = true;
  pending_batch_.term = term;
  pending_batch_.voted_for = vote;
  has_pending_ = true;
}

void raft_core::AppendToLog(log_entry entry) {
  pending_batch_.entries.push_back(entry);
  has_pending_ = true;
  log_.Append(std::move(entry));
}

void raft_core::TruncateLog(std::uint64_t index, reduce_context& ctx) {
  if (!CheckInvariant(index > commit_index_, "committed entries are never removed", ctx)) return;
  log_.TruncateFrom(index);
  auto& entries = pending_batch_.entries;
  while (!entries.empty() && entries.back().index >= index) entries.pop_back();
  if (entries.empty()) {
    std::uint64_t earlier = pending_batch_.truncate_from;
    pending_batch_.truncate_from = earlier == 0 ? index : std::min(earlier, index);
  }
  has_pending_ = true;
  storing_last_index_ = std::min(storing_last_index_, index - 1);
  synced_index_ = std::min(synced_index_, index - 1);
}

void raft_core::Flush(reduce_context& ctx) {
  if (storing_sequence_ != 0 || failure_) return;
  if (storage_error_) {
    if (ctx.now < storage_retry_at_) return;
    pending_batch_ = WholeLog();
    has_pending_ = true;
  }
  if (!has_pending_) return;
  storing_sequence_ = next_sequence_++;
  storing_last_index_ = log_.LastIndex();
  auto batch = std::make_shared<store_batch>(std::move(pending_batch_));
  batch->log_group = log_group_;
  batch->sequence = storing_sequence_;
  pending_batch_ = {};
  has_pending_ = false;
  ctx.Emit(store_log{std::move(batch)});
}

void raft_core::Handle(const log_stored& e, reduce_context& ctx) {
  if (failure_ || e.log_group != log_group_ || e.sequence != storing_sequence_) return;
  if (e.error) {
    OnStorageFailed(e.error, ctx);
    return;
  }
  synced_index_ = std::max(synced_index_, storing_last_index_);
  auto ready = std::stable_partition(deferred_.begin(), deferred_.end(), [&](const auto& waiting) {
    return waiting.first <= storing_sequence_;
  });
  for (auto it = deferred_.begin(); it != ready; ++it) ctx.Emit(std::move(it->second));
  deferred_.erase(deferred_.begin(), ready);
  storing_sequence_ = 0;
  if (storage_error_) OnStorageRecovered(ctx);
  // A candidate's vote for itself counts only once it is synced.
  bool vote_synced = !(has_pending_ && pending_batch_.write_vote);
  if (role_ == raft_role::kCandidate && vote_synced) {
    if (votes_.empty()) RequestVotes(false, term_, ctx);
    CountVote(self_, ctx);
  }
  if (role_ == raft_role::kLeader) AdvanceCommit(ctx);
}

void raft_core::Handle(const process_started&, reduce_context& ctx) {
  // A reply sent before the restart may still support a leader's lease, so no vote is granted until
  // that lease has expired.
  no_votes_until_ = ctx.now + limits_.election_timeout_min;
  leader_noted_at_ = ctx.now;
  ctx.Emit(write_log{{event_code::kVoterStarted,
                      log_level::kInfo,
                      {{"log_group", std::to_string(log_group_)},
                       {"voter", std::to_string(self_.value)},
                       {"term", std::to_string(term_)},
                       {"last", std::to_string(log_.LastIndex())}}}});
  ResetElectionTimer(ctx);
  UpdateLinks(ctx);
  ScheduleWakeup(ctx);
}

void raft_core::Handle(const drain_requested&, reduce_context& ctx) {
  ctx.Emit(stop_process{true});
}

void raft_core::Handle(const timer_expired&, reduce_context& ctx) {
  if (failure_) return;
  MaintainLinks(ctx);
  LogMissingLeader(ctx);
  if (role_ == raft_role::kLeader) {
    if (ctx.now >= next_heartbeat_) OnHeartbeatTimer(ctx);
  } else if (ctx.now >= election_deadline_) {
    ResetElectionTimer(ctx);
    if (IsSelfVoter() && !storage_error_) StartPreVote(ctx);
  }
  ScheduleWakeup(ctx);
}

void raft_core::ScheduleWakeup(reduce_context& ctx) {
  steady_time wakeup = role_ == raft_role::kLeader ? next_heartbeat_ : election_deadline_;
  if (storage_error_ && storing_sequence_ == 0) wakeup = std::min(wakeup, storage_retry_at_);
  for (const auto& [address, peer] : links_) {
    if (peer.link.value == 0 && !peer.opening) wakeup = std::min(wakeup, peer.reconnect_at);
  }
  ctx.Emit(schedule_wakeup{wakeup});
}

void raft_core::UpdateLinks(reduce_context& ctx) {
  std::set<endpoint> peer_addresses;
  for (const replica& r : log_.Replicas()) {
    if (r.id != self_) peer_addresses.insert(r.address);
  }
  for (auto it = links_.begin(); it != links_.end();) {
    if (peer_addresses.contains(it->first)) {
      ++it;
      continue;
    }
    if (it->second.link.value != 0) ctx.Emit(close_link{it->second.link});
    it = links_.erase(it);
  }
  for (const endpoint& address : peer_addresses) {
    auto [it, added] = links_.try_emplace(address);
    if (!added) continue;
    it->second.opening = true;
    ctx.Emit(open_link{address});
  }
}

void raft_core::MaintainLinks(reduce_context& ctx) {
  for (auto& [address, peer] : links_) {
    bool silent = peer.awaiting_reply && ctx.now - peer.awaiting_reply_since > limits_.link_timeout;
    if (peer.link.value != 0 && silent) {
      ctx.Emit(close_link{peer.link});
      peer = {};
    }
    if (peer.link.value == 0 && !peer.opening && ctx.now >= peer.reconnect_at) {
      peer.opening = true;
      ctx.Emit(open_link{address});
    }
  }
}

// The state that tells apart why a group has no leader: voters that cannot be reached, voters that
// are gone for good, a disk that refuses writes, or a replica that is no member any more.
void raft_core::LogMissingLeader(reduce_context& ctx) {
  if (leader_ != voter_id{}) leader_noted_at_ = ctx.now;
  if (ctx.now - leader_noted_at_ < limits_.leader_missing_interval) return;
  leader_noted_at_ = ctx.now;
  std::size_t linked = 0;
  for (const replica& r : log_.Replicas()) {
    auto it = links_.find(r.address);
    if (r.voting && it != links_.end() && it->second.link.value != 0) ++linked;
  }
  ctx.Emit(write_log{{event_code::kLeaderMissing,
                      log_level::kWarning,
                      {{"term", std::to_string(term_)},
                       {"role", std::string(ToString(role_))},
                       {"votes", IsSelfVoter() ? "yes" : "no"},
                       {"voters", std::to_string(VoterCount(log_.Replicas()))},
                       {"linked", std::to_string(linked)},
                       {"last", std::to_string(log_.LastIndex())},
                       {"commit", std::to_string(commit_index_)},
                       {"error", storage_error_ ? storage_error_.message() : "none"}}}});
}

void raft_core::Handle(const link_opened& e, reduce_context& ctx) {
  auto it = links_.find(e.dialed);
  if (it == links_.end() || failure_) return;
  it->second = {};
  it->second.link = e.link;
  if (role_ != raft_role::kLeader) return;
  for (const replica& r : log_.Replicas()) {
    if (r.address != e.dialed || r.id == self_) continue;
    progress_[r.id].in_flight = false;
    Replicate(r, progress_[r.id], true, ctx);
  }
}

void raft_core::Handle(const link_closed& e, reduce_context& ctx) {
  auto it = links_.find(e.dialed);
  if (it == links_.end() || failure_) return;
  peer_link& peer = it->second;
  bool attempt_failed = e.link.value == 0 && peer.opening;
  if (!attempt_failed && (e.link.value == 0 || e.link != peer.link)) return;
  peer = {};
  peer.reconnect_at = ctx.now + limits_.reconnect_delay;
  ctx.Emit(schedule_wakeup{peer.reconnect_at});
}

bool raft_core::IsSelfVoter() const {
  const replica* self = FindReplica(log_.Replicas(), self_);
  return self != nullptr && self->voting;
}

bool raft_core::IsMajority(std::size_t count) const {
  return count > VoterCount(log_.Replicas()) / 2;
}

endpoint raft_core::LeaderAddress() const {
  const replica* leader = FindReplica(log_.Replicas(), leader_);
  return leader == nullptr ? endpoint{} : leader->address;
}

std::uint64_t raft_core::MatchIndex(voter_id id) const {
  if (id == self_) return synced_index_;
  auto it = progress_.find(id);
  return it == progress_.end() ? 0 : it->second.match_index;
}

const log_entry* raft_core::NextToApply() const {
  if (failure_ || applied_index_ >= commit_index_) return nullptr;
  return &log_.At(applied_index_ + 1);
}

void raft_core::OnApplied(reduce_context& ctx) {
  ++applied_index_;
  auto it = proposals_.find(applied_index_);
  if (it == proposals_.end()) return;
  FinishProposal(it->second, proposal_status::kCommitted, applied_index_, ctx);
  proposals_.erase(it);
}

bool raft_core::IsSnapshotDue() const {
  return !failure_ && applied_index_ >= log_.SnapshotIndex() + limits_.snapshot_interval;
}

void raft_core::Compact(std::string state, reduce_context& ctx) {
  auto snapshot = std::make_shared<log_snapshot>();
  snapshot->index = applied_index_;
  snapshot->term = log_.TermAt(applied_index_).value_or(0);
  snapshot->replicas = log_.ReplicasAt(applied_index_);
  snapshot->state = std::move(state);
  ctx.Emit(write_log{{event_code::kSnapshotTaken,
                      log_level::kInfo,
                      {{"index", std::to_string(snapshot->index)},
                       {"bytes", std::to_string(snapshot->state.size())}}}});
  log_.Compact(snapshot, limits_.retained_entries);
  pending_batch_.snapshot = std::move(snapshot);
  pending_batch_.keep_from = log_.BaseIndex() + 1;
  has_pending_ = true;
}

}  // namespace radishroute
