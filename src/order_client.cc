#include "radishroute/order_client.h"

#include <algorithm>
#include <utility>

#include "radishroute/invariant.h"

namespace radishroute {

namespace {

// Shorter than the silence after which `leader_session` abandons a leader.
constexpr std::chrono::milliseconds kQueryInterval{1000};

// Delay before an order without a response is retried; an engine needs seconds to restart.
constexpr std::chrono::milliseconds kRetryDelay{500};

log_event OrderEvent(event_code code, log_level level, std::uint64_t token, order_status status) {
  return {
      code, level, {{"token", std::to_string(token)}, {"status", std::string(ToString(status))}}};
}

}  // namespace

void order_client::Handle(const process_started&, reduce_context& ctx) {
  leader_.Start(ctx);
  // An earlier incarnation of this agent may have sent an order just before it ended.
  StartSettling(ctx);
}

void order_client::Handle(const link_opened& opened, reduce_context& ctx) {
  if (leader_.OnOpened(opened)) QueryFence(ctx);
}

void order_client::Handle(const link_closed& closed, reduce_context& ctx) {
  leader_.OnClosed(closed, ctx);
}

void order_client::Handle(const drain_requested&, reduce_context&) { draining_ = true; }

void order_client::QueryFence(reduce_context& ctx) {
  if (!leader_.Link()) return;
  next_query_at_ = ctx.now + kQueryInterval;
  ctx.Emit(schedule_wakeup{next_query_at_});
  ctx.Emit(send_message{*leader_.Link(),
                        fence_query{++sequence_, settings_.backend, settings_.incarnation}});
}

void order_client::Handle(const timer_expired&, reduce_context& ctx) {
  leader_.OnTimer(ctx);
  if (leader_.Link()) {
    if (next_query_at_ <= ctx.now) {
      QueryFence(ctx);
    } else {
      ctx.Emit(schedule_wakeup{next_query_at_});
    }
  }
  if (!current_ || current_->status != order_status::kPending) return;
  if (current_->in_flight && current_->deadline <= ctx.now) {
    ctx.Emit(cancel_engine_order{current_->order.token});
    OnResponseLost(ctx);
  }
  TrySend(ctx);
}

void order_client::Handle(link_id link, const fence_reply& reply, reduce_context& ctx) {
  if (!leader_.Link() || link != *leader_.Link()) return;
  if (reply.agent_incarnation != settings_.incarnation) return;
  if (!reply.granted) {
    leader_.OnNotLeader(reply.leader_hint, ctx);
    return;
  }
  leader_.OnLeader(ctx);
  // This incarnation already has a fence and knows every order that it has accepted since.
  if (fence_) return;
  fence_ = reply.fence;
  ctx.Emit(write_log{{event_code::kOrderFenceLearned,
                      log_level::kInfo,
                      {{"fence", std::to_string(reply.fence)}}}});
}

void order_client::StartSettling(reduce_context& ctx) {
  if (settings_.engine_checks_fencing) return;
  settled_at_ = ctx.now + settings_.settle_time;
}

void order_client::Handle(link_id link, const fenced_order& order, reduce_context& ctx) {
  if (order.backend != settings_.backend || !fence_ || draining_) return;
  if (current_ && current_->order.token == order.token) {
    if (current_->status != order_status::kPending) Reply(order.token, current_->status, ctx);
    return;
  }
  // A stale order may also come from a previous leader that was paused or cut off.
  if (order.token <= *fence_ || (current_ && order.token < current_->order.token)) {
    ctx.Emit(count{counter::kOrdersRefusedStale});
    ctx.Emit(write_log{OrderEvent(event_code::kOrderRefusedStale, log_level::kWarning, order.token,
                                  order_status::kStaleToken)});
    ctx.Emit(
        send_message{link, order_reply{order.backend, order.token, order_status::kStaleToken}});
    return;
  }
  // The leader has already completed the order in flight, after a reply from an earlier incarnation
  // of this agent. It will repeat the new order.
  if (current_ && current_->in_flight) return;
  current_ = {order, false, ctx.now, order_status::kPending};
  TrySend(ctx);
}

void order_client::TrySend(reduce_context& ctx) {
  if (!current_ || current_->in_flight || current_->status != order_status::kPending) return;
  steady_time earliest = std::max(current_->deadline, settled_at_);
  if (earliest > ctx.now) {
    ctx.Emit(schedule_wakeup{earliest});
    return;
  }
  std::uint64_t token = current_->order.token;
  bool in_order = token >= highest_sent_;
  if (!CheckInvariant(in_order, "orders are sent to the engine in token order", ctx)) {
    return;
  }
  highest_sent_ = token;
  current_->in_flight = true;
  current_->deadline = ctx.now + settings_.timeout;
  ctx.Emit(schedule_wakeup{current_->deadline});
  ctx.Emit(start_engine_order{current_->order});
}

void order_client::OnResponseLost(reduce_context& ctx) {
  current_->in_flight = false;
  current_->deadline = ctx.now + kRetryDelay;
  StartSettling(ctx);
  ctx.Emit(count{counter::kOrdersRetried});
  ctx.Emit(write_log{OrderEvent(event_code::kOrderRetried, log_level::kWarning,
                                current_->order.token, order_status::kPending)});
}

void order_client::Handle(const engine_order_finished& finished, reduce_context& ctx) {
  if (!current_ || !current_->in_flight || finished.order.token != current_->order.token) return;
  if (!finished.status) {
    OnResponseLost(ctx);
    TrySend(ctx);
    return;
  }
  current_->in_flight = false;
  current_->status = *finished.status;
  bool done = *finished.status == order_status::kDone;
  ctx.Emit(count{done ? counter::kOrdersDone : counter::kOrdersFailed});
  ctx.Emit(write_log{OrderEvent(event_code::kEngineOrderFinished,
                                done ? log_level::kInfo : log_level::kWarning, finished.order.token,
                                *finished.status)});
  Reply(finished.order.token, *finished.status, ctx);
}

void order_client::Reply(std::uint64_t token, order_status status, reduce_context& ctx) const {
  // Without a link, the leader gets the result when it repeats the order.
  if (!leader_.Link()) return;
  ctx.Emit(send_message{*leader_.Link(), order_reply{settings_.backend, token, status}});
}

}  // namespace radishroute
