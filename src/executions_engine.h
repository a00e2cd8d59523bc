#ifndef RADISHROUTE_EXECUTIONS_ENGINE_H_
#define RADISHROUTE_EXECUTIONS_ENGINE_H_

// Part of executions.cc: what the engine sends, and how its stalls and crashes are handled.

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
  if (it == executions_.end() || it->second.at != phase::kRunning) return;
  execution& run = it->second;
  std::uint64_t offset = run.kept_from + run.produced.size();
  if (offset + bytes.bytes.size() > run.request.resume_offset + limits_.max_answer_bytes) {
    ctx.Emit(cancel_engine_call{bytes.id});
    Fail(bytes.id, dispatch_failure::kAnswerTooLarge, ctx);
    Pump(ctx);
    return;
  }
  if (run.request.stream && !run.begun) {
    progress_.insert({ctx.now + limits_.progress_timeout, bytes.id});
  }
  run.begun = true;
  run.last_progress = ctx.now;
  run.produced += bytes.bytes;
  produced_total_ += bytes.bytes.size();
  if (produced_total_ > limits_.max_total_answer_bytes) {
    // The bytes were sent already; only an attach after a lost link would need them.
    ctx.Emit(count{counter::kAnswerBytesForgotten, run.produced.size()});
    produced_total_ -= run.produced.size();
    run.kept_from += run.produced.size();
    run.produced = std::string();
  }
  if (run.link) ctx.Emit(send_message{*run.link, answer_chunk{bytes.id, offset, bytes.bytes}});
}

template <policy_set P>
void execution_table<P>::Handle(const engine_answer_end& end, reduce_context& ctx) {
  health_.OnActivity(ctx.now);
  auto it = executions_.find(end.id);
  if (it == executions_.end() || it->second.at != phase::kRunning) return;
  Finish(end.id, ctx);
}

template <policy_set P>
void execution_table<P>::Finish(const dispatch_id& id, reduce_context& ctx) {
  execution& run = executions_.at(id);
  StopRunning(id, run, true, ctx);
  run.at = phase::kFinished;
  Pump(ctx);
  if (run.link) {
    ctx.Emit(send_message{*run.link, answer_end{id, run.kept_from + run.produced.size(), Load()}});
  }
}

template <policy_set P>
void execution_table<P>::Handle(const engine_call_failed& failed, reduce_context& ctx) {
  auto it = executions_.find(failed.id);
  if (it == executions_.end() || it->second.at != phase::kRunning) return;
  execution& run = it->second;
  if (!failed.started) {
    std::optional<link_id> link = run.link;
    Bury(failed.id, dispatch_state::kNeverStarted, ctx);
    if (link) Refuse(*link, failed.id, refusal_reason::kNoBackend, ctx);
    health_.OnTrouble(false, ctx);
  } else if (failed.reason == dispatch_failure::kEngineCrashed) {
    bool first = crash_batch_.empty();
    if (first) {
      for (const auto& [id, other] : executions_) {
        if (other.at == phase::kRunning) crash_batch_.push_back(id);
      }
    }
    run.at = phase::kBroken;
    // A probe from before the break says nothing about it.
    health_.OnTrouble(first, ctx);
  } else {
    Fail(failed.id, failed.reason, ctx);
  }
  Pump(ctx);
  ScheduleNext(ctx);
}

template <policy_set P>
void execution_table<P>::Handle(const engine_probe_done& done, reduce_context& ctx) {
  if (auto answers = health_.OnProbe(done, ctx)) {
    DecideCrash(*answers ? engine_verdict::kAnswers : engine_verdict::kRefuses, ctx);
  }
  Pump(ctx);
  ScheduleNext(ctx);
}

// A crash is certain if the engine does not answer. If it answers, it may have been restarted in
// between: then none of the calls that ran when the first one broke is left.
template <policy_set P>
void execution_table<P>::DecideCrash(engine_verdict verdict, reduce_context& ctx) {
  bool engine_answers = verdict == engine_verdict::kAnswers;
  if (!engine_answers) RefuseQueued(refusal_reason::kNoBackend, ctx);
  if (crash_batch_.empty() && verdict == engine_verdict::kSilent) FailStalled(ctx);
  if (crash_batch_.empty() && verdict == engine_verdict::kRefuses) {
    // The engine died before the first of its connections was seen to break.
    for (const auto& [id, run] : executions_) {
      if (run.at == phase::kRunning) crash_batch_.push_back(id);
    }
  }
  if (crash_batch_.empty()) return;
  std::vector<dispatch_id> broken;
  std::vector<dispatch_id> survivors;
  for (const dispatch_id& id : crash_batch_) {
    auto it = executions_.find(id);
    if (it == executions_.end()) continue;
    if (it->second.at == phase::kBroken) broken.push_back(id);
    if (it->second.at == phase::kRunning) survivors.push_back(id);
  }
  crash_batch_.clear();
  if (!engine_answers) {
    for (const dispatch_id& id : survivors) ctx.Emit(cancel_engine_call{id});
    broken.insert(broken.end(), survivors.begin(), survivors.end());
    survivors.clear();
  }
  // The report goes out first, so that an entry knows the suspects before it retries them.
  if (survivors.empty()) ReportCrash(broken, ctx);
  for (const dispatch_id& id : broken) Fail(id, dispatch_failure::kEngineCrashed, ctx);
}

// A plain answer shows no progress before its end, so only the probe tells that its engine hangs.
// A non-idempotent call is left to finish or to meet its deadline: failing it gains nothing.
template <policy_set P>
void execution_table<P>::FailStalled(reduce_context& ctx) {
  std::vector<dispatch_id> stalled;
  for (const auto& [id, run] : executions_) {
    if (run.at == phase::kRunning && run.request.repeatable) stalled.push_back(id);
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
  ++crashes_;
  std::unordered_set<link_id> links;
  for (const dispatch_id& id : lost) {
    const execution& run = executions_.at(id);
    report.charges.push_back({run.request.content, source_, crashes_, {}});
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
  while (!progress_.empty() && progress_.begin()->first <= ctx.now) {
    dispatch_id id = progress_.begin()->second;
    progress_.erase(progress_.begin());
    auto it = executions_.find(id);
    if (it == executions_.end() || it->second.at != phase::kRunning) continue;
    const execution& run = it->second;
    steady_time due =
        run.last_progress + (run.begun ? limits_.progress_timeout : limits_.first_byte_timeout);
    if (due > ctx.now) {
      progress_.insert({due, id});
      continue;
    }
    stalled = true;
    ctx.Emit(count{counter::kEngineStalls});
    ctx.Emit(write_log{
        {event_code::kEngineStalled, log_level::kWarning, {{"request", ToString(id.request)}}}});
    ctx.Emit(cancel_engine_call{id});
    Fail(id, dispatch_failure::kEngineStalled, ctx);
  }
  if (stalled) health_.OnTrouble(false, ctx);
}

}  // namespace radishroute

#endif  // RADISHROUTE_EXECUTIONS_ENGINE_H_
