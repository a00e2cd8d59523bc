#include "radishroute/requests.h"

#include <algorithm>

#include "radishroute/idempotency_key.h"
#include "radishroute/invariant.h"
#include "radishroute/policies.h"
#include "requests_links.h"

namespace radishroute {

template <policy_set P>
request_table<P>::request_table(std::uint64_t origin, std::uint32_t shard, request_limits limits)
    // The top byte of the sequence is the shard number, so request ids are unique across shards.
    : origin_(origin), next_sequence_(std::uint64_t{shard} << 56), limits_(limits) {}

template <policy_set P>
std::optional<refusal_reason> request_table<P>::Validate(const caller_request& request,
                                                         entry_request& out,
                                                         const reduce_context& ctx) const {
  if (drain_deadline_) return refusal_reason::kDraining;
  if (!table_->has_configuration) return refusal_reason::kNoConfiguration;
  if (requests_.size() >= limits_.max_requests) return refusal_reason::kTooManyRequests;
  auto kind = table_->kinds.find(request.kind);
  if (kind == table_->kinds.end()) return refusal_reason::kUnknownKind;
  auto member = table_->members.find(request.member);
  if (member == table_->members.end()) return refusal_reason::kUnknownMember;
  if (!table_->pools.contains(request.model)) return refusal_reason::kUnknownModel;
  if (quarantine_.CrashStatus(out.content, ctx.now) == crash_status::kQuarantined) {
    return refusal_reason::kQuarantined;
  }
  out.cls = kind->second.cls;
  out.repeatable = kind->second.repeatable;
  out.weight = member->second.weight;
  if (!out.repeatable) {
    if (request.idempotency_key.empty()) return refusal_reason::kMissingIdempotencyKey;
    if (!ParseKeyTime(request.idempotency_key)) return refusal_reason::kMalformedIdempotencyKey;
    if (ctx.now >= config_lease_until_) return refusal_reason::kConfigLeaseLost;
  }
  auto allowed = kind->second.deadline;
  if (request.time_left.count() > 0) allowed = std::min(allowed, request.time_left);
  out.deadline = ctx.now + allowed;
  return std::nullopt;
}

template <policy_set P>
void request_table<P>::Handle(const caller_request& input, reduce_context& ctx) {
  ctx.Emit(count{counter::kRequestsReceived});
  entry_request request;
  request.id = {origin_, next_sequence_++};
  request.arrival = ctx.now;
  request.content = {StableHash(input.body, StableHash(input.member))};
  if (auto reason = Validate(input, request, ctx)) {
    request.input.exchange = input.exchange;
    request.input.first_submission = input.first_submission;
    request.input.idempotency_key = input.idempotency_key;
    auto kind = table_->kinds.find(input.kind);
    request.repeatable =
        kind == table_->kinds.end() ? input.idempotency_key.empty() : kind->second.repeatable;
    Refuse(request, *reason, std::chrono::microseconds(0), ctx);
    return;
  }
  request.input = input;
  retries_.OnFirstAttempt(input.member, ctx.now);
  request_id id = request.id;
  by_exchange_[input.exchange] = id;
  deadlines_.insert({request.deadline, id});
  entry_request& stored = requests_.emplace(id, std::move(request)).first->second;
  Route(stored, ctx);
  ScheduleNext(ctx);
}

namespace {

bool IsOverload(refusal_reason reason) {
  return reason == refusal_reason::kQueueFull || reason == refusal_reason::kOverMemberShare ||
         reason == refusal_reason::kDeadlineUnreachable;
}

}  // namespace

template <policy_set P>
std::optional<std::uint32_t> request_table<P>::SelectCandidate(entry_request& request,
                                                               reduce_context& ctx) {
  route_query query;
  query.model = request.input.model;
  query.adapter = request.input.adapter;
  query.cls = request.cls;
  query.prefix_hash = request.input.prefix_hash;
  std::vector<std::uint32_t> excluded = request.tried;
  excluded.insert(excluded.end(), unreachable_backends_.begin(), unreachable_backends_.end());
  query.excluded = excluded;
  auto backend = router_.Choose(*table_, query, ctx.now, ctx.random);
  if (backend || request.tried.size() < 2 || IsOverload(request.last_refusal)) return backend;
  // Every server was tried. All but the last may accept the request by now, for example after a
  // restart. An overloaded server would probably refuse it again.
  request.tried.erase(request.tried.begin(), request.tried.end() - 1);
  query.excluded = request.tried;
  return router_.Choose(*table_, query, ctx.now, ctx.random);
}

template <policy_set P>
const announcement* request_table<P>::ChooseBackend(entry_request& request, reduce_context& ctx) {
  std::chrono::microseconds hinted{};
  // Each server has its own queue per Member, so a second server is considered if there is a
  // refusal hint for the first. Requests of a Member that is over its share on both are refused
  // here without a round trip.
  for (int choice = 0; choice < 2; ++choice) {
    auto backend = SelectCandidate(request, ctx);
    if (!backend) break;
    const announcement& chosen = table_->backends[*backend];
    hinted = admission_.Check(chosen, request.input.member, request.cls, ctx.now);
    request.tried.push_back(*backend);
    request.backend = *backend;
    if (hinted.count() == 0) return &chosen;
  }
  if (MayHaveRun(request)) {
    Fail(request, dispatch_failure::kEngineUnreachable, ctx);
  } else if (request.last_refusal != refusal_reason::kNone) {
    Refuse(request, request.last_refusal, request.retry_after, ctx);
  } else if (hinted.count() > 0) {
    Refuse(request, refusal_reason::kOverMemberShare, hinted, ctx);
  } else {
    Refuse(request, refusal_reason::kNoBackend, std::chrono::seconds(1), ctx);
  }
  return nullptr;
}

template <policy_set P>
void request_table<P>::Route(entry_request& request, reduce_context& ctx) {
  request.state = phase::kWaitingForLink;
  if (quarantine_.CrashStatus(request.content, ctx.now) == crash_status::kQuarantined) {
    if (MayHaveRun(request)) {
      Fail(request, dispatch_failure::kEngineCrashed, ctx);
    } else {
      Refuse(request, refusal_reason::kQuarantined, std::chrono::microseconds(0), ctx);
    }
    return;
  }
  const announcement* chosen = ChooseBackend(request, ctx);
  if (chosen == nullptr) return;
  request.backend_name = chosen->backend;
  request.backend_incarnation = chosen->incarnation;
  request.backend_address = chosen->traffic_address;
  ++request.attempt;
  request.gap_offset.reset();
  request.counted_in_flight = true;
  request.state = phase::kWaitingForLink;
  router_.OnSent(request.backend);
  if (request.repeatable) {
    Connect(request, ctx);
  } else {
    Claim(request, ctx);
  }
}

template <policy_set P>
void request_table<P>::Connect(entry_request& request, reduce_context& ctx) {
  request.state = phase::kWaitingForLink;
  AddToLink(request, ctx);
}

template <policy_set P>
void request_table<P>::Send(entry_request& request, link_id link, reduce_context& ctx) {
  CheckInvariant(request.repeatable || !request.may_have_run,
                 "a non-idempotent request runs at most once", ctx);
  if (!request.repeatable && LinkHasOtherIncarnation(request)) {
    ReleaseClaim(request, retry_reason::kRefusedByBackend, refusal_reason::kWrongIncarnation, ctx);
    return;
  }
  dispatch_request dispatch;
  dispatch.id = {request.id, request.attempt};
  dispatch.agent_incarnation = request.backend_incarnation;
  dispatch.member = request.input.member;
  dispatch.member_weight = request.weight;
  dispatch.cls = request.cls;
  dispatch.time_left =
      std::chrono::duration_cast<std::chrono::microseconds>(request.deadline - ctx.now);
  dispatch.content = request.content;
  dispatch.suspect = quarantine_.CrashStatus(request.content, ctx.now) == crash_status::kSuspect;
  dispatch.repeatable = request.repeatable;
  dispatch.stream = request.input.stream;
  dispatch.max_tokens = request.input.max_tokens;
  dispatch.resume_offset = request.bytes_sent;
  dispatch.path = request.input.path;
  dispatch.idempotency_key = request.input.idempotency_key;
  dispatch.config_version = table_->config_version;
  dispatch.floor_percent = table_->floor_percent;
  dispatch.body = request.input.body;
  request.state = phase::kDispatched;
  request.link = link;
  ctx.Emit(count{counter::kDispatchesSent});
  ctx.Emit(send_message{link, std::move(dispatch)});
}

template <policy_set P>
void request_table<P>::Handle(const caller_closed& closed, reduce_context& ctx) {
  auto it = by_exchange_.find(closed.exchange);
  if (it == by_exchange_.end()) return;
  request_id id = it->second;
  ctx.Emit(count{counter::kCallersHungUp});
  if (ContinueWithoutCaller(requests_.at(id), ctx)) return;
  CancelAtBackend(requests_.at(id), ctx);
  Erase(id, ctx);
}

template <policy_set P>
void request_table<P>::Handle(const routing_table_published& published, reduce_context& ctx) {
  config_lease_until_ = published.config_lease_until;
  if (published.table == table_) return;
  // Backend indexes are specific to a table, so those of requests in progress are mapped by name.
  std::unordered_map<std::string_view, std::uint32_t> index;
  for (std::uint32_t i = 0; i < published.table->backends.size(); ++i) {
    index[published.table->backends[i].backend] = i;
  }
  for (auto& [id, request] : requests_) {
    std::vector<std::uint32_t> tried;
    for (std::uint32_t old : request.tried) {
      auto it = index.find(table_->backends[old].backend);
      if (it != index.end()) tried.push_back(it->second);
    }
    request.tried = std::move(tried);
    auto it = index.find(request.backend_name);
    request.backend = it != index.end() ? it->second : UINT32_MAX;
  }
  table_ = published.table;
  UpdateUnreachableIndexes();
  router_.OnTable(*table_);
  ScheduleNext(ctx);
}

template <policy_set P>
void request_table<P>::Handle(const drain_requested& drain, reduce_context& ctx) {
  if (!drain_deadline_) drain_started_ = ctx.now;
  drain_deadline_ = drain.deadline;
  ctx.Emit(drain_connections{});
  ScheduleNext(ctx);
  StopIfDrained(ctx);
}

template <policy_set P>
void request_table<P>::Handle(const timer_expired&, reduce_context& ctx) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= ctx.now) {
    entry_request& request = requests_.at(deadlines_.begin()->second);
    if (ExpireNonIdempotent(request, ctx)) continue;
    CancelAtBackend(request, ctx);
    if (!MayHaveRun(request)) {
      Refuse(request, refusal_reason::kDeadlinePassed, std::chrono::microseconds(0), ctx);
    } else {
      FailNow(request, dispatch_failure::kDeadlinePassed, ctx);
    }
  }
  while (!delayed_failures_.empty() && delayed_failures_.begin()->first <= ctx.now) {
    entry_request& request = requests_.at(delayed_failures_.begin()->second);
    FailNow(request, request.fail_reason, ctx);
  }
  if (std::erase_if(unreachable_, [&](const auto& e) { return e.second <= ctx.now; }) > 0) {
    UpdateUnreachableIndexes();
  }
  CloseIdleLinks(ctx);
  RunClaimTimers(ctx);
  if (drain_deadline_ && *drain_deadline_ <= ctx.now) {
    ctx.Emit(stop_process{requests_.empty()});
    return;
  }
  StopIfDrained(ctx);
  ScheduleNext(ctx);
}

template <policy_set P>
typename request_table<P>::entry_request* request_table<P>::Find(link_id link,
                                                                 const dispatch_id& id,
                                                                 reduce_context& ctx) {
  auto it = requests_.find(id.request);
  // Messages on a replaced link are stale too; the agent resends their content on the new link.
  if (it != requests_.end() && it->second.attempt == id.attempt &&
      (it->second.state == phase::kDispatched || it->second.state == phase::kAnswering) &&
      it->second.link == link) {
    return &it->second;
  }
  ctx.Emit(count{counter::kStaleChunksDropped});
  return nullptr;
}

template <policy_set P>
void request_table<P>::Handle(link_id link, const answer_begin& begin, reduce_context& ctx) {
  entry_request* request = Find(link, begin.id, ctx);
  if (request == nullptr) return;
  request->state = phase::kAnswering;
  if (!request->repeatable) {
    request->claim.status = begin.status;
    request->claim.content_type = begin.content_type;
    return;
  }
  if (!request->response_begun) {
    request->response_begun = true;
    request->response_status = begin.status;
    ctx.Emit(respond_begin{request->input.exchange, begin.status, begin.content_type,
                           request->input.stream});
  } else if (begin.status != request->response_status) {
    // A body with a different status, such as an error page, is not a continuation of the answer.
    CancelAtBackend(*request, ctx);
    Fail(*request, dispatch_failure::kEngineError, ctx);
  }
}

template <policy_set P>
void request_table<P>::Handle(link_id link, const answer_chunk& chunk, reduce_context& ctx) {
  entry_request* request = Find(link, chunk.id, ctx);
  if (request == nullptr) return;
  if (chunk.offset > request->bytes_sent || request->state != phase::kAnswering) {
    RequestMissingBytes(*request, ctx);
    return;
  }
  if (!request->repeatable) {
    CollectChunk(*request, chunk, ctx);
    return;
  }
  std::uint64_t overlap = request->bytes_sent - chunk.offset;
  if (overlap >= chunk.bytes.size()) {
    ctx.Emit(count{counter::kStaleChunksDropped});
    return;
  }
  if (request->bytes_sent == 0) {
    ctx.Emit(observe_latency{
        latency_metric::kFirstByte, request->cls,
        std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - request->arrival)});
  }
  std::string new_bytes = chunk.bytes.substr(overlap);
  request->bytes_sent += new_bytes.size();
  ctx.Emit(respond_bytes{request->input.exchange, std::move(new_bytes)});
}

template <policy_set P>
void request_table<P>::Handle(link_id link, const answer_end& end, reduce_context& ctx) {
  entry_request* request = Find(link, end.id, ctx);
  if (request == nullptr) return;
  router_.OnLoad(request->backend, end.load, ctx.now);
  if (end.length > request->bytes_sent || request->state != phase::kAnswering) {
    RequestMissingBytes(*request, ctx);
    return;
  }
  if (end.length < request->bytes_sent) {
    Fail(*request, dispatch_failure::kEngineError, ctx);
    return;
  }
  if (!request->repeatable) {
    ClearSuspicion(*request, ctx);
    request->claim.answer_link = link;
    request->state = phase::kStoringOutcome;
    SubmitOutcome(*request, record_status::kDone, ctx);
    SetClaimTimer(*request, ctx.now + limits_.outcome_timeout);
    ScheduleNext(ctx);
    return;
  }
  ctx.Emit(send_message{link, answer_ack{end.id}});
  ctx.Emit(respond_end{request->input.exchange});
  ctx.Emit(count{counter::kAnswersCompleted});
  if (ctx.now <= request->deadline) ctx.Emit(count{counter::kAnswersInTime});
  ctx.Emit(observe_latency{
      latency_metric::kAnswer, request->cls,
      std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - request->arrival)});
  ClearSuspicion(*request, ctx);
  Erase(request->id, ctx);
}

template <policy_set P>
void request_table<P>::Handle(link_id link, const dispatch_refused& refused, reduce_context& ctx) {
  entry_request* request = Find(link, refused.id, ctx);
  if (request == nullptr) return;
  router_.OnLoad(request->backend, refused.load, ctx.now);
  if (request->backend < table_->backends.size()) {
    admission_.OnRefused(table_->backends[request->backend], request->input.member, request->cls,
                         refused.reason, refused.retry_after, ctx.now);
  }
  request->last_refusal = refused.reason;
  request->retry_after = refused.retry_after;
  // The dispatch was lost with its link and never reached the agent, so this refusal does not
  // indicate overload.
  bool lost = refused.reason == refusal_reason::kTombstoned;
  if (lost) ++request->lost_dispatches;
  Retry(*request, lost ? retry_reason::kLinkLost : retry_reason::kRefusedByBackend, refused.reason,
        dispatch_failure::kNone, ctx);
}

template <policy_set P>
void request_table<P>::Handle(link_id link, const dispatch_failed& failed, reduce_context& ctx) {
  entry_request* request = Find(link, failed.id, ctx);
  if (request == nullptr) return;
  router_.OnLoad(request->backend, failed.load, ctx.now);
  switch (failed.reason) {
    case dispatch_failure::kEngineCrashed:
      Retry(*request, retry_reason::kEngineCrashed, refusal_reason::kNone, failed.reason, ctx);
      return;
    case dispatch_failure::kEngineError:
      Retry(*request, retry_reason::kEngineError, refusal_reason::kNone, failed.reason, ctx);
      return;
    case dispatch_failure::kEngineStalled:
      Retry(*request, retry_reason::kEngineStalled, refusal_reason::kNone, failed.reason, ctx);
      return;
    case dispatch_failure::kLinkLost:
      Retry(*request, retry_reason::kLinkLost, refusal_reason::kNone, failed.reason, ctx);
      return;
    case dispatch_failure::kEngineUnreachable:
      Retry(*request, retry_reason::kBackendUnreachable, refusal_reason::kNone, failed.reason, ctx);
      return;
    default:
      Fail(*request, failed.reason, ctx);
      return;
  }
}

template <policy_set P>
std::uint32_t request_table<P>::MaxAttempts(const entry_request& request) const {
  return limits_.max_attempts + std::min(request.lost_dispatches, limits_.max_lost_dispatches);
}

// The loss of a backend server does not indicate overload, and all requests in flight there are
// retried at once, which can exceed a Member's whole retry budget: with 4 servers and 60
// requests/s, 1 of 180 requests failed for this reason when an agent was stopped. The first such
// retry of a request is therefore not charged to the budget. This at most doubles the attempts, and
// only those of requests that were on a lost server.
template <policy_set P>
bool request_table<P>::TakeRetry(entry_request& request, retry_reason reason, reduce_context& ctx) {
  if (reason != retry_reason::kRefusedByBackend && !request.free_retry_used) {
    request.free_retry_used = true;
    return true;
  }
  if (retries_.TakeRetry(request.input.member, ctx.now)) return true;
  ctx.Emit(count{counter::kRetriesOverBudget});
  return false;
}

template <policy_set P>
void request_table<P>::Retry(entry_request& request, retry_reason reason, refusal_reason refusal,
                             dispatch_failure failure, reduce_context& ctx) {
  bool never_ran = refusal != refusal_reason::kNone;
  if (never_ran && request.claim.granted) {
    ReleaseClaim(request, reason, refusal, ctx);
    return;
  }
  if (!never_ran) request.may_have_run = true;
  RemoveFromLink(request, ctx);
  request.state = phase::kWaitingForLink;
  if (!never_ran) ResetNonStreamedAnswer(request);
  bool resumable = request.bytes_sent == 0 || CanResume(request);
  bool useful = (!request.may_have_run || request.repeatable) && resumable &&
                request.attempt < MaxAttempts(request) && ctx.now < request.deadline;
  auto retry_after = request.retry_after.count() > 0
                         ? request.retry_after
                         : std::chrono::microseconds(std::chrono::seconds(1));
  if (useful && TakeRetry(request, reason, ctx)) {
    router_.OnDone(request.backend);
    request.counted_in_flight = false;
    ctx.Emit(count_retry{reason});
    Route(request, ctx);
    return;
  }
  if (!MayHaveRun(request)) {
    Refuse(request, refusal, retry_after, ctx);
    return;
  }
  Fail(request, failure == dispatch_failure::kNone ? dispatch_failure::kEngineUnreachable : failure,
       ctx);
}

template <policy_set P>
void request_table<P>::Refuse(entry_request& request, refusal_reason reason,
                              std::chrono::microseconds retry_after, reduce_context& ctx) {
  CheckInvariant(!MayHaveRun(request), "a request reported as not run did not run", ctx);
  ctx.Emit(count_refusal{reason});
  if (!request.abandoned) {
    ctx.Emit(respond_problem{request.input.exchange, reason, dispatch_failure::kNone,
                             RefusalOutcome(request, reason), retry_after});
  }
  Erase(request.id, ctx);
}

template <policy_set P>
void request_table<P>::Fail(entry_request& request, dispatch_failure reason, reduce_context& ctx) {
  if (request.fail_at) return;
  if (quarantine_.CrashStatus(request.content, ctx.now) != crash_status::kQuarantined) {
    FailNow(request, reason, ctx);
    return;
  }
  RemoveFromLink(request, ctx);
  request.state = phase::kFailureDelayed;
  request.may_have_run = true;
  request.fail_at = ctx.now + limits_.quarantined_failure_delay;
  request.fail_reason = reason;
  delayed_failures_.insert({*request.fail_at, request.id});
  ctx.Emit(schedule_wakeup{*request.fail_at});
}

template <policy_set P>
void request_table<P>::FailNow(entry_request& request, dispatch_failure reason,
                               reduce_context& ctx) {
  if (request.response_begun) {
    ctx.Emit(count{counter::kAnswersAborted});
    ctx.Emit(respond_abort{request.input.exchange, reason});
  } else if (!request.abandoned) {
    ctx.Emit(respond_problem{request.input.exchange, refusal_reason::kNone, reason,
                             run_outcome::kUnknown, std::chrono::microseconds(0)});
  }
  Erase(request.id, ctx);
}

template <policy_set P>
void request_table<P>::CancelAtBackend(const entry_request& request, reduce_context& ctx) {
  if (request.state != phase::kDispatched && request.state != phase::kAnswering) return;
  ctx.Emit(count{counter::kDispatchesCancelled});
  ctx.Emit(send_message{request.link, cancel_dispatch{{request.id, request.attempt}}});
}

template <policy_set P>
void request_table<P>::Erase(const request_id& id, reduce_context& ctx) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  if (it->second.counted_in_flight) router_.OnDone(it->second.backend);
  RemoveFromLink(it->second, ctx);
  deadlines_.erase({it->second.deadline, id});
  claim_timers_.erase({it->second.claim.timer_due, id});
  if (it->second.fail_at) delayed_failures_.erase({*it->second.fail_at, id});
  by_exchange_.erase(it->second.input.exchange);
  requests_.erase(it);
  CheckInvariant(by_exchange_.size() <= requests_.size() && deadlines_.size() == requests_.size(),
                 "every request has one deadline and at most one exchange", ctx);
  StopIfDrained(ctx);
}

template <policy_set P>
void request_table<P>::StopIfDrained(reduce_context& ctx) {
  if (!drain_deadline_ || !requests_.empty()) return;
  if (ctx.now >= drain_started_ + limits_.drain_linger) ctx.Emit(stop_process{true});
}

template <policy_set P>
void request_table<P>::ScheduleNext(reduce_context& ctx) {
  if (!deadlines_.empty()) ctx.Emit(schedule_wakeup{deadlines_.begin()->first});
  if (!delayed_failures_.empty()) {
    ctx.Emit(schedule_wakeup{delayed_failures_.begin()->first});
  }
  for (const auto& [address, until] : unreachable_) ctx.Emit(schedule_wakeup{until});
  for (const auto& [address, link] : links_) {
    if (link.users.empty()) {
      ctx.Emit(schedule_wakeup{link.idle_since + limits_.idle_link_timeout});
    }
  }
  if (!claim_timers_.empty()) ctx.Emit(schedule_wakeup{claim_timers_.begin()->first});
  if (drain_deadline_) {
    steady_time linger_end = drain_started_ + limits_.drain_linger;
    ctx.Emit(schedule_wakeup{linger_end > ctx.now ? std::min(*drain_deadline_, linger_end)
                                                  : *drain_deadline_});
  }
}

#define RADISHROUTE_INSTANTIATE(P) template class request_table<P>;
RADISHROUTE_FOR_EACH_POLICY_SET(RADISHROUTE_INSTANTIATE)
#undef RADISHROUTE_INSTANTIATE

}  // namespace radishroute
