#include "radishroute/link_monitor.h"

#include <algorithm>
#include <variant>

namespace radishroute {

namespace {

// Heartbeats that are due within this time are sent together, so that a thread with many idle
// links wakes about twice a second instead of once per link.
constexpr std::chrono::milliseconds kHeartbeatSlack{150};

// A wake-up that is later than this means that this process itself was paused. Its peers may have
// sent messages in the meantime, so the measurement of silence restarts.
constexpr std::chrono::milliseconds kPauseThreshold{500};

log_event LinkEvent(event_code code, const endpoint& address) {
  return {code, log_level::kWarning, {{"address", ToString(address)}}};
}

}  // namespace

void link_monitor::Handle(const process_started&, reduce_context& ctx) { ScheduleNext(ctx); }

void link_monitor::Handle(const link_opened& opened, reduce_context& ctx) {
  links_[opened.link] = {opened.dialed, ctx.now, ctx.now, false};
  if (!opened.dialed.host.empty()) {
    auto [it, first] = dialed_links_.try_emplace(opened.dialed, opened.link);
    if (!first) {
      ctx.Emit(count{counter::kLinksReplaced});
      ctx.Emit(write_log{LinkEvent(event_code::kLinkReplaced, opened.dialed)});
      ctx.Emit(close_link{it->second});
      links_.erase(it->second);
      it->second = opened.link;
    }
  }
  ScheduleNext(ctx);
}

void link_monitor::Handle(const link_closed& closed, reduce_context& ctx) {
  auto dialed = dialed_links_.find(closed.dialed);
  if (closed.link.value == 0 && dialed != dialed_links_.end()) {
    // The replacement could not be opened, so the peer is unreachable on the old link too.
    link_id old = dialed->second;
    auto link = links_.find(old);
    if (link == links_.end() || !link->second.replacing) return;
    ctx.Emit(write_log{LinkEvent(event_code::kLinkReplacementFailed, closed.dialed)});
    ctx.Emit(close_link{old});
    links_.erase(link);
    dialed_links_.erase(dialed);
    return;
  }
  links_.erase(closed.link);
  if (dialed != dialed_links_.end() && dialed->second == closed.link) dialed_links_.erase(dialed);
}

void link_monitor::OnReceived(link_id link, reduce_context& ctx) {
  auto it = links_.find(link);
  if (it != links_.end()) it->second.last_received = ctx.now;
}

// Heartbeats wait behind a large message, so its bytes count as well.
void link_monitor::Handle(const link_progressed& progressed, reduce_context& ctx) {
  OnReceived(progressed.link, ctx);
}

void link_monitor::Handle(const message_received& received, reduce_context& ctx) {
  OnReceived(received.link, ctx);
}

void link_monitor::RecordSentMessages(reduce_context& ctx) {
  auto record = [&](link_id link) {
    auto it = links_.find(link);
    if (it != links_.end()) it->second.last_sent = ctx.now;
  };
  for (const effect& e : ctx.effects) {
    if (const auto* sent = std::get_if<send_message>(&e)) record(sent->link);
    const auto* broadcast = std::get_if<broadcast_message>(&e);
    if (broadcast == nullptr) continue;
    for (link_id link : broadcast->links) record(link);
  }
}

void link_monitor::Check(link_id id, monitored_link& link, reduce_context& ctx) {
  if (ctx.now - link.last_sent >= limits_.heartbeat_after - kHeartbeatSlack) {
    link.last_sent = ctx.now;
    ctx.Emit(count{counter::kHeartbeatsSent});
    ctx.Emit(send_message{id, heartbeat{++heartbeat_sequence_}});
  }
  auto silence = ctx.now - link.last_received;
  if (link.dialed.host.empty()) {
    if (silence < limits_.close_after || link.replacing) return;
    link.replacing = true;
    ctx.Emit(count{counter::kLinksSilent});
    ctx.Emit(close_link{id});
    return;
  }
  if (silence < limits_.replace_after || link.replacing) return;
  link.replacing = true;
  ctx.Emit(count{counter::kLinksSilent});
  ctx.Emit(write_log{LinkEvent(event_code::kLinkSilent, link.dialed)});
  ctx.Emit(open_link{link.dialed});
}

void link_monitor::Handle(const timer_expired&, reduce_context& ctx) {
  if (ctx.now >= next_due_) {
    if (ctx.now - next_due_ > kPauseThreshold) {
      for (auto& [id, link] : links_) link.last_received = ctx.now;
    }
    for (auto& [id, link] : links_) Check(id, link, ctx);
  }
  ScheduleNext(ctx);
}

void link_monitor::ScheduleNext(reduce_context& ctx) {
  next_due_ = steady_time::max();
  for (const auto& [id, link] : links_) {
    next_due_ = std::min(next_due_, link.last_sent + limits_.heartbeat_after);
    if (link.replacing) continue;
    auto limit = link.dialed.host.empty() ? limits_.close_after : limits_.replace_after;
    next_due_ = std::min(next_due_, link.last_received + limit);
  }
  if (next_due_ != steady_time::max()) ctx.Emit(schedule_wakeup{next_due_});
}

}  // namespace radishroute
