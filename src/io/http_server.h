#ifndef RADISHROUTE_IO_HTTP_SERVER_H_
#define RADISHROUTE_IO_HTTP_SERVER_H_

#include <libwebsockets.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <unordered_map>
#include <utility>
#include <vector>

#include "io/loop.h"
#include "radishroute/error.h"
#include "radishroute/http_header.h"
#include "radishroute/types.h"

namespace radishroute {

/// A complete request with its body.
struct http_request {
  exchange_id exchange;
  /// Number of the connection; grows with each new connection that sends a request.
  std::uint64_t connection = 0;
  std::string method;
  std::string path;
  /// Values of the headers named in `http_server_settings::headers`, in lower case, if present.
  std::unordered_map<std::string, std::string> headers;
  std::string body;
};

struct http_server_settings {
  http_server_settings() = default;
  explicit http_server_settings(std::vector<std::string> read) : headers(std::move(read)) {}

  /// Lower-case names of the request headers to read.
  std::vector<std::string> headers;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  /// Limits of one exchange with a client that sends or reads slowly; such a client is cut off.
  std::size_t max_buffered_bytes = std::size_t{6} << 20;
  std::chrono::milliseconds body_timeout{10000};
  std::chrono::milliseconds write_timeout{10000};
  std::string tls_certificate;
  std::string tls_key;
};

/// HTTP/1.1 server on one event loop, with or without TLS.
class http_server {
 public:
  struct handlers {
    std::function<void(http_request&&)> on_request;
    /// The client closed its connection before the response was complete.
    std::function<void(exchange_id)> on_closed;
    /// The request body exceeds the limit; the server has answered 413.
    std::function<void()> on_body_too_large;
    /// A client was cut off because it sent its request or read its response too slowly.
    std::function<void(bool sending)> on_slow_client;
  };

  http_server(io_loop& loop, http_server_settings settings, handlers on);
  ~http_server();
  http_server(const http_server&) = delete;
  http_server& operator=(const http_server&) = delete;

  /// Creates the vhost that serves connections. With an address it also listens there; without
  /// one it serves only sockets handed to Adopt. Error: kListenFailed.
  std::error_code Start(const std::optional<endpoint>& listen);

  /// Takes over an accepted socket.
  void Adopt(int socket);

  /// Starts a response. Without a length, the end is marked by closing the stream.
  void Begin(exchange_id id, unsigned status, const std::string& content_type,
             const std::vector<http_header>& headers, std::optional<std::size_t> length);
  void Write(exchange_id id, std::string_view bytes);
  void End(exchange_id id);
  /// Closes the connection without completing the response.
  void Abort(exchange_id id);

  /// From now on each response on HTTP/1 announces that its connection is closed after it.
  void Drain() { draining_ = true; }

  /// Calls `on_idle` once no exchange is in progress, every response has been sent and kept
  /// connections are closed, each at a moment when no request waits on it.
  void WhenIdle(std::function<void()> on_idle);

  /// Sends a complete response.
  void Respond(exchange_id id, unsigned status, const std::string& content_type,
               const std::vector<http_header>& headers, std::string_view body);

 private:
  struct exchange;

  static int OnHttp(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t len);
  int OnHeaders(lws* wsi, std::string_view uri);
  int OnComplete(exchange& x);
  int OnTimer(exchange& x);
  int OnWritable(exchange& x);
  int WriteHeaders(exchange& x);
  int WriteBody(exchange& x);
  int Complete(exchange& x);
  void Drop(exchange& x, bool notify);
  void BecomeIdle(int rounds_left);
  bool CloseUnused();
  exchange* Find(exchange_id id);

  io_loop& loop_;
  http_server_settings settings_;
  handlers on_;
  lws_protocols protocols_[2] = {};
  lws_vhost* vhost_ = nullptr;
  std::uint64_t next_id_ = 1;
  std::uint64_t next_connection_ = 1;
  std::unordered_map<lws*, std::uint64_t> connections_;
  bool draining_ = false;
  std::function<void()> on_idle_;
  std::unordered_map<std::uint64_t, std::unique_ptr<exchange>> exchanges_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_HTTP_SERVER_H_
