#include <algorithm>
#include <iostream>
#include <memory>
#include <random>

#include "cli/admin.h"
#include "cli/commands.h"
#include "cli/drain_http.h"
#include "cli/load_settings.h"
#include "cli/options.h"
#include "cli/process.h"
#include "io/acceptor.h"
#include "io/node_thread.h"
#include "radishroute/policies.h"
#include "radishroute/sheet.h"

namespace radishroute {

namespace {

// A drained entry serves kept connections for this long after it has closed its listener, since a
// balancer may take a moment to leave them.
constexpr std::chrono::milliseconds kServedAfterListening{500};

// An entry without a leader takes its configuration from a peer after 3 s; one that has none by
// this time listens all the same, and refuses requests with the reason.
constexpr std::chrono::milliseconds kLongestStart{5000};

/// All threads of an entry process.
template <policy_set P>
class entry_process {
 public:
  explicit entry_process(const entry_settings& settings)
      : settings_(settings), latch_(settings.threads) {}

  int Run(const work_sheet& sheet) {
    if (std::error_code error = Build(sheet)) {
      std::cerr << error.message() << "\n";
      return kExitFailed;
    }
    LogProcessEvent(event_code::kProcessStarted,
                    {{"role", "entry"}, {"node", settings_.common.node}});
    control_->Start();
    for (auto& thread : traffic_) thread->Start();
    // Until it can route, the balancer before it should see a closed port instead of refusals.
    ready_.WaitFor(kLongestStart);
    if (std::error_code error = acceptor_.Start(settings_.http_listen)) {
      std::cerr << ToString(settings_.http_listen) << ": " << error.message() << "\n";
      return kExitFailed;
    }
    LogProcessEvent(event_code::kListening, {{"address", ToString(settings_.http_listen)}});
    WaitForStopSignal();
    return Drain();
  }

  ~entry_process() {
    acceptor_.Stop();
    for (auto& thread : traffic_) thread->Join();
    if (control_) control_->Join();
  }

 private:
  std::error_code Build(const work_sheet& sheet) {
    hello self = MakeHello(settings_.common, process_role::kEntry);
    node_hooks hooks;
    hooks.on_publish = [this](const publish_routing_table& p) {
      bool leased = p.config_lease_until > std::chrono::steady_clock::now();
      if (p.table->has_configuration && p.table->directory_known && leased) ready_.Report(0, true);
      for (auto& thread : traffic_) {
        thread->Post(routing_table_published{p.table, p.config_lease_until});
      }
    };
    hooks.on_deliver = [this](const request_id& id, event e) {
      return traffic_[ShardOf(id)]->Post(std::move(e));
    };
    hooks.on_crash_report = [this](const crash_report& r) {
      for (auto& thread : traffic_) thread->Post(crash_report_shared{r});
    };
    control_ = std::make_unique<node_thread<P>>(self, hooks);
    control_state& control = control_->State().control;
    control.backends.emplace(self.process, settings_.common.zone, work_sheet{}, settings_.peers);
    control.config.emplace(config_client_settings{settings_.common.node, settings_.common.zone,
                                                  settings_.controllers, settings_.peers, sheet},
                           *control.backends);
    if (auto error = control_->Links().Listen(settings_.control_listen)) return error;
    admin_ = std::make_unique<admin_api>(control_->Loop(), DrainHttpHandler(settings_.admin_token));
    if (auto error = admin_->Start(settings_.admin_listen)) return error;

    std::random_device entropy;
    std::uint64_t origin = (std::uint64_t{entropy()} << 32) | entropy();
    for (std::uint32_t i = 0; i < settings_.threads; ++i) {
      node_hooks traffic_hooks;
      traffic_hooks.on_submit = [this](event e) { return control_->Post(std::move(e)); };
      traffic_hooks.on_stop = [this, i](bool finished) { latch_.Report(i, finished); };
      traffic_hooks.on_crash_report = [this](const crash_report& r) {
        control_->Post(crash_report_shared{r});
      };
      auto thread = std::make_unique<node_thread<P>>(self, traffic_hooks);
      request_limits limits;
      limits.max_requests = settings_.max_requests / settings_.threads;
      limits.drain_linger = settings_.drain_notice + kServedAfterListening;
      thread->State().traffic.requests.emplace(origin, i, limits);
      http_server_settings http;
      http.max_body_bytes = settings_.max_body_bytes;
      http.max_buffered_bytes = settings_.max_buffered_bytes;
      http.body_timeout = settings_.body_timeout;
      http.write_timeout = settings_.write_timeout;
      http.tls_certificate = settings_.tls_certificate;
      http.tls_key = settings_.tls_key;
      thread->ServeCallers(http);
      if (auto error = thread->Callers().Start()) return error;
      traffic_.push_back(std::move(thread));
    }
    return {};
  }

  void Distribute(int socket) {
    node_thread<P>& thread = *traffic_[next_thread_++ % traffic_.size()];
    if (!thread.Loop().Post([&thread, socket] { thread.Callers().Adopt(socket); })) close(socket);
  }

  int Drain() {
    LogProcessEvent(event_code::kDrainStarted, {});
    steady_time deadline = std::chrono::steady_clock::now() + settings_.common.drain_timeout;
    for (auto& thread : traffic_) thread->Post(drain_requested{deadline});
    latch_.WaitFor(settings_.drain_notice);
    acceptor_.Stop();
    bool finished = latch_.Wait();
    if (!finished) LogProcessEvent(event_code::kDrainDeadlinePassed, {});
    LogProcessEvent(event_code::kProcessStopped, {{"finished", finished ? "yes" : "no"}});
    return finished ? kExitSuccess : kExitUnfinished;
  }

  entry_settings settings_;
  stop_latch latch_;
  stop_latch ready_{1};
  std::unique_ptr<node_thread<P>> control_;
  std::unique_ptr<admin_api> admin_;
  std::vector<std::unique_ptr<node_thread<P>>> traffic_;
  std::size_t next_thread_ = 0;
  acceptor acceptor_{[this](int socket) { Distribute(socket); }};
};

}  // namespace

int RunEntry(int argc, char** argv) {
  cxxopts::Options options("radishroute entry", "Accepts callers' requests and routes them.");
  AddSettingsOption(options);
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  auto settings = LoadSettings(*parsed, ParseEntrySettings);
  if (!settings) return kExitUsage;
  work_sheet sheet;
  if (!settings->sheet.empty()) {
    auto loaded = LoadSheet(settings->sheet);
    if (!loaded) return kExitUsage;
    sheet = *loaded;
  }
  return WithPolicySet(settings->common.policy, [&](auto policies) {
    entry_process<typename decltype(policies)::type> process(*settings);
    return process.Run(sheet);
  });
}

}  // namespace radishroute
