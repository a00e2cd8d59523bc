#include <iostream>
#include <memory>

#include "cli/admin.h"
#include "cli/commands.h"
#include "cli/drain_http.h"
#include "cli/load_settings.h"
#include "cli/options.h"
#include "cli/process.h"
#include "io/node_thread.h"
#include "radishroute/policies.h"

namespace radishroute {

namespace {

announcement MakeAnnouncement(const agent_settings& settings, const hello& self) {
  announcement a;
  a.backend = settings.common.node;
  a.incarnation = self.process.incarnation;
  a.kind = settings.kind;
  a.zone = settings.common.zone;
  a.traffic_address = settings.traffic_advertise;
  a.models = settings.models;
  a.adapters = settings.adapters;
  a.version = settings.version;
  a.concurrency_limit = settings.concurrency;
  a.checks_fencing = settings.checks_fencing;
  return a;
}

/// All threads of an agent process.
template <policy_set P>
class agent_process {
 public:
  explicit agent_process(const agent_settings& settings) : settings_(settings), latch_(1) {}

  int Run() {
    if (std::error_code error = Build()) {
      std::cerr << error.message() << "\n";
      return kExitFailed;
    }
    LogProcessEvent(event_code::kProcessStarted,
                    {{"role", "agent"}, {"node", settings_.common.node}});
    traffic_->Start();
    control_->Start();
    LogProcessEvent(event_code::kListening, {{"address", ToString(settings_.traffic_listen)}});
    WaitForStopSignal();
    return Drain();
  }

  ~agent_process() {
    if (traffic_) traffic_->Join();
    if (control_) control_->Join();
  }

 private:
  std::error_code Build() {
    hello self = MakeHello(settings_.common, process_role::kAgent);
    control_ = std::make_unique<node_thread<P>>(self, node_hooks{});
    control_->State().control.announcements.emplace(MakeAnnouncement(settings_, self),
                                                    settings_.entries);
    if (!settings_.controllers.empty()) {
      order_client_settings orders;
      orders.backend = settings_.common.node;
      orders.incarnation = self.process.incarnation;
      orders.timeout = settings_.order_timeout;
      orders.settle_time = settings_.order_settle;
      orders.engine_checks_fencing = settings_.checks_fencing;
      control_->State().control.orders.emplace(std::move(orders), settings_.controllers);
      control_->SendOrders(settings_.engine);
    }
    if (!settings_.group.group.empty()) {
      control_->State().control.rank.emplace(settings_.group, settings_.controllers);
      control_->CallEngine(settings_.engine);
    }
    admin_ = std::make_unique<admin_api>(control_->Loop(), DrainHttpHandler(settings_.admin_token));
    if (auto error = admin_->Start(settings_.admin_listen)) return error;

    node_hooks hooks;
    hooks.on_stop = [this](bool finished) { latch_.Report(0, finished); };
    hooks.on_crash_report = [this](const crash_report& r) {
      control_->Post(crash_report_shared{r});
    };
    hooks.on_engine_status = [this](bool up) { control_->Post(engine_status_changed{up}); };
    traffic_ = std::make_unique<node_thread<P>>(self, hooks);
    execution_limits limits;
    limits.concurrency = settings_.concurrency;
    limits.progress_timeout = settings_.progress_timeout;
    traffic_->State().traffic.executions.emplace(
        self.process.incarnation, limits,
        CrashSource(settings_.common.node, self.process.incarnation));
    traffic_->CallEngine(settings_.engine);
    return traffic_->Links().Listen(settings_.traffic_listen);
  }

  int Drain() {
    LogProcessEvent(event_code::kDrainStarted, {});
    steady_time deadline = std::chrono::steady_clock::now() + settings_.common.drain_timeout;
    control_->Post(drain_requested{deadline});
    // The announcement spreads while the agent still takes the work that is under way to it.
    traffic_->Post(drain_requested{deadline});
    bool finished = latch_.Wait();
    LogProcessEvent(event_code::kProcessStopped, {{"finished", finished ? "yes" : "no"}});
    return finished ? kExitSuccess : kExitUnfinished;
  }

  agent_settings settings_;
  stop_latch latch_;
  std::unique_ptr<node_thread<P>> control_;
  std::unique_ptr<admin_api> admin_;
  std::unique_ptr<node_thread<P>> traffic_;
};

}  // namespace

int RunAgent(int argc, char** argv) {
  cxxopts::Options options("radishroute agent", "Runs the work of one backend server.");
  AddSettingsOption(options);
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  auto settings = LoadSettings(*parsed, ParseAgentSettings);
  if (!settings) return kExitUsage;
  return WithPolicySet(settings->common.policy, [&](auto policies) {
    agent_process<typename decltype(policies)::type> process(*settings);
    return process.Run();
  });
}

}  // namespace radishroute
