#ifndef RADISHROUTE_IO_WIRE_TRAFFIC_H_
#define RADISHROUTE_IO_WIRE_TRAFFIC_H_

#include "io/wire_basic.h"

namespace radishroute {

inline wire::DispatchId ToWire(const dispatch_id& id) {
  wire::DispatchId w;
  w.request.origin = Signed(id.request.origin);
  w.request.sequence = Signed(id.request.sequence);
  w.attempt = Signed(id.attempt);
  return w;
}

inline dispatch_id FromWire(const wire::DispatchId& w, bool&) {
  return {{Unsigned(w.request.origin), Unsigned(w.request.sequence)}, Unsigned(w.attempt)};
}

inline wire::LoadReport ToWire(const load_report& load) {
  wire::LoadReport w;
  w.running = Signed(load.running);
  w.limit = Signed(load.limit);
  w.queued = Signed(load.queued);
  for (std::chrono::microseconds wait : load.expected_wait) {
    w.expectedWaitMicros.push_back(wait.count());
  }
  return w;
}

inline load_report FromWire(const wire::LoadReport& w, bool& ok) {
  load_report load;
  load.running = Unsigned(w.running);
  load.limit = Unsigned(w.limit);
  load.queued = Unsigned(w.queued);
  if (w.expectedWaitMicros.size() != kPriorityClassCount) {
    ok = false;
    return load;
  }
  for (std::size_t i = 0; i < kPriorityClassCount; ++i) {
    load.expected_wait[i] = std::chrono::microseconds(w.expectedWaitMicros[i]);
  }
  return load;
}

inline wire::DispatchRequest ToWire(const dispatch_request& m) {
  wire::DispatchRequest w;
  w.id = ToWire(m.id);
  w.agentIncarnation = Signed(m.agent_incarnation);
  w.member = m.member;
  w.memberWeight = Signed(m.member_weight);
  w.priorityClass = EnumToWire(m.cls);
  w.timeLeftMicros = m.time_left.count();
  w.content = Signed(m.content.value);
  w.suspect = m.suspect;
  w.repeatable = m.repeatable;
  w.stream = m.stream;
  w.maxTokens = Signed(m.max_tokens);
  w.resumeOffset = Signed(m.resume_offset);
  w.path = m.path;
  w.idempotencyKey = m.idempotency_key;
  w.__set_configVersion(Signed(m.config_version));
  w.__set_floorPercent({m.floor_percent.begin(), m.floor_percent.end()});
  w.body = m.body;
  return w;
}

inline dispatch_request FromWire(const wire::DispatchRequest& w, bool& ok) {
  dispatch_request m;
  m.id = FromWire(w.id, ok);
  m.agent_incarnation = Unsigned(w.agentIncarnation);
  m.member = w.member;
  m.member_weight = Unsigned(w.memberWeight);
  m.cls = EnumFromWire(w.priorityClass, priority_class::kBatch, ok);
  m.time_left = std::chrono::microseconds(w.timeLeftMicros);
  m.content = {Unsigned(w.content)};
  m.suspect = w.suspect;
  m.repeatable = w.repeatable;
  m.stream = w.stream;
  m.max_tokens = Unsigned(w.maxTokens);
  m.resume_offset = Unsigned(w.resumeOffset);
  m.path = w.path;
  m.idempotency_key = w.idempotencyKey;
  m.config_version = Unsigned(w.configVersion);
  if (w.__isset.floorPercent && w.floorPercent.size() != kPriorityClassCount) ok = false;
  for (std::size_t i = 0; ok && i < w.floorPercent.size(); ++i) {
    m.floor_percent[i] = Unsigned(w.floorPercent[i]);
    ok = m.floor_percent[i] <= 100;
  }
  m.body = w.body;
  return m;
}

inline wire::AnswerBegin ToWire(const answer_begin& m) {
  wire::AnswerBegin w;
  w.id = ToWire(m.id);
  w.status = Signed(m.status);
  w.contentType = m.content_type;
  return w;
}

inline answer_begin FromWire(const wire::AnswerBegin& w, bool& ok) {
  return {FromWire(w.id, ok), Unsigned(w.status), w.contentType};
}

inline wire::AnswerChunk ToWire(const answer_chunk& m) {
  wire::AnswerChunk w;
  w.id = ToWire(m.id);
  w.offset = Signed(m.offset);
  w.bytes = m.bytes;
  return w;
}

inline answer_chunk FromWire(const wire::AnswerChunk& w, bool& ok) {
  return {FromWire(w.id, ok), Unsigned(w.offset), w.bytes};
}

inline wire::AnswerEnd ToWire(const answer_end& m) {
  wire::AnswerEnd w;
  w.id = ToWire(m.id);
  w.length = Signed(m.length);
  w.load = ToWire(m.load);
  return w;
}

inline answer_end FromWire(const wire::AnswerEnd& w, bool& ok) {
  return {FromWire(w.id, ok), Unsigned(w.length), FromWire(w.load, ok)};
}

inline wire::AnswerAck ToWire(const answer_ack& m) {
  wire::AnswerAck w;
  w.id = ToWire(m.id);
  return w;
}

inline answer_ack FromWire(const wire::AnswerAck& w, bool& ok) { return {FromWire(w.id, ok)}; }

inline wire::DispatchRefused ToWire(const dispatch_refused& m) {
  wire::DispatchRefused w;
  w.id = ToWire(m.id);
  w.reason = EnumToWire(m.reason);
  w.retryAfterMicros = m.retry_after.count();
  w.load = ToWire(m.load);
  return w;
}

inline dispatch_refused FromWire(const wire::DispatchRefused& w, bool& ok) {
  constexpr auto kLast = static_cast<refusal_reason>(kRefusalReasonCount - 1);
  return {FromWire(w.id, ok), EnumFromWire(w.reason, kLast, ok),
          std::chrono::microseconds(w.retryAfterMicros), FromWire(w.load, ok)};
}

inline wire::DispatchFailed ToWire(const dispatch_failed& m) {
  wire::DispatchFailed w;
  w.id = ToWire(m.id);
  w.reason = EnumToWire(m.reason);
  w.load = ToWire(m.load);
  return w;
}

inline dispatch_failed FromWire(const wire::DispatchFailed& w, bool& ok) {
  constexpr auto kLast = static_cast<dispatch_failure>(kDispatchFailureCount - 1);
  return {FromWire(w.id, ok), EnumFromWire(w.reason, kLast, ok), FromWire(w.load, ok)};
}

inline wire::CancelDispatch ToWire(const cancel_dispatch& m) {
  wire::CancelDispatch w;
  w.id = ToWire(m.id);
  return w;
}

inline cancel_dispatch FromWire(const wire::CancelDispatch& w, bool& ok) {
  return {FromWire(w.id, ok)};
}

inline wire::AttachDispatch ToWire(const attach_dispatch& m) {
  wire::AttachDispatch w;
  w.id = ToWire(m.id);
  w.offset = Signed(m.offset);
  return w;
}

inline attach_dispatch FromWire(const wire::AttachDispatch& w, bool& ok) {
  return {FromWire(w.id, ok), Unsigned(w.offset)};
}

inline wire::ResolveDispatch ToWire(const resolve_dispatch& m) {
  wire::ResolveDispatch w;
  w.id = ToWire(m.id);
  w.agentIncarnation = Signed(m.agent_incarnation);
  return w;
}

inline resolve_dispatch FromWire(const wire::ResolveDispatch& w, bool& ok) {
  return {FromWire(w.id, ok), Unsigned(w.agentIncarnation)};
}

inline wire::ResolveReply ToWire(const resolve_reply& m) {
  wire::ResolveReply w;
  w.id = ToWire(m.id);
  w.state = EnumToWire(m.state);
  return w;
}

inline resolve_reply FromWire(const wire::ResolveReply& w, bool& ok) {
  return {FromWire(w.id, ok), EnumFromWire(w.state, dispatch_state::kUnknown, ok)};
}

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_TRAFFIC_H_
