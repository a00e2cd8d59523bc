#include "radishroute/engine_health.h"

#include <algorithm>

namespace radishroute {

void engine_health::Start(reduce_context& ctx) {
  last_activity_ = ctx.now;
  SendProbe(ctx);
}

void engine_health::SendProbe(reduce_context& ctx) {
  probe_sent_ = ctx.now;
  ctx.Emit(probe_engine{++probe_number_});
  ScheduleNext(ctx);
}

void engine_health::OnBusy(reduce_context& ctx) {
  busy_since_ = ctx.now;
  ScheduleNext(ctx);
}

// A non-streaming answer shows no progress before its end. With the idle interval alone, a hung
// server was detected after up to 6 s, too late for requests with a deadline of 5 s.
steady_time engine_health::NextProbeTime() const {
  if (status_ != status::kUp) return next_probe_;
  if (!busy_since_) return std::max(next_probe_, last_activity_ + limits_.idle_interval);
  return std::max(last_activity_, *busy_since_) + limits_.busy_interval;
}

void engine_health::RequestProbe(bool restart, reduce_context& ctx) {
  if (restart || !probe_sent_) SendProbe(ctx);
}

std::optional<bool> engine_health::OnProbeResult(const engine_probe_done& done,
                                                 reduce_context& ctx) {
  if (!probe_sent_ || done.number != probe_number_) return std::nullopt;
  probe_sent_.reset();
  SetStatus(done.answered, ctx);
  ScheduleNext(ctx);
  return done.answered;
}

bool engine_health::OnTimer(reduce_context& ctx) {
  bool timed_out = false;
  if (probe_sent_ && ctx.now - *probe_sent_ >= limits_.probe_timeout) {
    probe_sent_.reset();
    SetStatus(false, ctx);
    timed_out = true;
  } else if (!probe_sent_ && ctx.now >= NextProbeTime()) {
    SendProbe(ctx);
  }
  ScheduleNext(ctx);
  return timed_out;
}

void engine_health::SetStatus(bool up, reduce_context& ctx) {
  status next = up ? status::kUp : status::kDown;
  if (up) {
    failures_ = 0;
    last_activity_ = ctx.now;
    next_probe_ = ctx.now + limits_.idle_interval;
  } else {
    // Exponential backoff with jitter, so that many agents do not probe at the same time.
    auto delay = std::min(limits_.min_retry_delay * (1U << std::min(failures_, 8U)),
                          limits_.max_retry_delay);
    ++failures_;
    std::uniform_int_distribution<std::int64_t> jitter(delay.count() / 2, delay.count());
    next_probe_ = ctx.now + std::chrono::milliseconds(jitter(ctx.random));
  }
  if (next == status_) return;
  status_ = next;
  ctx.Emit(write_log{{up ? event_code::kEngineUp : event_code::kEngineDown,
                      up ? log_level::kInfo : log_level::kWarning,
                      {}}});
  ctx.Emit(share_engine_status{up});
}

void engine_health::ScheduleNext(reduce_context& ctx) const {
  ctx.Emit(schedule_wakeup{probe_sent_ ? *probe_sent_ + limits_.probe_timeout : NextProbeTime()});
}

}  // namespace radishroute
