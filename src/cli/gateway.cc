#include <algorithm>
#include <iostream>
#include <memory>

#include "cli/commands.h"
#include "cli/documents.h"
#include "cli/load_settings.h"
#include "cli/options.h"
#include "cli/process.h"
#include "io/forward_api.h"
#include "io/node_thread.h"
#include "platform/http_wire.h"
#include "radishroute/policies.h"

namespace radishroute {

namespace {

// Left of the time to drain for closing the process itself.
constexpr std::chrono::milliseconds kExitMargin{300};

/// A control thread that follows configuration and directory, and a traffic thread that forwards.
class gateway_process {
 public:
  gateway_process(gateway_settings settings, std::string file)
      : settings_(std::move(settings)), settings_file_(std::move(file)) {}

  ~gateway_process() {
    if (traffic_) traffic_->Join();
    if (control_) control_->Join();
  }

  int Run() {
    ApplyMemoryLimit(settings_.limits);
    BuildControl();
    if (auto error = BuildTraffic()) {
      std::cerr << ToString(settings_.http_listen) << ": " << error.message() << "\n";
      return kExitFailed;
    }
    LogProcessEvent(event_code::kProcessStarted,
                    {{"role", "gateway"}, {"node", settings_.common.node}});
    traffic_->Start();
    control_->Start();
    LogProcessEvent(event_code::kListening, {{"address", ToString(settings_.http_listen)}});
    WaitForStopSignal(settings_file_, [this](const std::string& text) { OnSettings(text); });
    LogProcessEvent(event_code::kDrainStarted, {});
    auto longest = settings_.common.drain_timeout - kExitMargin;
    traffic_->Post(drain_requested{system_clock_source().Now() + longest});
    bool finished = latch_.Wait();
    LogProcessEvent(event_code::kProcessStopped, {{"finished", finished ? "yes" : "no"}});
    // No thread may log while the queue of lines is closed.
    traffic_->Join();
    control_->Join();
    FlushLog();
    return finished ? kExitSuccess : kExitUnfinished;
  }

 private:
  using wire_api = forward_api<platform::http_wire>;
  using traffic_thread = node_thread<baseline_policies, wire_api>;

  void BuildControl() {
    hello self = MakeHello(settings_.common, process_role::kEntry);
    node_hooks hooks;
    hooks.on_publish = [this](const publish_routing_table& p) {
      traffic_->Post(routing_table_published{p.table, p.config_lease_until});
    };
    hooks.on_fleet_load = [this](const publish_fleet_load& e) {
      traffic_->Post(fleet_load_published{e.load});
    };
    hooks.on_evacuations = [this](const publish_evacuations& e) {
      // A full queue must not lose it: the same version is not published again.
      traffic_->PostCompletion(evacuations_published{e.evacuations});
    };
    hooks.on_document = [this](const publish_document& d) { OnDocument(d); };
    hooks.on_crash_evidence = [this](const crash_evidence& e) {
      traffic_->Post(crash_evidence_shared{e});
    };
    control_ = std::make_unique<node_thread<baseline_policies>>(self, hooks);
    control_state& control = control_->State().control;
    directory_limits limits;
    limits.use_registration = true;
    control.backends.emplace(self.process, settings_.common.zone, work_sheet{},
                             settings_.controllers, limits);
    config_client_settings config;
    config.node = settings_.common.node;
    config.zone = settings_.common.zone;
    config.controllers = config.peers = settings_.controllers;
    config.documents = true;
    control.config.emplace(std::move(config), *control.backends);
    control.crashes.emplace(process_role::kEntry);
  }

  std::error_code BuildTraffic() {
    node_hooks hooks;
    hooks.on_stop = [this](bool finished) { latch_.Report(0, finished); };
    hooks.on_crash_evidence = [this](const crash_evidence& e) {
      control_->Post(crash_evidence_shared{e});
    };
    traffic_ =
        std::make_unique<traffic_thread>(MakeHello(settings_.common, process_role::kEntry), hooks);
    forwarder_settings forwarding;
    forwarding.zone = settings_.common.zone;
    forwarding.max_requests = settings_.max_requests;
    forwarding.wait_for_room = settings_.wait_for_room;
    forwarding.drain_notice = settings_.drain_notice;
    gateway_shares shares = DivideForGateway(settings_.limits);
    if (settings_.limits.memory_mb > 0) {
      forwarding.max_request_bytes = shares.request_bytes;
      forwarding.max_response_bytes = shares.response_bytes;
      forwarding.count_heads = true;
    }
    forwarding.retries = {settings_.retry_ratio, settings_.retry_window,
                          static_cast<double>(settings_.retry_slack)};
    forwarding.learned_capacity = settings_.learned_capacity;
    // Each request in progress has one connection to a backend server.
    if (shares.backend_connections > 0) {
      forwarding.max_requests = std::min(forwarding.max_requests, shares.backend_connections);
    }
    auto& state = traffic_->State().traffic.forwarding;
    state.emplace(std::move(forwarding));
    wire_api& api = traffic_->Attach(
        traffic_->Loop(), [this](event&& e) { traffic_->Apply(std::move(e)); },
        [&state] { return state->Ready(); });
    api.SetBudget(shares);
    return api.Start(settings_.http_listen, settings_.probe_listen);
  }

  // The other settings take effect at the next start.
  void OnSettings(const std::string& text) {
    auto changed = ReloadSettings(settings_file_, text, ParseGatewaySettings);
    if (changed) control_->Post(controllers_changed{changed->controllers});
  }

  // On the control thread, so that reading a large document does not hold up requests.
  void OnDocument(const publish_document& d) {
    auto routes = ReadDocument(d);
    if (!routes) return;
    caller_limits bounds = routes->Deployment().bounds;
    traffic_->Loop().Post([this, bounds] { traffic_->Extension().SetBounds(bounds); });
    // A full queue must not lose it: the leader counts this version as applied.
    traffic_->PostCompletion(deployment_published{std::move(routes)});
  }

  gateway_settings settings_;
  std::string settings_file_;
  stop_latch latch_{1};
  std::unique_ptr<node_thread<baseline_policies>> control_;
  std::unique_ptr<traffic_thread> traffic_;
};

}  // namespace

int RunGateway(int argc, char** argv) {
  cxxopts::Options options("radishroute gateway",
                           "Forwards callers' HTTP requests to backend servers.");
  AddSettingsOption(options);
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  auto settings = LoadSettings(*parsed, ParseGatewaySettings);
  if (!settings) return kExitUsage;
  gateway_process process(std::move(*settings), (*parsed)["settings"].as<std::string>());
  return process.Run();
}

}  // namespace radishroute
