#include "radishroute/executions.h"

#include <algorithm>

#include "radishroute/policies.h"

namespace radishroute {

template <policy_set P>
execution_table<P>::execution_table(std::uint64_t incarnation, execution_limits limits)
    : incarnation_(incarnation), limits_(limits) {
  queue_.SetConcurrency(limits_.concurrency);
}

template <policy_set P>
load_report execution_table<P>::Load() const {
  load_report load;
  load.running = running_;
  load.limit = limits_.concurrency;
  load.queued = static_cast<std::uint32_t>(queue_.Size());
  for (priority_class cls : kPriorityClasses) {
    load.expected_wait[ClassIndex(cls)] = queue_.ExpectedWait(cls);
  }
  return load;
}

template <policy_set P>
void execution_table<P>::Handle(link_id link, const dispatch_request& dispatch,
                                reduce_context& ctx) {
  if (executions_.contains(dispatch.id)) {
    ctx.Emit(count{counter::kDuplicateDispatches});
    return;
  }
  if (tombstones_.contains(dispatch.id)) {
    ctx.Emit(count{counter::kDuplicateDispatches});
    Refuse(link, dispatch.id, refusal_reason::kTombstoned, ctx);
    return;
  }
  if (dispatch.agent_incarnation != incarnation_) {
    Refuse(link, dispatch.id, refusal_reason::kWrongIncarnation, ctx);
    return;
  }
  if (drain_deadline_) {
    Refuse(link, dispatch.id, refusal_reason::kDraining, ctx);
    return;
  }
  if (dispatch.time_left.count() <= 0) {
    Refuse(link, dispatch.id, refusal_reason::kDeadlinePassed, ctx);
    return;
  }
  execution run;
  run.request = dispatch;
  run.link = link;
  run.deadline = ctx.now + dispatch.time_left;
  queued_work work;
  work.id = dispatch.id;
  work.member = dispatch.member;
  work.weight = dispatch.member_weight;
  work.cls = dispatch.cls;
  work.arrival = ctx.now;
  work.deadline = run.deadline;
  work.cost = std::max(dispatch.max_tokens, 1U);
  work.content = dispatch.content;
  work.suspect = dispatch.suspect;
  deadlines_.insert({run.deadline, dispatch.id});
  executions_.emplace(dispatch.id, std::move(run));
  std::vector<rejected_work> rejected;
  queue_.Push(std::move(work), ctx.now, rejected);
  RejectAll(rejected, ctx);
  Pump(ctx);
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Pump(reduce_context& ctx) {
  std::vector<rejected_work> rejected;
  while (running_ < limits_.concurrency) {
    auto next = queue_.Pop(ctx.now, rejected);
    if (!next) break;
    execution& run = executions_.at(next->id);
    run.at = phase::kRunning;
    run.started = ctx.now;
    ++running_;
    ctx.Emit(observe_latency{
        latency_metric::kQueueWait, next->cls,
        std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - next->arrival)});
    ctx.Emit(start_engine_call{next->id, run.request.path, run.request.member,
                               run.request.idempotency_key, run.request.cls,
                               run.request.resume_offset, run.request.body});
  }
  RejectAll(rejected, ctx);
}

template <policy_set P>
void execution_table<P>::RejectAll(const std::vector<rejected_work>& rejected,
                                   reduce_context& ctx) {
  for (const rejected_work& work : rejected) {
    auto it = executions_.find(work.id);
    if (it == executions_.end()) continue;
    if (it->second.link) Refuse(*it->second.link, work.id, work.reason, ctx);
    Bury(work.id, dispatch_state::kNeverStarted, ctx);
  }
}

template <policy_set P>
void execution_table<P>::Refuse(link_id link, const dispatch_id& id, refusal_reason reason,
                                reduce_context& ctx) {
  load_report load = Load();
  ctx.Emit(count_refusal{reason});
  ctx.Emit(send_message{link, dispatch_refused{id, reason, std::chrono::microseconds(0), load}});
}

template <policy_set P>
void execution_table<P>::Handle(const engine_answer_begin& begin, reduce_context& ctx) {
  auto it = executions_.find(begin.id);
  if (it == executions_.end()) return;
  it->second.status = begin.status;
  it->second.content_type = begin.content_type;
  if (it->second.link) {
    ctx.Emit(
        send_message{*it->second.link, answer_begin{begin.id, begin.status, begin.content_type}});
  }
}

template <policy_set P>
void execution_table<P>::Handle(const engine_answer_bytes& bytes, reduce_context& ctx) {
  auto it = executions_.find(bytes.id);
  if (it == executions_.end()) return;
  execution& run = it->second;
  if (run.produced.size() + bytes.bytes.size() > limits_.max_answer_bytes) {
    ctx.Emit(cancel_engine_call{bytes.id});
    Fail(bytes.id, dispatch_failure::kAnswerTooLarge, ctx);
    return;
  }
  std::uint64_t offset = run.request.resume_offset + run.produced.size();
  run.produced += bytes.bytes;
  if (run.link) ctx.Emit(send_message{*run.link, answer_chunk{bytes.id, offset, bytes.bytes}});
}

template <policy_set P>
void execution_table<P>::Handle(const engine_answer_end& end, reduce_context& ctx) {
  auto it = executions_.find(end.id);
  if (it == executions_.end() || it->second.at != phase::kRunning) return;
  Finish(end.id, ctx);
}

template <policy_set P>
void execution_table<P>::Finish(const dispatch_id& id, reduce_context& ctx) {
  execution& run = executions_.at(id);
  run.at = phase::kFinished;
  --running_;
  finished_work finished;
  finished.cls = run.request.cls;
  finished.cost = std::max(run.request.max_tokens, 1U);
  finished.service_time =
      std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - run.started);
  queue_.OnFinished(finished, ctx.now);
  Pump(ctx);
  if (run.link) {
    ctx.Emit(send_message{*run.link,
                          answer_end{id, run.request.resume_offset + run.produced.size(), Load()}});
  }
}

template <policy_set P>
void execution_table<P>::Handle(const engine_call_failed& failed, reduce_context& ctx) {
  auto it = executions_.find(failed.id);
  if (it == executions_.end() || it->second.at != phase::kRunning) return;
  if (!failed.started && it->second.link) {
    link_id link = *it->second.link;
    Bury(failed.id, dispatch_state::kNeverStarted, ctx);
    Refuse(link, failed.id, refusal_reason::kNoBackend, ctx);
  } else {
    Fail(failed.id, failed.reason, ctx);
  }
  Pump(ctx);
}

template <policy_set P>
void execution_table<P>::Fail(const dispatch_id& id, dispatch_failure reason, reduce_context& ctx) {
  auto it = executions_.find(id);
  if (it == executions_.end()) return;
  std::optional<link_id> link = it->second.link;
  Bury(id, dispatch_state::kUnknown, ctx);
  if (link) ctx.Emit(send_message{*link, dispatch_failed{id, reason, Load()}});
}

template <policy_set P>
void execution_table<P>::Handle(link_id, const cancel_dispatch& cancel, reduce_context& ctx) {
  auto it = executions_.find(cancel.id);
  if (it == executions_.end()) {
    // A cancel that overtakes its dispatch on another link still prevents the run.
    Bury(cancel.id, dispatch_state::kNeverStarted, ctx);
    return;
  }
  bool queued = it->second.at == phase::kQueued;
  if (queued) queue_.Erase(cancel.id);
  if (it->second.at == phase::kRunning) ctx.Emit(cancel_engine_call{cancel.id});
  Bury(cancel.id, queued ? dispatch_state::kNeverStarted : dispatch_state::kUnknown, ctx);
  Pump(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(link_id link, const attach_dispatch& attach, reduce_context& ctx) {
  auto it = executions_.find(attach.id);
  if (it == executions_.end()) {
    auto buried = tombstones_.find(attach.id);
    if (buried != tombstones_.end() && buried->second.state == dispatch_state::kNeverStarted) {
      Refuse(link, attach.id, refusal_reason::kTombstoned, ctx);
    } else {
      ctx.Emit(send_message{link, dispatch_failed{attach.id, dispatch_failure::kLinkLost, Load()}});
    }
    return;
  }
  execution& run = it->second;
  run.link = link;
  if (run.status != 0) {
    ctx.Emit(send_message{link, answer_begin{attach.id, run.status, run.content_type}});
  }
  std::uint64_t first = run.request.resume_offset;
  std::uint64_t skip = attach.offset > first ? attach.offset - first : 0;
  if (skip < run.produced.size()) {
    ctx.Emit(send_message{link, answer_chunk{attach.id, first + skip, run.produced.substr(skip)}});
  }
  if (run.at == phase::kFinished) {
    ctx.Emit(send_message{link, answer_end{attach.id, first + run.produced.size(), Load()}});
  }
}

template <policy_set P>
void execution_table<P>::Handle(link_id link, const resolve_dispatch& resolve,
                                reduce_context& ctx) {
  dispatch_state state = dispatch_state::kUnknown;
  auto it = executions_.find(resolve.id);
  if (it != executions_.end()) {
    state = dispatch_state::kRunning;
    if (it->second.at == phase::kFinished) state = dispatch_state::kFinished;
    if (it->second.at == phase::kQueued) {
      queue_.Erase(resolve.id);
      Bury(resolve.id, dispatch_state::kNeverStarted, ctx);
      state = dispatch_state::kNeverStarted;
    }
  } else if (auto buried = tombstones_.find(resolve.id); buried != tombstones_.end()) {
    state = buried->second.state;
  } else if (resolve.agent_incarnation == incarnation_) {
    // This life has never seen the dispatch; the tombstone keeps a late delivery from running.
    Bury(resolve.id, dispatch_state::kNeverStarted, ctx);
    state = dispatch_state::kNeverStarted;
  }
  ctx.Emit(send_message{link, resolve_reply{resolve.id, state}});
}

template <policy_set P>
void execution_table<P>::Handle(link_id, const answer_ack& ack, reduce_context& ctx) {
  auto it = executions_.find(ack.id);
  if (it == executions_.end() || it->second.at != phase::kFinished) return;
  Bury(ack.id, dispatch_state::kFinished, ctx);
}

template <policy_set P>
void execution_table<P>::Handle(const link_closed& closed, reduce_context& ctx) {
  for (auto& [id, run] : executions_) {
    if (run.link != closed.link) continue;
    run.link.reset();
    run.detached = ctx.now;
    deadlines_.erase({run.deadline, id});
    run.deadline = std::min(run.deadline, ctx.now + limits_.detached_linger);
    deadlines_.insert({run.deadline, id});
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(const drain_requested& drain, reduce_context& ctx) {
  drain_deadline_ = drain.deadline;
  StopIfDrained(ctx);
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(const timer_expired&, reduce_context& ctx) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= ctx.now) {
    dispatch_id id = deadlines_.begin()->second;
    execution& run = executions_.at(id);
    if (run.at == phase::kQueued) {
      queue_.Erase(id);
      if (run.link) Refuse(*run.link, id, refusal_reason::kDeadlinePassed, ctx);
      Bury(id, dispatch_state::kNeverStarted, ctx);
    } else {
      if (run.at == phase::kRunning) ctx.Emit(cancel_engine_call{id});
      Fail(id, dispatch_failure::kDeadlinePassed, ctx);
    }
  }
  ExpireTombstones(ctx.now);
  Pump(ctx);
  if (drain_deadline_ && *drain_deadline_ <= ctx.now) {
    ctx.Emit(stop_process{executions_.empty()});
    return;
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Bury(const dispatch_id& id, dispatch_state state, reduce_context& ctx) {
  auto it = executions_.find(id);
  bool repeatable = it != executions_.end() && it->second.request.repeatable;
  if (it != executions_.end()) {
    if (it->second.at == phase::kRunning) --running_;
    deadlines_.erase({it->second.deadline, id});
    executions_.erase(it);
  }
  ExpireTombstones(ctx.now);
  steady_time expires = ctx.now + limits_.tombstone_retention;
  if (!repeatable) expires = ctx.now + limits_.claimed_tombstone_retention;
  if (tombstones_.emplace(id, tombstone{state, expires}).second) {
    tombstone_expiry_.insert({expires, id});
  }
  StopIfDrained(ctx);
}

template <policy_set P>
void execution_table<P>::ExpireTombstones(steady_time now) {
  while (!tombstone_expiry_.empty() && tombstone_expiry_.begin()->first <= now) {
    tombstones_.erase(tombstone_expiry_.begin()->second);
    tombstone_expiry_.erase(tombstone_expiry_.begin());
  }
}

template <policy_set P>
void execution_table<P>::ScheduleNext(reduce_context& ctx) {
  if (!deadlines_.empty()) ctx.Emit(schedule_wakeup{deadlines_.begin()->first});
  if (drain_deadline_) ctx.Emit(schedule_wakeup{*drain_deadline_});
}

template <policy_set P>
void execution_table<P>::StopIfDrained(reduce_context& ctx) {
  if (drain_deadline_ && executions_.empty()) ctx.Emit(stop_process{true});
}

template class execution_table<baseline_policies>;

}  // namespace radishroute
