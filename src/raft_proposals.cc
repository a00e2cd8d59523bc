#include <algorithm>

#include "radishroute/error.h"
#include "radishroute/raft.h"

namespace radishroute {

void raft_core::Handle(const propose_command& e, reduce_context& ctx) {
  Propose({e.id, {}}, e.body, ctx);
}

void raft_core::Handle(link_id link, const propose_request& m, reduce_context& ctx) {
  if (m.log_group != log_group_) return;
  Propose({m.id, link}, m.body, ctx);
}

void raft_core::Propose(const proposal& p, command body, reduce_context& ctx) {
  if (role_ != raft_role::kLeader || failure_) {
    FinishProposal(p, proposal_status::kNotLeader, 0, ctx);
    return;
  }
  if (!LeaseHeld(ctx.now)) {
    FinishProposal(p, proposal_status::kNoQuorum, 0, ctx);
    return;
  }
  if (ApproximateSize(body) > limits_.max_command_bytes) {
    FinishProposal(p, proposal_status::kTooLarge, 0, ctx);
    return;
  }
  if (proposals_.size() >= limits_.max_proposals) {
    FinishProposal(p, proposal_status::kQueueFull, 0, ctx);
    return;
  }
  const auto* change = std::get_if<replica_change>(&body);
  if (change != nullptr && !IsChangeAllowed(change->replicas, ctx)) {
    FinishProposal(p, proposal_status::kInvalidChange, 0, ctx);
    return;
  }
  bool changes_replicas = change != nullptr;
  std::uint64_t index = log_.LastIndex() + 1;
  AppendToLog({term_, index, std::move(body)});
  proposals_[index] = p;
  if (changes_replicas) {
    UpdateLinks(ctx);
    for (const replica& r : log_.Replicas()) {
      auto [it, added] = progress_.try_emplace(r.id);
      if (added) it->second.tracked_since = ctx.now;
    }
  }
  ReplicateAll(false, ctx);
}

std::optional<std::uint64_t> raft_core::Append(command body, reduce_context& ctx) {
  bool can_commit = role_ == raft_role::kLeader && !failure_ && LeaseHeld(ctx.now);
  bool fits = log_.LastIndex() - commit_index_ < limits_.max_proposals &&
              ApproximateSize(body) <= limits_.max_command_bytes;
  if (!can_commit || !fits) return std::nullopt;
  std::uint64_t index = log_.LastIndex() + 1;
  AppendToLog({term_, index, std::move(body)});
  ReplicateAll(false, ctx);
  return index;
}

bool raft_core::IsReadyLeader(steady_time now) const {
  return role_ == raft_role::kLeader && !failure_ && LeaseHeld(now) &&
         applied_index_ >= term_start_index_;
}

void raft_core::FinishProposal(const proposal& p, proposal_status status, std::uint64_t index,
                               reduce_context& ctx) {
  endpoint leader = LeaderAddress();
  if (p.link.value != 0) {
    ctx.Emit(send_message{p.link, propose_reply{log_group_, p.id, status, index, leader}});
  } else if (p.id.value != 0) {
    ctx.Emit(proposal_finished{p.id, status, index, leader});
  }
}

void raft_core::FinishAllProposals(reduce_context& ctx) {
  for (const auto& [index, p] : proposals_) {
    bool committed = index <= commit_index_;
    FinishProposal(p, committed ? proposal_status::kCommitted : proposal_status::kUnknown, index,
                   ctx);
  }
  proposals_.clear();
}

bool raft_core::IsChangeAllowed(const std::vector<replica>& to, reduce_context& ctx) const {
  // The replica set in force and the first entry of this term must be committed; otherwise two
  // disjoint majorities could exist (the bug in single-server membership changes reported in 2015).
  if (log_.ReplicasIndex() > commit_index_ || commit_index_ < term_start_index_) return false;
  if (!IsSingleVoterChange(log_.Replicas(), to)) return false;
  if (VoterCount(to) >= VoterCount(log_.Replicas())) return true;
  // Removing a responsive voter while others are unresponsive could leave no majority.
  std::size_t responsive = 0;
  for (const replica& r : to) {
    if (!r.voting) continue;
    auto it = progress_.find(r.id);
    bool recently_acknowledged =
        it != progress_.end() && ctx.now - it->second.acknowledged <= limits_.election_timeout_max;
    if (r.id == self_ || recently_acknowledged) ++responsive;
  }
  return responsive > VoterCount(to) / 2;
}

void raft_core::Handle(const change_voters& e, reduce_context& ctx) {
  proposal p{e.id, {}};
  replica_change change{log_.Replicas()};
  auto& replicas = change.replicas;
  const replica* target = FindReplica(replicas, e.target.id);
  bool valid = false;
  if (e.operation == voter_operation::kRemove) {
    valid = target != nullptr;
    std::erase_if(replicas, [&](const replica& r) { return r.id == e.target.id; });
  } else {
    const replica* replaced = FindReplica(replicas, e.replaced);
    bool replaces = e.operation == voter_operation::kReplace;
    valid = target == nullptr && e.target.id != voter_id{} &&
            (!replaces || (replaced != nullptr && replaced->voting));
    replica learner = e.target;
    learner.voting = false;
    learner.replaces = replaces ? e.replaced : voter_id{};
    replicas.push_back(std::move(learner));
  }
  if (!valid && role_ == raft_role::kLeader) {
    FinishProposal(p, proposal_status::kInvalidChange, 0, ctx);
    return;
  }
  Propose(p, std::move(change), ctx);
}

void raft_core::Handle(link_id link, const join_request& m, reduce_context& ctx) {
  if (role_ != raft_role::kLeader || failure_) {
    ctx.Emit(send_message{link, join_reply{LeaderAddress()}});
    return;
  }
  ctx.Emit(send_message{link, join_reply{LeaderAddress()}});
  if (FindReplica(log_.Replicas(), m.candidate.id) != nullptr) return;
  replica_change change{log_.Replicas()};
  replica learner = m.candidate;
  learner.voting = false;
  learner.replaces = {};
  for (const replica& r : log_.Replicas()) {
    // The candidate has lost its disk, so the voter id that it had before will never reply again.
    if (r.address != learner.address) continue;
    if (r.voting) learner.replaces = r.id;
    if (!r.voting) std::erase_if(change.replicas, [&](const replica& o) { return o.id == r.id; });
  }
  change.replicas.push_back(learner);
  if (!LeaseHeld(ctx.now) || !IsChangeAllowed(change.replicas, ctx)) return;
  Propose({}, std::move(change), ctx);
}

bool raft_core::IsUnresponsive(const replica& r, std::chrono::milliseconds limit,
                               steady_time now) const {
  auto it = progress_.find(r.id);
  if (r.id == self_) return false;
  steady_time last_contact = leader_since_;
  // A replica that has just been added has had no time to reply.
  if (it != progress_.end()) {
    last_contact = std::max({last_contact, it->second.tracked_since, it->second.acknowledged});
  }
  return now - last_contact > limit;
}

const replica* raft_core::FindUnresponsiveVoter(steady_time now) const {
  for (const replica& r : log_.Replicas()) {
    if (r.voting && IsUnresponsive(r, limits_.voter_timeout, now)) return &r;
  }
  return nullptr;
}

bool raft_core::RemoveUnresponsiveLearner(reduce_context& ctx) {
  for (const replica& r : log_.Replicas()) {
    if (r.voting || !IsUnresponsive(r, limits_.learner_timeout, ctx.now)) continue;
    replica_change change{log_.Replicas()};
    std::erase_if(change.replicas, [&](const replica& o) { return o.id == r.id; });
    if (!LeaseHeld(ctx.now) || !IsChangeAllowed(change.replicas, ctx)) return false;
    Propose({}, std::move(change), ctx);
    return true;
  }
  return false;
}

void raft_core::AdvanceMembership(reduce_context& ctx) {
  if (role_ != raft_role::kLeader || log_.ReplicasIndex() > commit_index_ ||
      commit_index_ < term_start_index_) {
    return;
  }
  if (!IsSelfVoter()) {
    // The removal of this replica is committed.
    BecomeFollower(term_, ctx);
    return;
  }
  if (RemoveUnresponsiveLearner(ctx)) return;
  replica_change change{log_.Replicas()};
  for (replica& r : change.replicas) {
    auto it = progress_.find(r.id);
    if (r.voting || it == progress_.end()) continue;
    bool recently_acknowledged = ctx.now - it->second.acknowledged <= limits_.election_timeout_min;
    if (!recently_acknowledged ||
        it->second.match_index + limits_.max_promotion_lag < log_.LastIndex())
      continue;
    // The replaced voter is removed first, so that both changes commit with the smaller majority.
    const replica* replaced = FindReplica(change.replicas, r.replaces);
    if (replaced == nullptr && VoterCount(change.replicas) >= limits_.max_voters) {
      replaced = FindUnresponsiveVoter(ctx.now);
      if (replaced == nullptr) continue;
    }
    if (replaced != nullptr) {
      voter_id replaced_id = replaced->id;
      std::erase_if(change.replicas, [&](const replica& other) { return other.id == replaced_id; });
    } else {
      r.voting = true;
      r.replaces = {};
    }
    if (!LeaseHeld(ctx.now) || !IsChangeAllowed(change.replicas, ctx)) return;
    ctx.Emit(write_log{{event_code::kReplicasChanged,
                        log_level::kInfo,
                        {{"voters", std::to_string(VoterCount(change.replicas))},
                         {"replicas", std::to_string(change.replicas.size())}}}});
    Propose({}, std::move(change), ctx);
    return;
  }
}

}  // namespace radishroute
