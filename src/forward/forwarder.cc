#include "radishroute/forward/forwarder.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <random>

#include "radishroute/http_header.h"

namespace radishroute {

namespace {

// A response up to this length is held until it is whole, so that one that is cut off can be
// replaced by another attempt or by an error status.
constexpr std::size_t kMaxHeldBytes = 256 * 1024;

// Attempts that fail before a byte is sent do not reach a backend server; a few of them are no
// reason to refuse.
constexpr std::uint32_t kMaxConnectFailures = 3;

// A caller that is refused because every backend server is full may come back after this time,
// in which each of them ends several requests.
constexpr std::chrono::milliseconds kRetryAfterFull{300};

// Of a route's time, what a caller has left at its first attempt at least.
constexpr double kFirstAttemptShare = 0.9;

// Callers honour a time to come back up to a third of what they have left.
constexpr double kEarliestReturn = 0.24;
constexpr double kLatestReturn = 0.33;

// A process that has just started hears its configuration and directory within this time.
constexpr std::chrono::milliseconds kRetryAfterStart{500};

// Urgency has ten values; each member's rank takes three of them, one for each rank of routes.
constexpr std::uint32_t kRanksPerMemberRank = 3;
constexpr std::uint32_t kLeastUrgent = 9;

// An attempt with less time than this left cannot reach a backend server and return.
constexpr std::chrono::milliseconds kLeastTimeForAttempt{20};

std::uint32_t Urgency(const route& via, const member_account* member) {
  std::uint32_t rank = std::min(via.rank, kRanksPerMemberRank - 1);
  if (member != nullptr && member->rank) rank += kRanksPerMemberRank * *member->rank;
  return std::min(rank, kLeastUrgent);
}

std::string Micros(steady_time from, steady_time to) {
  return std::to_string(std::chrono::duration_cast<std::chrono::microseconds>(to - from).count());
}

std::string Tenths(double value) {
  char text[32];
  std::snprintf(text, sizeof(text), "%.1f", value);
  return text;
}

bool IsEventStream(const backend_response& answer) {
  const std::string* type = FindHeader(answer.headers, "content-type");
  return type != nullptr && type->starts_with("text/event-stream");
}

attempt_verdict VerdictOf(unsigned status) {
  return status >= 500 ? attempt_verdict::kError : attempt_verdict::kServed;
}

}  // namespace

std::string_view ToString(upstream_stage stage) {
  constexpr std::array<std::string_view, 4> kNames = {"connecting", "waiting", "answering",
                                                      "malformed"};
  return kNames[static_cast<std::size_t>(stage)];
}

template <backend_selector Selector, forward_admission Admission>
auto forwarder<Selector, Admission>::Find(upstream_id id) -> forwarded* {
  auto it = attempts_.find(id);
  return it == attempts_.end() ? nullptr : &requests_.at(it->second);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Reject(const forward_request& request, unsigned status,
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
std::string forwarder<Selector, Admission>::PickService(const route& via,
                                                        random_source& random) const {
  std::uint64_t total = 0;
  for (const traffic_share& share : via.split) total += share.weight;
  std::uint64_t point = std::uniform_int_distribution<std::uint64_t>(0, total - 1)(random);
  for (const traffic_share& share : via.split) {
    if (point < share.weight) return share.service;
    point -= share.weight;
  }
  return via.split.back().service;
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const forward_received& e, reduce_context& ctx) {
  const forward_request& request = *e.request;
  ctx.Emit(count{counter::kRequestsReceived});
  if (routes_ == nullptr || !directory_known_) {
    Reject(request, 503, refusal_reason::kNoConfiguration, kRetryAfterStart, ctx);
    return;
  }
  const route* via = routes_->Find(request.host, request.path);
  if (via == nullptr) {
    Reject(request, 404, refusal_reason::kUnknownRoute, std::nullopt, ctx);
    return;
  }
  const member_account* member = nullptr;
  if (!routes_->Deployment().members.empty() && !via->is_public) {
    member = routes_->FindMember(request.key);
    if (member == nullptr) {
      Reject(request, 401, refusal_reason::kUnauthorized, std::nullopt, ctx);
      return;
    }
  }
  if (requests_.size() >= settings_.max_requests) {
    Reject(request, 503, refusal_reason::kTooManyRequests, kRetryAfterFull, ctx);
    return;
  }
  forwarded f;
  f.request = e.request;
  f.routes = routes_;
  f.via = via;
  f.service = PickService(*via, ctx.random);
  if (member != nullptr) f.member = member->name;
  f.urgency = Urgency(*via, member);
  f.received = ctx.now;
  auto patience = request.time_left ? std::min(*request.time_left, via->timeout) : via->timeout;
  f.give_up_at = ctx.now + patience;
  retries_.OnRequest(f.service, ctx.now);
  auto [it, added] = requests_.emplace(request.exchange, std::move(f));
  give_up_.emplace(it->second.give_up_at, request.exchange.value);
  refusal_reason refused = Send(it->second, ctx);
  if (refused != refusal_reason::kNone) {
    GiveUp(it->second, refused, ctx);
    return;
  }
  ScheduleNext(ctx);
}

template <backend_selector Selector, forward_admission Admission>
refusal_reason forwarder<Selector, Admission>::Send(forwarded& f, reduce_context& ctx) {
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(f.give_up_at - ctx.now);
  if (left < kLeastTimeForAttempt) return refusal_reason::kDeadlinePassed;
  selection_query query{f.service, f.urgency, f.tried};
  auto chosen = selector_.Choose(query, ctx.now, ctx.random);
  if (!chosen) return refusal_reason::kNoBackend;
  const service* target = f.routes->FindService(f.service);
  bool has_engine = target != nullptr && target->engine;
  const engine_profile* engine = has_engine ? &*target->engine : nullptr;
  if (engine != nullptr && engine->expert_sets > 0 && admission_.GroupIsDown(ctx.now)) {
    return refusal_reason::kNoBackend;
  }
  // What was admitted once is not refused for load when it goes on elsewhere.
  admission_query load{f.via, engine, *chosen, CameBack(f)};
  if (f.attempts == 0) {
    f.decided_by = admission_.Admit(load, ctx.now, ctx.random);
    f.load = chosen->load;
    if (!f.decided_by.admitted) return refusal_reason::kQueueFull;
  }
  f.current = attempt{{next_attempt_++}, chosen->backend, ctx.now};
  f.tried.push_back(chosen->backend);
  ++f.attempts;
  attempts_[f.current->id] = f.request->exchange;
  selector_.OnSent(chosen->backend, ctx.now);
  ctx.Emit(count{counter::kDispatchesSent});
  start_upstream start;
  start.id = f.current->id;
  start.request = f.request;
  start.address = chosen->address;
  start.backend = chosen->backend;
  start.member = f.member;
  start.time_left = left;
  start.urgency = f.urgency;
  start.last_event = f.Begun() ? f.events.LastId() : f.request->last_event;
  // A kept connection may be closed by the other side while the request is on its way, and whether
  // it was read then cannot be known.
  start.may_reuse_connection = f.via->kind != request_kind::kNonIdempotent;
  ctx.Emit(std::move(start));
  return refusal_reason::kNone;
}

// A caller that was told to come back has waited since; its time left shows that.
template <backend_selector Selector, forward_admission Admission>
bool forwarder<Selector, Admission>::CameBack(const forwarded& f) const {
  return f.request->time_left && *f.request->time_left < f.via->timeout * kFirstAttemptShare;
}

// Callers come back once, within a third of the time that they have left. A group that is down is
// back after seconds, and a flood lasts as long, so a later return has the better chance. The times
// are spread, so that a crowd does not come back at once.
template <backend_selector Selector, forward_admission Admission>
std::chrono::milliseconds forwarder<Selector, Admission>::RetryAfter(const forwarded& f,
                                                                     refusal_reason reason,
                                                                     reduce_context& ctx) const {
  bool lasts = reason == refusal_reason::kNoBackend || reason == refusal_reason::kQueueFull;
  if (f.via->kind != request_kind::kStreaming || !lasts) return kRetryAfterFull;
  auto left = std::chrono::duration_cast<std::chrono::milliseconds>(f.give_up_at - ctx.now);
  std::uniform_real_distribution<double> spread(kEarliestReturn, kLatestReturn);
  return std::chrono::duration_cast<std::chrono::milliseconds>(left * spread(ctx.random));
}

template <backend_selector Selector, forward_admission Admission>
bool forwarder<Selector, Admission>::MayRepeat(const forwarded& f) const {
  switch (f.via->kind) {
    case request_kind::kIdempotent:
      return true;
    case request_kind::kNonIdempotent:
      return !f.may_have_run;
    case request_kind::kStreaming:
      return !f.may_have_run || f.via->resumable;
  }
  return false;
}

template <backend_selector Selector, forward_admission Admission>
bool forwarder<Selector, Admission>::SendAgain(forwarded& f, retry_reason reason,
                                               reduce_context& ctx) {
  if (!MayRepeat(f) || f.attempts >= f.via->attempts) return false;
  if (!retries_.TakeRetry(f.service, ctx.now)) {
    ctx.Emit(count{counter::kRetriesOverBudget});
    return false;
  }
  if (Send(f, ctx) != refusal_reason::kNone) return false;
  ctx.Emit(count_retry{reason});
  ctx.Emit(write_log{{event_code::kForwardRetried,
                      log_level::kInfo,
                      {{"request", f.request->id},
                       {"reason", std::string(ToString(reason))},
                       {"backend", f.current->backend},
                       {"attempt", std::to_string(f.attempts)}}}});
  return true;
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::EndAttempt(forwarded& f, attempt_verdict verdict,
                                                reduce_context& ctx) {
  if (!f.current) return;
  selector_.OnDone(f.current->backend, verdict, ctx.now);
  attempts_.erase(f.current->id);
  f.current.reset();
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const upstream_response_begin& e, reduce_context& ctx) {
  forwarded* f = Find(e.id);
  if (f == nullptr) return;
  attempt& a = *f->current;
  if (e.answer.load) selector_.OnLoad(a.backend, *e.answer.load, ctx.now);
  a.not_run = e.answer.not_run;
  a.wrong_backend = e.answer.wrong_backend;
  f->answer = e.answer;
  f->body.clear();
  if (!f->first_byte && !a.not_run) f->first_byte = ctx.now;
  bool stream = f->via->kind == request_kind::kStreaming && e.answer.status == 200 && !a.not_run &&
                IsEventStream(e.answer);
  if (stream && !f->Begun()) BeginStream(*f, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::BeginStream(forwarded& f, reduce_context& ctx) {
  f.streams = true;
  ctx.Emit(forward_begin{f.request->exchange, f.answer.status, f.answer.headers, std::nullopt});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::PassThrough(forwarded& f, reduce_context& ctx) {
  f.passes_through = true;
  ctx.Emit(forward_begin{f.request->exchange, f.answer.status, f.answer.headers, f.answer.length});
  ctx.Emit(forward_bytes{f.request->exchange, std::exchange(f.body, {})});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const upstream_response_bytes& e, reduce_context& ctx) {
  forwarded* f = Find(e.id);
  if (f == nullptr) return;
  bool stream_goes_on = f->streams && f->answer.status == 200 && !f->current->not_run;
  if (stream_goes_on) {
    std::string whole = f->events.Feed(e.bytes);
    if (!whole.empty()) ctx.Emit(forward_bytes{f->request->exchange, std::move(whole)});
  } else if (f->passes_through) {
    ctx.Emit(forward_bytes{f->request->exchange, e.bytes});
  } else {
    f->body.append(e.bytes);
    if (f->body.size() > kMaxHeldBytes && !f->Begun()) PassThrough(*f, ctx);
  }
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Deliver(forwarded& f, reduce_context& ctx) {
  exchange_id exchange = f.request->exchange;
  std::size_t length = f.body.size();
  ctx.Emit(forward_begin{exchange, f.answer.status, f.answer.headers, length});
  ctx.Emit(forward_bytes{exchange, std::move(f.body)});
  ctx.Emit(forward_end{exchange});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const upstream_response_end& e, reduce_context& ctx) {
  forwarded* f = Find(e.id);
  if (f == nullptr) return;
  if (f->streams && f->events.InEvent()) {
    // The connection was closed in order, but in the middle of an event.
    Handle(upstream_call_failed{e.id, upstream_stage::kAnswering}, ctx);
    return;
  }
  bool not_run = f->current->not_run;
  bool wrong_backend = f->current->wrong_backend;
  unsigned status = f->answer.status;
  attempt_verdict verdict = VerdictOf(status);
  if (not_run) verdict = wrong_backend ? attempt_verdict::kReplaced : attempt_verdict::kFull;
  EndAttempt(*f, verdict, ctx);
  if (!not_run) f->may_have_run = true;
  if (f->streams && status == 200 && !not_run) {
    ctx.Emit(forward_end{f->request->exchange});
    Finish(*f, "served", status, ctx);
    return;
  }
  if (f->passes_through) {
    ctx.Emit(forward_end{f->request->exchange});
    Finish(*f, "served", status, ctx);
    return;
  }
  // A status that promises that nothing ran counts only with the backend server's statement.
  bool unproven = !not_run && (status == 503 || status == 429 || status == 408 || status == 421);
  bool failed = not_run || unproven || status >= 500;
  retry_reason reason = not_run ? retry_reason::kRefusedByBackend : retry_reason::kEngineCrashed;
  if (failed && SendAgain(*f, reason, ctx)) return;
  if (f->Begun()) {
    // A stream that was to go on elsewhere.
    ctx.Emit(forward_abort{f->request->exchange});
    Finish(*f, "aborted", status, ctx);
    return;
  }
  if (not_run) {
    GiveUp(*f, refusal_reason::kBackendsFull, ctx);
    return;
  }
  if (unproven) {
    GiveUp(*f, refusal_reason::kNoBackend, ctx);
    return;
  }
  Deliver(*f, ctx);
  Finish(*f, failed ? "failed" : "served", status, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const upstream_call_failed& e, reduce_context& ctx) {
  forwarded* f = Find(e.id);
  if (f == nullptr) return;
  bool unsent = e.stage == upstream_stage::kConnecting;
  ctx.Emit(write_log{{event_code::kForwardAttemptFailed,
                      log_level::kInfo,
                      {{"request", f->request->id},
                       {"backend", f->current->backend},
                       {"stage", std::string(ToString(e.stage))},
                       {"after_us", Micros(f->current->sent, ctx.now)}}}});
  EndAttempt(*f, attempt_verdict::kBroken, ctx);
  f->events.DropPartial();
  f->body.clear();
  if (unsent) {
    --f->attempts;
    bool again = ++f->connect_failures <= kMaxConnectFailures;
    if (again && MayRepeat(*f) && Send(*f, ctx) == refusal_reason::kNone) return;
  } else {
    f->may_have_run = true;
    if (!f->passes_through && SendAgain(*f, retry_reason::kEngineCrashed, ctx)) return;
  }
  GiveUp(*f, refusal_reason::kNoBackend, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::GiveUp(forwarded& f, refusal_reason reason,
                                            reduce_context& ctx) {
  exchange_id exchange = f.request->exchange;
  bool running = f.current.has_value();
  if (running) {
    ctx.Emit(cancel_upstream{f.current->id});
    EndAttempt(f, attempt_verdict::kWithdrawn, ctx);
  }
  if (f.Begun()) {
    ctx.Emit(forward_abort{exchange});
    Finish(f, "aborted", f.answer.status, ctx);
    return;
  }
  bool late = reason == refusal_reason::kDeadlinePassed;
  if (running || f.may_have_run) {
    unsigned status = late ? 504 : 502;
    ctx.Emit(send_error_response{exchange, status, refusal_reason::kNone, std::nullopt});
    Finish(f, late ? "timed-out" : "failed", status, ctx);
    return;
  }
  ctx.Emit(count_refusal{reason});
  ctx.Emit(send_error_response{exchange, 503, reason, RetryAfter(f, reason, ctx)});
  Finish(f, ToString(reason), 503, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Finish(forwarded& f, std::string_view outcome, unsigned status,
                                            reduce_context& ctx) {
  priority_class cls = kPriorityClasses[std::min<std::size_t>(f.via->rank, 2)];
  if (f.first_byte) {
    auto first = std::chrono::duration_cast<std::chrono::microseconds>(*f.first_byte - f.received);
    ctx.Emit(observe_latency{latency_metric::kFirstByte, cls, first});
    bool in_time = f.via->target_latency.count() == 0 || first <= f.via->target_latency;
    if (outcome == "served" && in_time) ctx.Emit(count{counter::kAnswersInTime});
  }
  if (outcome == "served") ctx.Emit(count{counter::kAnswersCompleted});
  if (outcome == "aborted") ctx.Emit(count{counter::kAnswersAborted});
  log_event line;
  line.code = event_code::kForwardFinished;
  line.fields = {{"request", f.request->id},
                 {"outcome", std::string(outcome)},
                 {"status", std::to_string(status)},
                 {"route", f.via->name},
                 {"member", f.member},
                 {"service", f.service},
                 {"backend", f.tried.empty() ? "none" : f.tried.back()},
                 {"attempts", std::to_string(f.attempts)},
                 {"first_us", f.first_byte ? Micros(f.received, *f.first_byte) : "none"},
                 {"total_us", Micros(f.received, ctx.now)},
                 {"config", std::to_string(f.routes->Version())}};
  if (f.decided_by.capacity > 0) {
    line.fields.push_back({"load", Tenths(f.load)});
    line.fields.push_back({"capacity", Tenths(f.decided_by.capacity)});
    line.fields.push_back({"load_age_ms", std::to_string(f.decided_by.load_age.count())});
    line.fields.push_back({"pass_us", std::to_string(f.decided_by.pass.count())});
  }
  ctx.Emit(write_log{std::move(line)});
  exchange_id exchange = f.request->exchange;
  give_up_.erase({f.give_up_at, exchange.value});
  requests_.erase(exchange);
  CheckDrained(ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const forward_caller_closed& e, reduce_context& ctx) {
  auto it = requests_.find(e.exchange);
  if (it == requests_.end()) return;
  forwarded& f = it->second;
  ctx.Emit(count{counter::kCallersHungUp});
  if (f.current) {
    ctx.Emit(cancel_upstream{f.current->id});
    EndAttempt(f, attempt_verdict::kWithdrawn, ctx);
  }
  Finish(f, "caller-left", 0, ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const deployment_published& e, reduce_context&) {
  // Versions only go up within one life of a process.
  if (routes_ == nullptr || e.routes->Version() > routes_->Version()) routes_ = e.routes;
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const routing_table_published& e, reduce_context&) {
  directory_known_ = directory_known_ || e.table->directory_known;
  selector_.OnTable(*e.table, settings_.zone);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const fleet_load_published& e, reduce_context& ctx) {
  selector_.OnFleetLoad(*e.load, ctx.now);
  admission_.OnFleetLoad(e.load, ctx.now);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const timer_expired&, reduce_context& ctx) {
  while (!give_up_.empty() && give_up_.begin()->first <= ctx.now) {
    forwarded& f = requests_.at({give_up_.begin()->second});
    GiveUp(f, refusal_reason::kDeadlinePassed, ctx);
  }
  CheckDrained(ctx);
  ScheduleNext(ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::Handle(const drain_requested& e, reduce_context& ctx) {
  if (draining_) return;
  draining_ = true;
  drained_from_ = ctx.now + settings_.drain_notice;
  drain_deadline_ = e.deadline;
  ctx.Emit(drain_connections{});
  ScheduleNext(ctx);
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::CheckDrained(reduce_context& ctx) {
  if (!draining_ || stopped_ || ctx.now < drained_from_) return;
  if (!std::exchange(closed_, true)) ctx.Emit(close_idle_callers{});
  if (!requests_.empty() && ctx.now < drain_deadline_) return;
  stopped_ = true;
  ctx.Emit(stop_process{requests_.empty()});
}

template <backend_selector Selector, forward_admission Admission>
void forwarder<Selector, Admission>::ScheduleNext(reduce_context& ctx) const {
  if (!give_up_.empty()) ctx.Emit(schedule_wakeup{give_up_.begin()->first});
  if (draining_ && !stopped_) {
    ctx.Emit(schedule_wakeup{ctx.now < drained_from_ ? drained_from_ : drain_deadline_});
  }
}

template class forwarder<least_loaded_selector, engine_model_admission>;
template class forwarder<round_robin_selector, admit_all>;

}  // namespace radishroute
