#include "io/engine_api.h"

#include <utility>

#include "io/broken_response.h"
#include "io/rank_json.h"

namespace radishroute {

namespace {

// Path at which engines answer health checks without doing any work.
constexpr const char* kHealthPath = "/health";
constexpr const char* kRankPath = "/v1/rank";

// Counts of the largest map as JSON take about 300 KB.
constexpr std::size_t kMaxRankAnswerBytes = std::size_t{4} << 20;

// A response that breaks the protocol shows that the engine lives; its request is no cause of a
// crash.
dispatch_failure FailureOf(response_fault fault) {
  bool lost = fault == response_fault::kReset || fault == response_fault::kClosed;
  return lost ? dispatch_failure::kEngineCrashed : dispatch_failure::kEngineError;
}

}  // namespace

engine_api::engine_api(io_loop& loop, endpoint engine, event_sink sink)
    : engine_(std::move(engine)),
      sink_(std::move(sink)),
      client_(loop,
              {[this](http_client::call_id call, unsigned status, const std::string& type) {
                 OnBegin(call, status, type);
               },
               [this](http_client::call_id call, std::string_view bytes) { OnBytes(call, bytes); },
               [this](http_client::call_id call, http_call_result result, response_fault fault) {
                 OnEnd(call, result, fault);
               }}) {}

void engine_api::Execute(const start_engine_call& e) {
  std::vector<http_header> headers = {
      {"x-member", e.member},
      {"x-request-id", ToString(e.id.request) + "-" + std::to_string(e.id.attempt)},
      {"x-priority", std::to_string(ClassIndex(e.cls))}};
  if (e.resume_offset > 0) {
    headers.push_back({"x-resume-offset", std::to_string(e.resume_offset)});
  }
  if (!e.idempotency_key.empty()) headers.push_back({"idempotency-key", e.idempotency_key});
  http_client::call_id call = client_.Start(engine_, e.path, headers, e.body);
  dispatches_[call] = e.id;
  calls_[e.id] = call;
}

void engine_api::Execute(const cancel_engine_call& e) {
  auto it = calls_.find(e.id);
  if (it == calls_.end()) return;
  // Closing the connection is the engine's signal to stop generating.
  client_.Cancel(it->second);
  dispatches_.erase(it->second);
  calls_.erase(it);
}

void engine_api::Execute(const probe_engine& e) {
  if (probe_call_ != 0) client_.Cancel(probe_call_);
  probe_number_ = e.number;
  probe_call_ = client_.Start(engine_, kHealthPath, {}, "");
}

void engine_api::Execute(const call_rank& e) {
  if (rank_call_ != 0) client_.Cancel(rank_call_);
  rank_number_ = e.number;
  rank_answer_.clear();
  rank_call_ = client_.Start(engine_, kRankPath, {}, RenderRankOrder(e.order));
}

void engine_api::OnBegin(http_client::call_id call, unsigned status, const std::string& type) {
  if (call == probe_call_) {
    // Any status shows that the server is alive; the rest of the response is not needed.
    probe_call_ = 0;
    client_.Cancel(call);
    sink_(engine_probe_done{probe_number_, true});
    return;
  }
  auto it = dispatches_.find(call);
  if (it != dispatches_.end()) sink_(engine_answer_begin{it->second, status, type});
}

void engine_api::OnBytes(http_client::call_id call, std::string_view bytes) {
  if (call == rank_call_) {
    if (rank_answer_.size() + bytes.size() <= kMaxRankAnswerBytes) {
      rank_answer_.append(bytes);
    } else {
      // What is kept is no whole document, so the answer counts as failed.
      rank_answer_.clear();
    }
    return;
  }
  auto it = dispatches_.find(call);
  if (it != dispatches_.end()) sink_(engine_answer_bytes{it->second, std::string(bytes)});
}

void engine_api::OnEnd(http_client::call_id call, http_call_result result, response_fault fault) {
  if (call == probe_call_) {
    probe_call_ = 0;
    ReportBrokenResponse("probe", {}, engine_, fault);
    sink_(engine_probe_done{probe_number_, result == http_call_result::kComplete});
    return;
  }
  if (call == rank_call_) {
    rank_call_ = 0;
    ReportBrokenResponse("rank", {}, engine_, fault);
    rank_call_finished finished{rank_number_, {}};
    if (result == http_call_result::kComplete) finished.progress = ParseRankProgress(rank_answer_);
    sink_(std::move(finished));
    return;
  }
  auto it = dispatches_.find(call);
  if (it == dispatches_.end()) return;
  dispatch_id id = it->second;
  dispatches_.erase(it);
  calls_.erase(id);
  switch (result) {
    case http_call_result::kComplete:
      sink_(engine_answer_end{id});
      return;
    case http_call_result::kNotSent:
      sink_(engine_call_failed{id, dispatch_failure::kEngineUnreachable, false});
      return;
    case http_call_result::kBroken:
      ReportBrokenResponse("request", ToString(id.request), engine_, fault);
      sink_(engine_call_failed{id, FailureOf(fault), true});
      return;
  }
}

}  // namespace radishroute
