#include <algorithm>

#include "radishroute/error.h"
#include "radishroute/raft.h"

namespace radishroute {

void raft_core::ReplicateAll(bool heartbeat, reduce_context& ctx) {
  // A copy: sending may start a snapshot, and the set may change while it is iterated.
  for (const replica& r : log_.Replicas()) {
    if (r.id != self_) Replicate(r, progress_[r.id], heartbeat, ctx);
  }
}

void raft_core::Replicate(const replica& to, progress& p, bool heartbeat, reduce_context& ctx) {
  if (!p.in_flight && p.next_index <= log_.LastIndex()) {
    if (p.next_index <= log_.BaseIndex()) {
      SendSnapshotChunk(to, p, ctx);
    } else {
      SendEntries(to, p, ctx);
    }
    return;
  }
  if (!heartbeat) return;
  // A heartbeat uses the match index as its previous index, so that the follower's consistency
  // check never fails.
  append_request m;
  m.header = MakeHeader(to.id);
  if (auto term = log_.TermAt(p.match_index)) {
    m.prev_index = p.match_index;
    m.prev_term = *term;
  }
  m.commit = std::min(commit_index_, m.prev_index);
  m.sent = ctx.now;
  Send(to, std::move(m), ctx);
}

void raft_core::SendEntries(const replica& to, progress& p, reduce_context& ctx) {
  append_request m;
  m.header = MakeHeader(to.id);
  m.prev_index = p.next_index - 1;
  m.prev_term = log_.TermAt(m.prev_index).value_or(0);
  m.commit = commit_index_;
  m.sent = ctx.now;
  std::size_t bytes = 0;
  for (std::uint64_t i = p.next_index; i <= log_.LastIndex(); ++i) {
    const log_entry& entry = log_.At(i);
    bytes += ApproximateSize(entry.body);
    bool full = bytes > limits_.max_append_bytes || m.entries.size() >= limits_.max_append_entries;
    if (full && !m.entries.empty()) break;
    m.entries.push_back(entry);
  }
  p.in_flight = true;
  p.in_flight_last_index = m.entries.back().index;
  p.in_flight_since = ctx.now;
  Send(to, std::move(m), ctx);
}

void raft_core::SendSnapshotChunk(const replica& to, progress& p, reduce_context& ctx) {
  if (!p.snapshot) {
    p.snapshot = log_.Snapshot();
    p.snapshot_hash = StableHash(p.snapshot->state);
    p.snapshot_offset = 0;
  }
  snapshot_chunk m;
  m.header = MakeHeader(to.id);
  m.index = p.snapshot->index;
  m.snapshot_term = p.snapshot->term;
  m.replicas = p.snapshot->replicas;
  m.total = p.snapshot->state.size();
  m.hash = p.snapshot_hash;
  m.offset = std::min<std::uint64_t>(p.snapshot_offset, m.total);
  m.bytes = p.snapshot->state.substr(m.offset, limits_.chunk_bytes);
  m.sent = ctx.now;
  p.in_flight = true;
  p.in_flight_last_index = m.index;
  p.in_flight_since = ctx.now;
  Send(to, std::move(m), ctx);
}

void raft_core::SetCommit(std::uint64_t index, reduce_context& ctx) {
  if (!CheckInvariant(index <= log_.LastIndex(), "committed entries are in the log", ctx)) return;
  commit_index_ = std::max(commit_index_, index);
}

bool raft_core::MergeEntries(const append_request& m, reduce_context& ctx) {
  std::uint64_t expected = m.prev_index;
  bool consecutive = std::all_of(m.entries.begin(), m.entries.end(), [&](const log_entry& entry) {
    return entry.index == ++expected && entry.term <= m.header.term;
  });
  if (!CheckMessage(consecutive, "appended entries are consecutive", m.header, ctx)) return false;
  for (const log_entry& entry : m.entries) {
    auto term = log_.TermAt(entry.index);
    if (term && *term == entry.term) {
      bool same = entry.index <= log_.BaseIndex() ||
                  log_.At(entry.index).body.index() == entry.body.index();
      if (!CheckMessage(same, "equal index and term mean equal entries", m.header, ctx)) {
        return false;
      }
      continue;
    }
    // A committed entry that is not in the log is part of the snapshot.
    if (!term && entry.index <= commit_index_) continue;
    if (!CheckMessage(entry.index > commit_index_, "committed entries match the leader's", m.header,
                      ctx)) {
      return false;
    }
    if (term) TruncateLog(entry.index, ctx);
    if (failure_) return false;
    AppendToLog(entry);
  }
  return true;
}

void raft_core::Handle(link_id link, const append_request& m, reduce_context& ctx) {
  if (!Accepts(m.header)) return;
  append_reply reply;
  reply.sent = m.sent;
  if (m.header.term < term_) {
    reply.header = MakeHeader(m.header.from);
    Reply(link, reply, ctx);
    return;
  }
  if (!RecognizeLeader(m.header, ctx)) return;
  reply.header = MakeHeader(m.header.from);
  auto prev_term = log_.TermAt(m.prev_index);
  bool committed = m.prev_index <= commit_index_;
  bool matches = prev_term ? *prev_term == m.prev_term : committed;
  if (!CheckMessage(matches || !committed, "committed entries match the leader's", m.header, ctx)) {
    return;
  }
  if (!matches) {
    // Skips all entries of the conflicting term; entries up to the commit index always match.
    std::uint64_t hint = prev_term ? log_.FirstIndexOfTerm(m.prev_index) - 1 : log_.LastIndex();
    reply.match_index = std::max(std::min(hint, m.prev_index - 1), commit_index_);
    Reply(link, reply, ctx);
    return;
  }
  std::uint64_t replicas_before = log_.ReplicasIndex();
  if (!MergeEntries(m, ctx)) return;
  if (log_.ReplicasIndex() != replicas_before) UpdateLinks(ctx);
  std::uint64_t last = m.prev_index + m.entries.size();
  SetCommit(std::min(m.commit, last), ctx);
  reply.matched = true;
  reply.match_index = last;
  if (last <= synced_index_) {
    Reply(link, reply, ctx);
  } else if (m.entries.empty()) {
    // A heartbeat is acknowledged at once, so that the leader keeps its lease when a disk is slow.
    reply.match_index = synced_index_;
    Reply(link, reply, ctx);
  } else {
    SendAfterSync(link, reply, ctx);
  }
}

raft_core::progress* raft_core::RecordReply(const raft_header& header, steady_time sent,
                                            reduce_context& ctx) {
  if (header.term > term_) {
    BecomeFollower(header.term, ctx);
    return nullptr;
  }
  if (role_ != raft_role::kLeader || header.term != term_) return nullptr;
  const replica* from = FindReplica(log_.Replicas(), header.from);
  if (from == nullptr) return nullptr;
  auto link = links_.find(from->address);
  if (link != links_.end()) link->second.awaiting_reply = false;
  progress& p = progress_[header.from];
  p.acknowledged = std::max(p.acknowledged, sent);
  return &p;
}

void raft_core::Handle(link_id, const append_reply& m, reduce_context& ctx) {
  if (!Accepts(m.header)) return;
  progress* p = RecordReply(m.header, m.sent, ctx);
  if (p == nullptr) return;
  if (m.matched) {
    if (!CheckMessage(m.match_index <= log_.LastIndex(),
                      "match index is not beyond the leader's last index", m.header, ctx)) {
      return;
    }
    p->match_index = std::max(p->match_index, m.match_index);
    p->next_index = std::max(p->next_index, p->match_index + 1);
    if (m.match_index >= p->in_flight_last_index) p->in_flight = false;
    AdvanceCommit(ctx);
  } else if (m.match_index >= p->match_index && m.match_index + 1 < p->next_index) {
    p->next_index = m.match_index + 1;
    p->in_flight = false;
  }
  const replica* from = FindReplica(log_.Replicas(), m.header.from);
  if (role_ == raft_role::kLeader && from != nullptr) Replicate(*from, *p, false, ctx);
}

void raft_core::Handle(link_id link, const snapshot_chunk& m, reduce_context& ctx) {
  if (!Accepts(m.header)) return;
  snapshot_reply reply;
  reply.index = m.index;
  reply.sent = m.sent;
  if (m.header.term >= term_ && !RecognizeLeader(m.header, ctx)) return;
  reply.header = MakeHeader(m.header.from);
  if (m.header.term < term_) {
    Reply(link, reply, ctx);
    return;
  }
  if (m.index <= commit_index_) {
    reply.done = true;
    SendAfterSync(link, reply, ctx);
    return;
  }
  if (m.total > limits_.max_snapshot_bytes) return;
  if (incoming_snapshot_index_ != m.index || incoming_snapshot_term_ != m.snapshot_term) {
    incoming_snapshot_index_ = m.index;
    incoming_snapshot_term_ = m.snapshot_term;
    incoming_state_.clear();
  }
  if (m.offset == incoming_state_.size()) incoming_state_.append(m.bytes);
  if (incoming_state_.size() >= m.total) {
    if (incoming_state_.size() == m.total && StableHash(incoming_state_) == m.hash) {
      // Acknowledged once the state machine has taken it over.
      received_snapshot_ = std::make_shared<log_snapshot>(
          log_snapshot{m.index, m.snapshot_term, m.replicas, std::exchange(incoming_state_, {})});
      incoming_snapshot_index_ = 0;
      reply.done = true;
      snapshot_link_ = link;
      snapshot_reply_ = reply;
      return;
    }
    incoming_state_.clear();
  }
  reply.next_offset = incoming_state_.size();
  Reply(link, reply, ctx);
}

void raft_core::InstallSnapshot(reduce_context& ctx) {
  std::shared_ptr<const log_snapshot> snapshot = std::exchange(received_snapshot_, nullptr);
  log_.Reset(snapshot);
  commit_index_ = applied_index_ = snapshot->index;
  ctx.Emit(write_log{{event_code::kSnapshotInstalled,
                      log_level::kInfo,
                      {{"index", std::to_string(snapshot->index)},
                       {"bytes", std::to_string(snapshot->state.size())}}}});
  // The snapshot replaces all entries on disk.
  pending_batch_.entries.clear();
  pending_batch_.truncate_from = 1;
  pending_batch_.keep_from = snapshot->index + 1;
  pending_batch_.snapshot = std::move(snapshot);
  has_pending_ = true;
  storing_last_index_ = synced_index_ = 0;
  UpdateLinks(ctx);
  SendAfterSync(snapshot_link_, snapshot_reply_, ctx);
}

void raft_core::RefuseSnapshot(std::error_code error, reduce_context& ctx) {
  auto snapshot = std::exchange(received_snapshot_, nullptr);
  ctx.Emit(write_log{{event_code::kSnapshotRefused,
                      log_level::kError,
                      {{"index", std::to_string(snapshot->index)}, {"error", error.message()}}}});
}

void raft_core::Handle(link_id, const snapshot_reply& m, reduce_context& ctx) {
  if (!Accepts(m.header)) return;
  progress* p = RecordReply(m.header, m.sent, ctx);
  if (p == nullptr || !p->snapshot || p->snapshot->index != m.index) return;
  p->in_flight = false;
  if (m.done) {
    p->match_index = std::max(p->match_index, m.index);
    p->next_index = std::max(p->next_index, m.index + 1);
    p->snapshot = nullptr;
    AdvanceCommit(ctx);
  } else {
    p->snapshot_offset = m.next_offset;
  }
  const replica* from = FindReplica(log_.Replicas(), m.header.from);
  if (role_ == raft_role::kLeader && from != nullptr) Replicate(*from, *p, false, ctx);
}

}  // namespace radishroute
