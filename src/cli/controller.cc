#include <unistd.h>

#include <csignal>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <unordered_map>
#include <utility>

#include "cli/admin.h"
#include "cli/commands.h"
#include "cli/config_http.h"
#include "cli/documents.h"
#include "cli/group_http.h"
#include "cli/load_settings.h"
#include "cli/options.h"
#include "cli/order_http.h"
#include "cli/process.h"
#include "io/control_api.h"
#include "io/log_node.h"
#include "platform/control_wire.h"
#include "radishroute/policies.h"

namespace radishroute {

namespace {

constexpr const char* kJson = "application/json";

// Time between two attempts to open a data folder on a disk that refuses writes.
constexpr std::chrono::milliseconds kOpenRetryInterval{250};

bool ReadVoterId(const nlohmann::json& body, const char* key, voter_id& out) {
  if (!body.contains(key) || !body[key].is_string()) return false;
  const auto& text = body[key].get_ref<const std::string&>();
  out.value = std::strtoull(text.c_str(), nullptr, 10);
  return out.value != 0 && std::to_string(out.value) == text;
}

bool ParseVoterChange(const std::string& text, change_voters& out) {
  nlohmann::json body = nlohmann::json::parse(text, nullptr, false);
  if (!body.is_object() || !ReadVoterId(body, "id", out.target.id)) return false;
  std::string operation = body.value("operation", nlohmann::json()).dump();
  if (operation == "\"remove\"") {
    out.operation = voter_operation::kRemove;
    return true;
  }
  if (operation == "\"replace\"") {
    out.operation = voter_operation::kReplace;
    if (!ReadVoterId(body, "replaced", out.replaced)) return false;
  } else if (operation != "\"add\"") {
    return false;
  }
  if (!body.contains("address") || !body["address"].is_string()) return false;
  if (!body.contains("zone") || !body["zone"].is_string()) return false;
  out.target.zone = body["zone"].get<std::string>();
  return ParseEndpoint(body["address"].get_ref<const std::string&>(), out.target.address);
}

struct status_text {
  proposal_status status;
  unsigned http_status;
  const char* name;
};

// 503 marks what a retry elsewhere or later may solve; 409 what it cannot.
constexpr status_text kStatusTexts[] = {
    {proposal_status::kCommitted, 200, "committed"},
    {proposal_status::kNotLeader, 503, "not-leader"},
    {proposal_status::kNoQuorum, 503, "no-quorum"},
    {proposal_status::kUnknown, 500, "unknown"},
    {proposal_status::kInvalidChange, 409, "invalid-change"},
    {proposal_status::kTooLarge, 409, "too-large"},
    {proposal_status::kQueueFull, 503, "queue-full"},
};

// Documents are large and come in quick succession, so the log keeps few of them.
raft_limits LimitsOf(const controller_settings& settings) {
  raft_limits limits;
  if (settings.calls_listen.host.empty()) return limits;
  limits.max_voters = settings.voters;
  limits.snapshot_interval = 64;
  limits.retained_entries = 16;
  limits.max_promotion_lag = 2;
  return limits;
}

/// One replica of the log and its operators' interface.
class controller_process {
 public:
  controller_process(controller_settings settings, std::string file)
      : settings_(std::move(settings)),
        settings_file_(std::move(file)),
        latch_(1),
        node_(MakeHello(settings_.common, process_role::kController),
              {[this](const proposal_finished& e) { OnFinished(e); },
               [this](bool finished) { OnStop(finished); },
               [this](const publish_document& d) { OnDocument(d); }}),
        admin_(node_.Thread().Loop(), [this](const http_request& request, http_server& server) {
          return OnAdmin(request, server);
        }) {}

  int Run(bool bootstrap) {
    ApplyMemoryLimit(settings_.limits);
    replica self{{}, settings_.common.zone, settings_.control_advertise, true, {}};
    std::error_code error = OpenLog(self, bootstrap);
    if (!error) node_.Thread().State().control.log->ConfigureGroups(settings_.groups);
    if (!error && !settings_.calls_listen.host.empty()) error = ServeCalls(self);
    if (!error) error = admin_.Start(settings_.admin_listen);
    if (error) {
      std::cerr << settings_.data << ": " << error.message() << "\n";
      return kExitFailed;
    }
    LogProcessEvent(event_code::kProcessStarted,
                    {{"role", "controller"}, {"node", settings_.common.node}});
    node_.Thread().Start();
    LogProcessEvent(event_code::kListening, {{"address", ToString(settings_.admin_listen)}});
    WaitForStopSignal(settings_file_, [this](const std::string& text) { OnSettings(text); });
    node_.Thread().Post(drain_requested{std::chrono::steady_clock::now()});
    bool finished = latch_.Wait();
    LogProcessEvent(event_code::kProcessStopped, {{"finished", finished ? "yes" : "no"}});
    // No thread may log while the queue of lines is closed.
    node_.Thread().Join();
    FlushLog();
    return finished ? kExitSuccess : kExitFailed;
  }

 private:
  using wire_api = control_api<platform::control_wire>;

  // A disk that refuses writes may have room again, so it does not end the process.
  std::error_code OpenLog(const replica& self, bool bootstrap) {
    bool logged = false;
    for (;;) {
      std::error_code error =
          node_.Open(settings_.data, self, settings_.control_listen, bootstrap, LimitsOf(settings_),
                     {settings_.first_start, settings_.known_controllers});
      if (error != errc::kDiskFull && error != errc::kSyncFailed) return error;
      if (!std::exchange(logged, true)) {
        WriteLog({event_code::kStorageFailed, log_level::kError, {{"error", error.message()}}});
      }
      if (StopSignalWithin(kOpenRetryInterval)) return error;
    }
  }

  std::error_code ServeCalls(const replica& self) {
    control_state& control = node_.Thread().State().control;
    control.log->SetZone(settings_.common.zone);
    control.log->SetKnownZones(settings_.zones);
    control.log->SetGroupJoiner(group_joiner(self, settings_.known_controllers));
    directory_limits limits;
    limits.use_registration = true;
    limits.registration_timeout = settings_.registration_timeout;
    hello identity = MakeHello(settings_.common, process_role::kController);
    control.backends.emplace(identity.process, settings_.common.zone, work_sheet{},
                             std::vector<endpoint>{}, limits, process_role::kController);
    control.crashes.emplace(process_role::kController);
    wire_api& api =
        node_.Thread().Attach(node_.Thread().Loop(), settings_.calls_listen.port,
                              [this](event&& e) { node_.Thread().Apply(std::move(e)); });
    api.SetBudget(DivideForController(settings_.limits));
    return api.Start(settings_.calls_listen);
  }

  void OnDocument(const publish_document& d) {
    if (settings_.calls_listen.host.empty()) return;
    auto routes = ReadDocument(d);
    if (routes) node_.Thread().Apply(deployment_published{std::move(routes)});
  }

  // The other settings take effect at the next start.
  void OnSettings(const std::string& text) {
    auto changed = ReloadSettings(settings_file_, text, ParseControllerSettings);
    if (changed) node_.Thread().Post(controllers_changed{changed->known_controllers});
  }

  void OnStop(bool finished) {
    latch_.Report(0, finished);
    // The module stops by itself only after a broken invariant; the main thread waits for a signal.
    if (!finished) kill(getpid(), SIGTERM);
  }

  bool OnAdmin(const http_request& request, http_server& server) {
    if (request.path != "/voters") return OnConfig(request, server);
    server_ = &server;
    if (!Authorized(request, settings_.admin_token)) {
      Reply(request.exchange, 401, {{"status", "unauthorized"}});
    } else if (request.method == "POST") {
      OnChange(request);
    } else {
      Reply(request.exchange, 200, ListVoters());
    }
    return true;
  }

  bool OnConfig(const http_request& request, http_server& server) {
    auto answer = Answer(request);
    if (!answer) return false;
    server.Respond(request.exchange, answer->status, kJson, {}, answer->body);
    return true;
  }

  std::optional<http_answer> Answer(const http_request& request) {
    const auto& log = *node_.Thread().State().control.log;
    auto propose = [this](auto body) { return Propose(std::move(body)); };
    auto is_leader = [this] { return IsLeader(); };
    const std::string& token = settings_.admin_token;
    config_http_backend config{&log.State(), &log.Leases(), propose,
                               is_leader,    token,         &log.Groups()};
    auto answer = HandleConfigHttp(request, config, std::chrono::steady_clock::now());
    if (!answer) {
      answer = HandleGroupHttp(request, {&log.State().Groups(), propose, is_leader, token});
    }
    if (!answer) {
      answer = HandleOrderHttp(request, {&log.State().Orders(), propose, is_leader, token});
    }
    return answer;
  }

  bool IsLeader() { return node_.Core().IsReadyLeader(std::chrono::steady_clock::now()); }

  bool Propose(command body) {
    if (!IsLeader()) return false;
    node_.Thread().Apply(propose_command{{}, std::move(body)});
    return true;
  }

  void OnChange(const http_request& request) {
    change_voters change;
    if (!ParseVoterChange(request.body, change)) {
      Reply(request.exchange, 400, {{"status", "malformed-request"}});
      return;
    }
    change.id = {next_proposal_++};
    waiting_[change.id.value] = request.exchange;
    node_.Thread().Apply(change);
  }

  void OnFinished(const proposal_finished& e) {
    auto it = waiting_.find(e.id.value);
    if (it == waiting_.end()) return;
    const status_text& text = kStatusTexts[static_cast<std::size_t>(e.status)];
    nlohmann::json body = {{"status", text.name}, {"index", e.index}};
    if (!e.leader.host.empty()) body["leader"] = ToString(e.leader);
    Reply(it->second, text.http_status, body);
    waiting_.erase(it);
  }

  nlohmann::json ListVoters() {
    const raft_core& core = node_.Core();
    nlohmann::json body = {{"voter", std::to_string(core.Self().value)},
                           {"zone", settings_.common.zone},
                           {"address", ToString(settings_.control_advertise)},
                           {"role", ToString(core.Role())},
                           {"term", core.Term()},
                           {"commit", core.CommitIndex()},
                           {"applied", core.AppliedIndex()},
                           {"last", core.Log().LastIndex()},
                           {"lease", core.LeaseHeld(std::chrono::steady_clock::now())}};
    if (core.Failure()) body["failure"] = core.Failure().message();
    if (!core.LeaderAddress().host.empty()) body["leader"] = ToString(core.LeaderAddress());
    body["replicas"] = nlohmann::json::array();
    for (const replica& r : core.Log().Replicas()) {
      body["replicas"].push_back({{"id", std::to_string(r.id.value)},
                                  {"zone", r.zone},
                                  {"address", ToString(r.address)},
                                  {"voting", r.voting},
                                  {"match", core.MatchIndex(r.id)}});
    }
    return body;
  }

  void Reply(exchange_id exchange, unsigned status, const nlohmann::json& body) {
    server_->Respond(exchange, status, kJson, {}, JsonText(body) + "\n");
  }

  controller_settings settings_;
  std::string settings_file_;
  stop_latch latch_;
  log_node<baseline_policies, wire_api> node_;
  admin_api admin_;
  http_server* server_ = nullptr;
  std::uint64_t next_proposal_ = 1;
  std::unordered_map<std::uint64_t, exchange_id> waiting_;
};

}  // namespace

int RunController(int argc, char** argv) {
  cxxopts::Options options("radishroute controller", "Runs one replica of the log.");
  AddSettingsOption(options);
  options.add_options()("bootstrap", "make an empty data folder the first voter of a new group");
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  auto settings = LoadSettings(*parsed, ParseControllerSettings);
  if (!settings) return kExitUsage;
  controller_process process(std::move(*settings), (*parsed)["settings"].as<std::string>());
  return process.Run(parsed->count("bootstrap") > 0);
}

}  // namespace radishroute
