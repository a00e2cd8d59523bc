#ifndef RADISHROUTE_IO_HTTP_CLIENT_H_
#define RADISHROUTE_IO_HTTP_CLIENT_H_

#include <libwebsockets.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "io/http_server.h"
#include "io/loop.h"
#include "io/upstream_client.h"
#include "radishroute/types.h"

namespace radishroute {

/// How an HTTP call ended.
enum class http_call_result : std::uint8_t {
  /// The response is complete.
  kComplete,
  /// No byte of the request was sent.
  kNotSent,
  /// The request may have been read, and there is no complete and valid response to it.
  kBroken,
};

/// HTTP/1.1 client for JSON calls on one event loop. Connections of ended calls are kept for a
/// while and reused.
class http_client {
 public:
  using call_id = std::uint64_t;

  /// Connections to one server that may be kept; calls beyond them use a connection each.
  static constexpr std::size_t kMaxKeptPerServer = 32;

  struct handlers {
    std::function<void(call_id, unsigned status, const std::string& content_type)> on_begin;
    std::function<void(call_id, std::string_view bytes)> on_bytes;
    /// The fault tells what makes a response kBroken.
    std::function<void(call_id, http_call_result, response_fault fault)> on_end;
  };

  http_client(io_loop& loop, handlers on, std::size_t max_kept_per_server = kMaxKeptPerServer);
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts a call with a JSON body; a body of zero length makes a GET. Events follow through the
  /// handlers, `on_end` exactly once unless the call is cancelled.
  call_id Start(const endpoint& server, const std::string& path,
                const std::vector<http_header>& headers, const std::string& body);

  /// Closes the call's connection; no further events follow.
  void Cancel(call_id id);

  std::size_t Active() const { return calls_.size(); }

  /// Protocols of a loop on which nothing but this client runs.
  static const lws_protocols* Protocols();

 private:
  struct call {
    bool event_stream = false;
    /// Last bytes of an event stream.
    std::string tail;
  };

  void OnHead(call_id id, const http_head& head);
  void OnBytes(call_id id, std::string_view bytes);
  void OnEnd(call_id id);
  void Finish(call_id id, http_call_result result, response_fault fault);

  io_loop& loop_;
  handlers on_;
  call_id next_id_ = 1;
  /// Call that is being started.
  call_id starting_ = 0;
  std::unordered_map<call_id, call> calls_;
  upstream_client connections_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_HTTP_CLIENT_H_
