#include <fcntl.h>
#include <unistd.h>

#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>

#include "cli/commands.h"
#include "cli/process.h"
#include "engine/http_api.h"
#include "engine/model.h"
#include "engine/options.h"
#include "engine/rank_process.h"
#include "io/http_client.h"
#include "io/http_server.h"

namespace radishroute {

namespace {

// Exit code of an injected crash, so that a test can tell it from other failures.
constexpr int kExitCrash = 70;

/// Serves a stand-in over HTTP on one event loop.
class engine_process {
 public:
  explicit engine_process(const engine_options& options)
      : options_(options),
        model_(options.settings),
        server_(loop_, http_server_settings({"x-priority", "x-resume-offset", "idempotency-key"}),
                {[this](http_request&& request) { OnRequest(request); },
                 [this](exchange_id id) { Apply(engine_caller_gone{id}); }, nullptr, nullptr}),
        client_(loop_, {[this](http_client::call_id call, unsigned status, const std::string&) {
                          statuses_[call] = status;
                        },
                        [](http_client::call_id, std::string_view) {},
                        [this](http_client::call_id call, http_call_result result, response_fault) {
                          OnWeights(call, result);
                        }}) {
    loop_.CreateClientVhost(http_client::Protocols());
    loop_.SetTimerHandler([this] { Apply(engine_timer_expired{}); });
  }

  ~engine_process() {
    if (runs_file_ >= 0) close(runs_file_);
  }
  engine_process(const engine_process&) = delete;
  engine_process& operator=(const engine_process&) = delete;

  int Run() {
    if (std::error_code error = OpenRuns()) {
      std::cerr << options_.runs_file << ": " << error.message() << "\n";
      return kExitFailed;
    }
    for (const fault_injected& fault : options_.faults) Apply(fault);
    if (std::error_code error = server_.Start(options_.listen)) {
      std::cerr << ToString(options_.listen) << ": " << error.message() << "\n";
      return kExitFailed;
    }
    std::thread thread([this] { loop_.Run(); });
    WaitForStopSignal();
    loop_.Stop();
    thread.join();
    return kExitSuccess;
  }

 private:
  std::error_code OpenRuns() {
    if (options_.runs_file.empty()) return {};
    std::ifstream earlier(options_.runs_file);
    for (std::string key; std::getline(earlier, key);) model_.RestoreRun(key);
    runs_file_ = open(options_.runs_file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (runs_file_ < 0) return {errno, std::generic_category()};
    return {};
  }

  void OnRequest(const http_request& request) {
    if (auto e = ParseEngineRequest(request, options_.kind)) {
      Apply(*e);
    } else {
      server_.Respond(request.exchange, 400, "text/plain", {}, "no such path, or malformed body\n");
    }
  }

  void OnWeights(http_client::call_id call, http_call_result result) {
    bool loaded = result == http_call_result::kComplete && statuses_[call] == 200;
    exchange_id exchange = fetches_[call];
    statuses_.erase(call);
    fetches_.erase(call);
    Apply(weights_arrived{exchange, loaded});
  }

  void Apply(const engine_event& e) {
    engine_effects effects;
    model_.Reduce(e, clock_.Now(), effects);
    for (const engine_effect& effect : effects) {
      std::visit([this](const auto& specific) { Execute(specific); }, effect);
    }
  }

  void Execute(const engine_begin& e) {
    server_.Begin(e.exchange, 200, e.content_type, {}, e.length);
  }
  void Execute(const engine_bytes& e) { server_.Write(e.exchange, e.bytes); }
  void Execute(const engine_end& e) { server_.End(e.exchange); }
  void Execute(const engine_abort& e) { server_.Abort(e.exchange); }
  void Execute(const engine_wakeup& e) { loop_.WakeAt(e.at); }
  // Without destructors or flushing, as when the process is killed.
  void Execute(const engine_crash&) { _exit(kExitCrash); }
  void Execute(const append_run& e) {
    if (runs_file_ < 0) return;
    std::string line = e.idempotency_key + "\n";
    // A run that is not recorded would make the check of the runs pass wrongly.
    if (write(runs_file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
      _exit(kExitFailed);
    }
  }
  void Execute(const fetch_weights& e) {
    if (options_.weight_store.port == 0) {
      Apply(weights_arrived{e.exchange, true});
      return;
    }
    std::string body = nlohmann::json{{"bytes", e.bytes}}.dump();
    fetches_[client_.Start(options_.weight_store, "/v1/weights", {}, body)] = e.exchange;
  }
  template <class Response>
  void Execute(const Response& e) {
    stand_in_response r = Render(e);
    server_.Respond(e.exchange, r.status, r.content_type, {}, r.body);
  }

  engine_options options_;
  system_clock_source clock_;
  io_loop loop_;
  engine_model model_;
  int runs_file_ = -1;
  std::unordered_map<http_client::call_id, exchange_id> fetches_;
  std::unordered_map<http_client::call_id, unsigned> statuses_;
  http_server server_;
  http_client client_;
};

}  // namespace

int RunEngine(int argc, char** argv) {
  int exit = kExitSuccess;
  auto options = ParseEngineOptions(argc, argv, exit);
  if (!options) return exit;
  QuietLibwebsockets();
  if (options->kind == stand_in_kind::kRank) return RunRank(*options);
  engine_process process(*options);
  return process.Run();
}

}  // namespace radishroute
