#include <algorithm>
#include <random>

#include "radishroute/error.h"
#include "radishroute/raft.h"

namespace radishroute {

namespace {

steady_time RandomTime(std::chrono::milliseconds from, std::chrono::milliseconds to,
                       reduce_context& ctx) {
  std::uniform_int_distribution<std::int64_t> delay(from.count(), to.count());
  return ctx.now + std::chrono::milliseconds(delay(ctx.random));
}

log_event RoleEvent(event_code code, std::uint64_t term, voter_id voter) {
  return {code,
          log_level::kInfo,
          {{"term", std::to_string(term)}, {"voter", std::to_string(voter.value)}}};
}

}  // namespace

void raft_core::ResetElectionTimer(reduce_context& ctx) {
  election_deadline_ = RandomTime(limits_.election_timeout_min, limits_.election_timeout_max, ctx);
}

void raft_core::RetryElectionSoon(reduce_context& ctx) {
  // A failed pre-vote changes no replica's state, so it can be retried sooner than an election.
  election_deadline_ =
      RandomTime(limits_.election_timeout_min / 4, limits_.election_timeout_min / 2, ctx);
}

void raft_core::BecomeFollower(std::uint64_t term, reduce_context& ctx) {
  if (role_ == raft_role::kLeader) {
    ctx.Emit(write_log{RoleEvent(event_code::kLeaderSteppedDown, term_, self_)});
    FinishAllProposals(ctx);
    ResetElectionTimer(ctx);
  }
  role_ = raft_role::kFollower;
  votes_.clear();
  leader_ = {};
  // Only leaders and candidates expect replies on their links.
  for (auto& [address, peer] : links_) peer.awaiting_reply = false;
  if (term > term_) SetTermAndVote(term, {}, ctx);
  // The last wake-up of a former leader was scheduled for a heartbeat, not for the election timer.
  ScheduleWakeup(ctx);
}

bool raft_core::RecognizeLeader(const raft_header& header, reduce_context& ctx) {
  if (header.term > term_ || role_ == raft_role::kPreCandidate || role_ == raft_role::kCandidate) {
    BecomeFollower(header.term, ctx);
  }
  bool same = leader_ == voter_id{} || leader_ == header.from;
  if (!CheckMessage(same, "one leader in a term", header, ctx)) return false;
  leader_ = header.from;
  no_votes_until_ = ctx.now + limits_.election_timeout_min;
  ResetElectionTimer(ctx);
  return true;
}

void raft_core::StartPreVote(reduce_context& ctx) {
  role_ = raft_role::kPreCandidate;
  leader_ = {};
  votes_.clear();
  RetryElectionSoon(ctx);
  RequestVotes(true, term_ + 1, ctx);
  CountVote(self_, ctx);
}

void raft_core::StartElection(reduce_context& ctx) {
  role_ = raft_role::kCandidate;
  votes_.clear();
  SetTermAndVote(term_ + 1, self_, ctx);
  ctx.Emit(write_log{RoleEvent(event_code::kElectionStarted, term_, self_)});
  ResetElectionTimer(ctx);
  // The vote requests are sent once this candidate's vote for itself is synced.
}

void raft_core::RequestVotes(bool pre_vote, std::uint64_t term, reduce_context& ctx) {
  for (const replica& r : log_.Replicas()) {
    if (!r.voting || r.id == self_) continue;
    vote_request m{MakeHeader(r.id), pre_vote, log_.LastIndex(), log_.LastTerm()};
    m.header.term = term;
    Send(r, m, ctx);
  }
}

void raft_core::Handle(link_id link, const vote_request& m, reduce_context& ctx) {
  if (!Accepts(m.header)) return;
  if (storage_error_) return;
  bool vote_withheld = role_ == raft_role::kLeader || ctx.now < no_votes_until_;
  if (!vote_withheld && !m.pre_vote && m.header.term > term_) BecomeFollower(m.header.term, ctx);
  bool term_eligible = m.pre_vote ? m.header.term > term_ : m.header.term == term_;
  bool log_up_to_date = m.last_term > log_.LastTerm() ||
                        (m.last_term == log_.LastTerm() && m.last_index >= log_.LastIndex());
  bool vote_available = m.pre_vote || voted_for_ == voter_id{} || voted_for_ == m.header.from;
  vote_reply reply{MakeHeader(m.header.from), m.pre_vote, false};
  if (vote_withheld || !term_eligible || !log_up_to_date || !vote_available) {
    ctx.Emit(send_message{link, reply});
    return;
  }
  reply.granted = true;
  reply.header.term = m.header.term;
  if (m.pre_vote) {
    ctx.Emit(send_message{link, reply});
    return;
  }
  if (voted_for_ != m.header.from) SetTermAndVote(term_, m.header.from, ctx);
  ResetElectionTimer(ctx);
  SendAfterSync(link, reply, ctx);
}

void raft_core::Handle(link_id link, const vote_reply& m, reduce_context& ctx) {
  if (!Accepts(m.header)) return;
  for (auto& [address, peer] : links_) {
    if (peer.link == link) peer.awaiting_reply = false;
  }
  if (!m.granted) {
    if (m.header.term > term_) BecomeFollower(m.header.term, ctx);
    return;
  }
  bool applies = m.pre_vote ? role_ == raft_role::kPreCandidate && m.header.term == term_ + 1
                            : role_ == raft_role::kCandidate && m.header.term == term_;
  if (applies) CountVote(m.header.from, ctx);
}

void raft_core::CountVote(voter_id from, reduce_context& ctx) {
  const replica* voter = FindReplica(log_.Replicas(), from);
  if (voter == nullptr || !voter->voting) return;
  votes_.insert(from);
  if (!IsMajority(votes_.size())) return;
  if (role_ == raft_role::kPreCandidate) {
    StartElection(ctx);
  } else if (role_ == raft_role::kCandidate && votes_.contains(self_)) {
    BecomeLeader(ctx);
  }
}

void raft_core::BecomeLeader(reduce_context& ctx) {
  if (!CheckInvariant(leader_ == voter_id{}, "one leader in a term", ctx)) return;
  role_ = raft_role::kLeader;
  leader_ = self_;
  votes_.clear();
  leader_since_ = ctx.now;
  next_heartbeat_ = ctx.now + limits_.heartbeat_interval;
  progress_.clear();
  for (const replica& r : log_.Replicas()) progress_[r.id].next_index = log_.LastIndex() + 1;
  term_start_index_ = log_.LastIndex() + 1;
  ctx.Emit(write_log{RoleEvent(event_code::kLeaderElected, term_, self_)});
  AppendToLog({term_, term_start_index_, no_operation{}});
  ReplicateAll(true, ctx);
  ScheduleWakeup(ctx);
}

void raft_core::OnHeartbeatTimer(reduce_context& ctx) {
  next_heartbeat_ = ctx.now + limits_.heartbeat_interval;
  steady_time last_contact = std::max(
      leader_since_, MajorityValue(ctx.now, [](const progress& p) { return p.acknowledged; }));
  if (ctx.now - last_contact > limits_.election_timeout_max) {
    BecomeFollower(term_, ctx);
    return;
  }
  for (auto& [id, p] : progress_) {
    if (p.in_flight && ctx.now - p.in_flight_since > limits_.resend_delay) p.in_flight = false;
  }
  ReplicateAll(true, ctx);
  AdvanceMembership(ctx);
}

template <class Value, class Get>
Value raft_core::MajorityValue(Value own, Get get) const {
  std::vector<Value> values;
  for (const replica& r : log_.Replicas()) {
    if (!r.voting) continue;
    auto it = progress_.find(r.id);
    values.push_back(r.id == self_ ? own : it == progress_.end() ? Value{} : get(it->second));
  }
  if (values.empty()) return Value{};
  std::sort(values.begin(), values.end(), std::greater<>());
  return values[values.size() / 2];
}

steady_time raft_core::LeadershipConfirmedAt(steady_time now) const {
  if (role_ != raft_role::kLeader || failure_) return steady_time::min();
  return MajorityValue(now, [](const progress& p) { return p.acknowledged; });
}

void raft_core::RequestConfirmation(reduce_context& ctx) {
  if (role_ == raft_role::kLeader && !failure_) ReplicateAll(true, ctx);
}

bool raft_core::LeaseHeld(steady_time now) const {
  if (role_ != raft_role::kLeader || failure_) return false;
  steady_time last_contact = MajorityValue(now, [](const progress& p) { return p.acknowledged; });
  return now < last_contact + limits_.lease_duration;
}

void raft_core::AdvanceCommit(reduce_context& ctx) {
  std::uint64_t index =
      MajorityValue(synced_index_, [](const progress& p) { return p.match_index; });
  // An entry of an earlier term is committed only through a later entry of this term (Raft paper,
  // section 5.4.2).
  if (index <= commit_index_ || log_.TermAt(index) != term_) return;
  SetCommit(index, ctx);
  AdvanceMembership(ctx);
}

}  // namespace radishroute
