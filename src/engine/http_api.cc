#include "engine/http_api.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "engine/prefix_cache.h"

namespace radishroute {

namespace {

// Bytes of KV cache per token, of the order of a large model's; reported, not transferred.
constexpr std::uint64_t kKvBytesPerToken = std::uint64_t{160} * 1024;

constexpr std::string_view kCacheEventsPath = "/v1/cache-events";

constexpr std::array<std::pair<std::string_view, engine_fault>, 10> kFaults = {{
    {"none", engine_fault::kNone},
    {"stall", engine_fault::kStall},
    {"stall-request", engine_fault::kStallRequest},
    {"silence", engine_fault::kSilence},
    {"slow", engine_fault::kSlow},
    {"drop", engine_fault::kDrop},
    {"corrupt", engine_fault::kCorrupt},
    {"cut", engine_fault::kCut},
    {"run-twice", engine_fault::kRunTwice},
    {"deny-run", engine_fault::kDenyRun},
}};

template <class Table, class Value>
bool Lookup(const Table& table, std::string_view name, Value& out) {
  for (const auto& [known, value] : table) {
    if (known != name) continue;
    out = value;
    return true;
  }
  return false;
}

std::string Header(const http_request& request, const char* name) {
  auto it = request.headers.find(name);
  return it == request.headers.end() ? "" : it->second;
}

std::uint64_t Number(std::string_view text) {
  std::uint64_t value = 0;
  std::from_chars(text.data(), text.data() + text.size(), value);
  return value;
}

template <class T>
T Field(const nlohmann::json& object, const char* name, T otherwise) {
  auto it = object.find(name);
  if (it == object.end()) return otherwise;
  if constexpr (std::is_same_v<T, std::string>) {
    return it->is_string() ? it->template get<T>() : otherwise;
  } else {
    return it->is_number_unsigned() ? it->template get<T>() : otherwise;
  }
}

std::optional<engine_event> ParseGet(const http_request& request, const engine_caller& caller) {
  std::string_view path = request.path;
  // A health probe only needs some answer; the load report is one.
  if (path == "/v1/load" || path == "/health") return load_asked{caller};
  if (path == "/v1/runs") return runs_asked{caller};
  if (path.starts_with(kCacheEventsPath)) {
    path.remove_prefix(kCacheEventsPath.size());
    if (path.starts_with('/')) path.remove_prefix(1);
    return cache_events_asked{caller, Number(path)};
  }
  return std::nullopt;
}

std::optional<engine_event> ParseOrder(const nlohmann::json& body, const engine_caller& caller) {
  order_arrived arrived{caller, {}};
  if (!ParseOrderKind(Field<std::string>(body, "order", ""), arrived.order.kind)) {
    return std::nullopt;
  }
  arrived.order.fencing_token = Field<std::uint64_t>(body, "token", 0);
  arrived.order.name = Field<std::string>(body, "name", "");
  arrived.order.weight_bytes = Field<std::uint64_t>(body, "bytes", 0);
  return arrived;
}

std::optional<engine_event> ParseControl(const http_request& request, const engine_caller& caller) {
  nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
  if (!body.is_object()) return std::nullopt;
  if (request.path == "/v1/orders") return ParseOrder(body, caller);
  if (request.path == "/v1/fault") {
    fault_injected injected{caller.exchange, engine_fault::kNone,
                            Field<std::uint64_t>(body, "value", 0)};
    if (!ParseFault(Field<std::string>(body, "fault", ""), injected.fault)) return std::nullopt;
    return injected;
  }
  if (request.path == "/v1/kv/export") {
    return kv_export_asked{caller, Field<std::string>(body, "prompt", "")};
  }
  if (request.path == "/v1/kv/import") {
    kv_import_asked asked{caller, {}};
    auto blocks = body.find("blocks");
    if (blocks == body.end() || !blocks->is_array()) return std::nullopt;
    for (const auto& block : *blocks) {
      if (!block.is_number_unsigned()) return std::nullopt;
      asked.blocks.push_back(block.get<std::uint64_t>());
    }
    return asked;
  }
  return std::nullopt;
}

bool IsControl(std::string_view path) {
  return path == "/v1/orders" || path == "/v1/fault" || path.starts_with("/v1/kv/");
}

}  // namespace

bool ParseFault(std::string_view name, engine_fault& out) { return Lookup(kFaults, name, out); }

std::optional<engine_event> ParseEngineRequest(const http_request& request, stand_in_kind kind) {
  engine_caller caller{request.exchange, request.connection};
  if (request.method == "GET") return ParseGet(request, caller);
  if (IsControl(request.path)) return ParseControl(request, caller);
  if (kind == stand_in_kind::kWeights) {
    nlohmann::json body = nlohmann::json::parse(request.body, nullptr, false);
    if (!body.is_object()) return std::nullopt;
    return weights_asked{caller, Field<std::uint64_t>(body, "bytes", 0)};
  }
  if (kind == stand_in_kind::kService) {
    return service_call_arrived{caller, Header(request, "idempotency-key"), request.body};
  }
  engine_request_arrived arrived;
  arrived.caller = caller;
  arrived.priority = static_cast<std::uint32_t>(Number(Header(request, "x-priority")));
  arrived.resume_offset = Number(Header(request, "x-resume-offset"));
  arrived.body = request.body;
  return arrived;
}

stand_in_response Render(const respond_load& e) {
  nlohmann::json body = {{"running", e.load.running},
                         {"waiting", e.load.waiting},
                         {"max_batch", e.load.max_batch},
                         {"cached_blocks", e.load.cached_blocks},
                         {"step_us", e.load.step.count()}};
  return {200, body.dump()};
}

stand_in_response Render(const respond_cache_events& e) {
  nlohmann::json events = nlohmann::json::array();
  for (const cache_event& event : e.events) {
    events.push_back({{"sequence", event.sequence},
                      {"event", event.stored ? "stored" : "removed"},
                      {"block", event.block}});
  }
  return {200, nlohmann::json{{"events", events}}.dump()};
}

stand_in_response Render(const respond_kv_blocks& e) {
  std::uint64_t tokens = e.blocks.size() * prefix_cache::kBlockTokens;
  nlohmann::json body = {
      {"blocks", e.blocks}, {"tokens", tokens}, {"bytes", tokens * kKvBytesPerToken}};
  return {200, body.dump()};
}

stand_in_response Render(const respond_order& e) {
  nlohmann::json body = {{"highest_token", e.highest_token}};
  switch (e.result) {
    case order_result::kApplied:
      body["result"] = "applied";
      return {200, body.dump()};
    case order_result::kStaleToken:
      body["result"] = "stale_token";
      return {409, body.dump()};
    case order_result::kWeightsUnavailable:
      body["result"] = "weights_unavailable";
      return {502, body.dump()};
  }
  return {500, "{}"};
}

stand_in_response Render(const respond_weights& e) {
  return {200, nlohmann::json{{"bytes", e.bytes}}.dump()};
}

stand_in_response Render(const respond_service& e) {
  if (!e.denied) return {200, e.body};
  nlohmann::json problem = {
      {"type", "urn:radishroute:problem:queue_full"}, {"status", 503}, {"outcome", "not-run"}};
  return {503, problem.dump(), "application/problem+json"};
}

stand_in_response Render(const respond_runs& e) {
  nlohmann::json runs = nlohmann::json::object();
  for (const run_count& count : e.runs) runs[count.idempotency_key] = count.runs;
  return {200, nlohmann::json{{"runs", runs}}.dump()};
}

stand_in_response Render(const respond_fault_set&) { return {200, "{}"}; }

stand_in_response Render(const respond_unknown_model&) {
  return {404, R"({"error":"model not loaded"})"};
}

}  // namespace radishroute
