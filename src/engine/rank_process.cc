#include "engine/rank_process.h"

#include <fcntl.h>
#include <unistd.h>

#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "cli/process.h"
#include "engine/rank_model.h"
#include "io/http_client.h"
#include "io/http_server.h"
#include "io/rank_json.h"

namespace radishroute {

namespace {

using nlohmann::json;

constexpr const char* kJson = "application/json";
constexpr const char* kStepPath = "/v1/step";

// The largest map of docs/experts.md as JSON.
constexpr std::size_t kMaxOrderBytes = std::size_t{4} << 20;

/// Member of an object; 0 if it is missing or no number.
std::uint64_t Number(const json& object, const char* key) {
  auto it = object.find(key);
  return it != object.end() && it->is_number_unsigned() ? it->get<std::uint64_t>() : 0;
}

rank_model_settings SettingsOf(const engine_options& options) {
  rank_model_settings settings = options.rank.model;
  settings.ranks = static_cast<std::uint32_t>(options.rank.peers.size());
  // Wall-clock time, so that a rank that restarts has a higher incarnation.
  settings.incarnation =
      static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(
                                     system_clock_source().WallNow().time_since_epoch())
                                     .count());
  return settings;
}

http_server_settings ServerSettings() {
  http_server_settings settings;
  settings.max_body_bytes = kMaxOrderBytes;
  return settings;
}

/// Serves a rank over HTTP on one event loop.
class rank_process {
 public:
  explicit rank_process(const engine_options& options)
      : options_(options),
        model_(SettingsOf(options)),
        server_(
            loop_, ServerSettings(),
            {[this](http_request&& request) { OnRequest(request); }, nullptr, nullptr, nullptr}),
        client_(loop_, {[this](http_client::call_id call, unsigned status, const std::string&) {
                          calls_[call].status = status;
                        },
                        [this](http_client::call_id call, std::string_view bytes) {
                          calls_[call].body.append(bytes);
                        },
                        [this](http_client::call_id call, http_call_result result, response_fault) {
                          OnEnd(call, result == http_call_result::kComplete);
                        }}) {
    loop_.CreateClientVhost(http_client::Protocols());
    loop_.SetTimerHandler([this] { Apply(rank_timer_expired{}); });
  }

  ~rank_process() {
    if (steps_file_ >= 0) close(steps_file_);
  }
  rank_process(const rank_process&) = delete;
  rank_process& operator=(const rank_process&) = delete;

  int Run() {
    const std::string& file = options_.rank.steps_file;
    if (!file.empty()) {
      steps_file_ = open(file.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
      if (steps_file_ < 0) {
        std::cerr << file << ": " << std::generic_category().message(errno) << "\n";
        return kExitFailed;
      }
    }
    if (std::error_code error = server_.Start(options_.listen)) {
      std::cerr << ToString(options_.listen) << ": " << error.message() << "\n";
      return kExitFailed;
    }
    std::thread thread([this] {
      rank_model_effects effects;
      model_.Start(clock_.Now(), effects);
      Execute(effects);
      loop_.Run();
    });
    WaitForStopSignal();
    loop_.Stop();
    thread.join();
    return kExitSuccess;
  }

 private:
  /// A call of another rank or of the weight store.
  struct outgoing_call {
    std::uint32_t peer = 0;
    std::uint64_t map_version = 0;
    unsigned status = 0;
    std::string body;
  };

  void OnRequest(const http_request& request) {
    if (request.path == "/v1/rank") {
      if (auto order = ParseRankOrder(request.body)) {
        Apply(rank_order_arrived{request.exchange, std::move(*order)});
        return;
      }
    } else if (request.path == kStepPath) {
      json body = json::parse(request.body, nullptr, false);
      if (body.is_object()) {
        Apply(peer_step_arrived{request.exchange, static_cast<std::uint32_t>(Number(body, "rank")),
                                Number(body, "step")});
        return;
      }
    } else if (request.method == "GET") {
      // A health probe only needs some answer.
      server_.Respond(request.exchange, 200, kJson, {}, "{}");
      return;
    }
    server_.Respond(request.exchange, 400, "text/plain", {}, "no such path, or malformed body\n");
  }

  void OnEnd(http_client::call_id id, bool complete) {
    outgoing_call ended = std::move(calls_[id]);
    calls_.erase(id);
    bool good = complete && ended.status == 200;
    if (ended.map_version != 0) {
      Apply(map_weights_arrived{ended.map_version, good});
      return;
    }
    peer_answered answered{ended.peer, {}};
    json body = json::parse(ended.body, nullptr, false);
    if (good && body.is_object()) {
      answered.state = peer_state{Number(body, "step"), Number(body, "heard")};
    }
    Apply(answered);
  }

  void Apply(const rank_model_event& e) {
    rank_model_effects effects;
    model_.Reduce(e, clock_.Now(), effects);
    Execute(effects);
  }

  void Execute(const rank_model_effects& effects) {
    for (const rank_model_effect& effect : effects) {
      std::visit([this](const auto& specific) { Execute(specific); }, effect);
    }
  }

  void Execute(const answer_order& e) {
    server_.Respond(e.exchange, 200, kJson, {}, RenderRankProgress(e.progress));
  }
  void Execute(const answer_peer& e) {
    json body = {{"step", e.state.step}, {"heard", e.state.heard}};
    server_.Respond(e.exchange, 200, kJson, {}, body.dump());
  }
  void Execute(const rank_wakeup& e) { loop_.WakeAt(e.at); }
  void Execute(const tell_peer& e) {
    json body = {{"rank", options_.rank.model.rank}, {"step", e.step}};
    outgoing_call started;
    started.peer = e.rank;
    calls_[client_.Start(options_.rank.peers[e.rank], kStepPath, {}, body.dump())] = started;
  }
  void Execute(const load_map_weights& e) {
    if (options_.weight_store.port == 0 || e.bytes == 0) {
      Apply(map_weights_arrived{e.map_version, true});
      return;
    }
    outgoing_call started;
    started.map_version = e.map_version;
    json body = {{"bytes", e.bytes}};
    calls_[client_.Start(options_.weight_store, "/v1/weights", {}, body.dump())] = started;
  }
  void Execute(const record_step& e) {
    if (steps_file_ < 0) return;
    auto millis =
        std::chrono::duration_cast<std::chrono::milliseconds>(clock_.WallNow().time_since_epoch());
    std::string line = std::to_string(e.step) + " " + std::to_string(e.map_version) + " " +
                       std::to_string(millis.count());
    for (double tokens : e.tokens) line += " " + std::to_string(tokens);
    line += "\n";
    // A step that is not recorded would make the comparison of the ranks pass wrongly.
    if (write(steps_file_, line.data(), line.size()) != static_cast<ssize_t>(line.size())) {
      _exit(kExitFailed);
    }
  }

  engine_options options_;
  system_clock_source clock_;
  io_loop loop_;
  rank_model model_;
  int steps_file_ = -1;
  std::unordered_map<http_client::call_id, outgoing_call> calls_;
  http_server server_;
  http_client client_;
};

}  // namespace

int RunRank(const engine_options& options) {
  rank_process process(options);
  return process.Run();
}

}  // namespace radishroute
