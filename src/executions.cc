#include "radishroute/executions.h"

#include <algorithm>

#include "executions_engine.h"
#include "radishroute/invariant.h"
#include "radishroute/policies.h"

namespace radishroute {

template <policy_set P>
execution_table<P>::execution_table(std::uint64_t incarnation, execution_limits limits,
                                    std::uint64_t source)
    : incarnation_(incarnation), limits_(limits), source_(source) {
  queue_.SetConcurrency(limits_.concurrency);
}

template <policy_set P>
load_report execution_table<P>::Load() const {
  load_report load;
  load.running = running_;
  load.limit = limits_.concurrency;
  load.queued = static_cast<std::uint32_t>(Queued());
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
  if (health_.Down()) return refusal_reason::kNoBackend;
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
  if (auto buried = tombstones_.find(dispatch.id); buried != tombstones_.end()) {
    ctx.Emit(count{counter::kDuplicateDispatches});
    // Only a dispatch that never started may be refused, since a refusal says that it did not run.
    if (buried->second.state == dispatch_state::kNeverStarted) {
      Refuse(link, dispatch.id, refusal_reason::kTombstoned, ctx);
    }
    return;
  }
  if (auto reason = CheckDispatch(dispatch)) {
    // A repeat that arrives after the reason has passed must not run either.
    if (*reason != refusal_reason::kWrongIncarnation) {
      Bury(dispatch.id, dispatch_state::kNeverStarted, ctx);
    }
    Refuse(link, dispatch.id, *reason, ctx);
    return;
  }
  AdoptShares(dispatch);
  execution run;
  run.request = dispatch;
  run.link = link;
  run.arrival = ctx.now;
  run.deadline = run.expires = ctx.now + dispatch.time_left;
  run.kept_from = dispatch.resume_offset;
  deadlines_.insert({run.expires, dispatch.id});
  Enqueue(executions_.emplace(dispatch.id, std::move(run)).first->second, ctx);
  Pump(ctx);
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
  std::vector<refused_work> rejected;
  queue_.Push(std::move(work), ctx.now, rejected);
  RejectAll(rejected, ctx);
}

template <policy_set P>
void execution_table<P>::Unqueue(const dispatch_id& id) {
  auto it = std::find(suspects_.begin(), suspects_.end(), id);
  if (it != suspects_.end()) {
    suspects_.erase(it);
  } else {
    queue_.Erase(id);
  }
}

template <policy_set P>
void execution_table<P>::AdoptShares(const dispatch_request& dispatch) {
  // An entry that lags behind must not bring back older shares.
  if (shares_version_ && dispatch.config_version < *shares_version_) return;
  shares_version_ = dispatch.config_version;
  queue_.SetFloors(dispatch.floor_percent);
}

template <policy_set P>
void execution_table<P>::Pump(reduce_context& ctx) {
  // While a crash is being decided or the engine is down, work started now would only be lost.
  if (!crash_batch_.empty() || health_.Down()) return;
  if (!running_suspect_ && !suspects_.empty() && running_ < limits_.concurrency) {
    dispatch_id id = suspects_.front();
    suspects_.pop_front();
    running_suspect_ = id;
    StartCall(id, executions_.at(id), ctx);
  }
  std::vector<refused_work> rejected;
  while (running_ < limits_.concurrency) {
    auto next = queue_.Pop(ctx.now, rejected);
    if (!next) break;
    StartCall(next->id, executions_.at(next->id), ctx);
  }
  RejectAll(rejected, ctx);
}

template <policy_set P>
void execution_table<P>::StartCall(const dispatch_id& id, execution& run, reduce_context& ctx) {
  CheckInvariant(run.at == phase::kQueued && !tombstones_.contains(id),
                 "a dispatch starts at most once", ctx);
  CheckInvariant(!run.request.suspect || running_suspect_ == id,
                 "at most one suspect runs on an engine", ctx);
  run.at = phase::kRunning;
  run.started = ctx.now;
  run.last_progress = ctx.now;
  if (++running_ == 1) health_.OnBusy(ctx);
  if (run.request.stream) progress_.insert({ctx.now + limits_.first_byte_timeout, id});
  ctx.Emit(observe_latency{
      latency_metric::kQueueWait, run.request.cls,
      std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - run.arrival)});
  // The body is not needed here any more; a dispatch runs at most once.
  ctx.Emit(start_engine_call{id, run.request.path, run.request.member, run.request.idempotency_key,
                             run.request.cls, run.request.resume_offset,
                             std::move(run.request.body)});
  run.request.body.clear();
}

template <policy_set P>
void execution_table<P>::RejectAll(const std::vector<refused_work>& rejected, reduce_context& ctx) {
  for (const refused_work& work : rejected) {
    auto it = executions_.find(work.id);
    if (it == executions_.end()) continue;
    std::optional<link_id> link = it->second.link;
    Bury(work.id, dispatch_state::kNeverStarted, ctx);
    if (link) Refuse(*link, work.id, work.reason, ctx, work.retry_after);
  }
}

template <policy_set P>
void execution_table<P>::RefuseQueued(refusal_reason reason, reduce_context& ctx) {
  std::vector<refused_work> rejected;
  while (auto next = queue_.Pop(ctx.now, rejected)) rejected.push_back({next->id, reason});
  for (const dispatch_id& id : suspects_) rejected.push_back({id, reason});
  suspects_.clear();
  RejectAll(rejected, ctx);
}

template <policy_set P>
void execution_table<P>::Refuse(link_id link, const dispatch_id& id, refusal_reason reason,
                                reduce_context& ctx, std::chrono::microseconds retry_after) {
  load_report load = Load();
  ctx.Emit(count_refusal{reason});
  ctx.Emit(send_message{link, dispatch_refused{id, reason, retry_after, load}});
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
  if (queued) Unqueue(cancel.id);
  if (it->second.at == phase::kRunning) ctx.Emit(cancel_engine_call{cancel.id});
  Bury(cancel.id, queued ? dispatch_state::kNeverStarted : dispatch_state::kUnknown, ctx);
  Pump(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(link_id link, const attach_dispatch& attach, reduce_context& ctx) {
  auto it = executions_.find(attach.id);
  if (it == executions_.end()) {
    auto buried = tombstones_.find(attach.id);
    if (buried == tombstones_.end()) {
      // The dispatch was lost on the old link. An entry attaches only to the life of the agent
      // that it sent the dispatch to, so this life has never started it.
      Bury(attach.id, dispatch_state::kNeverStarted, ctx);
      Refuse(link, attach.id, refusal_reason::kTombstoned, ctx);
    } else if (buried->second.state == dispatch_state::kNeverStarted) {
      Refuse(link, attach.id, refusal_reason::kTombstoned, ctx);
    } else {
      ctx.Emit(send_message{link, dispatch_failed{attach.id, dispatch_failure::kLinkLost, Load()}});
    }
    return;
  }
  execution& run = it->second;
  if (run.link && link < *run.link) {
    // A late message of a link that a newer one has replaced.
    ctx.Emit(count{counter::kStaleChunksDropped});
    return;
  }
  if (attach.offset < run.kept_from && run.kept_from > run.request.resume_offset) {
    // The bytes were given up under the memory limit; the entry resumes on another server.
    if (run.at == phase::kRunning) ctx.Emit(cancel_engine_call{attach.id});
    run.link = link;
    Fail(attach.id, dispatch_failure::kLinkLost, ctx);
    Pump(ctx);
    return;
  }
  run.link = link;
  SetExpiry(attach.id, run, run.deadline);
  if (run.status != 0) {
    ctx.Emit(send_message{link, answer_begin{attach.id, run.status, run.content_type}});
  }
  std::uint64_t skip = attach.offset > run.kept_from ? attach.offset - run.kept_from : 0;
  if (skip < run.produced.size()) {
    ctx.Emit(send_message{
        link, answer_chunk{attach.id, run.kept_from + skip, run.produced.substr(skip)}});
  }
  if (run.at == phase::kFinished) {
    ctx.Emit(
        send_message{link, answer_end{attach.id, run.kept_from + run.produced.size(), Load()}});
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
    if (it->second.at == phase::kFinished) state = dispatch_state::kFinished;
    if (it->second.at == phase::kQueued) {
      Unqueue(resolve.id);
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
    SetExpiry(id, run, std::min(run.deadline, ctx.now + limits_.detached_linger));
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::SetExpiry(const dispatch_id& id, execution& run, steady_time expires) {
  deadlines_.erase({run.expires, id});
  run.expires = expires;
  deadlines_.insert({run.expires, id});
}

template <policy_set P>
void execution_table<P>::Handle(const drain_requested& drain, reduce_context& ctx) {
  if (!drain_deadline_) drain_started_ = ctx.now;
  drain_deadline_ = drain.deadline;
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(const timer_expired&, reduce_context& ctx) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= ctx.now) {
    dispatch_id id = deadlines_.begin()->second;
    execution& run = executions_.at(id);
    if (run.at == phase::kQueued) {
      Unqueue(id);
      std::optional<link_id> link = run.link;
      Bury(id, dispatch_state::kNeverStarted, ctx);
      if (link) Refuse(*link, id, refusal_reason::kDeadlinePassed, ctx);
    } else {
      if (run.at == phase::kRunning) ctx.Emit(cancel_engine_call{id});
      Fail(id, dispatch_failure::kDeadlinePassed, ctx);
    }
  }
  CheckProgress(ctx);
  if (health_.OnTimer(ctx)) DecideCrash(engine_verdict::kSilent, ctx);
  ExpireTombstones(ctx.now);
  Pump(ctx);
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
  if (run.at != phase::kRunning && run.at != phase::kBroken) return;
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
void execution_table<P>::Bury(const dispatch_id& id, dispatch_state state, reduce_context& ctx) {
  auto it = executions_.find(id);
  bool repeatable = it != executions_.end() && it->second.request.repeatable;
  if (it != executions_.end()) {
    StopRunning(id, it->second, false, ctx);
    CheckInvariant(produced_total_ >= it->second.produced.size(),
                   "kept answer bytes are counted once", ctx);
    produced_total_ -= it->second.produced.size();
    deadlines_.erase({it->second.expires, id});
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
  if (!progress_.empty()) ctx.Emit(schedule_wakeup{progress_.begin()->first});
  if (drain_deadline_) {
    // A time that has passed would wake the thread again and again until the last answer ends.
    steady_time lingers = drain_started_ + limits_.drain_linger;
    ctx.Emit(schedule_wakeup{lingers > ctx.now ? std::min(*drain_deadline_, lingers)
                                               : *drain_deadline_});
  }
}

template <policy_set P>
bool execution_table<P>::Drained(steady_time now) const {
  return drain_deadline_ && executions_.empty() && now >= drain_started_ + limits_.drain_linger;
}

template <policy_set P>
void execution_table<P>::StopIfDrained(reduce_context& ctx) {
  if (Drained(ctx.now)) ctx.Emit(stop_process{true});
}

#define RADISHROUTE_INSTANTIATE(P) template class execution_table<P>;
RADISHROUTE_FOR_EACH_POLICY_SET(RADISHROUTE_INSTANTIATE)
#undef RADISHROUTE_INSTANTIATE

}  // namespace radishroute
