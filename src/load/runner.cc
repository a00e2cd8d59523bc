#include "load/runner.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

// Each kept connection has a vhost of its own, so thousands would cost more than they save.
constexpr std::size_t kMaxKeptConnections = 512;

}  // namespace

load_runner::load_runner(const load_plan& plan, std::vector<endpoint> targets,
                         std::size_t connections, std::ostream* records)
    : targets_(std::move(targets)),
      records_(records),
      generator_(plan, targets_.size(), connections),
      result_(plan),
      client_(loop_,
              {[this](http_client::call_id id, unsigned status, const std::string& type) {
                 Apply(call_began{calls_.at(id), status, type});
               },
               [this](http_client::call_id id, std::string_view bytes) {
                 Apply(call_bytes{calls_.at(id), std::string(bytes)});
               },
               [this](http_client::call_id id, http_call_result result, response_fault) {
                 std::uint64_t call = calls_.at(id);
                 calls_.erase(id);
                 clients_.erase(call);
                 Apply(call_ended{call, result});
               }},
              std::min(connections, kMaxKeptConnections)) {
  loop_.CreateClientVhost(http_client::Protocols());
  loop_.SetTimerHandler([this] { Apply(load_timer_expired{}); });
}

std::error_code load_runner::ListenForMarks(const endpoint& listen) {
  marks_ = std::make_unique<http_server>(
      loop_, http_server_settings(),
      http_server::handlers{[this](http_request&& request) { OnMark(request); }, nullptr, nullptr,
                            nullptr});
  return marks_->Start(listen);
}

void load_runner::OnMark(const http_request& request) {
  if (request.method != "POST" || request.path != "/v1/mark") {
    marks_->Respond(request.exchange, 404, "text/plain", {}, "no such path\n");
    return;
  }
  auto at = std::chrono::duration_cast<std::chrono::microseconds>(clock_.Now() - started_);
  result_.Mark({at, request.body});
  marks_->Respond(request.exchange, 200, "text/plain", {}, "marked\n");
}

load_result load_runner::Run() {
  started_ = clock_.Now();
  // Read together, so that the date of a key and the latency of its request have one origin.
  wall_start_ = clock_.WallNow();
  Apply(load_started{wall_start_});
  loop_.Run();
  return std::move(result_);
}

void load_runner::Apply(const load_event& e) {
  load_effects effects;
  generator_.Reduce(e, clock_.Now(), effects);
  for (const load_effect& effect : effects) {
    std::visit([this](const auto& specific) { Execute(specific); }, effect);
  }
}

void load_runner::Execute(const start_call& e) {
  http_client::call_id id = client_.Start(targets_[e.target], e.path, e.headers, e.body);
  calls_[id] = e.call;
  clients_[e.call] = id;
}

void load_runner::Execute(const cancel_call& e) {
  auto it = clients_.find(e.call);
  if (it == clients_.end()) return;
  client_.Cancel(it->second);
  calls_.erase(it->second);
  clients_.erase(it);
}

void load_runner::Execute(const record_request& e) {
  if (records_ != nullptr) WriteRecord(*records_, e.record);
  result_.Add(e.record);
}

}  // namespace radishroute
