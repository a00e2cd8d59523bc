#include "radishroute/experts/engine_watch.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

// A short queue is enough, since the leader repeats unacknowledged commands.
constexpr std::size_t kMaxQueuedCommands = 8;

}  // namespace

void engine_watch::Handle(const process_started&, reduce_context& ctx) {
  session_.Start(ctx);
  Read(ctx);
}

void engine_watch::Handle(const link_opened& e, reduce_context& ctx) {
  if (!session_.OnOpened(e)) return;
  // A new leader has no state of this rank.
  reported_counts_.clear();
  experts_unsent_ = !experts_.empty();
  next_read_ = ctx.now;
  Read(ctx);
}

void engine_watch::Handle(const link_closed& e, reduce_context& ctx) { session_.OnClosed(e, ctx); }

void engine_watch::Handle(const controllers_changed& e, reduce_context&) {
  for (const endpoint& address : e.controllers) session_.AddController(address);
}

void engine_watch::Handle(const drain_requested&, reduce_context& ctx) {
  ctx.Emit(stop_process{true});
}

void engine_watch::Handle(const timer_expired&, reduce_context& ctx) {
  session_.OnTimer(ctx);
  if (reading_since_ && ctx.now - *reading_since_ > limits_.read_timeout) reading_since_.reset();
  if (ctx.now >= next_read_) Read(ctx);
  ctx.Emit(schedule_wakeup{next_read_});
}

void engine_watch::Read(reduce_context& ctx) {
  next_read_ = ctx.now + (ctx.now < map_change_until_ ? limits_.map_change_interval
                                                      : limits_.report_interval);
  ctx.Emit(schedule_wakeup{next_read_});
  if (reading_since_) {
    read_pending_ = true;
    return;
  }
  reading_since_ = ctx.now;
  result_at_read_ = last_result_;
  if (ctx.now >= next_usage_read_) {
    next_usage_read_ = ctx.now + limits_.usage_interval;
    ctx.Emit(read_expert_usage{experts_wanted_});
  }
  ctx.Emit(read_engine_report{});
}

void engine_watch::Handle(const expert_usage_read& e, reduce_context&) {
  if (!e.usage) return;
  counts_ = e.usage->counts;
  if (e.usage->experts.empty()) return;
  experts_ = e.usage->experts;
  experts_version_ = e.usage->experts_version;
  experts_unsent_ = true;
  experts_wanted_ = false;
}

void engine_watch::Handle(const engine_report_read& e, reduce_context& ctx) {
  reading_since_.reset();
  if (e.report) Report(*e.report, ctx);
  if (std::exchange(read_pending_, false)) Read(ctx);
}

void engine_watch::Report(const engine_report& report, reduce_context& ctx) {
  if (report.started != engine_started_ || report.epoch != epoch_) {
    engine_started_ = report.started;
    epoch_ = report.epoch;
    // The engine's predecessor answered; this one has seen no fencing token.
    last_result_ = {};
    result_at_read_ = {};
    reported_counts_.clear();
    counts_.clear();
    experts_.clear();
    experts_wanted_ = true;
  }
  if (report.map_version != experts_version_ || experts_.empty()) experts_wanted_ = true;
  if (!session_.Link() || report.group.empty()) return;
  engine_status status;
  status.sequence = ++sequence_;
  static_cast<rank_state&>(status) = report;
  status.address = engine_;
  if (!counts_.empty() && counts_ != reported_counts_) {
    bool comparable = reported_counts_.size() == counts_.size();
    for (std::size_t i = 0; comparable && i < counts_.size(); ++i) {
      status.counts.push_back(static_cast<std::int32_t>(counts_[i] - reported_counts_[i]));
    }
    reported_counts_ = counts_;
  }
  if (experts_unsent_ && experts_version_ == report.map_version) {
    status.experts = experts_;
    experts_unsent_ = false;
  }
  status.last_command = result_at_read_.number;
  status.last_result = result_at_read_.result;
  if (uncertain_until_ > ctx.now) {
    status.uncertain =
        std::chrono::duration_cast<std::chrono::microseconds>(uncertain_until_ - ctx.now);
  }
  ctx.Emit(send_message{*session_.Link(), std::move(status)});
}

void engine_watch::Handle(link_id link, const engine_status_reply& m, reduce_context& ctx) {
  if (session_.Link() != link) return;
  if (m.wants_experts) experts_unsent_ = !experts_.empty();
  if (m.leads) {
    session_.OnLeader(ctx);
  } else {
    session_.OnNotLeader(m.leader_hint, ctx);
  }
}

void engine_watch::Handle(link_id, const engine_command& m, reduce_context& ctx) {
  if (m.term < highest_term_) {
    ctx.Emit(count{counter::kOrdersRefusedStale});
    return;
  }
  highest_term_ = m.term;
  std::erase_if(queued_commands_, [&](const engine_command& c) {
    return c.term < m.term || c.operation == m.operation;
  });
  if (queued_commands_.size() < kMaxQueuedCommands) queued_commands_.push_back(m);
  map_change_until_ = ctx.now + limits_.map_change_window;
  SendNextCommand(ctx);
}

void engine_watch::SendNextCommand(reduce_context& ctx) {
  if (current_command_ || queued_commands_.empty()) return;
  current_command_ = std::move(queued_commands_.front());
  queued_commands_.pop_front();
  ctx.Emit(count{counter::kOrdersSent});
  ctx.Emit(send_engine_command{*current_command_});
}

void engine_watch::Handle(const engine_command_done& e, reduce_context& ctx) {
  if (!current_command_ || current_command_->number != e.number) return;
  last_result_ = {e.number, e.result};
  // Only a late arm order can do harm: a late prepare, hold or release order no longer has an
  // effect.
  bool uncertain = e.result == engine_order_result::kUnknown &&
                   current_command_->operation == engine_operation::kArm;
  if (uncertain) uncertain_until_ = ctx.now + limits_.max_order_delay;
  ctx.Emit(count{e.result == engine_order_result::kAccepted ? counter::kOrdersDone
                                                            : counter::kOrdersFailed});
  current_command_.reset();
  SendNextCommand(ctx);
  Read(ctx);
}

}  // namespace radishroute
