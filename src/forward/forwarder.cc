#include "radishroute/forward/forwarder.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

#include "radishroute/forward/queueing_admission.h"
#include "radishroute/http_header.h"

namespace radishroute {

namespace {

// Responses up to this size are buffered until they are complete, so that a truncated one can be
// replaced by a retry or an error response.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

// Maximum number of connection failures after which a request is still retried. Such attempts do
// not reach a backend server, so a few of them do not justify refusing the request.
constexpr std::uint32_t kMaxConnectFailures = 3;

// Retry-After when all backend servers are full; each of them completes several requests in this
// time.
constexpr std::chrono::milliseconds kRetryAfterFull{300};

// Minimum share of the route's timeout that a caller has left at its first attempt.
constexpr double kMinFirstAttemptShare = 0.9;

// Range of Retry-After as a share of the caller's remaining time; callers honour shares up to a
// third.
constexpr double kMinRetryAfterShare = 0.24;
constexpr double kMaxRetryAfterShare = 0.33;

// Retry-After sent by a process that has just started. The process receives its configuration and
// the directory within this time.
constexpr std::chrono::milliseconds kRetryAfterStart{500};

// Retry-After of a process that is about to end: the callers' next connection leads to another one,
// which can serve them now.
constexpr std::chrono::milliseconds kRetryAfterDrain{100};

// Share of its time that a request needs at least. Most repeatable requests end long before their
// deadline, and one that is cut off can be sent again.
constexpr double kMinRepeatableShare = 0.5;

// Share of a backend server's connections that all processes together use. The rest is for probes,
// and for connections that one side has closed already.
constexpr double kUsableConnections = 0.9;

// Urgency has ten values; each member priority spans three of them, one per route priority.
constexpr std::uint32_t kRoutePriorities = 3;
constexpr std::uint32_t kLeastUrgent = 9;

// A backend server that crashes because of a request does so in the pass in which it begins to
// write the answer. A stream that has lasted longer than this is not the cause.
constexpr std::chrono::milliseconds kMaxTimeToCrash{500};

// With less time left than this, a request cannot reach a backend server and return.
constexpr std::chrono::milliseconds kMinAttemptTime{20};

std::uint32_t Urgency(const route& matched_route, const member_account* member) {
  std::uint32_t priority = std::min(matched_route.priority, kRoutePriorities - 1);
  if (member != nullptr && member->priority) priority += kRoutePriorities * *member->priority;
  return std::min(priority, kLeastUrgent);
}

std::string ElapsedMicros(steady_time from, steady_time to) {
  return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(to - from).count());
}

std::string FormatTenths(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", value);
  return text;
}

suspect_content ContentOf(const forward_request& request) {
  std::uint64_t hash = StableHash(request.key);
  for (const std::string* field :
       {&request.method, &request.host, &request.target, &request.body}) {
    hash = StableHash(*field, hash);
  }
  return {{hash}, request.prompt_parts};
}

bool IsEventStream(const backend_response& response) {
  const std::string* type = FindHeader(response.headers, "content-type");
  return type != nullptr && type->starts_with("text/event-stream");
}

bool IsRepeatable(const route& matched_route) {
  bool resumable = matched_route.kind == request_kind::kStreaming && matched_route.resumable;
  return matched_route.kind == request_kind::kIdempotent || resumable;
}

attempt_result ResultForStatus(unsigned status) {
  return status >= 500 ? attempt_result::kServerError : attempt_result::kServed;
}

}  // namespace

std::string_view ToString(upstream_stage stage) {
  constexpr std::array<std::string_view, 4> kNames = {"connecting", "waiting", "answering",
                                                      "malformed"};
  return kNames[static_cast<std::size_t>(stage)];
}

std::string_view ToString(probe_result result) {
  constexpr std::array<std::string_view, 3> kNames = {"reachable", "refused", "unknown"};
  return kNames[static_cast<std::size_t>(result)];
}

template <backend_selector Selector, forward_admission Admission>
auto forwarder<Selector, Admission>::Find(upstream_id id) -> active_request* {
  auto it = exchange_by_attempt_.find(id);
  return it == exchange_by_attempt_.end() ? nullptr : &requests_.at(it->second);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Refuse(const forward_request& request, unsigned status,
                                            refusal_reason reason,
                                            std::optional<std::chrono::milliseconds> retry_after,
                                            reduce_context& ctx) {
  ctx.Emit(count_refusal{reason});
  ctx.Emit(send_error_response{request.exchange, status, reason, retry_after});
  ctx.Emit(write_log{{event_code::kForwardRefused,
                      log_level::kInfo,
                      {{"request", request.id},
                       {"status", std::to_string(status)},
                       {"reason", std::string(ToString(reason))},
                       {"path", request.path},
                       {"config", std::to_string(routes_ ? routes_->Version() : 0)}}}});
}

template <backend_selector Selector, forward_admission Admission>
std::string forwarder<Selector, Admission>::PickService(const route& matched_route,
                                                        random_source& random) const {
  std::uint64_t total = 0;
  for (const traffic_share& share : matched_route.traffic_split) total += share.weight;
  std::uint64_t point = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random);
  for (const traffic_share& share : matched_route.traffic_split) {
    if (point < share.weight) return share.service;
    point -= share.weight;
  }
  return matched_route.traffic_split.back().service;
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const forward_received& e, reduce_context& ctx) {
  const forward_request& request = *e.request;
  ctx.Emit(count{counter::kRequestsReceived});
  if (routes_ == nullptr || !directory_known_) {
    Refuse(request, 503, refusal_reason::kNoConfiguration, kRetryAfterStart, ctx);
    return;
  }
  const route* matched_route = routes_->Find(request.host, request.path);
  if (matched_route == nullptr) {
    Refuse(request, 404, refusal_reason::kUnknownRoute, std::nullopt, ctx);
    return;
  }
  const member_account* member = nullptr;
  if (routes_->RequiresKey() && !matched_route->is_public) {
    member = routes_->FindMember(request.key);
    if (member == nullptr) {
      Refuse(request, 401, refusal_reason::kUnauthorized, std::nullopt, ctx);
      return;
    }
  }
  bool too_many = requests_.size() >= settings_.max_requests ||
                  request_bytes_ + RequestBytes(request) > settings_.max_request_bytes;
  if (too_many) {
    Refuse(request, 503, refusal_reason::kTooManyRequests, kRetryAfterFull, ctx);
    return;
  }
  suspect_content content = ContentOf(request);
  if (auto left = crashes_.QuarantinedFor(content, ctx.now)) {
    Refuse(request, 503, refusal_reason::kQuarantined, left, ctx);
    return;
  }
  auto timeout = request.time_left ? std::min(*request.time_left, matched_route->timeout)
                                   : matched_route->timeout;
  steady_time deadline = ctx.now + timeout;
  if (draining_ && !EndsWithinDrain(*matched_route, deadline, ctx.now)) {
    Refuse(request, 503, refusal_reason::kDraining, kRetryAfterDrain, ctx);
    return;
  }
  active_request active;
  active.request = e.request;
  active.events = event_stream_splitter(request.last_event);
  active.content = std::move(content);
  active.routes = routes_;
  active.matched_route = matched_route;
  active.service = PickService(*matched_route, ctx.random);
  if (member != nullptr) active.member = member->name;
  active.urgency = Urgency(*matched_route, member);
  active.received = ctx.now;
  active.deadline = deadline;
  retries_.OnRequest(active.service, ctx.now);
  auto [it, added] = requests_.emplace(request.exchange, std::move(active));
  request_bytes_ += RequestBytes(request);
  deadlines_.emplace(it->second.deadline, request.exchange.value);
  refusal_reason refused = Send(it->second, ctx);
  if (refused != refusal_reason::kNone) {
    FailRequest(it->second, refused, ctx);
    return;
  }
  ScheduleNext(ctx);
}

template <backend_selector Selector, forward_admission Admission>
refusal_reason forwarder<Selector, Admission>::Send(active_request& active, reduce_context& ctx) {
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(active.deadline - ctx.now);
  if (left < kMinAttemptTime) return refusal_reason::kDeadlinePassed;
  const service* target = active.routes->FindService(active.service);
  std::uint32_t max_connections = MaxConnections(target);
  selection_query query{active.service, active.urgency,  active.tried_backends,
                        withheld_,      max_connections, &cold_};
  auto chosen = selector_.Choose(query, ctx.now, ctx.random);
  if (!chosen) {
    query.max_in_flight = 0;
    bool cold = cold_.NextTurn(active.service, ctx.now).has_value();
    if (cold) ctx.Emit(count{counter::kColdBackendsSkipped});
    bool full = cold || withheld_.NextReturn(active.service, ctx.now).has_value() ||
                selector_.Choose(query, ctx.now, ctx.random).has_value();
    return full ? refusal_reason::kBackendsFull : refusal_reason::kNoBackend;
  }
  bool has_engine = target != nullptr && target->engine;
  const engine_profile* engine = has_engine ? &*target->engine : nullptr;
  if (engine != nullptr && engine->expert_sets > 0 &&
      admission_.IsGroupDown(chosen->address, ctx.now)) {
    return refusal_reason::kNoBackend;
  }
  // A request that was admitted once is not refused for load when it is retried.
  if (active.attempts == 0) {
    refusal_reason refused = Admit(active, *chosen, engine, ctx);
    if (refused != refusal_reason::kNone || waiting_.Contains(active.request->exchange)) {
      return refused;
    }
  }
  active.current = attempt{{next_attempt_id_++}, chosen->backend, chosen->address, ctx.now};
  active.current->incarnation = chosen->incarnation;
  active.tried_backends.push_back(chosen->backend);
  ++active.attempts;
  exchange_by_attempt_[active.current->id] = active.request->exchange;
  selector_.OnSent(chosen->backend, ctx.now);
  cold_.OnSent(chosen->backend, ctx.now);
  ctx.Emit(count{counter::kDispatchesSent});
  start_upstream start;
  start.id = active.current->id;
  start.request = active.request;
  start.address = chosen->address;
  start.backend = chosen->backend;
  start.member = active.member;
  start.time_left = left;
  start.urgency = active.urgency;
  start.max_connections = max_connections;
  start.last_event = active.events.LastEventId();
  // The peer may close a persistent connection while the request is in transit; then it is unknown
  // whether the request was read. On the connection of an earlier attempt, that attempt's response
  // could come once more.
  bool is_retry = active.tried_backends.size() > 1;
  start.may_reuse_connection = active.matched_route->kind != request_kind::kNonIdempotent &&
                               (IsRepeatable(*active.matched_route) || !is_retry);
  ctx.Emit(std::move(start));
  return refusal_reason::kNone;
}

template <backend_selector Selector, forward_admission Admission>
refusal_reason forwarder<Selector, Admission>::Admit(active_request& active,
                                                     const selected_backend& chosen,
                                                     const engine_profile* engine,
                                                     reduce_context& ctx) {
  exchange_id exchange = active.request->exchange;
  auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(ctx.now - active.received);
  admission_query query{active.matched_route,
                        engine,
                        chosen,
                        IsCallerRetry(active),
                        &active.routes->StreamPriorities(active.service),
                        settings_.wait_for_room,
                        waited};
  active.admission = admission_.Admit(query, ctx.now, ctx.random);
  active.load = chosen.load;
  bool was_waiting = waiting_.Contains(exchange);
  if (active.admission.waits) {
    steady_time decide_by = active.received + active.admission.decide_by;
    if (waiting_.Add(exchange, active.urgency, decide_by)) {
      if (was_waiting) return refusal_reason::kNone;
      ctx.Emit(count{counter::kRequestsQueued});
      ctx.Emit(write_log{{event_code::kRequestQueued,
                          log_level::kDebug,
                          {{"request", active.request->id},
                           {"route", active.matched_route->name},
                           {"member", active.member},
                           {"backend", chosen.backend},
                           {"load", FormatTenths(chosen.load)},
                           {"limit", FormatTenths(active.admission.capacity)},
                           {"waiting", std::to_string(waiting_.Size())}}}});
      return refusal_reason::kNone;
    }
  }
  waiting_.Remove(exchange);
  if (!active.admission.admitted) {
    if (was_waiting) ctx.Emit(count{counter::kQueuedRequestsRefused});
    return refusal_reason::kQueueFull;
  }
  if (was_waiting) {
    active.left_queue = ctx.now;
    ctx.Emit(count{counter::kQueuedRequestsSent});
  }
  return refusal_reason::kNone;
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::ServeWaiting(reduce_context& ctx) {
  for (exchange_id exchange : waiting_.InOrder()) {
    auto it = requests_.find(exchange);
    if (it == requests_.end()) continue;
    refusal_reason refused = Send(it->second, ctx);
    if (refused != refusal_reason::kNone) FailRequest(it->second, refused, ctx);
  }
}

// A backend server resets connections beyond its limit, with the requests on them. The limit counts
// those of all processes, so each of them keeps to an equal share.
template <backend_selector Selector, forward_admission Admission>
std::uint32_t forwarder<Selector, Admission>::MaxConnections(const service* target) const {
  if (target == nullptr || target->max_connections == 0) return 0;
  auto share = static_cast<std::uint32_t>(target->max_connections * kUsableConnections / entries_);
  return std::max(share, 1U);
}

// A non-idempotent request that is cut off leaves its caller with an unknown outcome, so it is
// taken only if the process outlives its deadline.
template <backend_selector Selector, forward_admission Admission>
bool forwarder<Selector, Admission>::EndsWithinDrain(const route& matched_route,
                                                     steady_time deadline, steady_time now) const {
  double share = IsRepeatable(matched_route) ? kMinRepeatableShare : 1.0;
  return now + (deadline - now) * share <= drain_answer_at_;
}

// A caller that retries has waited for the Retry-After time, so it has less time left.
template <backend_selector Selector, forward_admission Admission>
bool forwarder<Selector, Admission>::IsCallerRetry(const active_request& active) const {
  return active.request->time_left &&
         *active.request->time_left < active.matched_route->timeout * kMinFirstAttemptShare;
}

// Backend servers that have named the time from which they take requests again are believed.
// Otherwise callers retry once, within a third of their remaining time. A group that is down takes
// seconds to recover, and an overload lasts as long, so a later retry is more likely to succeed.
// The random spread prevents refused callers from retrying all at once.
template <backend_selector Selector, forward_admission Admission>
std::chrono::milliseconds forwarder<Selector, Admission>::RetryAfter(const active_request& active,
                                                                     refusal_reason reason,
                                                                     reduce_context& ctx) const {
  auto next_return = withheld_.NextReturn(active.service, ctx.now);
  if (reason == refusal_reason::kBackendsFull && next_return) {
    return std::chrono::ceil<std::chrono::milliseconds>(*next_return - ctx.now);
  }
  bool is_lasting = reason == refusal_reason::kNoBackend || reason == refusal_reason::kQueueFull;
  if (active.matched_route->kind != request_kind::kStreaming || !is_lasting) return kRetryAfterFull;
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(active.deadline - ctx.now);
  std::uniform_real_distribution<double> spread(kMinRetryAfterShare, kMaxRetryAfterShare);
  return std::chrono::duration_cast<std::chrono::milliseconds>(left * spread(ctx.random));
}

template <backend_selector Selector, forward_admission Admission>
bool forwarder<Selector, Admission>::MayRetry(const active_request& active) const {
  if (!active.may_have_run) return true;
  return IsRepeatable(*active.matched_route) && active.events.CanResume();
}

template <backend_selector Selector, forward_admission Admission>
bool forwarder<Selector, Admission>::Retry(active_request& active, retry_reason reason,
                                           reduce_context& ctx) {
  if (!MayRetry(active) || active.attempts >= active.matched_route->max_attempts) return false;
  if (!retries_.TakeRetry(active.service, ctx.now)) {
    ctx.Emit(count{counter::kRetriesOverBudget});
    return false;
  }
  if (Send(active, ctx) != refusal_reason::kNone) return false;
  ctx.Emit(count_retry{reason});
  ctx.Emit(write_log{{event_code::kForwardRetried,
                      log_level::kInfo,
                      {{"request", active.request->id},
                       {"reason", std::string(ToString(reason))},
                       {"backend", active.current->backend},
                       {"attempt", std::to_string(active.attempts)}}}});
  return true;
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::EndAttempt(active_request& active, attempt_result result,
                                                reduce_context& ctx) {
  if (!active.current) return;
  if (settings_.learned_capacity) LearnFrom(active, result, ctx);
  selector_.OnDone(active.current->backend, result, ctx.now);
  exchange_by_attempt_.erase(active.current->id);
  active.current.reset();
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::LearnFrom(const active_request& active, attempt_result result,
                                               reduce_context& ctx) {
  const attempt& a = *active.current;
  bool first_byte_counts = a.is_stream && a.begun;
  if (first_byte_counts && result == attempt_result::kCancelled) result = attempt_result::kServed;
  // A request that is rejected is answered faster than one that is run.
  if (result == attempt_result::kServed && active.response.status >= 400) return;
  auto latency = (first_byte_counts ? *a.begun : ctx.now) - a.sent;
  auto change = selector_.OnFinished(
      {a.backend, a.incarnation, active.matched_route->name, latency, a.load, result}, ctx.now);
  if (!change) return;
  ctx.Emit(count{counter::kCapacityChanges});
  if (!change->logged) return;
  ctx.Emit(write_log{{event_code::kCapacityChanged,
                      log_level::kInfo,
                      {{"backend", a.backend},
                       {"old", FormatTenths(change->before)},
                       {"new", FormatTenths(change->after)},
                       {"evidence", std::string(ToString(change->evidence))},
                       {"age_ms", std::to_string(change->age.count())}}}});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const upstream_response_begin& e, reduce_context& ctx) {
  active_request* active = Find(e.id);
  if (active == nullptr) return;
  attempt& a = *active->current;
  if (e.response.load) selector_.OnLoad(a.backend, *e.response.load, ctx.now);
  a.load = e.response.load;
  NoteBackendState(a, active->request->id, e.response, ctx);
  a.not_run = e.response.not_run;
  a.wrong_backend = e.response.wrong_backend;
  active->response = e.response;
  active->body.clear();
  if (!active->first_byte && !a.not_run) active->first_byte = ctx.now;
  if (!a.not_run) a.begun = ctx.now;
  a.is_stream = active->matched_route->kind == request_kind::kStreaming &&
                e.response.status == 200 && !a.not_run && IsEventStream(e.response);
  if (a.is_stream && !active->HasBegun()) BeginStream(*active, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::NoteBackendState(const attempt& current,
                                                      const std::string& request,
                                                      const backend_response& response,
                                                      reduce_context& ctx) {
  // A response that was sent by another backend server at the address says nothing about this one.
  if (response.wrong_backend) return;
  if (response.leaving && withheld_.OnLeaving(current.backend, ctx.now)) {
    ctx.Emit(write_log{{event_code::kBackendDraining,
                        log_level::kInfo,
                        {{"backend", current.backend}, {"request", request}}}});
  }
  if (response.retry_after_unreadable) {
    ctx.Emit(write_log{
        {event_code::kResponseHeaderUnreadable,
         log_level::kWarning,
         {{"backend", current.backend}, {"request", request}, {"header", "retry-after"}}}});
  }
  if (!response.not_run || !response.retry_after) return;
  auto kept = withheld_.OnRetryAfter(current.backend, *response.retry_after, ctx.now);
  ctx.Emit(write_log{{event_code::kBackendWithheld,
                      kept == *response.retry_after ? log_level::kInfo : log_level::kWarning,
                      {{"backend", current.backend},
                       {"request", request},
                       {"asked_ms", std::to_string(response.retry_after->count())},
                       {"for_ms", std::to_string(kept.count())}}}});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::BeginStream(active_request& active, reduce_context& ctx) {
  active.is_streaming = true;
  ctx.Emit(forward_begin{active.request->exchange, active.response.status, active.response.headers,
                         std::nullopt});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::PassThrough(active_request& active, reduce_context& ctx) {
  active.is_passthrough = true;
  ctx.Emit(forward_begin{active.request->exchange, active.response.status, active.response.headers,
                         active.response.length});
  ctx.Emit(forward_bytes{active.request->exchange, std::exchange(active.body, {})});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const upstream_response_bytes& e, reduce_context& ctx) {
  active_request* active = Find(e.id);
  if (active == nullptr) return;
  const auto& begun = active->current->begun;
  if (begun && ctx.now - *begun > kMaxTimeToCrash) RecordSuccess(*active, ctx);
  if (active->is_streaming && active->current->is_stream) {
    std::string events = active->events.Feed(e.bytes);
    if (!events.empty()) ctx.Emit(forward_bytes{active->request->exchange, std::move(events)});
    if (active->events.IsOversized()) return GiveUpAttempt(*active, ctx);
  } else if (active->is_passthrough) {
    ctx.Emit(forward_bytes{active->request->exchange, e.bytes});
  } else {
    AppendGrowingSlowly(active->body, e.bytes);
    if (active->body.size() > kMaxBufferedBytes) {
      if (active->HasBegun()) return GiveUpAttempt(*active, ctx);
      PassThrough(*active, ctx);
    }
  }
  CountBuffered(*active, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::CountBuffered(active_request& active, reduce_context& ctx) {
  response_bytes_ -= active.counted_bytes;
  active.counted_bytes = active.BufferedBytes();
  response_bytes_ += active.counted_bytes;
  if (response_bytes_ <= settings_.max_response_bytes) return;
  // Counts of responses that were dropped meanwhile are out of date.
  response_bytes_ = 0;
  active_request* largest = nullptr;
  for (auto& [exchange, other] : requests_) {
    other.counted_bytes = other.BufferedBytes();
    response_bytes_ += other.counted_bytes;
    bool larger = largest == nullptr || other.counted_bytes > largest->counted_bytes;
    if (other.current && larger) largest = &other;
  }
  bool over = response_bytes_ > settings_.max_response_bytes;
  if (over && largest != nullptr) GiveUpAttempt(*largest, ctx);
}

// The bytes of the response are no answer and may have no end.
template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::GiveUpAttempt(active_request& active, reduce_context& ctx) {
  upstream_id id = active.current->id;
  ctx.Emit(cancel_upstream{id});
  Handle(upstream_call_failed{id, upstream_stage::kMalformed, response_fault::kTooLong}, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::SendBufferedResponse(active_request& active,
                                                          reduce_context& ctx) {
  exchange_id exchange = active.request->exchange;
  std::size_t length = active.body.size();
  ctx.Emit(forward_begin{exchange, active.response.status, active.response.headers, length});
  ctx.Emit(forward_bytes{exchange, std::move(active.body)});
  ctx.Emit(forward_end{exchange});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const upstream_response_end& e, reduce_context& ctx) {
  active_request* active = Find(e.id);
  if (active == nullptr) return;
  if (active->is_streaming && active->events.HasPartialEvent()) {
    // The connection was closed properly, but in the middle of an event.
    Handle(upstream_call_failed{e.id, upstream_stage::kAnswering, response_fault::kClosed}, ctx);
    return;
  }
  bool not_run = active->current->not_run;
  bool wrong_backend = active->current->wrong_backend;
  bool is_stream = active->current->is_stream;
  unsigned status = active->response.status;
  attempt_result result = ResultForStatus(status);
  if (not_run) result = wrong_backend ? attempt_result::kWrongBackend : attempt_result::kFull;
  EndAttempt(*active, result, ctx);
  if (!not_run) {
    active->may_have_run = true;
    if (status < 500) RecordSuccess(*active, ctx);
  }
  if (active->is_streaming && is_stream) {
    ctx.Emit(forward_end{active->request->exchange});
    Finish(*active, "served", status, ctx);
    return;
  }
  if (active->is_passthrough) {
    ctx.Emit(forward_end{active->request->exchange});
    Finish(*active, "served", status, ctx);
    return;
  }
  // These statuses usually mean that the request did not run, but only the backend server's
  // explicit statement proves it.
  bool unconfirmed = !not_run && (status == 503 || status == 429 || status == 408 || status == 421);
  bool failed = not_run || unconfirmed || status >= 500;
  retry_reason reason = not_run ? retry_reason::kRefusedByBackend : retry_reason::kEngineCrashed;
  if (failed && Retry(*active, reason, ctx)) return;
  if (active->HasBegun()) {
    // A stream could not be resumed on another backend server.
    ctx.Emit(forward_abort{active->request->exchange});
    Finish(*active, "aborted", status, ctx);
    return;
  }
  if (not_run) {
    FailRequest(*active, refusal_reason::kBackendsFull, ctx);
    return;
  }
  if (unconfirmed) {
    FailRequest(*active, refusal_reason::kNoBackend, ctx);
    return;
  }
  SendBufferedResponse(*active, ctx);
  Finish(*active, failed ? "failed" : "served", status, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const upstream_call_failed& e, reduce_context& ctx) {
  active_request* active = Find(e.id);
  if (active == nullptr) return;
  bool unsent = e.stage == upstream_stage::kConnecting;
  if (e.fault != response_fault::kNone) ctx.Emit(count_broken_response{e.fault});
  ctx.Emit(write_log{
      {event_code::kForwardAttemptFailed,
       log_level::kInfo,
       {{"request", active->request->id},
        {"backend", active->current->backend},
        {"stage", std::string(ToString(e.stage))},
        {"fault", std::string(ToString(e.fault))},
        {"after_us", ElapsedMicros(active->current->sent, ctx.now)},
        {"begun_us",
         active->current->begun ? ElapsedMicros(*active->current->begun, ctx.now) : "none"}}}});
  attempt lost = *active->current;
  EndAttempt(*active, attempt_result::kConnectionFailed, ctx);
  active->events.DiscardPartialEvent();
  active->body.clear();
  if (unsent) {
    --active->attempts;
    bool may_reconnect = ++active->connect_failures <= kMaxConnectFailures;
    if (may_reconnect && MayRetry(*active) && Send(*active, ctx) == refusal_reason::kNone) return;
    FailRequest(*active, refusal_reason::kNoBackend, ctx);
    return;
  }
  active->may_have_run = true;
  // A backend server that is leaving ends its last connections when it exits.
  bool may_be_crash =
      (e.stage == upstream_stage::kWaiting || e.stage == upstream_stage::kAnswering) &&
      !withheld_.HasLeft(lost.backend);
  if (may_be_crash && MayBeCause(lost, ctx.now)) {
    ProbeAfterLoss(*active, lost, ctx);
  } else {
    bool malformed = e.stage == upstream_stage::kMalformed;
    RetryAfterLoss(*active, malformed ? retry_reason::kEngineError : retry_reason::kEngineCrashed,
                   ctx);
  }
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::RetryAfterLoss(active_request& active, retry_reason reason,
                                                    reduce_context& ctx) {
  if (!active.is_passthrough && Retry(active, reason, ctx)) return;
  FailRequest(active, refusal_reason::kNoBackend, ctx);
}

template <backend_selector Selector, forward_admission Admission>
bool forwarder<Selector, Admission>::MayBeCause(const attempt& current, steady_time now) {
  return !current.begun || now - *current.begun <= kMaxTimeToCrash;
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::ProbeAfterLoss(active_request& active, const attempt& lost,
                                                    reduce_context& ctx) {
  std::vector<lost_request>& requests = lost_requests_[lost.backend];
  if (requests.empty()) ctx.Emit(probe_backend{lost.backend, lost.address});
  requests.push_back({active.request->exchange, active.request->id, active.content});
  bool retriable = MayRetry(active) && active.attempts < active.matched_route->max_attempts;
  if (!retriable) FailRequest(active, refusal_reason::kNoBackend, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const backend_probed& e, reduce_context& ctx) {
  auto it = lost_requests_.find(e.backend);
  if (it == lost_requests_.end()) return;
  std::vector<lost_request> lost = std::move(it->second);
  lost_requests_.erase(it);
  bool crashed = e.result == probe_result::kRefused;
  if (crashed) OnBackendCrashed(e.backend, lost, ctx);
  for (const lost_request& request : lost) {
    auto found = requests_.find(request.exchange);
    if (found == requests_.end() || found->second.current) continue;
    // A request that may be the cause would crash the next backend server as well.
    if (crashed && !crashes_.IsTrusted(request.content, ctx.now)) {
      FailRequest(found->second, refusal_reason::kNoBackend, ctx);
    } else {
      RetryAfterLoss(found->second, retry_reason::kEngineCrashed, ctx);
    }
  }
  ScheduleNext(ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::OnBackendCrashed(const std::string& backend,
                                                      const std::vector<lost_request>& lost,
                                                      reduce_context& ctx) {
  ctx.Emit(count{counter::kEngineCrashes});
  crash_evidence evidence;
  for (const lost_request& request : lost) {
    crash_evidence added = crashes_.OnCrash(request.content, ctx.now);
    ctx.Emit(count{counter::kCrashCharges, added.crashes.size()});
    bool trusted = crashes_.IsTrusted(request.content, ctx.now);
    ctx.Emit(write_log{{event_code::kBackendCrashed,
                        log_level::kWarning,
                        {{"backend", backend},
                         {"request", request.id},
                         {"contents", std::to_string(request.content.prompt_parts.size() + 1)},
                         {"charged", std::to_string(added.crashes.size())},
                         {"trusted", trusted ? "yes" : "no"}}}});
    evidence.crashes.insert(evidence.crashes.end(), added.crashes.begin(), added.crashes.end());
    evidence.successes.insert(evidence.successes.end(), added.successes.begin(),
                              added.successes.end());
  }
  if (evidence.Empty()) return;
  ctx.Emit(share_crash_evidence{evidence});
  EnforceQuarantine(evidence, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::RecordSuccess(active_request& active, reduce_context& ctx) {
  if (std::exchange(active.content_cleared, true)) return;
  crash_evidence evidence = crashes_.OnSuccess(active.content, ctx.now);
  if (evidence.Empty()) return;
  for (const content_observation& o : evidence.successes) {
    ctx.Emit(write_log{
        {event_code::kContentReleased,
         log_level::kInfo,
         {{"content", std::to_string(o.content.value)}, {"request", active.request->id}}}});
  }
  ctx.Emit(count{counter::kSuspectsCleared, evidence.successes.size()});
  ctx.Emit(share_crash_evidence{std::move(evidence)});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const crash_evidence_shared& e, reduce_context& ctx) {
  crash_evidence known = crashes_.KnownSuccesses(e.evidence, ctx.now);
  crash_evidence added = crashes_.Merge(e.evidence, ctx.now);
  if (!known.Empty()) ctx.Emit(share_crash_evidence{std::move(known)});
  EnforceQuarantine(added, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::EnforceQuarantine(const crash_evidence& evidence,
                                                       reduce_context& ctx) {
  bool any = false;
  for (const content_observation& o : evidence.crashes) {
    auto left = crashes_.QuarantinedFor(o.content, ctx.now);
    if (!left) continue;
    any = true;
    ctx.Emit(write_log{{event_code::kContentQuarantined,
                        log_level::kWarning,
                        {{"content", std::to_string(o.content.value)},
                         {"for_ms", std::to_string(left->count())}}}});
  }
  if (!any) return;
  std::vector<exchange_id> affected;
  for (const auto& [exchange, active] : requests_) {
    bool may_crash = active.current && MayBeCause(*active.current, ctx.now);
    if (may_crash && crashes_.QuarantinedFor(active.content, ctx.now)) affected.push_back(exchange);
  }
  for (exchange_id exchange : affected) {
    FailRequest(requests_.at(exchange), refusal_reason::kQuarantined, ctx);
  }
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::FailRequest(active_request& active, refusal_reason reason,
                                                 reduce_context& ctx) {
  exchange_id exchange = active.request->exchange;
  bool attempt_active = active.current.has_value();
  if (attempt_active) {
    ctx.Emit(cancel_upstream{active.current->id});
    EndAttempt(active, attempt_result::kCancelled, ctx);
  }
  if (active.HasBegun()) {
    ctx.Emit(forward_abort{exchange});
    Finish(active, "aborted", active.response.status, ctx);
    return;
  }
  bool timed_out = reason == refusal_reason::kDeadlinePassed;
  if (attempt_active || active.may_have_run) {
    unsigned status = timed_out ? 504 : 502;
    ctx.Emit(send_error_response{exchange, status, refusal_reason::kNone, std::nullopt});
    Finish(active, timed_out ? "timed-out" : "failed", status, ctx);
    return;
  }
  ctx.Emit(count_refusal{reason});
  ctx.Emit(send_error_response{exchange, 503, reason, RetryAfter(active, reason, ctx)});
  Finish(active, ToString(reason), 503, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Finish(active_request& active, std::string_view outcome,
                                            unsigned status, reduce_context& ctx) {
  priority_class cls = kPriorityClasses[std::min<std::size_t>(active.matched_route->priority, 2)];
  if (active.first_byte) {
    auto first =
        std::chrono::duration_cast<std::chrono::microseconds>(*active.first_byte - active.received);
    ctx.Emit(observe_latency{latency_metric::kFirstByte, cls, first});
    bool in_time = active.matched_route->target_latency.count() == 0 ||
                   first <= active.matched_route->target_latency;
    if (outcome == "served" && in_time) ctx.Emit(count{counter::kAnswersInTime});
  }
  if (outcome == "served") ctx.Emit(count{counter::kAnswersCompleted});
  if (outcome == "aborted") ctx.Emit(count{counter::kAnswersAborted});
  log_event line;
  line.code = event_code::kForwardFinished;
  line.fields = {
      {"request", active.request->id},
      {"outcome", std::string(outcome)},
      {"status", std::to_string(status)},
      {"route", active.matched_route->name},
      {"member", active.member},
      {"service", active.service},
      {"backend", active.tried_backends.empty() ? "none" : active.tried_backends.back()},
      {"attempts", std::to_string(active.attempts)},
      {"first_us", active.first_byte ? ElapsedMicros(active.received, *active.first_byte) : "none"},
      {"total_us", ElapsedMicros(active.received, ctx.now)},
      {"config", std::to_string(active.routes->Version())}};
  if (active.admission.capacity > 0) {
    line.fields.push_back({"load", FormatTenths(active.load)});
    line.fields.push_back({"capacity", FormatTenths(active.admission.capacity)});
    line.fields.push_back({"load_age_ms", std::to_string(active.admission.load_age.count())});
    line.fields.push_back({"pass_us", std::to_string(active.admission.pass.count())});
  }
  if (active.left_queue) {
    line.fields.push_back({"waited_us", ElapsedMicros(active.received, *active.left_queue)});
  }
  ctx.Emit(write_log{std::move(line)});
  exchange_id exchange = active.request->exchange;
  waiting_.Remove(exchange);
  request_bytes_ -= RequestBytes(*active.request);
  response_bytes_ -= active.counted_bytes;
  deadlines_.erase({active.deadline, exchange.value});
  requests_.erase(exchange);
  CheckDrained(ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const forward_caller_closed& e, reduce_context& ctx) {
  auto it = requests_.find(e.exchange);
  if (it == requests_.end()) return;
  active_request& active = it->second;
  ctx.Emit(count{counter::kCallersHungUp});
  if (active.current) {
    ctx.Emit(cancel_upstream{active.current->id});
    EndAttempt(active, attempt_result::kCancelled, ctx);
  }
  Finish(active, "caller-left", 0, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const deployment_published& e, reduce_context&) {
  // Within one incarnation of a process, the version never decreases.
  if (routes_ != nullptr && e.routes->Version() <= routes_->Version()) return;
  routes_ = e.routes;
  UpdateColdProfiles();
  if (settings_.learned_capacity) UpdateLearnedServices();
}

// The engines of a group share its forward passes, so their limits say nothing one by one.
template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::UpdateLearnedServices() {
  service_set learned;
  for (const service& s : routes_->Deployment().services) {
    if (!s.engine) learned.insert(s.name);
  }
  selector_.LearnCapacity(std::move(learned));
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::UpdateColdProfiles() {
  cold_backends::profiles profiles;
  for (const service& s : routes_->Deployment().services) {
    if (s.cold_requests_per_second <= 0) continue;
    profiles[s.name] = {s.cold_duration, s.cold_requests_per_second};
  }
  cold_.SetProfiles(std::move(profiles));
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const routing_table_published& e, reduce_context& ctx) {
  directory_known_ = directory_known_ || e.table->directory_known;
  table_ = e.table;
  withheld_.OnTable(e.table, ctx.now);
  LogCold(cold_.OnTable(*e.table, ctx.now, ctx.random), ctx);
  PublishEligible(ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::LogCold(const std::vector<cold_backend>& marked,
                                             reduce_context& ctx) {
  for (const cold_backend& cold : marked) {
    ctx.Emit(write_log{{event_code::kBackendCold,
                        log_level::kInfo,
                        {{"backend", cold.backend},
                         {"for_ms", std::to_string(cold.remaining.count())},
                         {"source", std::string(cold.source)}}}});
  }
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::PublishEligible(reduce_context&) {
  if (table_ == nullptr) return;
  if (evacuated_zones_.empty()) {
    selector_.OnTable(*table_, settings_.zone);
    return;
  }
  routing_table eligible = *table_;
  auto is_evacuated = [&](std::uint32_t index) {
    return evacuated_zones_.contains(eligible.backends[index].zone);
  };
  for (auto& [service, pool] : eligible.pools) {
    std::erase_if(pool.local, is_evacuated);
    std::erase_if(pool.remote, is_evacuated);
  }
  selector_.OnTable(eligible, settings_.zone);
}

// Streams in progress in an evacuated zone complete. The backend servers of a zone that returns may
// have become cold in the meantime.
template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const evacuations_published& e, reduce_context& ctx) {
  std::set<std::string> zones(e.evacuations.zones.begin(), e.evacuations.zones.end());
  std::swap(zones, evacuated_zones_);
  for (const std::string& zone : zones) {
    if (evacuated_zones_.contains(zone) || table_ == nullptr) continue;
    LogCold(cold_.OnZoneReturned(zone, *table_, ctx.now, ctx.random), ctx);
  }
  PublishEligible(ctx);
  // Those that no backend server is left for are refused at once.
  ServeWaiting(ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const fleet_load_published& e, reduce_context& ctx) {
  if (e.load->entries > 0) {
    entries_ = e.load->entries;
    cold_.SetProcesses(entries_);
  }
  if (!admission_.OnFleetLoad(e.load, ctx.now)) {
    ctx.Emit(count{counter::kFleetLoadsOutdated});
    return;
  }
  selector_.OnFleetLoad(*e.load, ctx.now);
  ServeWaiting(ctx);
  ScheduleNext(ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const timer_expired&, reduce_context& ctx) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= ctx.now) {
    active_request& active = requests_.at({deadlines_.begin()->second});
    FailRequest(active, refusal_reason::kDeadlinePassed, ctx);
  }
  auto next_decision = waiting_.NextDecision();
  if (next_decision && *next_decision <= ctx.now) ServeWaiting(ctx);
  if (draining_ && ctx.now >= drain_answer_at_) EndUnfinished(ctx);
  CheckDrained(ctx);
  ScheduleNext(ctx);
}

// An answer tells the caller that the request may have run; a closed connection tells nothing.
template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::EndUnfinished(reduce_context& ctx) {
  std::vector<exchange_id> unfinished;
  for (const auto& [exchange, active] : requests_) unfinished.push_back(exchange);
  unfinished_at_stop_ = unfinished_at_stop_ || !unfinished.empty();
  for (exchange_id exchange : unfinished) {
    FailRequest(requests_.at(exchange), refusal_reason::kDraining, ctx);
  }
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const drain_requested& e, reduce_context& ctx) {
  if (draining_) return;
  draining_ = true;
  drain_notice_end_ = ctx.now + settings_.drain_notice;
  drain_deadline_ = e.deadline;
  drain_answer_at_ = e.deadline - settings_.drain_answer_time;
  ctx.Emit(drain_connections{});
  ScheduleNext(ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::CheckDrained(reduce_context& ctx) {
  if (!draining_ || stop_forced_ || ctx.now < drain_notice_end_) return;
  if (!std::exchange(idle_callers_closed_, true)) ctx.Emit(close_idle_callers{});
  bool late = ctx.now >= drain_deadline_;
  if (!late && (stop_requested_ || !requests_.empty())) return;
  // The process may still be reading or writing the last requests until the deadline.
  bool finished = requests_.empty() && !stop_requested_ && !unfinished_at_stop_;
  stop_requested_ = true;
  stop_forced_ = late;
  ctx.Emit(stop_process{finished, !late});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::ScheduleNext(reduce_context& ctx) const {
  if (!deadlines_.empty()) ctx.Emit(schedule_wakeup{deadlines_.begin()->first});
  if (auto next = waiting_.NextDecision()) ctx.Emit(schedule_wakeup{*next});
  if (draining_ && !stop_forced_) {
    steady_time next = drain_deadline_;
    if (ctx.now < drain_answer_at_) next = drain_answer_at_;
    if (ctx.now < drain_notice_end_) next = std::min(next, drain_notice_end_);
    ctx.Emit(schedule_wakeup{next});
  }
}

template class forwarder<least_loaded_selector, queueing_admission>;
template class forwarder<least_loaded_selector, engine_model_admission>;
template class forwarder<round_robin_selector, admit_all>;

}  // namespace radishroute
