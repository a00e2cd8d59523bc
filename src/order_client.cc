#include "radishroute/order_client.h"

#include <algorithm>
#include <utility>

#include "radishroute/invariant.h"

namespace radishroute {

namespace {

// Below the silence after which `leader_session` gives a leader up.
constexpr std::chrono::milliseconds kQueryInterval{1000};

// Pause after a call that the engine did not answer; an engine that restarts needs seconds.
constexpr std::chrono::milliseconds kRetryDelay{500};

log_event OrderEvent(event_code code, log_level level, std::uint64_t token, order_status status) {
  return {
      code, level, {{"token", std::to_string(token)}, {"status", std::string(ToString(status))}}};
}

}  // namespace

void order_client::Handle(const process_started&, reduce_context& ctx) {
  leader_.Start(ctx);
  // An earlier life of this agent may have sent an order just before it ended.
  Settle(ctx);
}

void order_client::Handle(const link_opened& e, reduce_context& ctx) {
  if (leader_.OnOpened(e)) Query(ctx);
}

void order_client::Handle(const link_closed& e, reduce_context& ctx) { leader_.OnClosed(e, ctx); }

void order_client::Handle(const drain_requested&, reduce_context&) { draining_ = true; }

void order_client::Query(reduce_context& ctx) {
  if (!leader_.Link()) return;
  query_at_ = ctx.now + kQueryInterval;
  ctx.Emit(schedule_wakeup{query_at_});
  ctx.Emit(send_message{*leader_.Link(),
                        fence_query{++sequence_, settings_.backend, settings_.incarnation}});
}

void order_client::Handle(const timer_expired&, reduce_context& ctx) {
  leader_.OnTimer(ctx);
  if (leader_.Link()) {
    if (query_at_ <= ctx.now) {
      Query(ctx);
    } else {
      ctx.Emit(schedule_wakeup{query_at_});
    }
  }
  if (!current_ || current_->status != order_status::kPending) return;
  if (current_->sent && current_->deadline <= ctx.now) {
    ctx.Emit(cancel_engine_order{current_->order.token});
    OnLost(ctx);
  }
  TrySend(ctx);
}

void order_client::Handle(link_id link, const fence_reply& m, reduce_context& ctx) {
  if (!leader_.Link() || link != *leader_.Link()) return;
  if (m.agent_incarnation != settings_.incarnation) return;
  if (!m.granted) {
    leader_.OnNotLeader(m.leader_hint, ctx);
    return;
  }
  leader_.OnLeader(ctx);
  // This life knows every order that it has accepted since.
  if (fence_) return;
  fence_ = m.fence;
  ctx.Emit(write_log{
      {event_code::kOrderFenceLearned, log_level::kInfo, {{"fence", std::to_string(m.fence)}}}});
}

void order_client::Settle(reduce_context& ctx) {
  if (settings_.engine_checks_fencing) return;
  settled_at_ = ctx.now + settings_.settle;
}

void order_client::Handle(link_id link, const fenced_order& m, reduce_context& ctx) {
  if (m.backend != settings_.backend || !fence_ || draining_) return;
  if (current_ && current_->order.token == m.token) {
    if (current_->status != order_status::kPending) Reply(m.token, current_->status, ctx);
    return;
  }
  // Also for an order of a former leader that was paused or cut off.
  if (m.token <= *fence_ || (current_ && m.token < current_->order.token)) {
    ctx.Emit(count{counter::kOrdersRefusedStale});
    ctx.Emit(write_log{OrderEvent(event_code::kOrderRefusedStale, log_level::kWarning, m.token,
                                  order_status::kStaleToken)});
    ctx.Emit(send_message{link, order_reply{m.backend, m.token, order_status::kStaleToken}});
    return;
  }
  // The order at the engine has ended by the reply of an earlier life of this agent; the leader
  // repeats the new one.
  if (current_ && current_->sent) return;
  current_ = {m, false, ctx.now, order_status::kPending};
  TrySend(ctx);
}

void order_client::TrySend(reduce_context& ctx) {
  if (!current_ || current_->sent || current_->status != order_status::kPending) return;
  steady_time at = std::max(current_->deadline, settled_at_);
  if (at > ctx.now) {
    ctx.Emit(schedule_wakeup{at});
    return;
  }
  std::uint64_t token = current_->order.token;
  bool in_order = token >= highest_sent_;
  if (!CheckInvariant(in_order, "orders reach the engine in the order of their tokens", ctx)) {
    return;
  }
  highest_sent_ = token;
  current_->sent = true;
  current_->deadline = ctx.now + settings_.timeout;
  ctx.Emit(schedule_wakeup{current_->deadline});
  ctx.Emit(start_engine_order{current_->order});
}

void order_client::OnLost(reduce_context& ctx) {
  current_->sent = false;
  current_->deadline = ctx.now + kRetryDelay;
  Settle(ctx);
  ctx.Emit(count{counter::kOrdersRetried});
  ctx.Emit(write_log{OrderEvent(event_code::kOrderRetried, log_level::kWarning,
                                current_->order.token, order_status::kPending)});
}

void order_client::Handle(const engine_order_finished& e, reduce_context& ctx) {
  if (!current_ || !current_->sent || e.order.token != current_->order.token) return;
  if (!e.status) {
    OnLost(ctx);
    TrySend(ctx);
    return;
  }
  current_->sent = false;
  current_->status = *e.status;
  bool done = *e.status == order_status::kDone;
  ctx.Emit(count{done ? counter::kOrdersDone : counter::kOrdersFailed});
  ctx.Emit(write_log{OrderEvent(event_code::kEngineOrderFinished,
                                done ? log_level::kInfo : log_level::kWarning, e.order.token,
                                *e.status)});
  Reply(e.order.token, *e.status, ctx);
}

void order_client::Reply(std::uint64_t token, order_status status, reduce_context& ctx) const {
  // Without a link, the leader repeats the order and gets the result then.
  if (!leader_.Link()) return;
  ctx.Emit(send_message{*leader_.Link(), order_reply{settings_.backend, token, status}});
}

}  // namespace radishroute
