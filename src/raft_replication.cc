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
  if (!p.in_flight && p.next <= log_.LastIndex()) {
    if (p.next <= log_.BaseIndex()) {
      SendChunk(to, p, ctx);
    } else {
      SendEntries(to, p, ctx);
    }
    return;
  }
  if (!heartbeat) return;
  // A heartbeat refers to the last index known to match, so it is never refused for its place.
  append_request m;
  m.header = HeaderTo(to.id);
  if (auto term = log_.TermAt(p.match)) {
    m.prev_index = p.match;
    m.prev_term = *term;
  }
  m.commit = std::min(commit_, m.prev_index);
  m.sent = ctx.now;
  Send(to, std::move(m), ctx);
}

void raft_core::SendEntries(const replica& to, progress& p, reduce_context& ctx) {
  append_request m;
  m.header = HeaderTo(to.id);
  m.prev_index = p.next - 1;
  m.prev_term = log_.TermAt(m.prev_index).value_or(0);
  m.commit = commit_;
  m.sent = ctx.now;
  std::size_t bytes = 0;
  for (std::uint64_t i = p.next; i <= log_.LastIndex(); ++i) {
    const log_entry& entry = log_.At(i);
    bytes += ApproximateSize(entry.body);
    bool full = bytes > limits_.max_append_bytes || m.entries.size() >= limits_.max_append_entries;
    if (full && !m.entries.empty()) break;
    m.entries.push_back(entry);
  }
  p.in_flight = true;
  p.in_flight_last = m.entries.back().index;
  p.in_flight_since = ctx.now;
  Send(to, std::move(m), ctx);
}

void raft_core::SendChunk(const replica& to, progress& p, reduce_context& ctx) {
  if (!p.snapshot) {
    p.snapshot = log_.Snapshot();
    p.snapshot_hash = StableHash(p.snapshot->state);
    p.snapshot_offset = 0;
  }
  snapshot_chunk m;
  m.header = HeaderTo(to.id);
  m.index = p.snapshot->index;
  m.snapshot_term = p.snapshot->term;
  m.replicas = p.snapshot->replicas;
  m.total = p.snapshot->state.size();
  m.hash = p.snapshot_hash;
  m.offset = std::min<std::uint64_t>(p.snapshot_offset, m.total);
  m.bytes = p.snapshot->state.substr(m.offset, limits_.chunk_bytes);
  m.sent = ctx.now;
  p.in_flight = true;
  p.in_flight_last = m.index;
  p.in_flight_since = ctx.now;
  Send(to, std::move(m), ctx);
}

void raft_core::SetCommit(std::uint64_t index, reduce_context& ctx) {
  if (!Check(index <= log_.LastIndex(), "committed entries are in the log", ctx)) return;
  commit_ = std::max(commit_, index);
}

bool raft_core::MergeEntries(const append_request& m, reduce_context& ctx) {
  std::uint64_t expected = m.prev_index;
  for (const log_entry& entry : m.entries) {
    if (!Check(entry.index == ++expected && entry.term <= m.header.term,
               "entries follow each other", ctx)) {
      return false;
    }
    auto term = log_.TermAt(entry.index);
    if (term && *term == entry.term) {
      bool same = entry.index <= log_.BaseIndex() ||
                  log_.At(entry.index).body.index() == entry.body.index();
      if (!Check(same, "equal index and term mean equal entries", ctx)) return false;
      continue;
    }
    // Not held but committed: it is part of the snapshot.
    if (!term && entry.index <= commit_) continue;
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
    reply.header = HeaderTo(m.header.from);
    ctx.Emit(send_message{link, reply});
    return;
  }
  if (!HearLeader(m.header, ctx)) return;
  reply.header = HeaderTo(m.header.from);
  auto prev_term = log_.TermAt(m.prev_index);
  bool committed = m.prev_index <= commit_;
  bool matches = prev_term ? *prev_term == m.prev_term : committed;
  if (!Check(matches || !committed, "committed entries are equal everywhere", ctx)) return;
  if (!matches) {
    // Skips the whole conflicting term; the entries up to the commit index match anyway.
    std::uint64_t hint = prev_term ? log_.FirstIndexOfTerm(m.prev_index) - 1 : log_.LastIndex();
    reply.match_index = std::max(std::min(hint, m.prev_index - 1), commit_);
    ctx.Emit(send_message{link, reply});
    return;
  }
  std::uint64_t replicas_before = log_.ReplicasIndex();
  if (!MergeEntries(m, ctx)) return;
  if (log_.ReplicasIndex() != replicas_before) SyncLinks(ctx);
  std::uint64_t last = m.prev_index + m.entries.size();
  SetCommit(std::min(m.commit, last), ctx);
  reply.matched = true;
  reply.match_index = last;
  if (last <= stored_index_) {
    ctx.Emit(send_message{link, reply});
  } else if (m.entries.empty()) {
    // A heartbeat is answered at once, so that a slow disk does not cost the leader its lease.
    reply.match_index = stored_index_;
    ctx.Emit(send_message{link, reply});
  } else {
    Defer(link, reply, ctx);
  }
}

raft_core::progress* raft_core::ProgressOf(const raft_header& header, steady_time sent,
                                           reduce_context& ctx) {
  if (header.term > term_) {
    BecomeFollower(header.term, ctx);
    return nullptr;
  }
  if (role_ != raft_role::kLeader || header.term != term_) return nullptr;
  const replica* from = FindReplica(log_.Replicas(), header.from);
  if (from == nullptr) return nullptr;
  auto link = links_.find(from->address);
  if (link != links_.end()) link->second.waiting = false;
  progress& p = progress_[header.from];
  p.acknowledged = std::max(p.acknowledged, sent);
  return &p;
}

void raft_core::Handle(link_id, const append_reply& m, reduce_context& ctx) {
  if (!Accepts(m.header)) return;
  progress* p = ProgressOf(m.header, m.sent, ctx);
  if (p == nullptr) return;
  if (m.matched) {
    if (!Check(m.match_index <= log_.LastIndex(), "followers hold only the leader's entries",
               ctx)) {
      return;
    }
    p->match = std::max(p->match, m.match_index);
    p->next = std::max(p->next, p->match + 1);
    if (m.match_index >= p->in_flight_last) p->in_flight = false;
    AdvanceCommit(ctx);
  } else if (m.match_index >= p->match && m.match_index + 1 < p->next) {
    p->next = m.match_index + 1;
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
  if (m.header.term >= term_ && !HearLeader(m.header, ctx)) return;
  reply.header = HeaderTo(m.header.from);
  if (m.header.term < term_) {
    ctx.Emit(send_message{link, reply});
    return;
  }
  if (m.index <= commit_) {
    reply.done = true;
    Defer(link, reply, ctx);
    return;
  }
  if (m.total > limits_.max_snapshot_bytes) return;
  if (incoming_index_ != m.index || incoming_term_ != m.snapshot_term) {
    incoming_index_ = m.index;
    incoming_term_ = m.snapshot_term;
    incoming_.clear();
  }
  if (m.offset == incoming_.size()) incoming_.append(m.bytes);
  if (incoming_.size() >= m.total) {
    if (incoming_.size() == m.total && StableHash(incoming_) == m.hash) {
      InstallSnapshot(m, ctx);
      reply.done = true;
      Defer(link, reply, ctx);
      return;
    }
    incoming_.clear();
  }
  reply.next_offset = incoming_.size();
  ctx.Emit(send_message{link, reply});
}

void raft_core::InstallSnapshot(const snapshot_chunk& m, reduce_context& ctx) {
  auto snapshot = std::make_shared<log_snapshot>();
  snapshot->index = m.index;
  snapshot->term = m.snapshot_term;
  snapshot->replicas = m.replicas;
  snapshot->state = std::exchange(incoming_, {});
  incoming_index_ = 0;
  log_.Reset(snapshot);
  commit_ = applied_ = m.index;
  installed_ = snapshot;
  // Everything on disk is older than the snapshot.
  pending_.entries.clear();
  pending_.truncate_from = 1;
  pending_.snapshot = std::move(snapshot);
  pending_.keep_from = m.index + 1;
  has_pending_ = true;
  storing_last_ = stored_index_ = 0;
  SyncLinks(ctx);
  ctx.Emit(write_log{{event_code::kSnapshotInstalled,
                      log_level::kInfo,
                      {{"index", std::to_string(m.index)}, {"bytes", std::to_string(m.total)}}}});
}

void raft_core::Handle(link_id, const snapshot_reply& m, reduce_context& ctx) {
  if (!Accepts(m.header)) return;
  progress* p = ProgressOf(m.header, m.sent, ctx);
  if (p == nullptr || !p->snapshot || p->snapshot->index != m.index) return;
  p->in_flight = false;
  if (m.done) {
    p->match = std::max(p->match, m.index);
    p->next = std::max(p->next, m.index + 1);
    p->snapshot = nullptr;
    AdvanceCommit(ctx);
  } else {
    p->snapshot_offset = m.next_offset;
  }
  const replica* from = FindReplica(log_.Replicas(), m.header.from);
  if (role_ == raft_role::kLeader && from != nullptr) Replicate(*from, *p, false, ctx);
}

}  // namespace radishroute
