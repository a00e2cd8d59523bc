#ifndef RADISHROUTE_IO_HTTP_CLIENT_H_
#define RADISHROUTE_IO_HTTP_CLIENT_H_

#include <libwebsockets.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "io/http_server.h"
#include "io/loop.h"
#include "radishroute/types.h"

namespace radishroute {

/// How an HTTP call ended.
enum class http_call_result : std::uint8_t {
  /// The response is complete.
  kComplete,
  /// No byte of the request was sent.
  kNotSent,
  /// The connection closed before the response was complete.
  kBroken,
};

/// HTTP/1.1 client on one event loop. Connections of ended calls are kept for a while and reused.
class http_client {
 public:
  using call_id = std::uint64_t;

  /// Connections to one server that may be kept; calls beyond them use a connection each.
  static constexpr std::size_t kMaxKeptPerServer = 32;
  /// An unused connection is closed after this time, well before servers do so (60 s), since a
  /// call that meets the server's close has an unknown outcome.
  static constexpr std::chrono::seconds kIdleTime{10};

  struct handlers {
    std::function<void(call_id, unsigned status, const std::string& content_type)> on_begin;
    std::function<void(call_id, std::string_view bytes)> on_bytes;
    std::function<void(call_id, http_call_result)> on_end;
  };

  http_client(io_loop& loop, handlers on, std::size_t max_kept_per_server = kMaxKeptPerServer);
  ~http_client();
  http_client(const http_client&) = delete;
  http_client& operator=(const http_client&) = delete;

  /// Starts a call with a JSON body; a body of zero length makes a GET. Events follow through the
  /// handlers, `on_end` exactly once unless the call is cancelled.
  call_id Start(const endpoint& server, const std::string& path,
                const std::vector<http_header>& headers, std::string body);

  /// Closes the call's connection; no further events follow.
  void Cancel(call_id id);

  std::size_t Active() const { return calls_.size(); }

  static lws_protocols Protocol();

 private:
  struct call;

  /// A vhost of its own for one connection at a time: libwebsockets reuses an idle connection of
  /// the same vhost, but it would also queue a call behind a busy one.
  struct lane {
    lws_vhost* vhost = nullptr;
    /// The connection that the last call used, until it is closed.
    lws* wsi = nullptr;
    bool busy = false;
  };

  struct deferred_timer {
    lws_sorted_usec_list_t sul{};
    http_client* owner = nullptr;
  };

  static int OnLane(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t len);
  static void OnDeferred(lws_sorted_usec_list_t* sul);
  lane* TakeLane(const std::string& server);
  void Release(lane* used);
  void AwaitAnswer(call& c);
  static int OnHttp(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t len);
  int AppendHeaders(call& c, unsigned char** p, unsigned char* end);
  int OnWritable(call& c);
  void OnEstablished(call& c);
  void OnBytes(call& c, std::string_view bytes);
  void Finish(call& c, http_call_result result);

  io_loop& loop_;
  handlers on_;
  std::size_t max_kept_per_server_;
  call_id next_id_ = 1;
  std::unordered_map<call_id, std::unique_ptr<call>> calls_;
  std::unordered_map<std::string, std::vector<std::unique_ptr<lane>>> lanes_;
  std::vector<lane*> released_;
  std::vector<call_id> awaiting_;
  deferred_timer deferred_timer_;
  lws_protocols lane_protocols_[2] = {};
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_HTTP_CLIENT_H_
