#ifndef RADISHROUTE_IO_WIRE_ORDERS_H_
#define RADISHROUTE_IO_WIRE_ORDERS_H_

#include "io/wire_basic.h"
#include "radishroute/order_message.h"

namespace radishroute {

inline wire::OrderSubmission ToWire(const order_submission& c) {
  wire::OrderSubmission w;
  w.changeId = c.change_id;
  w.author = c.author;
  w.backend = c.backend;
  w.kind = EnumToWire(c.kind);
  w.name = c.name;
  w.bytes = Signed(c.bytes);
  return w;
}

inline order_submission FromWire(const wire::OrderSubmission& w, bool& ok) {
  return {w.changeId, w.author,
          w.backend,  EnumFromWire(w.kind, order_kind::kChangeRole, ok),
          w.name,     Unsigned(w.bytes)};
}

inline wire::OrderCompletion ToWire(const order_completion& c) {
  wire::OrderCompletion w;
  w.token = Signed(c.token);
  w.status = EnumToWire(c.status);
  return w;
}

inline order_completion FromWire(const wire::OrderCompletion& w, bool& ok) {
  return {Unsigned(w.token), EnumFromWire(w.status, order_status::kQueueFull, ok)};
}

inline wire::FenceQuery ToWire(const fence_query& m) {
  wire::FenceQuery w;
  w.sequence = Signed(m.sequence);
  w.backend = m.backend;
  w.agentIncarnation = Signed(m.agent_incarnation);
  return w;
}

inline fence_query FromWire(const wire::FenceQuery& w, bool&) {
  return {Unsigned(w.sequence), w.backend, Unsigned(w.agentIncarnation)};
}

inline wire::FenceReply ToWire(const fence_reply& m) {
  wire::FenceReply w;
  w.sequence = Signed(m.sequence);
  w.agentIncarnation = Signed(m.agent_incarnation);
  w.granted = m.granted;
  w.leaderHint = ToWire(m.leader_hint);
  w.fence = Signed(m.fence);
  return w;
}

inline fence_reply FromWire(const wire::FenceReply& w, bool& ok) {
  return {Unsigned(w.sequence), Unsigned(w.agentIncarnation), w.granted, FromWire(w.leaderHint, ok),
          Unsigned(w.fence)};
}

inline wire::FencedOrder ToWire(const fenced_order& m) {
  wire::FencedOrder w;
  w.backend = m.backend;
  w.token = Signed(m.token);
  w.kind = EnumToWire(m.kind);
  w.name = m.name;
  w.bytes = Signed(m.bytes);
  return w;
}

inline fenced_order FromWire(const wire::FencedOrder& w, bool& ok) {
  return {w.backend, Unsigned(w.token), EnumFromWire(w.kind, order_kind::kChangeRole, ok), w.name,
          Unsigned(w.bytes)};
}

inline wire::OrderReply ToWire(const order_reply& m) {
  wire::OrderReply w;
  w.backend = m.backend;
  w.token = Signed(m.token);
  w.status = EnumToWire(m.status);
  return w;
}

inline order_reply FromWire(const wire::OrderReply& w, bool& ok) {
  return {w.backend, Unsigned(w.token), EnumFromWire(w.status, order_status::kQueueFull, ok)};
}

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_ORDERS_H_
