#include "radishroute/experts/engine_watch.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

// The leader repeats a command that it does not hear of, so a few are enough.
constexpr std::size_t kMaxWaiting = 8;

}  // namespace

void engine_watch::Handle(const process_started&, reduce_context& ctx) {
  session_.Start(ctx);
  Read(ctx);
}

void engine_watch::Handle(const link_opened& e, reduce_context& ctx) {
  if (!session_.OnOpened(e)) return;
  // A new leader knows nothing of this rank.
  reported_.clear();
  experts_fresh_ = !experts_.empty();
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
  next_read_ = ctx.now + (ctx.now < busy_until_ ? limits_.busy_interval : limits_.interval);
  ctx.Emit(schedule_wakeup{next_read_});
  if (reading_since_) {
    read_again_ = true;
    return;
  }
  reading_since_ = ctx.now;
  if (ctx.now >= next_choices_) {
    next_choices_ = ctx.now + limits_.choices_interval;
    ctx.Emit(read_expert_usage{experts_wanted_});
  }
  ctx.Emit(read_engine_report{});
}

void engine_watch::Handle(const expert_usage_read& e, reduce_context&) {
  if (!e.choices) return;
  counted_ = e.choices->counts;
  if (e.choices->experts.empty()) return;
  experts_ = e.choices->experts;
  experts_version_ = e.choices->experts_version;
  experts_fresh_ = true;
  experts_wanted_ = false;
}

void engine_watch::Handle(const engine_report_read& e, reduce_context& ctx) {
  reading_since_.reset();
  if (e.report) Report(*e.report, ctx);
  if (std::exchange(read_again_, false)) Read(ctx);
}

void engine_watch::Report(const engine_report& report, reduce_context& ctx) {
  if (report.started != started_ || report.epoch != epoch_) {
    started_ = report.started;
    epoch_ = report.epoch;
    reported_.clear();
    counted_.clear();
    experts_.clear();
    experts_wanted_ = true;
  }
  if (report.map_version != experts_version_ || experts_.empty()) experts_wanted_ = true;
  if (!session_.Link() || report.group.empty()) return;
  engine_status status;
  status.sequence = ++sequence_;
  static_cast<rank_state&>(status) = report;
  status.address = engine_;
  if (!counted_.empty() && counted_ != reported_) {
    bool comparable = reported_.size() == counted_.size();
    for (std::size_t i = 0; comparable && i < counted_.size(); ++i) {
      status.counts.push_back(static_cast<std::int32_t>(counted_[i] - reported_[i]));
    }
    reported_ = counted_;
  }
  if (experts_fresh_ && experts_version_ == report.map_version) {
    status.experts = experts_;
    experts_fresh_ = false;
  }
  status.last_command = last_command_;
  status.last_result = last_result_;
  if (uncertain_until_ > ctx.now) {
    status.uncertain =
        std::chrono::duration_cast<std::chrono::microseconds>(uncertain_until_ - ctx.now);
  }
  ctx.Emit(send_message{*session_.Link(), std::move(status)});
}

void engine_watch::Handle(link_id link, const engine_status_reply& m, reduce_context& ctx) {
  if (session_.Link() != link) return;
  if (m.wants_experts) experts_fresh_ = !experts_.empty();
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
  std::erase_if(waiting_, [&](const engine_command& c) {
    return c.term < m.term || c.operation == m.operation;
  });
  if (waiting_.size() < kMaxWaiting) waiting_.push_back(m);
  busy_until_ = ctx.now + limits_.busy_for;
  GiveNext(ctx);
}

void engine_watch::GiveNext(reduce_context& ctx) {
  if (current_ || waiting_.empty()) return;
  current_ = std::move(waiting_.front());
  waiting_.pop_front();
  ctx.Emit(count{counter::kOrdersSent});
  ctx.Emit(send_engine_command{*current_});
}

void engine_watch::Handle(const engine_command_done& e, reduce_context& ctx) {
  if (!current_ || current_->number != e.number) return;
  last_command_ = e.number;
  last_result_ = e.result;
  // Only a late switch could do harm: a late preparation, hold or release finds its time over.
  bool uncertain =
      e.result == engine_order_result::kUnknown && current_->operation == engine_operation::kArm;
  if (uncertain) uncertain_until_ = ctx.now + limits_.late_order;
  ctx.Emit(count{e.result == engine_order_result::kAccepted ? counter::kOrdersDone
                                                            : counter::kOrdersFailed});
  current_.reset();
  GiveNext(ctx);
  Read(ctx);
}

}  // namespace radishroute
