// At-most-once part of request_table: claims, outcomes and resends of non-idempotent requests.

#include <algorithm>
#include <utility>

#include "radishroute/invariant.h"
#include "radishroute/policies.h"
#include "radishroute/requests.h"

namespace radishroute {

template <policy_set P>
run_outcome request_table<P>::RefusalOutcome(const entry_request& request, refusal_reason reason) {
  if (request.repeatable || request.claim.granted || request.claim.released) {
    return run_outcome::kNotRun;
  }
  switch (reason) {
    // Every submission of these is refused before a claim, so none of them has run.
    case refusal_reason::kMissingIdempotencyKey:
    case refusal_reason::kMalformedIdempotencyKey:
    // These contents never had the key.
    case refusal_reason::kIdempotencyKeyConflict:
      return run_outcome::kNotRun;
    default:
      // Without a committed claim, nothing is known of earlier submissions of the same key.
      return request.input.first_submission ? run_outcome::kNotRun : run_outcome::kUnknown;
  }
}

template <policy_set P>
void request_table<P>::SetStep(entry_request& request, steady_time at) {
  steps_.erase({request.claim.step_at, request.id});
  request.claim.step_at = at;
  if (at != steady_time::max()) steps_.insert({at, request.id});
}

template <policy_set P>
void request_table<P>::Claim(entry_request& request, reduce_context& ctx) {
  ++request.claim.claims;
  request.claim.granted = false;
  request.claim.released = false;
  request.at = phase::kClaiming;
  SetStep(request, steady_time::max());
  record_claim claim;
  claim.member = request.input.member;
  claim.key = request.input.idempotency_key;
  claim.content_hash = StableHash(request.input.body,
                                  StableHash(request.input.path, StableHash(request.input.kind)));
  claim.dispatch = {request.id, request.attempt};
  claim.backend = request.backend_name;
  claim.backend_incarnation = request.backend_incarnation;
  ctx.Emit(count{counter::kClaimsSubmitted});
  ctx.Emit(submit_claim{{std::move(claim)}});
}

template <policy_set P>
void request_table<P>::ClaimAgain(entry_request& request, reduce_context& ctx) {
  if (request.counted) router_.OnDone(request.backend);
  request.counted = false;
  LeaveLink(request, ctx);
  request.claim.granted = false;
  // Only its own refused dispatch tells anything about the backend servers it tried.
  if (request.at != phase::kReleasing) request.tried.clear();
  if (request.claim.claims >= limits_.max_claims) {
    Fail(request, dispatch_failure::kEarlierOutcomeUnknown, ctx);
    return;
  }
  Route(request, ctx);
}

template <policy_set P>
void request_table<P>::Handle(const claim_answered& answered, reduce_context& ctx) {
  auto it = requests_.find(answered.claimant.request);
  if (it == requests_.end() || it->second.attempt != answered.claimant.attempt) return;
  entry_request& request = it->second;
  bool waiting = request.at == phase::kClaiming || request.at == phase::kHeld ||
                 request.at == phase::kResolving || request.at == phase::kSettling;
  if (!waiting) return;
  const auto no_delay = std::chrono::microseconds(0);
  switch (answered.reply.verdict) {
    case claim_verdict::kGranted:
      if (request.at == phase::kClaiming) OnGranted(request, ctx);
      break;
    case claim_verdict::kHeld:
      if (request.at != phase::kClaiming) break;
      request.claim.holder = answered.reply;
      ctx.Emit(count{counter::kClaimsHeld});
      WaitForHolder(request, ctx);
      break;
    case claim_verdict::kDone:
      AnswerFromRecord(request, answered.reply, ctx);
      break;
    case claim_verdict::kUnknown:
      Fail(request, dispatch_failure::kEarlierOutcomeUnknown, ctx);
      break;
    case claim_verdict::kNotRun:
      ClaimAgain(request, ctx);
      break;
    case claim_verdict::kConflict:
      Refuse(request, refusal_reason::kIdempotencyKeyConflict, no_delay, ctx);
      break;
    case claim_verdict::kMalformedKey:
      Refuse(request, refusal_reason::kMalformedIdempotencyKey, no_delay, ctx);
      break;
    case claim_verdict::kExpired:
      Refuse(request, refusal_reason::kIdempotencyKeyExpired, no_delay, ctx);
      break;
    case claim_verdict::kInFuture:
      Refuse(request, refusal_reason::kIdempotencyKeyInFuture, no_delay, ctx);
      break;
    case claim_verdict::kFull:
      Refuse(request, refusal_reason::kRecordTableFull, std::chrono::seconds(1), ctx);
      break;
    case claim_verdict::kNoQuorum:
      // While another dispatch holds the key, it is known that a submission may be running.
      if (request.at == phase::kClaiming) {
        Refuse(request, refusal_reason::kNoQuorum, std::chrono::seconds(1), ctx);
      }
      break;
    case claim_verdict::kQueueFull:
      Refuse(request, refusal_reason::kClaimQueueFull, std::chrono::seconds(1), ctx);
      break;
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void request_table<P>::OnGranted(entry_request& request, reduce_context& ctx) {
  request.claim.granted = true;
  if (!CheckInvariant(!request.response_begun, "a granted claim precedes the response", ctx)) {
    return;
  }
  Connect(request, ctx);
}

template <policy_set P>
void request_table<P>::WaitForHolder(entry_request& request, reduce_context& ctx) {
  request.at = phase::kHeld;
  SetStep(request, ctx.now + limits_.resolve_delay);
}

template <policy_set P>
void request_table<P>::AskHolder(entry_request& request, reduce_context& ctx) {
  const record_reply& holder = request.claim.holder;
  request.at = phase::kResolving;
  SetStep(request, ctx.now + limits_.resolve_delay);
  auto found = std::find_if(table_->backends.begin(), table_->backends.end(),
                            [&](const announcement& a) { return a.backend == holder.backend; });
  // A server that is not announced yet may be known to this entry a moment later.
  if (found == table_->backends.end() || found->incarnation < holder.backend_incarnation) return;
  if (found->incarnation > holder.backend_incarnation) {
    // The agent's life that may have run the dispatch is over, and its memory with it.
    SettleHolder(request, record_status::kUnknown, ctx);
    return;
  }
  backend_link& link = links_[found->traffic_address];
  if (link.users.empty()) link.idle_since = ctx.now;
  if (link.link) {
    ctx.Emit(count{counter::kDispatchesResolved});
    ctx.Emit(send_message{*link.link, resolve_dispatch{holder.holder, holder.backend_incarnation}});
    return;
  }
  if (!link.opening) {
    link.opening = true;
    ctx.Emit(open_link{found->traffic_address});
  }
  if (std::find(link.resolving.begin(), link.resolving.end(), request.id) == link.resolving.end()) {
    link.resolving.push_back(request.id);
  }
}

template <policy_set P>
void request_table<P>::Handle(link_id, const resolve_reply& reply, reduce_context& ctx) {
  std::vector<request_id> asking;
  for (const auto& [at, id] : steps_) {
    const entry_request& request = requests_.at(id);
    if (request.at == phase::kResolving && request.claim.holder.holder == reply.id) {
      asking.push_back(id);
    }
  }
  for (const request_id& id : asking) {
    entry_request& request = requests_.at(id);
    switch (reply.state) {
      case dispatch_state::kNeverStarted:
        SettleHolder(request, record_status::kNotRun, ctx);
        break;
      case dispatch_state::kUnknown:
        SettleHolder(request, record_status::kUnknown, ctx);
        break;
      case dispatch_state::kRunning:
        WaitForHolder(request, ctx);
        break;
      case dispatch_state::kFinished:
        // A live owner stores the answer by the next question; else only the outcome is known.
        if (request.claim.finished_seen) {
          SettleHolder(request, record_status::kDone, ctx);
        } else {
          request.claim.finished_seen = true;
          WaitForHolder(request, ctx);
        }
        break;
    }
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void request_table<P>::SettleHolder(entry_request& request, record_status status,
                                    reduce_context& ctx) {
  request.at = phase::kSettling;
  SetStep(request, ctx.now + limits_.outcome_wait);
  record_outcome outcome;
  outcome.member = request.input.member;
  outcome.key = request.input.idempotency_key;
  outcome.dispatch = request.claim.holder.holder;
  outcome.status = status;
  ctx.Emit(submit_outcome{{std::move(outcome), {request.id, request.attempt}}});
}

template <policy_set P>
void request_table<P>::StoreOutcome(const entry_request& request, record_status status,
                                    reduce_context& ctx) {
  record_outcome outcome;
  outcome.member = request.input.member;
  outcome.key = request.input.idempotency_key;
  outcome.dispatch = {request.id, request.attempt};
  outcome.status = status;
  bool small = request.claim.answer.size() <= limits_.max_stored_answer_bytes;
  if (status == record_status::kDone && small) {
    outcome.answer_status = request.claim.status;
    outcome.answer_type = request.claim.content_type;
    outcome.answer = request.claim.answer;
  }
  ctx.Emit(submit_outcome{{std::move(outcome), {request.id, request.attempt}}});
}

template <policy_set P>
bool request_table<P>::ReachesOtherLife(const entry_request& request) const {
  auto it = links_.find(request.backend_address);
  std::uint64_t peer = it == links_.end() ? 0 : it->second.peer_incarnation;
  return peer != 0 && peer != request.backend_incarnation;
}

template <policy_set P>
void request_table<P>::Release(entry_request& request, retry_reason retry, refusal_reason refusal,
                               reduce_context& ctx) {
  bool dispatched = request.at == phase::kDispatched || request.at == phase::kAnswering;
  if (dispatched && refusal == refusal_reason::kWrongIncarnation) {
    // This life of the agent refuses; an earlier copy may have reached the life before it.
    Fail(request, dispatch_failure::kAgentRestarted, ctx);
    return;
  }
  request.claim.retry = retry;
  request.claim.refusal = refusal;
  request.at = phase::kReleasing;
  StoreOutcome(request, record_status::kNotRun, ctx);
  SetStep(request, ctx.now + limits_.outcome_wait);
  ScheduleNext(ctx);
}

template <policy_set P>
void request_table<P>::OnReleased(entry_request& request, const outcome_answered& answered,
                                  reduce_context& ctx) {
  bool released = answered.committed && (answered.verdict == outcome_verdict::kStored ||
                                         answered.verdict == outcome_verdict::kAlreadyStored);
  if (!released) {
    // The key may have passed to another claim, so this submission cannot vouch for it.
    Fail(request, dispatch_failure::kEarlierOutcomeUnknown, ctx);
    return;
  }
  bool again = request.attempt < MaxAttempts(request) && ctx.now < request.deadline &&
               !request.abandoned && TakeRetry(request, request.claim.retry, ctx);
  // The agent may have been asked by a resend on another entry, which then claims the key as well:
  // only the log can tell which of the two runs, so this submission vouches for nothing.
  bool tombstoned = request.claim.refusal == refusal_reason::kTombstoned;
  request.claim.released = !tombstoned;
  if (again) {
    ctx.Emit(count_retry{request.claim.retry});
    ClaimAgain(request, ctx);
  } else if (tombstoned) {
    Fail(request, dispatch_failure::kEarlierOutcomeUnknown, ctx);
  } else {
    Refuse(request, request.claim.refusal, std::chrono::seconds(1), ctx);
  }
}

template <policy_set P>
void request_table<P>::Handle(const outcome_answered& answered, reduce_context& ctx) {
  ctx.Emit(count{answered.committed ? counter::kOutcomesStored : counter::kOutcomesNotStored});
  auto it = requests_.find(answered.waiter.request);
  if (it == requests_.end() || it->second.attempt != answered.waiter.attempt) return;
  entry_request& request = it->second;
  switch (request.at) {
    case phase::kStoring:
      CheckInvariant(answered.verdict != outcome_verdict::kContradiction,
                     "a complete answer's dispatch is not recorded as never run", ctx);
      FinishStored(request, ctx);
      break;
    case phase::kSettling:
      if (answered.committed) {
        ClaimAgain(request, ctx);
      } else {
        WaitForHolder(request, ctx);
      }
      break;
    case phase::kReleasing:
      OnReleased(request, answered, ctx);
      break;
    default:
      break;
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void request_table<P>::RunSteps(reduce_context& ctx) {
  while (!steps_.empty() && steps_.begin()->first <= ctx.now) {
    entry_request& request = requests_.at(steps_.begin()->second);
    SetStep(request, steady_time::max());
    switch (request.at) {
      case phase::kHeld:
      case phase::kResolving:
        AskHolder(request, ctx);
        break;
      case phase::kSettling:
        WaitForHolder(request, ctx);
        break;
      case phase::kStoring:
        ctx.Emit(count{counter::kOutcomesNotStored});
        FinishStored(request, ctx);
        break;
      case phase::kReleasing:
        OnReleased(request, {}, ctx);
        break;
      default:
        break;
    }
  }
}

template <policy_set P>
void request_table<P>::CollectChunk(entry_request& request, const answer_chunk& chunk,
                                    reduce_context& ctx) {
  if (chunk.offset > request.bytes_sent) {
    Fail(request, dispatch_failure::kEngineError, ctx);
    return;
  }
  std::uint64_t overlap = request.bytes_sent - chunk.offset;
  if (overlap >= chunk.bytes.size()) return;
  request.claim.answer.append(chunk.bytes, overlap);
  request.bytes_sent = request.claim.answer.size();
}

template <policy_set P>
void request_table<P>::FinishStored(entry_request& request, reduce_context& ctx) {
  claim_state& claim = request.claim;
  ctx.Emit(send_message{claim.answer_link, answer_ack{{request.id, request.attempt}}});
  if (!request.abandoned) {
    ctx.Emit(respond_begin{request.input.exchange, claim.status, claim.content_type,
                           request.input.stream});
    ctx.Emit(respond_bytes{request.input.exchange, std::move(claim.answer)});
    ctx.Emit(respond_end{request.input.exchange});
    ctx.Emit(count{counter::kAnswersCompleted});
    if (ctx.now <= request.deadline) ctx.Emit(count{counter::kAnswersInTime});
    ctx.Emit(observe_latency{
        latency_metric::kAnswer, request.cls,
        std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - request.arrival)});
  }
  Erase(request.id, ctx);
}

template <policy_set P>
void request_table<P>::AnswerFromRecord(entry_request& request, const record_reply& reply,
                                        reduce_context& ctx) {
  ctx.Emit(count{counter::kStoredAnswersServed});
  exchange_id exchange = request.input.exchange;
  if (reply.answer_stored) {
    ctx.Emit(respond_begin{exchange, reply.answer_status, reply.answer_type, request.input.stream});
    ctx.Emit(respond_bytes{exchange, reply.answer});
    ctx.Emit(respond_end{exchange});
  } else {
    ctx.Emit(respond_problem{exchange, refusal_reason::kNone, dispatch_failure::kAnswerNotStored,
                             run_outcome::kDone, std::chrono::microseconds(0)});
  }
  Erase(request.id, ctx);
}

template <policy_set P>
bool request_table<P>::CloseClaimed(entry_request& request, reduce_context& ctx) {
  if (!request.claim.granted) return false;
  if (request.at == phase::kWaitingForLink) {
    StoreOutcome(request, record_status::kNotRun, ctx);
    return false;
  }
  // The dispatch is not cancelled: a booking stopped half-way would be unknown for ever.
  by_exchange_.erase(request.input.exchange);
  request.abandoned = true;
  return true;
}

template <policy_set P>
bool request_table<P>::ExpireClaimed(entry_request& request, reduce_context& ctx) {
  if (request.repeatable) return false;
  switch (request.at) {
    case phase::kClaiming:
      // No dispatch is sent after this, also if the claim is granted later.
      Refuse(request, refusal_reason::kDeadlinePassed, std::chrono::microseconds(0), ctx);
      return true;
    case phase::kWaitingForLink:
      StoreOutcome(request, record_status::kNotRun, ctx);
      Refuse(request, refusal_reason::kDeadlinePassed, std::chrono::microseconds(0), ctx);
      return true;
    case phase::kStoring:
      FinishStored(request, ctx);
      return true;
    default:
      // The claim stays open: a resend learns from the agent whether the dispatch ran.
      CancelAtBackend(request, ctx);
      request.claim.granted = false;
      FailNow(request, dispatch_failure::kDeadlinePassed, ctx);
      return true;
  }
}

// Ends a non-idempotent request whose dispatch was lost with its agent.
template <policy_set P>
bool request_table<P>::FailClaimed(entry_request& request, dispatch_failure failure,
                                   reduce_context& ctx) {
  if (request.repeatable) return false;
  // The claim stays open: a resend learns from the agent whether the dispatch ran.
  request.claim.granted = false;
  Fail(request, failure, ctx);
  return true;
}

#define RADISHROUTE_INSTANTIATE(P) template class request_table<P>;
RADISHROUTE_FOR_EACH_POLICY_SET(RADISHROUTE_INSTANTIATE)
#undef RADISHROUTE_INSTANTIATE

}  // namespace radishroute
