#include "io/caller_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "io/metrics.h"

namespace radishroute {

namespace {

constexpr std::string_view kServicePrefix = "/v1/services/";
// For the balancer before the entries.
constexpr std::string_view kHealthPath = "/v1/health";
constexpr const char* kProblemType = "application/problem+json";

// Requests that share this much of the prompt's beginning are sent to the same backend server if
// possible, since it may still have the beginning in its prefix cache.
constexpr std::size_t kAffinityPrefixBytes = 256;

constexpr std::uint32_t kDefaultMaxTokens = 128;
constexpr std::uint32_t kHighestMaxTokens = 1U << 20;

std::string Header(const http_request& request, const char* name) {
  auto it = request.headers.find(name);
  return it == request.headers.end() ? "" : it->second;
}

bool ParseDeadline(const std::string& text, std::chrono::microseconds& out) {
  if (text.empty()) return true;
  std::uint32_t value = 0;
  auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || value == 0) return false;
  out = std::chrono::milliseconds(value);
  return true;
}

std::string PromptText(const nlohmann::json& body) {
  auto messages = body.find("messages");
  if (messages == body.end() || !messages->is_array()) return "";
  std::string text;
  for (const auto& entry : *messages) {
    if (!entry.is_object()) continue;
    auto content = entry.find("content");
    if (content != entry.end() && content->is_string()) text += content->get<std::string>();
    if (text.size() >= kAffinityPrefixBytes) break;
  }
  text.resize(std::min(text.size(), kAffinityPrefixBytes));
  return text;
}

bool ParseCompletion(const nlohmann::json& body, caller_request& out) {
  auto model = body.find("model");
  auto messages = body.find("messages");
  if (model == body.end() || !model->is_string()) return false;
  if (messages == body.end() || !messages->is_array() || messages->empty()) return false;
  out.model = model->get<std::string>();
  out.max_tokens = kDefaultMaxTokens;
  if (auto tokens = body.find("max_tokens"); tokens != body.end()) {
    if (!tokens->is_number_unsigned()) return false;
    out.max_tokens = static_cast<std::uint32_t>(
        std::min<std::uint64_t>(tokens->get<std::uint64_t>(), kHighestMaxTokens));
  }
  if (auto stream = body.find("stream"); stream != body.end()) {
    if (!stream->is_boolean()) return false;
    out.stream = stream->get<bool>();
  }
  if (auto adapter = body.find("adapter"); adapter != body.end()) {
    if (!adapter->is_string()) return false;
    out.adapter = adapter->get<std::string>();
  }
  out.prefix_hash = StableHash(PromptText(body));
  return true;
}

std::string_view OutcomeName(run_outcome outcome) {
  switch (outcome) {
    case run_outcome::kNotRun:
      return "not-run";
    case run_outcome::kDone:
      return "done";
    case run_outcome::kUnknown:
      break;
  }
  return "unknown";
}

std::string Problem(std::string_view type, unsigned status, run_outcome outcome) {
  nlohmann::json problem;
  problem["type"] = "urn:radishroute:problem:" + std::string(type);
  problem["title"] = type;
  problem["status"] = status;
  problem["outcome"] = OutcomeName(outcome);
  return problem.dump();
}

unsigned FailureStatus(dispatch_failure failure) {
  return failure == dispatch_failure::kDeadlinePassed ? 504 : 502;
}

}  // namespace

unsigned RefusalStatus(refusal_reason reason) {
  switch (reason) {
    case refusal_reason::kMalformedRequest:
    case refusal_reason::kMissingIdempotencyKey:
    case refusal_reason::kMalformedIdempotencyKey:
    case refusal_reason::kUnknownKind:
      return 400;
    case refusal_reason::kUnknownMember:
      return 403;
    case refusal_reason::kUnknownModel:
      return 404;
    case refusal_reason::kIdempotencyKeyConflict:
    case refusal_reason::kIdempotencyKeyExpired:
    case refusal_reason::kIdempotencyKeyInFuture:
      return 409;
    case refusal_reason::kBodyTooLarge:
      return 413;
    case refusal_reason::kQuarantined:
      return 422;
    case refusal_reason::kQueueFull:
    case refusal_reason::kOverMemberShare:
    case refusal_reason::kTooManyRequests:
    case refusal_reason::kRetryBudgetExhausted:
      return 429;
    case refusal_reason::kDeadlinePassed:
      return 504;
    default:
      return 503;
  }
}

refusal_reason ParseCallerRequest(const http_request& request, caller_request& out) {
  out.exchange = request.exchange;
  out.member = Header(request, "x-member");
  out.kind = Header(request, "x-work-kind");
  out.idempotency_key = Header(request, "idempotency-key");
  out.first_submission = Header(request, "x-first-submission") == "true";
  out.path = request.path;
  if (request.method != "POST") return refusal_reason::kMalformedRequest;
  if (!ParseDeadline(Header(request, "x-deadline-ms"), out.time_left)) {
    return refusal_reason::kMalformedRequest;
  }
  if (request.path.starts_with(kServicePrefix)) {
    std::string rest = request.path.substr(kServicePrefix.size());
    out.model = rest.substr(0, rest.find('/'));
  } else if (request.path == "/v1/chat/completions") {
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object() || !ParseCompletion(body, out)) return refusal_reason::kMalformedRequest;
  } else {
    return refusal_reason::kMalformedRequest;
  }
  out.body = request.body;
  return refusal_reason::kNone;
}

caller_api::caller_api(io_loop& loop, http_server_settings settings, event_sink sink)
    : sink_(std::move(sink)),
      server_(loop,
              [&] {
                settings.headers = {"x-member", "x-work-kind", "x-deadline-ms", "idempotency-key",
                                    "x-first-submission"};
                return settings;
              }(),
              {[this](http_request&& request) { OnRequest(std::move(request)); },
               [this](exchange_id id) {
                 plain_.erase(id);
                 sink_(caller_closed{id});
               },
               [] { CountRefusal(refusal_reason::kBodyTooLarge); },
               [](bool sending) {
                 CountMetric(sending ? counter::kSlowSendersCut : counter::kSlowCallersCut);
               }}) {}

void caller_api::OnRequest(http_request&& request) {
  if (request.method == "GET" && request.path == kHealthPath) {
    server_.Respond(request.exchange, draining_ ? 503 : 200, "text/plain", {},
                    draining_ ? "draining\n" : "serving\n");
    return;
  }
  caller_request parsed;
  refusal_reason reason = ParseCallerRequest(request, parsed);
  if (reason != refusal_reason::kNone) {
    Refuse(request.exchange, reason);
    return;
  }
  sink_(std::move(parsed));
}

void caller_api::Refuse(exchange_id exchange, refusal_reason reason) {
  CountRefusal(reason);
  Execute(respond_problem{exchange, reason, dispatch_failure::kNone, run_outcome::kNotRun, {}});
}

void caller_api::Execute(const drain_connections&) {
  draining_ = true;
  server_.Drain();
}

void caller_api::Execute(const respond_begin& e) {
  if (e.stream) {
    server_.Begin(e.exchange, e.status, e.content_type, {}, std::nullopt);
    return;
  }
  plain_[e.exchange] = {e.status, e.content_type, ""};
}

void caller_api::Execute(const respond_bytes& e) {
  auto it = plain_.find(e.exchange);
  if (it == plain_.end()) {
    server_.Write(e.exchange, e.bytes);
  } else {
    it->second.body += e.bytes;
  }
}

void caller_api::Execute(const respond_end& e) {
  auto it = plain_.find(e.exchange);
  if (it == plain_.end()) {
    server_.End(e.exchange);
    return;
  }
  plain_response response = std::move(it->second);
  plain_.erase(it);
  server_.Respond(e.exchange, response.status, response.content_type, {}, response.body);
}

void caller_api::Execute(const respond_abort& e) {
  if (plain_.erase(e.exchange) > 0) {
    Execute(
        respond_problem{e.exchange, refusal_reason::kNone, e.reason, run_outcome::kUnknown, {}});
    return;
  }
  // A complete stream ends with "data: [DONE]"; this event comes in its place.
  server_.Write(e.exchange,
                "event: error\ndata: " +
                    Problem(ToString(e.reason), FailureStatus(e.reason), run_outcome::kUnknown) +
                    "\n\n");
  server_.End(e.exchange);
}

void caller_api::Execute(const respond_problem& e) {
  plain_.erase(e.exchange);
  bool refused = e.refusal != refusal_reason::kNone;
  unsigned status = refused ? RefusalStatus(e.refusal) : FailureStatus(e.failure);
  std::string_view type = refused ? ToString(e.refusal) : ToString(e.failure);
  std::vector<http_header> headers;
  if (status == 429 || status == 503) {
    auto seconds = std::chrono::ceil<std::chrono::seconds>(e.retry_after).count();
    headers.push_back({"retry-after", std::to_string(std::max<std::int64_t>(seconds, 1))});
  }
  server_.Respond(e.exchange, status, kProblemType, headers, Problem(type, status, e.outcome));
}

}  // namespace radishroute
