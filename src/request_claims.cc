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
    // Every submission of such a request is refused before its claim, so none has run.
    case refusal_reason::kMissingIdempotencyKey:
    case refusal_reason::kMalformedIdempotencyKey:
    // The key has never been claimed for this content.
    case refusal_reason::kIdempotencyKeyConflict:
      return run_outcome::kNotRun;
    default:
      // Without a committed claim, the outcome of earlier submissions of the key is not known.
      return request.input.first_submission ? run_outcome::kNotRun : run_outcome::kUnknown;
  }
}

template <policy_set P>
void request_table<P>::SetClaimTimer(entry_request& request, steady_time at) {
  claim_timers_.erase({request.claim.timer_due, request.id});
  request.claim.timer_due = at;
  if (at != steady_time::max()) claim_timers_.insert({at, request.id});
}

template <policy_set P>
void request_table<P>::Claim(entry_request& request, reduce_context& ctx) {
  ++request.claim.claim_count;
  request.claim.granted = false;
  request.claim.released = false;
  request.state = phase::kClaiming;
  SetClaimTimer(request, steady_time::max());
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
  if (request.counted_in_flight) router_.OnDone(request.backend);
  request.counted_in_flight = false;
  RemoveFromLink(request, ctx);
  request.claim.granted = false;
  // The servers already tried remain excluded only if the request's own dispatch was refused.
  if (request.state != phase::kReleasingClaim) request.tried.clear();
  if (request.claim.claim_count >= limits_.max_claims) {
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
  bool waiting = request.state == phase::kClaiming || request.state == phase::kWaitingForHolder ||
                 request.state == phase::kResolving ||
                 request.state == phase::kStoringHolderOutcome;
  if (!waiting) return;
  const auto no_delay = std::chrono::microseconds(0);
  switch (answered.reply.verdict) {
    case claim_verdict::kGranted:
      if (request.state == phase::kClaiming) OnClaimGranted(request, ctx);
      break;
    case claim_verdict::kHeld:
      if (request.state != phase::kClaiming) break;
      request.claim.held_reply = answered.reply;
      ctx.Emit(count{counter::kClaimsHeld});
      WaitForHolder(request, ctx);
      break;
    case claim_verdict::kDone:
      RespondFromRecord(request, answered.reply, ctx);
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
      // In the other states another dispatch holds the key and may be running; keep waiting for it.
      if (request.state == phase::kClaiming) {
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
void request_table<P>::OnClaimGranted(entry_request& request, reduce_context& ctx) {
  request.claim.granted = true;
  if (!CheckInvariant(!request.response_begun, "a granted claim precedes the response", ctx)) {
    return;
  }
  Connect(request, ctx);
}

template <policy_set P>
void request_table<P>::WaitForHolder(entry_request& request, reduce_context& ctx) {
  request.state = phase::kWaitingForHolder;
  SetClaimTimer(request, ctx.now + limits_.resolve_delay);
}

template <policy_set P>
void request_table<P>::QueryHolderAgent(entry_request& request, reduce_context& ctx) {
  const record_reply& holder = request.claim.held_reply;
  request.state = phase::kResolving;
  SetClaimTimer(request, ctx.now + limits_.resolve_delay);
  auto found = std::find_if(table_->backends.begin(), table_->backends.end(),
                            [&](const announcement& a) { return a.backend == holder.backend; });
  // The announcement of the server's current incarnation may not have reached this entry yet.
  if (found == table_->backends.end() || found->incarnation < holder.backend_incarnation) return;
  if (found->incarnation > holder.backend_incarnation) {
    // The incarnation of the agent that may have run the dispatch has ended, and its state is lost.
    SubmitHolderOutcome(request, record_status::kUnknown, ctx);
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
  for (const auto& [at, id] : claim_timers_) {
    const entry_request& request = requests_.at(id);
    if (request.state == phase::kResolving && request.claim.held_reply.holder == reply.id) {
      asking.push_back(id);
    }
  }
  for (const request_id& id : asking) {
    entry_request& request = requests_.at(id);
    switch (reply.state) {
      case dispatch_state::kNeverStarted:
        SubmitHolderOutcome(request, record_status::kNotRun, ctx);
        break;
      case dispatch_state::kUnknown:
        SubmitHolderOutcome(request, record_status::kUnknown, ctx);
        break;
      case dispatch_state::kRunning:
        WaitForHolder(request, ctx);
        break;
      case dispatch_state::kFinished:
        // If the entry that owns the claim is running, it stores the answer before the next query.
        // Otherwise the answer is lost, and only the outcome can be stored.
        if (request.claim.finished_reported) {
          SubmitHolderOutcome(request, record_status::kDone, ctx);
        } else {
          request.claim.finished_reported = true;
          WaitForHolder(request, ctx);
        }
        break;
    }
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void request_table<P>::SubmitHolderOutcome(entry_request& request, record_status status,
                                           reduce_context& ctx) {
  request.state = phase::kStoringHolderOutcome;
  SetClaimTimer(request, ctx.now + limits_.outcome_timeout);
  record_outcome outcome;
  outcome.member = request.input.member;
  outcome.key = request.input.idempotency_key;
  outcome.dispatch = request.claim.held_reply.holder;
  outcome.status = status;
  ctx.Emit(submit_outcome{{std::move(outcome), {request.id, request.attempt}}});
}

template <policy_set P>
void request_table<P>::SubmitOutcome(const entry_request& request, record_status status,
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
bool request_table<P>::LinkHasOtherIncarnation(const entry_request& request) const {
  auto it = links_.find(request.backend_address);
  std::uint64_t peer = it == links_.end() ? 0 : it->second.peer_incarnation;
  return peer != 0 && peer != request.backend_incarnation;
}

template <policy_set P>
void request_table<P>::ReleaseClaim(entry_request& request, retry_reason retry,
                                    refusal_reason refusal, reduce_context& ctx) {
  bool dispatched = request.state == phase::kDispatched || request.state == phase::kAnswering;
  if (dispatched && refusal == refusal_reason::kWrongIncarnation) {
    // The current incarnation refused, but an earlier copy of the dispatch may have reached the
    // previous incarnation.
    Fail(request, dispatch_failure::kAgentRestarted, ctx);
    return;
  }
  request.claim.retry = retry;
  request.claim.refusal = refusal;
  request.state = phase::kReleasingClaim;
  SubmitOutcome(request, record_status::kNotRun, ctx);
  SetClaimTimer(request, ctx.now + limits_.outcome_timeout);
  ScheduleNext(ctx);
}

template <policy_set P>
void request_table<P>::OnClaimReleased(entry_request& request, const outcome_answered& answered,
                                       reduce_context& ctx) {
  bool released = answered.committed && (answered.verdict == outcome_verdict::kStored ||
                                         answered.verdict == outcome_verdict::kAlreadyStored);
  if (!released) {
    // Another dispatch may hold the key by now, so "not run" cannot be reported.
    Fail(request, dispatch_failure::kEarlierOutcomeUnknown, ctx);
    return;
  }
  bool retry = request.attempt < MaxAttempts(request) && ctx.now < request.deadline &&
               !request.abandoned && TakeRetry(request, request.claim.retry, ctx);
  // A tombstone can also stem from a query by a resend on another entry, which then claims the key
  // too. The order of the claims in the log decides which of the two runs, so "not run" cannot be
  // reported here.
  bool tombstoned = request.claim.refusal == refusal_reason::kTombstoned;
  request.claim.released = !tombstoned;
  if (retry) {
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
  switch (request.state) {
    case phase::kStoringOutcome:
      CheckInvariant(answered.verdict != outcome_verdict::kContradiction,
                     "a complete answer's dispatch is not recorded as never run", ctx);
      DeliverCollectedAnswer(request, ctx);
      break;
    case phase::kStoringHolderOutcome:
      if (answered.committed) {
        ClaimAgain(request, ctx);
      } else {
        WaitForHolder(request, ctx);
      }
      break;
    case phase::kReleasingClaim:
      OnClaimReleased(request, answered, ctx);
      break;
    default:
      break;
  }
  ScheduleNext(ctx);
}

template <policy_set P>
void request_table<P>::RunClaimTimers(reduce_context& ctx) {
  while (!claim_timers_.empty() && claim_timers_.begin()->first <= ctx.now) {
    entry_request& request = requests_.at(claim_timers_.begin()->second);
    SetClaimTimer(request, steady_time::max());
    switch (request.state) {
      case phase::kWaitingForHolder:
      case phase::kResolving:
        QueryHolderAgent(request, ctx);
        break;
      case phase::kStoringHolderOutcome:
        WaitForHolder(request, ctx);
        break;
      case phase::kStoringOutcome:
        ctx.Emit(count{counter::kOutcomesNotStored});
        DeliverCollectedAnswer(request, ctx);
        break;
      case phase::kReleasingClaim:
        OnClaimReleased(request, {}, ctx);
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
void request_table<P>::DeliverCollectedAnswer(entry_request& request, reduce_context& ctx) {
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
void request_table<P>::RespondFromRecord(entry_request& request, const record_reply& reply,
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
bool request_table<P>::ContinueWithoutCaller(entry_request& request, reduce_context& ctx) {
  if (!request.claim.granted) return false;
  if (request.state == phase::kWaitingForLink) {
    SubmitOutcome(request, record_status::kNotRun, ctx);
    return false;
  }
  // The dispatch is not cancelled: the outcome of a booking cancelled midway would stay unknown.
  by_exchange_.erase(request.input.exchange);
  request.abandoned = true;
  return true;
}

template <policy_set P>
bool request_table<P>::ExpireNonIdempotent(entry_request& request, reduce_context& ctx) {
  if (request.repeatable) return false;
  switch (request.state) {
    case phase::kClaiming:
      // No dispatch is sent after this, even if the claim is granted later.
      Refuse(request, refusal_reason::kDeadlinePassed, std::chrono::microseconds(0), ctx);
      return true;
    case phase::kWaitingForLink:
      SubmitOutcome(request, record_status::kNotRun, ctx);
      Refuse(request, refusal_reason::kDeadlinePassed, std::chrono::microseconds(0), ctx);
      return true;
    case phase::kStoringOutcome:
      DeliverCollectedAnswer(request, ctx);
      return true;
    default:
      // The claim stays open: a resend asks the agent whether the dispatch ran.
      CancelAtBackend(request, ctx);
      request.claim.granted = false;
      FailNow(request, dispatch_failure::kDeadlinePassed, ctx);
      return true;
  }
}

// Fails a non-idempotent request whose dispatch was lost with its agent.
template <policy_set P>
bool request_table<P>::FailNonIdempotent(entry_request& request, dispatch_failure failure,
                                         reduce_context& ctx) {
  if (request.repeatable) return false;
  // The claim stays open: a resend asks the agent whether the dispatch ran.
  request.claim.granted = false;
  Fail(request, failure, ctx);
  return true;
}

#define RADISHROUTE_INSTANTIATE(P) template class request_table<P>;
RADISHROUTE_FOR_EACH_POLICY_SET(RADISHROUTE_INSTANTIATE)
#undef RADISHROUTE_INSTANTIATE

}  // namespace radishroute
