#ifndef RADISHROUTE_IO_FORWARD_API_H_
#define RADISHROUTE_IO_FORWARD_API_H_

#include <cmath>
#include <concepts>
#include <cstdio>
#include <functional>
#include <memory>
#include <string>
#include <utility>

#include "io/metrics.h"
#include "io/stream_server.h"
#include "io/upstream_client.h"
#include "radishroute/effect.h"
#include "radishroute/event.h"

namespace radishroute {

/// Reads and writes the requests and responses that are forwarded.
template <class W>
concept forward_wire = requires(received_request&& received, const start_upstream& call,
                                http_head&& head, const http_head& probe) {
  { W::DecodeRequest(std::move(received)) } -> std::same_as<std::shared_ptr<const forward_request>>;
  { W::EncodeRequest(call) } -> std::same_as<std::string>;
  { W::DecodeResponse(std::move(head)) } -> std::same_as<backend_response>;
  { W::IsReadinessProbe(probe) } -> std::same_as<bool>;
  std::string(W::kIdentityHeader);
};

/// HTTP towards callers and backend servers of a traffic thread that forwards requests.
template <forward_wire Wire>
class forward_api {
 public:
  using event_sink = std::function<void(event&&)>;

  forward_api(io_loop& loop, event_sink sink, std::function<bool()> is_ready)
      : sink_(std::move(sink)),
        is_ready_(std::move(is_ready)),
        callers_(loop, {[this](received_request&& r) {
                          sink_(forward_received{Wire::DecodeRequest(std::move(r))});
                        },
                        [this](exchange_id id) { sink_(forward_caller_closed{id}); },
                        [](unsigned) { CountRefusal(refusal_reason::kMalformedRequest); }}),
        probes_(loop, {[this](received_request&& r) { OnProbe(std::move(r)); }, [](exchange_id) {},
                       nullptr}),
        backends_(loop, std::string(Wire::kIdentityHeader),
                  {[this](upstream_id id, http_head&& head) {
                     sink_(upstream_response_begin{id, Wire::DecodeResponse(std::move(head))});
                   },
                   [this](upstream_id id, std::string_view bytes) {
                     sink_(upstream_response_bytes{id, std::string(bytes)});
                   },
                   [this](upstream_id id) { sink_(upstream_response_end{id}); },
                   [this](upstream_id id, upstream_stage stage, response_fault fault) {
                     sink_(upstream_call_failed{id, stage, fault});
                   }}) {}

  std::error_code Start(const endpoint& callers, const endpoint& probes) {
    if (auto error = probes_.Start(probes)) return error;
    return callers_.Start(callers);
  }

  /// Before Start. Parts that are zero keep the constant limits.
  void SetBudget(const gateway_shares& shares) {
    callers_.SetBudget(shares.callers);
    probes_.SetBudget(shares.probes);
    backends_.SetMaxConnections(shares.backend_connections);
    if (shares.unsent_bytes > 0) base_limits_.max_total_unsent_bytes = shares.unsent_bytes;
    callers_.SetLimits(base_limits_);
  }

  void SetBounds(const caller_limits& bounds) {
    client_limits limits = base_limits_;
    limits.max_head_bytes = bounds.max_header_bytes;
    limits.max_body_bytes = bounds.max_body_bytes;
    limits.head_timeout = bounds.header_timeout;
    limits.idle_timeout = bounds.idle_timeout;
    callers_.SetLimits(limits);
  }

  void Execute(const start_upstream& e) {
    backends_.Start({e.id, e.address, Wire::EncodeRequest(e), e.request->id, e.may_reuse_connection,
                     e.max_connections});
  }
  void Execute(const cancel_upstream& e) { backends_.Cancel(e.id); }
  void Execute(const probe_backend& e) {
    backends_.Probe(e.address, [this, backend = e.backend](probe_result result) {
      sink_(backend_probed{backend, result});
    });
  }
  void Execute(const forward_begin& e) {
    callers_.Begin(e.exchange, e.status, e.headers, e.length);
  }
  void Execute(const forward_bytes& e) { callers_.Write(e.exchange, e.bytes); }
  void Execute(const forward_end& e) { callers_.End(e.exchange); }
  void Execute(const forward_abort& e) { callers_.Abort(e.exchange); }
  void Execute(const send_error_response& e) {
    std::vector<http_header> headers = {{"Content-Type", "application/json"}};
    if (e.retry_after) headers.push_back({"Retry-After", Seconds(*e.retry_after)});
    std::string body = "{\"reason\":\"" + std::string(ToString(e.reason)) + "\"}";
    callers_.Respond(e.exchange, e.status, headers, body);
  }
  void Execute(const close_idle_callers&) { callers_.CloseIdle(); }
  void Drain() { callers_.Drain(); }
  void WhenIdle(std::function<void()> done) { callers_.WhenWritten(std::move(done)); }

 private:
  static std::string Seconds(std::chrono::milliseconds time) {
    char text[32];
    std::snprintf(text, sizeof(text), "%.3f", std::chrono::duration<double>(time).count());
    return text;
  }

  void OnProbe(received_request&& request) {
    if (Wire::IsReadinessProbe(request.head)) {
      probes_.Respond(request.exchange, is_ready_() ? 200 : 503, {}, {});
    } else if (request.head.target == "/metrics") {
      probes_.Respond(request.exchange, 200, {{"Content-Type", "text/plain"}}, RenderMetrics());
    } else {
      probes_.Respond(request.exchange, 404, {}, {});
    }
  }

  event_sink sink_;
  std::function<bool()> is_ready_;
  /// Limits of callers but for what a document sets.
  client_limits base_limits_;
  stream_server callers_;
  stream_server probes_;
  upstream_client backends_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_FORWARD_API_H_
