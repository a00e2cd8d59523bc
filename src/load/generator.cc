#include "load/generator.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace radishroute {

namespace {

constexpr std::string_view kDrainingReason = "draining";

std::chrono::microseconds Micros(steady_time::duration d) {
  return std::chrono::duration_cast<std::chrono::microseconds>(d);
}

}  // namespace

load_generator::load_generator(load_plan plan, std::size_t targets, std::size_t connections)
    : plan_(std::move(plan)),
      targets_(targets),
      connections_(connections),
      calls_(targets),
      schedule_(MakeSchedule(plan_)) {}

void load_generator::Reduce(const load_event& e, steady_time now, load_effects& effects) {
  std::visit([&](const auto& specific) { Handle(specific, now, effects); }, e);
  if (!finished_ && next_ >= schedule_.size() && flights_.empty()) {
    finished_ = true;
    effects.emplace_back(load_finished{});
  }
}

void load_generator::Handle(const load_started& e, steady_time now, load_effects& effects) {
  started_ = now;
  wall_start_ = e.wall;
  StartDue(now, effects);
  ScheduleNext(effects);
}

void load_generator::Handle(const load_timer_expired&, steady_time now, load_effects& effects) {
  ExpireTimers(now, effects);
  StartDue(now, effects);
  ScheduleNext(effects);
}

void load_generator::StartDue(steady_time now, load_effects& effects) {
  while (next_ < schedule_.size() && started_ + schedule_[next_].at <= now) {
    StartRequest(schedule_[next_++], now, effects);
  }
}

void load_generator::ScheduleNext(load_effects& effects) {
  if (next_ < schedule_.size()) {
    effects.emplace_back(load_wakeup{started_ + schedule_[next_].at});
  }
  if (!timers_.empty()) effects.emplace_back(load_wakeup{timers_.begin()->first});
}

void load_generator::StartRequest(const planned_request& plan, steady_time now,
                                  load_effects& effects) {
  const load_kind& kind = plan_.kinds[plan.kind];
  flight f;
  f.plan = plan;
  f.content = MakeContent(plan_, plan);
  f.expected = ExpectedAnswer(kind, f.content.body);
  f.target = f.content.key_bits % targets_;
  f.gives_up = now + kind.timeout;
  f.record.number = plan.number;
  f.record.kind = kind.name;
  f.record.member = plan_.members[plan.member].name;
  f.record.cls = kind.cls;
  f.record.planned = plan.at;
  if (!kind.service.empty()) {
    auto date = std::chrono::duration_cast<std::chrono::milliseconds>(
        (wall_start_ + plan.at).time_since_epoch());
    f.record.idempotency_key =
        MakeUuidV7(date, f.content.key_bits >> 52, StableHash(f.content.body, f.content.key_bits));
  }
  Submit(f, now, effects);
}

void load_generator::Submit(flight& f, steady_time now, load_effects& effects) {
  ++f.record.attempts;
  f.targets_left = targets_ - 1;
  f.resends = KindOf(f).service.empty() ? f.gives_up : now + KindOf(f).resend_after;
  Send(f, effects);
}

void load_generator::Send(flight& f, load_effects& effects) {
  f.waiting = false;
  f.answer = {};
  f.call = next_call_++;
  target_calls& calls = calls_[f.target];
  f.queued = calls.in_progress >= connections_;
  if (f.queued) {
    calls.queue.push_back(f.call);
  } else {
    Start(f, effects);
  }
  SetTimer(f);
  std::uint64_t call = f.call;
  flights_.emplace(call, std::move(f));
}

void load_generator::Start(flight& f, load_effects& effects) {
  std::vector<http_header> headers = {{"x-member", f.record.member},
                                      {"x-work-kind", f.record.kind}};
  if (!f.record.idempotency_key.empty()) {
    headers.push_back({"idempotency-key", f.record.idempotency_key});
    if (f.record.attempts == 1) headers.push_back({"x-first-submission", "true"});
  }
  f.queued = false;
  ++calls_[f.target].in_progress;
  effects.emplace_back(start_call{f.call, f.target, f.content.path, headers, f.content.body});
}

void load_generator::FreeConnection(std::size_t target, steady_time now, load_effects& effects) {
  target_calls& calls = calls_[target];
  --calls.in_progress;
  while (!calls.queue.empty() && calls.in_progress < connections_) {
    auto it = flights_.find(calls.queue.front());
    calls.queue.pop_front();
    // A call whose time is over by now is given up without being sent.
    if (it != flights_.end() && TimerOf(it->second) > now) Start(it->second, effects);
  }
}

void load_generator::Wait(flight& f, steady_time now) {
  f.waiting = true;
  f.call = next_call_++;
  // A tenth of the timeout, growing, so that a refusing deployment is not flooded with resends.
  f.resends = now + KindOf(f).resend_after * (f.record.attempts - 1) / 10;
  SetTimer(f);
  std::uint64_t call = f.call;
  flights_.emplace(call, std::move(f));
}

steady_time load_generator::TimerOf(const flight& f) const {
  return std::min(f.gives_up, f.resends);
}

void load_generator::SetTimer(const flight& f) { timers_.emplace(TimerOf(f), f.call); }

void load_generator::RemoveTimer(const flight& f) {
  auto [first, last] = timers_.equal_range(TimerOf(f));
  for (auto it = first; it != last; ++it) {
    if (it->second != f.call) continue;
    timers_.erase(it);
    return;
  }
}

void load_generator::ExpireTimers(steady_time now, load_effects& effects) {
  while (!timers_.empty() && timers_.begin()->first <= now) {
    std::uint64_t call = timers_.begin()->second;
    if (flights_.at(call).waiting) {
      auto node = flights_.extract(call);
      RemoveTimer(node.mapped());
      Submit(node.mapped(), now, effects);
      continue;
    }
    if (flights_.at(call).queued) {
      EndAttempt(call, {load_outcome::kUnreachable, "no_connection"}, now, effects);
      continue;
    }
    effects.emplace_back(cancel_call{call});
    EndAttempt(call, {load_outcome::kUnknown, "timeout"}, now, effects);
  }
}

void load_generator::Handle(const call_began& e, steady_time, load_effects&) {
  auto it = flights_.find(e.call);
  if (it == flights_.end()) return;
  it->second.answer.status = e.status;
  it->second.answer.content_type = e.content_type;
}

void load_generator::Handle(const call_bytes& e, steady_time now, load_effects&) {
  auto it = flights_.find(e.call);
  if (it == flights_.end()) return;
  flight& f = it->second;
  if (f.answer.body.empty()) {
    f.record.first_byte = Micros(now - started_) - f.plan.at;
  } else {
    f.record.token_gaps.push_back(Micros(now - f.last_bytes));
  }
  f.last_bytes = now;
  f.answer.body += e.bytes;
}

void load_generator::Handle(const call_ended& e, steady_time now, load_effects& effects) {
  auto it = flights_.find(e.call);
  if (it == flights_.end()) return;
  flight& f = it->second;
  f.answer.result = e.result;
  auto deadline = KindOf(f).deadline;
  bool in_time = deadline.count() == 0 || now <= started_ + f.plan.at + deadline;
  EndAttempt(e.call, Judge(f.answer, f.expected, in_time), now, effects);
  ScheduleNext(effects);
}

bool load_generator::MayResend(const flight& f, steady_time now) const {
  const load_kind& kind = KindOf(f);
  return !kind.service.empty() && f.record.attempts <= kind.resends && now < f.gives_up;
}

bool load_generator::MoveOn(flight& f, const judgement& verdict, steady_time now,
                            load_effects& effects) {
  bool draining = verdict.outcome == load_outcome::kNotRun && verdict.reason == kDrainingReason;
  if (!draining && verdict.outcome != load_outcome::kUnreachable) return false;
  if (f.targets_left == 0 || now >= f.gives_up) return false;
  --f.targets_left;
  ++(draining ? f.record.moved_draining : f.record.moved_unreachable);
  f.target = (f.target + 1) % targets_;
  Send(f, effects);
  return true;
}

void load_generator::EndAttempt(std::uint64_t call, const judgement& verdict, steady_time now,
                                load_effects& effects) {
  auto node = flights_.extract(call);
  flight& f = node.mapped();
  RemoveTimer(f);
  if (!f.queued) FreeConnection(f.target, now, effects);
  if (MoveOn(f, verdict, now, effects)) return;
  f.record.claimed_not_run |= verdict.outcome == load_outcome::kNotRun;
  bool lost =
      verdict.outcome == load_outcome::kUnknown || verdict.outcome == load_outcome::kUnreachable;
  if (lost && MayResend(f, now)) {
    f.target = (f.target + 1) % targets_;
    Wait(f, now);
    return;
  }
  f.record.outcome = verdict.outcome;
  f.record.reason = verdict.reason;
  f.record.latency = Micros(now - started_) - f.plan.at;
  effects.emplace_back(record_request{std::move(f.record)});
}

}  // namespace radishroute
