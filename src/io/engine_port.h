#ifndef RADISHROUTE_IO_ENGINE_PORT_H_
#define RADISHROUTE_IO_ENGINE_PORT_H_

#include <array>
#include <chrono>
#include <concepts>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "io/broken_response.h"
#include "io/metrics.h"
#include "io/upstream_client.h"
#include "radishroute/effect.h"
#include "radishroute/event.h"

namespace radishroute {

/// Writes calls to the engine beside a sidecar, and reads its answers.
template <class W>
concept engine_wire = requires(const endpoint& engine, bool with_experts,
                               const engine_command& command, unsigned status,
                               const std::string& body) {
  { W::EncodeReportCall(engine) } -> std::same_as<std::string>;
  { W::EncodeExpertUsageCall(engine, with_experts) } -> std::same_as<std::string>;
  { W::EncodeCommand(engine, command) } -> std::same_as<std::string>;
  { W::DecodeReport(body) } -> std::same_as<std::optional<engine_report>>;
  { W::DecodeExpertUsage(body) } -> std::same_as<std::optional<expert_usage>>;
  { W::DecodeOrderStatus(status) } -> std::same_as<engine_order_result>;
};

/// HTTP calls of a sidecar to the engine beside it.
template <engine_wire Wire>
class engine_port {
 public:
  using event_sink = std::function<void(event&&)>;

  /// The engine is on the same machine and answers within milliseconds; an answer that takes
  /// longer is lost.
  static constexpr std::chrono::milliseconds kCallTimeout{100};
  /// Reports and counts are smaller than this; more bytes are no answer and may have no end.
  static constexpr std::size_t kMaxBodyBytes = std::size_t{4} << 20;

  engine_port(io_loop& loop, endpoint engine, event_sink sink)
      : engine_(std::move(engine)),
        sink_(std::move(sink)),
        client_(loop, {},
                {[this](upstream_id id, http_head&& head) { calls_[id].status = head.status; },
                 [this](upstream_id id, std::string_view bytes) { OnBody(id, bytes); },
                 [this](upstream_id id) { OnEnd(id); },
                 [this](upstream_id id, upstream_stage stage, response_fault fault) {
                   OnFailed(id, stage, fault);
                 }}),
        timeouts_(loop, kCallTimeout / 4, [this] { CheckTimeouts(); }) {}

  void Execute(const read_engine_report&) {
    Start({call_kind::kReport}, Wire::EncodeReportCall(engine_), true);
  }
  void Execute(const read_expert_usage& e) {
    Start({call_kind::kChoices}, Wire::EncodeExpertUsageCall(engine_, e.with_experts), true);
  }
  void Execute(const send_engine_command& e) {
    Start({call_kind::kOrder, e.command.number}, Wire::EncodeCommand(engine_, e.command), false);
  }

 private:
  enum class call_kind : std::uint8_t { kReport, kChoices, kOrder };

  struct call {
    call_kind kind = call_kind::kReport;
    std::uint64_t number = 0;
    steady_time since{};
    unsigned status = 0;
    std::string body = {};
  };

  void Start(call c, std::string bytes, bool may_reuse) {
    upstream_id id{next_++};
    c.since = system_clock_source().Now();
    calls_[id] = std::move(c);
    client_.Start({id, engine_, std::move(bytes), {}, may_reuse});
  }

  void OnBody(upstream_id id, std::string_view bytes) {
    std::string& body = calls_[id].body;
    body.append(bytes);
    if (body.size() <= kMaxBodyBytes) return;
    client_.Cancel(id);
    OnFailed(id, upstream_stage::kMalformed, response_fault::kTooLong);
  }

  void OnEnd(upstream_id id) {
    auto node = calls_.extract(id);
    if (!node) return;
    Deliver(node.mapped(), engine_order_result::kUnknown);
  }

  void OnFailed(upstream_id id, upstream_stage stage, response_fault fault) {
    auto node = calls_.extract(id);
    if (!node) return;
    ReportBrokenResponse(ToString(node.mapped().kind), {}, engine_, fault);
    node.mapped().status = 0;
    bool unsent = stage == upstream_stage::kConnecting;
    Deliver(node.mapped(), unsent ? engine_order_result::kFailed : engine_order_result::kUnknown);
  }

  void Deliver(const call& c, engine_order_result failure) {
    bool answered = c.status == 200;
    switch (c.kind) {
      case call_kind::kReport: {
        auto report = answered ? Wire::DecodeReport(c.body) : std::nullopt;
        if (answered && !report) LogUnreadable("report", c.body);
        sink_(engine_report_read{std::move(report)});
        return;
      }
      case call_kind::kChoices: {
        auto choices = answered ? Wire::DecodeExpertUsage(c.body) : std::nullopt;
        if (answered && !choices) LogUnreadable("choices", c.body);
        sink_(expert_usage_read{std::move(choices)});
        return;
      }
      case call_kind::kOrder:
        sink_(engine_command_done{c.number,
                                  c.status == 0 ? failure : Wire::DecodeOrderStatus(c.status)});
        return;
    }
  }

  static std::string_view ToString(call_kind kind) {
    constexpr std::array<std::string_view, 3> kNames = {"report", "choices", "order"};
    return kNames[static_cast<std::size_t>(kind)];
  }

  static void LogUnreadable(const char* name, const std::string& body) {
    constexpr std::size_t kLoggedBytes = 200;
    WriteLog({event_code::kEngineReportUnreadable,
              log_level::kWarning,
              {{"call", name}, {"error", body.substr(0, kLoggedBytes)}}});
  }

  void CheckTimeouts() {
    steady_time now = system_clock_source().Now();
    std::vector<upstream_id> late;
    for (const auto& [id, c] : calls_) {
      if (now - c.since > kCallTimeout) late.push_back(id);
    }
    for (upstream_id id : late) {
      client_.Cancel(id);
      OnFailed(id, upstream_stage::kWaiting, response_fault::kNone);
    }
  }

  endpoint engine_;
  event_sink sink_;
  std::uint64_t next_ = 1;
  std::map<upstream_id, call> calls_;
  upstream_client client_;
  periodic_task timeouts_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_ENGINE_PORT_H_
