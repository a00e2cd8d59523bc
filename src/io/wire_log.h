#ifndef RADISHROUTE_IO_WIRE_LOG_H_
#define RADISHROUTE_IO_WIRE_LOG_H_

#include <utility>
#include <variant>

#include "io/wire_groups.h"
#include "io/wire_orders.h"
#include "io/wire_traffic.h"
#include "radishroute/raft_event.h"

namespace radishroute {

inline std::int64_t TimeToWire(steady_time t) {
  return std::chrono::duration_cast<std::chrono::nanoseconds>(t.time_since_epoch()).count();
}

inline steady_time SteadyFromWire(std::int64_t nanos) {
  return steady_time(std::chrono::nanoseconds(nanos));
}

inline wire::Replica ToWire(const replica& r) {
  wire::Replica w;
  w.id = Signed(r.id.value);
  w.zone = r.zone;
  w.address = ToWire(r.address);
  w.voting = r.voting;
  w.replaces = Signed(r.replaces.value);
  return w;
}

inline replica FromWire(const wire::Replica& w, bool& ok) {
  return {{Unsigned(w.id)}, w.zone, FromWire(w.address, ok), w.voting, {Unsigned(w.replaces)}};
}

inline void SetCommand(const no_operation&, wire::Command& w) { w.__set_noOperation({}); }

inline void SetCommand(const replica_change& c, wire::Command& w) {
  wire::ReplicaChange change;
  ListToWire(c.replicas, change.replicas);
  w.__set_replicaChange(change);
}

inline void SetCommand(const config_change& c, wire::Command& w) {
  wire::ConfigChange change;
  change.baseVersion = Signed(c.base_version);
  change.changeId = c.change_id;
  change.author = c.author;
  change.sheet = c.sheet;
  change.__set_precedence(EnumToWire(c.precedence));
  w.__set_configChange(change);
}

inline void SetCommand(const record_claim& c, wire::Command& w) {
  wire::RecordClaim claim;
  claim.member = c.member;
  claim.key = c.key;
  claim.contentHash = Signed(c.content_hash);
  claim.dispatchId = ToWire(c.dispatch);
  claim.backend = c.backend;
  claim.backendIncarnation = Signed(c.backend_incarnation);
  claim.atMicros = MicrosToWire(c.at.time_since_epoch());
  w.__set_recordClaim(claim);
}

inline void SetCommand(const record_outcome& c, wire::Command& w) {
  wire::RecordOutcome outcome;
  outcome.member = c.member;
  outcome.key = c.key;
  outcome.dispatchId = ToWire(c.dispatch);
  outcome.status = EnumToWire(c.status);
  outcome.answerStatus = Signed(c.answer_status);
  outcome.answerType = c.answer_type;
  outcome.answer = c.answer;
  w.__set_recordOutcome(outcome);
}

inline void SetCommand(const order_submission& c, wire::Command& w) {
  w.__set_orderSubmission(ToWire(c));
}

inline void SetCommand(const order_completion& c, wire::Command& w) {
  w.__set_orderCompletion(ToWire(c));
}

inline void SetCommand(const group_change& c, wire::Command& w) { w.__set_groupChange(ToWire(c)); }

inline void SetCommand(const group_pin& c, wire::Command& w) { w.__set_groupPin(ToWire(c)); }

inline void SetCommand(const zone_evacuation& c, wire::Command& w) {
  wire::ZoneEvacuation order;
  order.zone = c.zone;
  order.evacuated = c.evacuated;
  w.__set_zoneEvacuation(order);
}

inline wire::Command ToWire(const command& c) {
  wire::Command w;
  std::visit([&](const auto& specific) { SetCommand(specific, w); }, c);
  return w;
}

inline replica_change FromWire(const wire::ReplicaChange& w, bool& ok) {
  replica_change c;
  ConvertList(w.replicas, c.replicas, [&](const wire::Replica& r) { return FromWire(r, ok); });
  return c;
}

inline config_change FromWire(const wire::ConfigChange& w, bool& ok) {
  return {Unsigned(w.baseVersion), w.changeId, w.author, w.sheet,
          EnumFromWire(w.precedence, config_precedence::kHighestVersion, ok)};
}

inline record_claim FromWire(const wire::RecordClaim& w, bool& ok) {
  record_claim c;
  c.member = w.member;
  c.key = w.key;
  c.content_hash = Unsigned(w.contentHash);
  c.dispatch = FromWire(w.dispatchId, ok);
  c.backend = w.backend;
  c.backend_incarnation = Unsigned(w.backendIncarnation);
  c.at = wall_time(std::chrono::microseconds(w.atMicros));
  return c;
}

inline record_outcome FromWire(const wire::RecordOutcome& w, bool& ok) {
  record_outcome c;
  c.member = w.member;
  c.key = w.key;
  c.dispatch = FromWire(w.dispatchId, ok);
  c.status = EnumFromWire(w.status, record_status::kUnknown, ok);
  c.answer_status = Unsigned(w.answerStatus);
  c.answer_type = w.answerType;
  c.answer = w.answer;
  return c;
}

inline command FromWire(const wire::Command& w, bool& ok) {
  if (w.__isset.replicaChange) return FromWire(w.replicaChange, ok);
  if (w.__isset.configChange) return FromWire(w.configChange, ok);
  if (w.__isset.recordClaim) return FromWire(w.recordClaim, ok);
  if (w.__isset.recordOutcome) return FromWire(w.recordOutcome, ok);
  if (w.__isset.orderSubmission) return FromWire(w.orderSubmission, ok);
  if (w.__isset.orderCompletion) return FromWire(w.orderCompletion, ok);
  if (w.__isset.groupChange) return FromWire(w.groupChange, ok);
  if (w.__isset.groupPin) return FromWire(w.groupPin, ok);
  if (w.__isset.zoneEvacuation) {
    return zone_evacuation{w.zoneEvacuation.zone, w.zoneEvacuation.evacuated};
  }
  // A command of a newer version: applying it as nothing would make replicas diverge.
  if (!w.__isset.noOperation) ok = false;
  return no_operation{};
}

inline wire::LogEntry ToWire(const log_entry& e) {
  wire::LogEntry w;
  w.term = Signed(e.term);
  w.index = Signed(e.index);
  w.body = ToWire(e.body);
  return w;
}

inline log_entry FromWire(const wire::LogEntry& w, bool& ok) {
  return {Unsigned(w.term), Unsigned(w.index), FromWire(w.body, ok)};
}

inline wire::RaftHeader ToWire(const raft_header& h) {
  wire::RaftHeader w;
  w.logGroup = Signed(h.log_group);
  w.sender = Signed(h.from.value);
  w.recipient = Signed(h.to.value);
  w.term = Signed(h.term);
  return w;
}

inline raft_header FromWire(const wire::RaftHeader& w, bool&) {
  return {Unsigned(w.logGroup), {Unsigned(w.sender)}, {Unsigned(w.recipient)}, Unsigned(w.term)};
}

inline wire::AppendRequest ToWire(const append_request& m) {
  wire::AppendRequest w;
  w.header = ToWire(m.header);
  w.prevIndex = Signed(m.prev_index);
  w.prevTerm = Signed(m.prev_term);
  w.commit = Signed(m.commit);
  w.sentNanos = TimeToWire(m.sent);
  ListToWire(m.entries, w.entries);
  return w;
}

inline append_request FromWire(const wire::AppendRequest& w, bool& ok) {
  append_request m;
  m.header = FromWire(w.header, ok);
  m.prev_index = Unsigned(w.prevIndex);
  m.prev_term = Unsigned(w.prevTerm);
  m.commit = Unsigned(w.commit);
  m.sent = SteadyFromWire(w.sentNanos);
  ConvertList(w.entries, m.entries, [&](const wire::LogEntry& e) { return FromWire(e, ok); });
  return m;
}

inline wire::AppendReply ToWire(const append_reply& m) {
  wire::AppendReply w;
  w.header = ToWire(m.header);
  w.matched = m.matched;
  w.matchIndex = Signed(m.match_index);
  w.sentNanos = TimeToWire(m.sent);
  return w;
}

inline append_reply FromWire(const wire::AppendReply& w, bool& ok) {
  return {FromWire(w.header, ok), w.matched, Unsigned(w.matchIndex), SteadyFromWire(w.sentNanos)};
}

inline wire::VoteRequest ToWire(const vote_request& m) {
  wire::VoteRequest w;
  w.header = ToWire(m.header);
  w.preVote = m.pre_vote;
  w.lastIndex = Signed(m.last_index);
  w.lastTerm = Signed(m.last_term);
  return w;
}

inline vote_request FromWire(const wire::VoteRequest& w, bool& ok) {
  return {FromWire(w.header, ok), w.preVote, Unsigned(w.lastIndex), Unsigned(w.lastTerm)};
}

inline wire::VoteReply ToWire(const vote_reply& m) {
  wire::VoteReply w;
  w.header = ToWire(m.header);
  w.preVote = m.pre_vote;
  w.granted = m.granted;
  return w;
}

inline vote_reply FromWire(const wire::VoteReply& w, bool& ok) {
  return {FromWire(w.header, ok), w.preVote, w.granted};
}

inline wire::SnapshotChunk ToWire(const snapshot_chunk& m) {
  wire::SnapshotChunk w;
  w.header = ToWire(m.header);
  w.index = Signed(m.index);
  w.snapshotTerm = Signed(m.snapshot_term);
  ListToWire(m.replicas, w.replicas);
  w.total = Signed(m.total);
  w.hash = Signed(m.hash);
  w.offset = Signed(m.offset);
  w.bytes = m.bytes;
  w.sentNanos = TimeToWire(m.sent);
  return w;
}

inline snapshot_chunk FromWire(const wire::SnapshotChunk& w, bool& ok) {
  snapshot_chunk m;
  m.header = FromWire(w.header, ok);
  m.index = Unsigned(w.index);
  m.snapshot_term = Unsigned(w.snapshotTerm);
  ConvertList(w.replicas, m.replicas, [&](const wire::Replica& r) { return FromWire(r, ok); });
  m.total = Unsigned(w.total);
  m.hash = Unsigned(w.hash);
  m.offset = Unsigned(w.offset);
  m.bytes = w.bytes;
  m.sent = SteadyFromWire(w.sentNanos);
  return m;
}

inline wire::SnapshotReply ToWire(const snapshot_reply& m) {
  wire::SnapshotReply w;
  w.header = ToWire(m.header);
  w.index = Signed(m.index);
  w.nextOffset = Signed(m.next_offset);
  w.done = m.done;
  w.sentNanos = TimeToWire(m.sent);
  return w;
}

inline snapshot_reply FromWire(const wire::SnapshotReply& w, bool& ok) {
  return {FromWire(w.header, ok), Unsigned(w.index), Unsigned(w.nextOffset), w.done,
          SteadyFromWire(w.sentNanos)};
}

inline wire::ProposeRequest ToWire(const propose_request& m) {
  wire::ProposeRequest w;
  w.logGroup = Signed(m.log_group);
  w.proposal = Signed(m.id.value);
  w.body = ToWire(m.body);
  return w;
}

inline propose_request FromWire(const wire::ProposeRequest& w, bool& ok) {
  return {Unsigned(w.logGroup), {Unsigned(w.proposal)}, FromWire(w.body, ok)};
}

inline wire::ProposeReply ToWire(const propose_reply& m) {
  wire::ProposeReply w;
  w.logGroup = Signed(m.log_group);
  w.proposal = Signed(m.id.value);
  w.status = EnumToWire(m.status);
  w.index = Signed(m.index);
  w.leader = ToWire(m.leader);
  return w;
}

inline propose_reply FromWire(const wire::ProposeReply& w, bool& ok) {
  return {Unsigned(w.logGroup),
          {Unsigned(w.proposal)},
          EnumFromWire(w.status, proposal_status::kQueueFull, ok),
          Unsigned(w.index),
          FromWire(w.leader, ok)};
}

inline wire::JoinRequest ToWire(const join_request& m) {
  wire::JoinRequest w;
  w.candidate = ToWire(m.candidate);
  return w;
}

inline join_request FromWire(const wire::JoinRequest& w, bool& ok) {
  return {FromWire(w.candidate, ok)};
}

inline wire::JoinReply ToWire(const join_reply& m) {
  wire::JoinReply w;
  w.leaderHint = ToWire(m.leader_hint);
  return w;
}

inline join_reply FromWire(const wire::JoinReply& w, bool& ok) {
  return {FromWire(w.leaderHint, ok)};
}

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_LOG_H_
