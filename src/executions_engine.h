#ifndef RADISHROUTE_EXECUTIONS_ENGINE_H_
#define RADISHROUTE_EXECUTIONS_ENGINE_H_

// Part of executions.cc: events from the engine, and handling of its stalls and crashes.

#include <algorithm>
#include <unordered_set>

#include "radishroute/executions.h"

namespace radishroute {

template <policy_set P>
void execution_table<P>::Handle(const process_started&, reduce_context& ctx) {
  health_.Start(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(const engine_answer_begin& begin, reduce_context& ctx) {
  health_.OnActivity(ctx.now);
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
  health_.OnActivity(ctx.now);
  auto it = executions_.find(bytes.id);
  if (it == executions_.end() || it->second.phase != execution_phase::kRunning) return;
  execution& run = it->second;
  std::uint64_t offset = run.retained_offset + run.retained.size();
  if (offset + bytes.bytes.size() > run.request.resume_offset + limits_.max_answer_bytes) {
    ctx.Emit(cancel_engine_call{bytes.id});
    Fail(bytes.id, dispatch_failure::kAnswerTooLarge, ctx);
    StartQueued(ctx);
    return;
  }
  if (run.request.stream && !run.first_byte_received) {
    progress_checks_.insert({ctx.now + limits_.progress_timeout, bytes.id});
  }
  run.first_byte_received = true;
  run.last_progress = ctx.now;
  run.retained += bytes.bytes;
  retained_total_ += bytes.bytes.size();
  if (retained_total_ > limits_.max_total_answer_bytes) {
    // The bytes are already sent; only a reattach after a lost link would need them.
    ctx.Emit(count{counter::kAnswerBytesForgotten, run.retained.size()});
    retained_total_ -= run.retained.size();
    run.retained_offset += run.retained.size();
    run.retained = std::string();
  }
  if (run.link) ctx.Emit(send_message{*run.link, answer_chunk{bytes.id, offset, bytes.bytes}});
}

template <policy_set P>
void execution_table<P>::Handle(const engine_answer_end& end, reduce_context& ctx) {
  health_.OnActivity(ctx.now);
  auto it = executions_.find(end.id);
  if (it == executions_.end() || it->second.phase != execution_phase::kRunning) return;
  Finish(end.id, ctx);
}

template <policy_set P>
void execution_table<P>::Finish(const dispatch_id& id, reduce_context& ctx) {
  execution& run = executions_.at(id);
  StopRunning(id, run, true, ctx);
  run.phase = execution_phase::kFinished;
  StartQueued(ctx);
  if (run.link) {
    ctx.Emit(send_message{
        *run.link, answer_end{id, run.retained_offset + run.retained.size(), CurrentLoad()}});
  }
}

template <policy_set P>
void execution_table<P>::Handle(const engine_call_failed& failed, reduce_context& ctx) {
  auto it = executions_.find(failed.id);
  if (it == executions_.end() || it->second.phase != execution_phase::kRunning) return;
  execution& run = it->second;
  if (!failed.started) {
    std::optional<link_id> link = run.link;
    RecordTombstone(failed.id, dispatch_state::kNeverStarted, ctx);
    if (link) Refuse(*link, failed.id, refusal_reason::kNoBackend, ctx);
    health_.RequestProbe(false, ctx);
  } else if (failed.reason == dispatch_failure::kEngineCrashed) {
    bool first = crash_candidates_.empty();
    if (first) {
      for (const auto& [id, other] : executions_) {
        if (other.phase == execution_phase::kRunning) crash_candidates_.push_back(id);
      }
    }
    run.phase = execution_phase::kDisconnected;
    // A probe sent before the disconnect does not show the state after it.
    health_.RequestProbe(first, ctx);
  } else {
    Fail(failed.id, failed.reason, ctx);
    health_.RequestProbe(false, ctx);
  }
  StartQueued(ctx);
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(const engine_probe_done& done, reduce_context& ctx) {
  if (auto answered = health_.OnProbeResult(done, ctx)) {
    HandleProbeResult(*answered ? probe_result::kAnswered : probe_result::kFailed, ctx);
  }
  StartQueued(ctx);
  ScheduleNext(ctx);
}

// If the engine does not answer, it has crashed. If it answers, it may have restarted in between:
// then none of the calls that were running at the first disconnect is still running.
template <policy_set P>
void execution_table<P>::HandleProbeResult(probe_result result, reduce_context& ctx) {
  bool engine_answered = result == probe_result::kAnswered;
  if (!engine_answered) RefuseQueued(refusal_reason::kNoBackend, ctx);
  if (crash_candidates_.empty() && result == probe_result::kTimedOut) FailStalled(ctx);
  if (crash_candidates_.empty() && result == probe_result::kFailed) {
    // The engine exited before the agent saw any of its connections close.
    for (const auto& [id, run] : executions_) {
      if (run.phase == execution_phase::kRunning) crash_candidates_.push_back(id);
    }
  }
  if (crash_candidates_.empty()) return;
  std::vector<dispatch_id> disconnected;
  std::vector<dispatch_id> survivors;
  for (const dispatch_id& id : crash_candidates_) {
    auto it = executions_.find(id);
    if (it == executions_.end()) continue;
    if (it->second.phase == execution_phase::kDisconnected) disconnected.push_back(id);
    if (it->second.phase == execution_phase::kRunning) survivors.push_back(id);
  }
  crash_candidates_.clear();
  if (!engine_answered) {
    for (const dispatch_id& id : survivors) ctx.Emit(cancel_engine_call{id});
    disconnected.insert(disconnected.end(), survivors.begin(), survivors.end());
    survivors.clear();
  }
  // The report is sent first, so that an entry knows the suspects before it retries them.
  if (survivors.empty()) ReportCrash(disconnected, ctx);
  for (const dispatch_id& id : disconnected) Fail(id, dispatch_failure::kEngineCrashed, ctx);
}

// A non-streaming answer shows no progress before its end, so only a probe detects that its engine
// hangs. A non-idempotent call runs until it ends or its deadline passes: failing it gains nothing.
template <policy_set P>
void execution_table<P>::FailStalled(reduce_context& ctx) {
  std::vector<dispatch_id> stalled;
  for (const auto& [id, run] : executions_) {
    if (run.phase == execution_phase::kRunning && run.request.repeatable) stalled.push_back(id);
  }
  for (const dispatch_id& id : stalled) {
    ctx.Emit(count{counter::kEngineStalls});
    ctx.Emit(cancel_engine_call{id});
    Fail(id, dispatch_failure::kEngineStalled, ctx);
  }
}

template <policy_set P>
void execution_table<P>::ReportCrash(const std::vector<dispatch_id>& lost, reduce_context& ctx) {
  if (lost.empty()) return;
  crash_report report;
  ++crash_count_;
  std::unordered_set<link_id> links;
  for (const dispatch_id& id : lost) {
    const execution& run = executions_.at(id);
    report.charges.push_back({run.request.content, crash_source_, crash_count_, {}});
    if (run.link) links.insert(*run.link);
  }
  ctx.Emit(count{counter::kEngineCrashes});
  ctx.Emit(write_log{{event_code::kEngineCrashed,
                      log_level::kWarning,
                      {{"in_flight", std::to_string(lost.size())}}}});
  for (link_id link : links) ctx.Emit(send_message{link, report});
  ctx.Emit(share_crash_report{std::move(report)});
}

template <policy_set P>
void execution_table<P>::CheckProgress(reduce_context& ctx) {
  bool stalled = false;
  while (!progress_checks_.empty() && progress_checks_.begin()->first <= ctx.now) {
    dispatch_id id = progress_checks_.begin()->second;
    progress_checks_.erase(progress_checks_.begin());
    auto it = executions_.find(id);
    if (it == executions_.end() || it->second.phase != execution_phase::kRunning) continue;
    const execution& run = it->second;
    steady_time due = run.last_progress + (run.first_byte_received ? limits_.progress_timeout
                                                                   : limits_.first_byte_timeout);
    if (due > ctx.now) {
      progress_checks_.insert({due, id});
      continue;
    }
    stalled = true;
    ctx.Emit(count{counter::kEngineStalls});
    ctx.Emit(write_log{
        {event_code::kEngineStalled, log_level::kWarning, {{"request", ToString(id.request)}}}});
    ctx.Emit(cancel_engine_call{id});
    Fail(id, dispatch_failure::kEngineStalled, ctx);
  }
  if (stalled) health_.RequestProbe(false, ctx);
}

}  // namespace radishroute

#endif  // RADISHROUTE_EXECUTIONS_ENGINE_H_
