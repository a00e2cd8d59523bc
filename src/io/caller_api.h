#ifndef RADISHROUTE_IO_CALLER_API_H_
#define RADISHROUTE_IO_CALLER_API_H_

#include <functional>
#include <memory>
#include <string>

#include "io/http_server.h"
#include "radishroute/effect.h"
#include "radishroute/event.h"

namespace radishroute {

/// Maps callers' HTTP requests to events and effects to HTTP responses.
class caller_api {
 public:
  using event_sink = std::function<void(event&&)>;

  caller_api(io_loop& loop, http_server_settings settings, event_sink sink);

  /// Serves sockets handed to Adopt. Error: kListenFailed.
  std::error_code Start() { return server_.Start(std::nullopt); }
  void Adopt(int socket) { server_.Adopt(socket); }
  void WhenIdle(std::function<void()> on_idle) { server_.WhenIdle(std::move(on_idle)); }

  void Execute(const drain_connections& e);
  void Execute(const respond_begin& e);
  void Execute(const respond_bytes& e);
  void Execute(const respond_end& e);
  void Execute(const respond_abort& e);
  void Execute(const respond_problem& e);

 private:
  struct plain_response {
    unsigned status = 200;
    std::string content_type;
    std::string body;
  };

  void OnRequest(http_request&& request);
  void Refuse(exchange_id exchange, refusal_reason reason);

  event_sink sink_;
  bool draining_ = false;
  /// Responses that are not streamed are collected, so that they carry a length.
  std::unordered_map<exchange_id, plain_response> plain_;
  http_server server_;
};

/// Maps a request to an event. Returns kNone or why the request is refused.
refusal_reason ParseCallerRequest(const http_request& request, caller_request& out);

/// HTTP status of a refusal.
unsigned RefusalStatus(refusal_reason reason);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_CALLER_API_H_
