#ifndef RADISHROUTE_IO_CONTROL_API_H_
#define RADISHROUTE_IO_CONTROL_API_H_

#include <concepts>
#include <functional>
#include <string>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <variant>

#include "io/metrics.h"
#include "io/stream_server.h"
#include "radishroute/event.h"

namespace radishroute {

struct metrics_requested {};

/// A call that cannot be read or names nothing known.
struct rejected_call {
  unsigned status = 400;
  std::error_code error;
};

using control_call =
    std::variant<document_submitted, document_requested, zone_evacuation_submitted,
                 backend_registered, backend_withdrawn, metrics_requested, rejected_call>;

/// Reads calls of operators and backend servers.
template <class W>
concept control_wire = requires(received_request&& request) {
  { W::Decode(std::move(request)) } -> std::same_as<control_call>;
};

/// HTTP interface of a controller towards operators and backend servers.
template <control_wire Wire>
class control_api {
 public:
  using event_sink = std::function<void(event&&)>;

  /// `port` is the port of this interface on every controller.
  control_api(io_loop& loop, std::uint16_t port, event_sink sink)
      : port_(port),
        sink_(std::move(sink)),
        server_(loop, {[this](received_request&& r) { OnRequest(std::move(r)); },
                       [this](exchange_id id) { targets_.erase(id); }, nullptr}) {}

  std::error_code Start(const endpoint& listen) { return server_.Start(listen); }

  /// Before Start. Parts that are zero keep the constant limits.
  void SetBudget(const controller_shares& shares) {
    client_limits limits;
    if (shares.unsent_bytes > 0) limits.max_total_unsent_bytes = shares.unsent_bytes;
    server_.SetLimits(limits);
    // A document stays in memory until the log has committed it.
    server_.SetBudget(shares.callers, body_charge::kUntilAnswered);
  }

  void Execute(const document_answered& e) {
    std::string target = std::exchange(targets_[e.exchange], {});
    WriteLog({event_code::kDocumentAnswered,
              log_level::kInfo,
              {{"status", std::string(ToString(e.status))},
               {"version", std::to_string(e.version)},
               {"leader", ToString(e.leader)}}});
    targets_.erase(e.exchange);
    switch (e.status) {
      case document_status::kAccepted:
        Respond(e.exchange, 200, "{\"version\":" + std::to_string(e.version) + "}");
        return;
      case document_status::kFound:
        Respond(e.exchange, 200, e.text);
        return;
      case document_status::kRedirected:
        Redirect(e.exchange, e.leader, target);
        return;
      case document_status::kUnavailable:
        Respond(e.exchange, 503, "{}");
        return;
    }
  }

  void Execute(const evacuation_answered& e) {
    std::string target = std::exchange(targets_[e.exchange], {});
    targets_.erase(e.exchange);
    switch (e.status) {
      case evacuation_status::kAccepted:
        Respond(e.exchange, 200, "{}");
        return;
      case evacuation_status::kRedirected:
        Redirect(e.exchange, e.leader, target);
        return;
      case evacuation_status::kUnavailable:
        Respond(e.exchange, 503, "{}");
        return;
      case evacuation_status::kUnknownZone:
        Respond(e.exchange, 404, "{}");
        return;
    }
  }

  void Execute(const registration_answered& e) {
    targets_.erase(e.exchange);
    Respond(e.exchange, e.accepted ? 200 : 400, "{}");
  }

 private:
  void OnRequest(received_request&& request) {
    exchange_id exchange = request.exchange;
    std::string method = request.head.method;
    std::string target = request.head.target;
    control_call call = Wire::Decode(std::move(request));
    if (const auto* rejected = std::get_if<rejected_call>(&call)) {
      WriteLog({event_code::kCallRejected,
                log_level::kWarning,
                {{"method", method}, {"path", target}, {"error", rejected->error.message()}}});
      Respond(exchange, rejected->status, "{}");
      return;
    }
    if (std::holds_alternative<metrics_requested>(call)) {
      server_.Respond(exchange, 200, {{"Content-Type", "text/plain"}}, RenderMetrics());
      return;
    }
    targets_[exchange] = std::move(target);
    std::visit(
        [this](auto&& specific) {
          using type = std::decay_t<decltype(specific)>;
          if constexpr (std::is_constructible_v<event, type>) {
            sink_(event(std::forward<decltype(specific)>(specific)));
          }
        },
        std::move(call));
  }

  void Redirect(exchange_id exchange, const endpoint& to, const std::string& target) {
    endpoint leader{to.host, port_};
    std::string location = "http://" + ToString(leader) + target;
    server_.Respond(exchange, 307, {{"Location", std::move(location)}}, {});
  }

  void Respond(exchange_id exchange, unsigned status, std::string_view body) {
    server_.Respond(exchange, status, {{"Content-Type", "application/json"}}, body);
  }

  std::uint16_t port_;
  event_sink sink_;
  /// Path of each call in progress, for a redirection.
  std::unordered_map<exchange_id, std::string> targets_;
  stream_server server_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_CONTROL_API_H_
