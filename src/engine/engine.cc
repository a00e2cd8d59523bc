#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>

#include "cli/commands.h"
#include "cli/options.h"
#include "cli/process.h"
#include "engine/model.h"
#include "io/http_server.h"

namespace radishroute {

namespace {

/// Serves an engine stand-in over HTTP on one event loop.
class engine_process {
 public:
  engine_process(engine_speed speed, bool service, std::string crash_on)
      : model_(speed),
        service_(service),
        crash_on_(std::move(crash_on)),
        server_(loop_, http_server_settings({"x-priority", "x-resume-offset", "idempotency-key"}),
                {[this](http_request&& request) { OnRequest(std::move(request)); },
                 [this](exchange_id id) { Apply(engine_caller_gone{id}); }, nullptr, nullptr}) {
    loop_.SetTimerHandler([this] { Apply(engine_step_due{}); });
  }

  int Run(const endpoint& listen) {
    if (std::error_code error = server_.Start(listen)) {
      std::cerr << ToString(listen) << ": " << error.message() << "\n";
      return kExitFailed;
    }
    std::thread thread([this] { loop_.Run(); });
    WaitForStopSignal();
    loop_.Stop();
    thread.join();
    return kExitSuccess;
  }

 private:
  static std::uint64_t NumberHeader(const http_request& request, const char* name) {
    auto it = request.headers.find(name);
    std::uint64_t value = 0;
    if (it != request.headers.end()) {
      std::from_chars(it->second.data(), it->second.data() + it->second.size(), value);
    }
    return value;
  }

  void OnRequest(http_request&& request) {
    if (request.path == "/health") {
      server_.Respond(request.exchange, 200, "application/json", {}, "{}");
      return;
    }
    // Stands for an input that kills the process, such as one that trips a bug in a kernel.
    if (!crash_on_.empty() && request.body.find(crash_on_) != std::string::npos) std::_Exit(1);
    if (service_) {
      server_.Respond(request.exchange, 200, "application/json", {}, ServiceAnswer(request.body));
      return;
    }
    engine_request_arrived arrived;
    arrived.exchange = request.exchange;
    arrived.priority = static_cast<std::uint32_t>(NumberHeader(request, "x-priority"));
    arrived.resume_offset = NumberHeader(request, "x-resume-offset");
    arrived.body = std::move(request.body);
    Apply(arrived);
  }

  void Apply(const engine_event& e) {
    std::vector<engine_effect> effects;
    model_.Reduce(e, clock_.Now(), effects);
    for (const engine_effect& effect : effects) {
      std::visit([this](const auto& specific) { Execute(specific); }, effect);
    }
  }

  void Execute(const engine_begin& e) {
    std::optional<std::size_t> length;
    if (e.length > 0) length = e.length;
    server_.Begin(e.exchange, 200, e.content_type, {}, length);
  }
  void Execute(const engine_bytes& e) { server_.Write(e.exchange, e.bytes); }
  void Execute(const engine_end& e) { server_.End(e.exchange); }
  void Execute(const engine_wakeup& e) { loop_.WakeAt(e.at); }

  system_clock_source clock_;
  io_loop loop_;
  engine_model model_;
  bool service_;
  std::string crash_on_;
  http_server server_;
};

}  // namespace

int RunEngine(int argc, char** argv) {
  cxxopts::Options options("radishroute engine", "Stand-in for a model engine or a plain service.");
  options.add_options()("listen", "address", cxxopts::value<std::string>())(
      "kind", "engine or service", cxxopts::value<std::string>()->default_value("engine"))(
      "max-batch", "requests in a batch", cxxopts::value<unsigned>()->default_value("16"))(
      "step-us", "duration of a step without requests, in microseconds",
      cxxopts::value<unsigned>()->default_value("2000"))(
      "step-per-request-us", "added duration per request in the batch, in microseconds",
      cxxopts::value<unsigned>()->default_value("100"))(
      "crash-on", "exit when a request body contains this text",
      cxxopts::value<std::string>()->default_value(""));
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  endpoint listen;
  if (parsed->count("listen") == 0 ||
      !ParseEndpoint((*parsed)["listen"].as<std::string>(), listen)) {
    std::cerr << "--listen must be an IPv4 address and port\n";
    return kExitUsage;
  }
  engine_speed speed;
  speed.max_batch = (*parsed)["max-batch"].as<unsigned>();
  speed.step_base = std::chrono::microseconds((*parsed)["step-us"].as<unsigned>());
  speed.step_per_request =
      std::chrono::microseconds((*parsed)["step-per-request-us"].as<unsigned>());
  BlockStopSignals();
  QuietLibwebsockets();
  engine_process process(speed, (*parsed)["kind"].as<std::string>() == "service",
                         (*parsed)["crash-on"].as<std::string>());
  return process.Run(listen);
}

}  // namespace radishroute
