#include "radishroute/executions.h"

#include <algorithm>

#include "executions_engine.h"
#include "radishroute/invariant.h"
#include "radishroute/policies.h"

namespace radishroute {

template <policy_set P>
execution_table<P>::execution_table(std::uint64_t incarnation, execution_limits limits,
                                    std::uint64_t crash_source)
    : incarnation_(incarnation), limits_(limits), crash_source_(crash_source) {
  queue_.SetConcurrency(limits_.concurrency);
}

template <policy_set P>
load_report execution_table<P>::CurrentLoad() const {
  load_report load;
  load.running = running_;
  load.limit = limits_.concurrency;
  load.queued = static_cast<std::uint32_t>(QueuedCount());
  for (priority_class cls : kPriorityClasses) {
    load.expected_wait[ClassIndex(cls)] = queue_.ExpectedWait(cls);
  }
  return load;
}

template <policy_set P>
std::optional<refusal_reason> execution_table<P>::CheckDispatch(
    const dispatch_request& dispatch) const {
  if (dispatch.agent_incarnation != incarnation_) return refusal_reason::kWrongIncarnation;
  if (drain_deadline_) return refusal_reason::kDraining;
  if (dispatch.time_left.count() <= 0) return refusal_reason::kDeadlinePassed;
  if (health_.IsDown()) return refusal_reason::kNoBackend;
  if (dispatch.suspect && suspects_.size() >= limits_.max_waiting_suspects) {
    return refusal_reason::kSuspectAlreadyRunning;
  }
  return std::nullopt;
}

template <policy_set P>
void execution_table<P>::Handle(link_id link, const dispatch_request& dispatch,
                                reduce_context& ctx) {
  if (executions_.contains(dispatch.id)) {
    ctx.Emit(count{counter::kDuplicateDispatches});
    return;
  }
  if (auto previous = tombstones_.find(dispatch.id); previous != tombstones_.end()) {
    ctx.Emit(count{counter::kDuplicateDispatches});
    // A refusal states that the dispatch did not run, so it is sent only if that is the case.
    if (previous->second.state == dispatch_state::kNeverStarted) {
      Refuse(link, dispatch.id, refusal_reason::kTombstoned, ctx);
    }
    return;
  }
  if (auto reason = CheckDispatch(dispatch)) {
    // Prevents a duplicate from running if it arrives when the reason no longer applies.
    if (*reason != refusal_reason::kWrongIncarnation) {
      RecordTombstone(dispatch.id, dispatch_state::kNeverStarted, ctx);
    }
    Refuse(link, dispatch.id, *reason, ctx);
    return;
  }
  UpdateShares(dispatch);
  execution run;
  run.request = dispatch;
  run.link = link;
  run.arrival = ctx.now;
  run.deadline = run.expires = ctx.now + dispatch.time_left;
  run.retained_offset = dispatch.resume_offset;
  expiries_.insert({run.expires, dispatch.id});
  Enqueue(executions_.emplace(dispatch.id, std::move(run)).first->second, ctx);
  StartQueued(ctx);
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Enqueue(execution& run, reduce_context& ctx) {
  const dispatch_request& dispatch = run.request;
  if (dispatch.suspect) {
    suspects_.push_back(dispatch.id);
    return;
  }
  queued_work work;
  work.id = dispatch.id;
  work.member = dispatch.member;
  work.weight = dispatch.member_weight;
  work.cls = dispatch.cls;
  work.arrival = ctx.now;
  work.deadline = run.deadline;
  work.cost = std::max(dispatch.max_tokens, 1U);
  work.content = dispatch.content;
  std::vector<refused_work> refused;
  queue_.Push(std::move(work), ctx.now, refused);
  RefuseAll(refused, ctx);
}

template <policy_set P>
void execution_table<P>::RemoveFromQueue(const dispatch_id& id) {
  auto it = std::find(suspects_.begin(), suspects_.end(), id);
  if (it != suspects_.end()) {
    suspects_.erase(it);
  } else {
    queue_.Erase(id);
  }
}

template <policy_set P>
void execution_table<P>::UpdateShares(const dispatch_request& dispatch) {
  // An entry with an older configuration must not restore older shares.
  if (shares_version_ && dispatch.config_version < *shares_version_) return;
  shares_version_ = dispatch.config_version;
  queue_.SetFloors(dispatch.floor_percent);
}

template <policy_set P>
void execution_table<P>::StartQueued(reduce_context& ctx) {
  // Work started while the engine is down, or may have crashed, would be lost.
  if (!crash_candidates_.empty() || health_.IsDown()) return;
  if (!running_suspect_ && !suspects_.empty() && running_ < limits_.concurrency) {
    dispatch_id id = suspects_.front();
    suspects_.pop_front();
    running_suspect_ = id;
    StartCall(id, executions_.at(id), ctx);
  }
  std::vector<refused_work> refused;
  while (running_ < limits_.concurrency) {
    auto next = queue_.Pop(ctx.now, refused);
    if (!next) break;
    StartCall(next->id, executions_.at(next->id), ctx);
  }
  RefuseAll(refused, ctx);
}

template <policy_set P>
void execution_table<P>::StartCall(const dispatch_id& id, execution& run, reduce_context& ctx) {
  CheckInvariant(run.phase == execution_phase::kQueued && !tombstones_.contains(id),
                 "a dispatch starts at most once", ctx);
  CheckInvariant(!run.request.suspect || running_suspect_ == id,
                 "at most one suspect runs on an engine", ctx);
  run.phase = execution_phase::kRunning;
  run.started = ctx.now;
  run.last_progress = ctx.now;
  if (++running_ == 1) health_.OnBusy(ctx);
  if (run.request.stream) progress_checks_.insert({ctx.now + limits_.first_byte_timeout, id});
  ctx.Emit(observe_latency{
      latency_metric::kQueueWait, run.request.cls,
      std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - run.arrival)});
  // A dispatch runs at most once, so its body is moved out.
  ctx.Emit(start_engine_call{id, run.request.path, run.request.member, run.request.idempotency_key,
                             run.request.cls, run.request.resume_offset,
                             std::move(run.request.body)});
  run.request.body.clear();
}

template <policy_set P>
void execution_table<P>::RefuseAll(const std::vector<refused_work>& refused, reduce_context& ctx) {
  for (const refused_work& work : refused) {
    auto it = executions_.find(work.id);
    if (it == executions_.end()) continue;
    std::optional<link_id> link = it->second.link;
    RecordTombstone(work.id, dispatch_state::kNeverStarted, ctx);
    if (link) Refuse(*link, work.id, work.reason, ctx, work.retry_after);
  }
}

template <policy_set P>
void execution_table<P>::RefuseQueued(refusal_reason reason, reduce_context& ctx) {
  std::vector<refused_work> refused;
  while (auto next = queue_.Pop(ctx.now, refused)) refused.push_back({next->id, reason});
  for (const dispatch_id& id : suspects_) refused.push_back({id, reason});
  suspects_.clear();
  RefuseAll(refused, ctx);
}

template <policy_set P>
void execution_table<P>::Refuse(link_id link, const dispatch_id& id, refusal_reason reason,
                                reduce_context& ctx, std::chrono::microseconds retry_after) {
  load_report load = CurrentLoad();
  ctx.Emit(count_refusal{reason});
  ctx.Emit(send_message{link, dispatch_refused{id, reason, retry_after, load}});
}

template <policy_set P>
void execution_table<P>::Fail(const dispatch_id& id, dispatch_failure reason, reduce_context& ctx) {
  auto it = executions_.find(id);
  if (it == executions_.end()) return;
  std::optional<link_id> link = it->second.link;
  RecordTombstone(id, dispatch_state::kUnknown, ctx);
  if (link) ctx.Emit(send_message{*link, dispatch_failed{id, reason, CurrentLoad()}});
}

template <policy_set P>
void execution_table<P>::Handle(link_id, const cancel_dispatch& cancel, reduce_context& ctx) {
  auto it = executions_.find(cancel.id);
  if (it == executions_.end()) {
    // A cancel may overtake its dispatch on another link; the tombstone prevents the run.
    RecordTombstone(cancel.id, dispatch_state::kNeverStarted, ctx);
    return;
  }
  bool queued = it->second.phase == execution_phase::kQueued;
  if (queued) RemoveFromQueue(cancel.id);
  if (it->second.phase == execution_phase::kRunning) ctx.Emit(cancel_engine_call{cancel.id});
  RecordTombstone(cancel.id, queued ? dispatch_state::kNeverStarted : dispatch_state::kUnknown,
                  ctx);
  StartQueued(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(link_id link, const attach_dispatch& attach, reduce_context& ctx) {
  auto it = executions_.find(attach.id);
  if (it == executions_.end()) {
    auto previous = tombstones_.find(attach.id);
    if (previous == tombstones_.end()) {
      // The dispatch was lost on the old link. An entry attaches only to the agent incarnation to
      // which it sent the dispatch, so the dispatch was never started.
      RecordTombstone(attach.id, dispatch_state::kNeverStarted, ctx);
      Refuse(link, attach.id, refusal_reason::kTombstoned, ctx);
    } else if (previous->second.state == dispatch_state::kNeverStarted) {
      Refuse(link, attach.id, refusal_reason::kTombstoned, ctx);
    } else {
      ctx.Emit(send_message{
          link, dispatch_failed{attach.id, dispatch_failure::kLinkLost, CurrentLoad()}});
    }
    return;
  }
  execution& run = it->second;
  if (run.link && link < *run.link) {
    // Delayed message from a link that a newer one has replaced.
    ctx.Emit(count{counter::kStaleChunksDropped});
    return;
  }
  if (attach.offset < run.retained_offset && run.retained_offset > run.request.resume_offset) {
    // The bytes were dropped to stay within the memory limit; the entry resumes on another server.
    if (run.phase == execution_phase::kRunning) ctx.Emit(cancel_engine_call{attach.id});
    run.link = link;
    Fail(attach.id, dispatch_failure::kLinkLost, ctx);
    StartQueued(ctx);
    return;
  }
  run.link = link;
  SetExpiry(attach.id, run, run.deadline);
  if (run.status != 0) {
    ctx.Emit(send_message{link, answer_begin{attach.id, run.status, run.content_type}});
  }
  std::uint64_t skip =
      attach.offset > run.retained_offset ? attach.offset - run.retained_offset : 0;
  if (skip < run.retained.size()) {
    ctx.Emit(send_message{
        link, answer_chunk{attach.id, run.retained_offset + skip, run.retained.substr(skip)}});
  }
  if (run.phase == execution_phase::kFinished) {
    ctx.Emit(send_message{
        link, answer_end{attach.id, run.retained_offset + run.retained.size(), CurrentLoad()}});
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(link_id link, const resolve_dispatch& resolve,
                                reduce_context& ctx) {
  dispatch_state state = dispatch_state::kUnknown;
  auto it = executions_.find(resolve.id);
  if (it != executions_.end()) {
    state = dispatch_state::kRunning;
    if (it->second.phase == execution_phase::kFinished) state = dispatch_state::kFinished;
    if (it->second.phase == execution_phase::kQueued) {
      RemoveFromQueue(resolve.id);
      RecordTombstone(resolve.id, dispatch_state::kNeverStarted, ctx);
      state = dispatch_state::kNeverStarted;
    }
  } else if (auto previous = tombstones_.find(resolve.id); previous != tombstones_.end()) {
    state = previous->second.state;
  } else if (resolve.agent_incarnation == incarnation_) {
    // This incarnation has not received the dispatch; the tombstone prevents a late run.
    RecordTombstone(resolve.id, dispatch_state::kNeverStarted, ctx);
    state = dispatch_state::kNeverStarted;
  }
  ctx.Emit(send_message{link, resolve_reply{resolve.id, state}});
}

template <policy_set P>
void execution_table<P>::Handle(link_id, const answer_ack& ack, reduce_context& ctx) {
  auto it = executions_.find(ack.id);
  if (it == executions_.end() || it->second.phase != execution_phase::kFinished) return;
  RecordTombstone(ack.id, dispatch_state::kFinished, ctx);
}

template <policy_set P>
void execution_table<P>::Handle(const link_closed& closed, reduce_context& ctx) {
  for (auto& [id, run] : executions_) {
    if (run.link != closed.link) continue;
    run.link.reset();
    SetExpiry(id, run, std::min(run.deadline, ctx.now + limits_.reattach_timeout));
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::SetExpiry(const dispatch_id& id, execution& run, steady_time expires) {
  expiries_.erase({run.expires, id});
  run.expires = expires;
  expiries_.insert({run.expires, id});
}

template <policy_set P>
void execution_table<P>::Handle(const drain_requested& drain, reduce_context& ctx) {
  if (!drain_deadline_) drain_started_ = ctx.now;
  drain_deadline_ = drain.deadline;
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(const timer_expired&, reduce_context& ctx) {
  while (!expiries_.empty() && expiries_.begin()->first <= ctx.now) {
    dispatch_id id = expiries_.begin()->second;
    execution& run = executions_.at(id);
    if (run.phase == execution_phase::kQueued) {
      RemoveFromQueue(id);
      std::optional<link_id> link = run.link;
      RecordTombstone(id, dispatch_state::kNeverStarted, ctx);
      if (link) Refuse(*link, id, refusal_reason::kDeadlinePassed, ctx);
    } else {
      if (run.phase == execution_phase::kRunning) ctx.Emit(cancel_engine_call{id});
      Fail(id, dispatch_failure::kDeadlinePassed, ctx);
    }
  }
  CheckProgress(ctx);
  if (health_.OnTimer(ctx)) HandleProbeResult(probe_result::kTimedOut, ctx);
  ExpireTombstones(ctx.now);
  StartQueued(ctx);
  if (drain_deadline_ && *drain_deadline_ <= ctx.now) {
    ctx.Emit(stop_process{executions_.empty()});
    return;
  }
  StopIfDrained(ctx);
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::StopRunning(const dispatch_id& id, execution& run, bool completed,
                                     reduce_context& ctx) {
  if (run.phase != execution_phase::kRunning && run.phase != execution_phase::kDisconnected) return;
  CheckInvariant(running_ > 0, "the number of running dispatches is not negative", ctx);
  if (--running_ == 0) health_.OnIdle();
  if (running_suspect_ == id) running_suspect_.reset();
  finished_work finished;
  finished.id = id;
  finished.completed = completed;
  finished.cls = run.request.cls;
  finished.cost = std::max(run.request.max_tokens, 1U);
  finished.service_time =
      std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - run.started);
  queue_.OnFinished(finished, ctx.now);
}

template <policy_set P>
void execution_table<P>::RecordTombstone(const dispatch_id& id, dispatch_state state,
                                         reduce_context& ctx) {
  auto it = executions_.find(id);
  bool repeatable = it != executions_.end() && it->second.request.repeatable;
  if (it != executions_.end()) {
    StopRunning(id, it->second, false, ctx);
    CheckInvariant(retained_total_ >= it->second.retained.size(),
                   "retained answer bytes are counted once", ctx);
    retained_total_ -= it->second.retained.size();
    expiries_.erase({it->second.expires, id});
    executions_.erase(it);
  }
  ExpireTombstones(ctx.now);
  steady_time expires = ctx.now + limits_.tombstone_retention;
  if (!repeatable) expires = ctx.now + limits_.non_idempotent_tombstone_retention;
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
  if (!expiries_.empty()) ctx.Emit(schedule_wakeup{expiries_.begin()->first});
  if (!progress_checks_.empty()) ctx.Emit(schedule_wakeup{progress_checks_.begin()->first});
  if (drain_deadline_) {
    // A wakeup in the past would wake the thread repeatedly until the last answer ends.
    steady_time linger_end = drain_started_ + limits_.drain_linger;
    ctx.Emit(schedule_wakeup{linger_end > ctx.now ? std::min(*drain_deadline_, linger_end)
                                                  : *drain_deadline_});
  }
}

template <policy_set P>
bool execution_table<P>::IsDrained(steady_time now) const {
  return drain_deadline_ && executions_.empty() && now >= drain_started_ + limits_.drain_linger;
}

template <policy_set P>
void execution_table<P>::StopIfDrained(reduce_context& ctx) {
  if (IsDrained(ctx.now)) ctx.Emit(stop_process{true});
}

#define RADISHROUTE_INSTANTIATE(P) template class execution_table<P>;
RADISHROUTE_FOR_EACH_POLICY_SET(RADISHROUTE_INSTANTIATE)
#undef RADISHROUTE_INSTANTIATE

}  // namespace radishroute
