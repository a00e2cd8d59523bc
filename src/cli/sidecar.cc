#include <memory>

#include "cli/commands.h"
#include "cli/load_settings.h"
#include "cli/options.h"
#include "cli/process.h"
#include "io/engine_port.h"
#include "io/node_thread.h"
#include "platform/engine_wire.h"
#include "radishroute/policies.h"

namespace radishroute {

namespace {

/// Reads one engine for the leader and gives it the leader's orders.
class sidecar_process {
 public:
  sidecar_process(sidecar_settings settings, std::string file)
      : settings_(std::move(settings)), settings_file_(std::move(file)) {}

  ~sidecar_process() {
    if (thread_) thread_->Join();
  }

  int Run() {
    ApplyMemoryLimit(settings_.limits);
    node_hooks hooks;
    hooks.on_stop = [this](bool finished) { latch_.Report(0, finished); };
    thread_ = std::make_unique<thread>(MakeHello(settings_.common, process_role::kAgent), hooks);
    thread_->State().control.engine.emplace(settings_.engine, settings_.controllers);
    thread_->Attach(thread_->Loop(), settings_.engine,
                    [this](event&& e) { thread_->Apply(std::move(e)); });
    LogProcessEvent(event_code::kProcessStarted,
                    {{"role", "sidecar"}, {"node", settings_.common.node}});
    thread_->Start();
    WaitForStopSignal(settings_file_, [this](const std::string& text) { OnSettings(text); });
    thread_->Post(drain_requested{system_clock_source().Now()});
    bool finished = latch_.Wait();
    LogProcessEvent(event_code::kProcessStopped, {{"finished", finished ? "yes" : "no"}});
    // No thread may log while the queue of lines is closed.
    thread_->Join();
    FlushLog();
    return finished ? kExitSuccess : kExitUnfinished;
  }

 private:
  using thread = node_thread<baseline_policies, engine_port<platform::engine_wire>>;

  // The other settings take effect at the next start.
  void OnSettings(const std::string& text) {
    auto changed = ReloadSettings(settings_file_, text, ParseSidecarSettings);
    if (changed) thread_->Post(controllers_changed{changed->controllers});
  }

  sidecar_settings settings_;
  std::string settings_file_;
  stop_latch latch_{1};
  std::unique_ptr<thread> thread_;
};

}  // namespace

int RunSidecar(int argc, char** argv) {
  cxxopts::Options options("radishroute sidecar",
                           "Reads the engine beside it and gives it the leader's orders.");
  AddSettingsOption(options);
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  auto settings = LoadSettings(*parsed, ParseSidecarSettings);
  if (!settings) return kExitUsage;
  sidecar_process process(std::move(*settings), (*parsed)["settings"].as<std::string>());
  return process.Run();
}

}  // namespace radishroute
