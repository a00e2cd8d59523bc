#include "radishroute/requests.h"

#include <algorithm>

#include "radishroute/policies.h"

namespace radishroute {

template <policy_set P>
request_table<P>::request_table(std::uint64_t origin, std::uint32_t shard, request_limits limits)
    // The top byte of the sequence names the shard, so shards never share a request id.
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
  out.cls = kind->second.cls;
  out.repeatable = kind->second.repeatable;
  out.weight = member->second.weight;
  if (!out.repeatable && request.idempotency_key.empty()) {
    return refusal_reason::kMissingIdempotencyKey;
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
  if (auto reason = Validate(input, request, ctx)) {
    request.input.exchange = input.exchange;
    Refuse(request, *reason, std::chrono::microseconds(0), ctx);
    return;
  }
  request.input = input;
  request.content = {StableHash(input.body, StableHash(input.member))};
  retries_.OnFirstAttempt(input.member, ctx.now);
  request_id id = request.id;
  by_exchange_[input.exchange] = id;
  deadlines_.insert({request.deadline, id});
  entry_request& stored = requests_.emplace(id, std::move(request)).first->second;
  Route(stored, ctx);
  ScheduleNext(ctx);
}

template <policy_set P>
const announcement* request_table<P>::ChooseBackend(entry_request& request, reduce_context& ctx) {
  route_query query;
  query.model = request.input.model;
  query.adapter = request.input.adapter;
  query.cls = request.cls;
  query.prefix_hash = request.input.prefix_hash;
  std::chrono::microseconds hinted{};
  // Other servers queue the Member's work separately, so a hint of one server permits a second
  // choice; a flood that is over its share everywhere ends here without a round trip.
  for (int choice = 0; choice < 2; ++choice) {
    query.excluded = request.tried;
    auto backend = router_.Choose(*table_, query, ctx.now, ctx.random);
    if (!backend) break;
    const announcement& chosen = table_->backends[*backend];
    hinted = admission_.Check(chosen, request.input.member, request.cls, ctx.now);
    request.tried.push_back(*backend);
    request.backend = *backend;
    if (hinted.count() == 0) return &chosen;
  }
  if (request.response_begun || request.may_have_run) {
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
  const announcement* found = ChooseBackend(request, ctx);
  if (found == nullptr) return;
  const announcement& chosen = *found;
  request.backend_name = chosen.backend;
  request.backend_incarnation = chosen.incarnation;
  request.backend_address = chosen.traffic_address;
  ++request.attempt;
  request.counted = true;
  request.at = phase::kWaitingForLink;
  router_.OnSent(request.backend);
  backend_link& link = links_[ToString(chosen.traffic_address)];
  if (link.link) {
    Send(request, *link.link, ctx);
    return;
  }
  if (link.waiting.empty()) ctx.Emit(open_link{chosen.traffic_address});
  link.waiting.push_back(request.id);
}

template <policy_set P>
void request_table<P>::Send(entry_request& request, link_id link, reduce_context& ctx) {
  dispatch_request dispatch;
  dispatch.id = {request.id, request.attempt};
  dispatch.agent_incarnation = request.backend_incarnation;
  dispatch.member = request.input.member;
  dispatch.member_weight = request.weight;
  dispatch.cls = request.cls;
  dispatch.time_left =
      std::chrono::duration_cast<std::chrono::microseconds>(request.deadline - ctx.now);
  dispatch.content = request.content;
  dispatch.repeatable = request.repeatable;
  dispatch.stream = request.input.stream;
  dispatch.max_tokens = request.input.max_tokens;
  dispatch.resume_offset = request.bytes_sent;
  dispatch.path = request.input.path;
  dispatch.idempotency_key = request.input.idempotency_key;
  dispatch.config_version = table_->config_version;
  dispatch.floor_percent = table_->floor_percent;
  dispatch.body = request.input.body;
  request.at = phase::kDispatched;
  ctx.Emit(count{counter::kDispatchesSent});
  ctx.Emit(send_message{link, std::move(dispatch)});
}

template <policy_set P>
void request_table<P>::Handle(const caller_closed& closed, reduce_context& ctx) {
  auto it = by_exchange_.find(closed.exchange);
  if (it == by_exchange_.end()) return;
  request_id id = it->second;
  ctx.Emit(count{counter::kCallersHungUp});
  CancelAtBackend(requests_.at(id), ctx);
  Erase(id, ctx);
}

template <policy_set P>
void request_table<P>::Handle(const routing_table_published& published, reduce_context& ctx) {
  // Indexes change with the table, so those of requests in progress are looked up again by name.
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
  router_.OnTable(*table_);
  ScheduleNext(ctx);
}

template <policy_set P>
void request_table<P>::Handle(const link_opened& opened, reduce_context& ctx) {
  if (opened.dialed.host.empty()) return;
  backend_link& link = links_[ToString(opened.dialed)];
  link.link = opened.link;
  std::vector<request_id> waiting = std::move(link.waiting);
  link.waiting.clear();
  for (const request_id& id : waiting) {
    auto it = requests_.find(id);
    if (it == requests_.end() || it->second.at != phase::kWaitingForLink) continue;
    if (it->second.backend_address != opened.dialed) continue;
    Send(it->second, opened.link, ctx);
  }
}

template <policy_set P>
void request_table<P>::Handle(const link_closed& closed, reduce_context& ctx) {
  auto found = links_.find(ToString(closed.dialed));
  if (found == links_.end()) return;
  links_.erase(found);
  std::vector<request_id> affected;
  for (const auto& [id, request] : requests_) {
    if (request.backend_address == closed.dialed) affected.push_back(id);
  }
  for (const request_id& id : affected) {
    auto it = requests_.find(id);
    if (it == requests_.end()) continue;
    entry_request& request = it->second;
    if (request.at == phase::kWaitingForLink) {
      Retry(request, retry_reason::kBackendUnreachable, refusal_reason::kNoBackend,
            dispatch_failure::kNone, ctx);
    } else {
      Retry(request, retry_reason::kLinkLost, refusal_reason::kNone, dispatch_failure::kLinkLost,
            ctx);
    }
  }
}

template <policy_set P>
void request_table<P>::Handle(const drain_requested& drain, reduce_context& ctx) {
  drain_deadline_ = drain.deadline;
  ScheduleNext(ctx);
  StopIfDrained(ctx);
}

template <policy_set P>
void request_table<P>::Handle(const timer_expired&, reduce_context& ctx) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= ctx.now) {
    entry_request& request = requests_.at(deadlines_.begin()->second);
    CancelAtBackend(request, ctx);
    if (request.at == phase::kWaitingForLink && !request.response_begun && !request.may_have_run) {
      Refuse(request, refusal_reason::kDeadlinePassed, std::chrono::microseconds(0), ctx);
    } else {
      Fail(request, dispatch_failure::kDeadlinePassed, ctx);
    }
  }
  if (drain_deadline_ && *drain_deadline_ <= ctx.now) {
    ctx.Emit(stop_process{requests_.empty()});
    return;
  }
  ScheduleNext(ctx);
}

template <policy_set P>
typename request_table<P>::entry_request* request_table<P>::Find(const dispatch_id& id,
                                                                 reduce_context& ctx) {
  auto it = requests_.find(id.request);
  if (it != requests_.end() && it->second.attempt == id.attempt &&
      it->second.at != phase::kWaitingForLink) {
    return &it->second;
  }
  ctx.Emit(count{counter::kStaleChunksDropped});
  return nullptr;
}

template <policy_set P>
void request_table<P>::Handle(link_id, const answer_begin& begin, reduce_context& ctx) {
  entry_request* request = Find(begin.id, ctx);
  if (request == nullptr) return;
  request->at = phase::kAnswering;
  if (request->response_begun) return;
  request->response_begun = true;
  ctx.Emit(respond_begin{request->input.exchange, begin.status, begin.content_type,
                         request->input.stream});
}

template <policy_set P>
void request_table<P>::Handle(link_id, const answer_chunk& chunk, reduce_context& ctx) {
  entry_request* request = Find(chunk.id, ctx);
  if (request == nullptr) return;
  if (chunk.offset > request->bytes_sent || !request->response_begun) {
    CancelAtBackend(*request, ctx);
    Fail(*request, dispatch_failure::kEngineError, ctx);
    return;
  }
  std::uint64_t overlap = request->bytes_sent - chunk.offset;
  if (overlap >= chunk.bytes.size()) return;
  if (request->bytes_sent == 0) {
    ctx.Emit(observe_latency{
        latency_metric::kFirstByte, request->cls,
        std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - request->arrival)});
  }
  std::string fresh = chunk.bytes.substr(overlap);
  request->bytes_sent += fresh.size();
  ctx.Emit(respond_bytes{request->input.exchange, std::move(fresh)});
}

template <policy_set P>
void request_table<P>::Handle(link_id link, const answer_end& end, reduce_context& ctx) {
  entry_request* request = Find(end.id, ctx);
  if (request == nullptr) return;
  router_.OnLoad(request->backend, end.load, ctx.now);
  if (end.length != request->bytes_sent) {
    Fail(*request, dispatch_failure::kEngineError, ctx);
    return;
  }
  ctx.Emit(send_message{link, answer_ack{end.id}});
  ctx.Emit(respond_end{request->input.exchange});
  ctx.Emit(count{counter::kAnswersCompleted});
  if (ctx.now <= request->deadline) ctx.Emit(count{counter::kAnswersInTime});
  ctx.Emit(observe_latency{
      latency_metric::kAnswer, request->cls,
      std::chrono::duration_cast<std::chrono::microseconds>(ctx.now - request->arrival)});
  Erase(request->id, ctx);
}

template <policy_set P>
void request_table<P>::Handle(link_id, const dispatch_refused& refused, reduce_context& ctx) {
  entry_request* request = Find(refused.id, ctx);
  if (request == nullptr) return;
  router_.OnLoad(request->backend, refused.load, ctx.now);
  if (request->backend < table_->backends.size()) {
    admission_.OnRefused(table_->backends[request->backend], request->input.member, request->cls,
                         refused.reason, refused.retry_after, ctx.now);
  }
  request->last_refusal = refused.reason;
  request->retry_after = refused.retry_after;
  Retry(*request, retry_reason::kRefusedByBackend, refused.reason, dispatch_failure::kNone, ctx);
}

template <policy_set P>
void request_table<P>::Handle(link_id, const dispatch_failed& failed, reduce_context& ctx) {
  entry_request* request = Find(failed.id, ctx);
  if (request == nullptr) return;
  router_.OnLoad(request->backend, failed.load, ctx.now);
  switch (failed.reason) {
    case dispatch_failure::kEngineCrashed:
      Retry(*request, retry_reason::kEngineCrashed, refusal_reason::kNone, failed.reason, ctx);
      return;
    case dispatch_failure::kEngineStalled:
      Retry(*request, retry_reason::kEngineStalled, refusal_reason::kNone, failed.reason, ctx);
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
void request_table<P>::Retry(entry_request& request, retry_reason reason, refusal_reason refusal,
                             dispatch_failure failure, reduce_context& ctx) {
  bool never_ran = refusal != refusal_reason::kNone;
  request.may_have_run = request.may_have_run || !never_ran;
  bool useful = (never_ran || request.repeatable) && request.attempt < limits_.max_attempts &&
                ctx.now < request.deadline;
  if (useful && retries_.TakeRetry(request.input.member, ctx.now)) {
    router_.OnDone(request.backend);
    request.counted = false;
    ctx.Emit(count_retry{reason});
    Route(request, ctx);
    return;
  }
  if (useful) ctx.Emit(count{counter::kRetriesOverBudget});
  if (!request.may_have_run && !request.response_begun) {
    constexpr std::chrono::microseconds kDefaultRetryAfter = std::chrono::seconds(1);
    Refuse(request, refusal,
           request.retry_after.count() > 0 ? request.retry_after : kDefaultRetryAfter, ctx);
  } else {
    Fail(request,
         failure == dispatch_failure::kNone ? dispatch_failure::kEngineUnreachable : failure, ctx);
  }
}

template <policy_set P>
void request_table<P>::Refuse(entry_request& request, refusal_reason reason,
                              std::chrono::microseconds retry_after, reduce_context& ctx) {
  ctx.Emit(count_refusal{reason});
  ctx.Emit(respond_problem{request.input.exchange, reason, dispatch_failure::kNone,
                           run_outcome::kNotRun, retry_after});
  Erase(request.id, ctx);
}

template <policy_set P>
void request_table<P>::Fail(entry_request& request, dispatch_failure reason, reduce_context& ctx) {
  if (request.response_begun) {
    ctx.Emit(count{counter::kAnswersAborted});
    ctx.Emit(respond_abort{request.input.exchange, reason});
  } else {
    ctx.Emit(respond_problem{request.input.exchange, refusal_reason::kNone, reason,
                             run_outcome::kUnknown, std::chrono::microseconds(0)});
  }
  Erase(request.id, ctx);
}

template <policy_set P>
void request_table<P>::CancelAtBackend(const entry_request& request, reduce_context& ctx) {
  if (request.at == phase::kWaitingForLink) return;
  auto it = links_.find(ToString(request.backend_address));
  if (it == links_.end() || !it->second.link) return;
  ctx.Emit(count{counter::kDispatchesCancelled});
  ctx.Emit(send_message{*it->second.link, cancel_dispatch{{request.id, request.attempt}}});
}

template <policy_set P>
void request_table<P>::Erase(const request_id& id, reduce_context& ctx) {
  auto it = requests_.find(id);
  if (it == requests_.end()) return;
  if (it->second.counted) router_.OnDone(it->second.backend);
  deadlines_.erase({it->second.deadline, id});
  by_exchange_.erase(it->second.input.exchange);
  requests_.erase(it);
  StopIfDrained(ctx);
}

template <policy_set P>
void request_table<P>::StopIfDrained(reduce_context& ctx) {
  if (drain_deadline_ && requests_.empty()) ctx.Emit(stop_process{true});
}

template <policy_set P>
void request_table<P>::ScheduleNext(reduce_context& ctx) {
  if (!deadlines_.empty()) ctx.Emit(schedule_wakeup{deadlines_.begin()->first});
  if (drain_deadline_) ctx.Emit(schedule_wakeup{*drain_deadline_});
}

#define RADISHROUTE_INSTANTIATE(P) template class request_table<P>;
RADISHROUTE_FOR_EACH_POLICY_SET(RADISHROUTE_INSTANTIATE)
#undef RADISHROUTE_INSTANTIATE

}  // namespace radishroute
