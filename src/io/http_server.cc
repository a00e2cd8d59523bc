#include "io/http_server.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <utility>

namespace radishroute {

namespace {

constexpr std::size_t kMaxWriteBytes = 16 * 1024;
constexpr std::size_t kHeaderBufferBytes = 4096;
constexpr std::size_t kMaxHeaderValueBytes = 512;

// Turns of the event loop for requests that arrive while kept connections are being closed; one is
// enough for a request that has arrived whole.
constexpr int kClosingRounds = 16;

lws_usec_t Micros(std::chrono::milliseconds time) {
  return std::chrono::microseconds(time).count();
}

const char* MethodName(int method) {
  switch (method) {
    case LWSHUMETH_GET:
      return "GET";
    case LWSHUMETH_POST:
      return "POST";
    case LWSHUMETH_PUT:
      return "PUT";
    case LWSHUMETH_DELETE:
      return "DELETE";
    default:
      return "OTHER";
  }
}

std::optional<lws_token_indexes> KnownToken(const std::string& name) {
  if (name == "content-type") return WSI_TOKEN_HTTP_CONTENT_TYPE;
  if (name == "authorization") return WSI_TOKEN_HTTP_AUTHORIZATION;
  return std::nullopt;
}

std::optional<std::string> ReadHeader(lws* wsi, const std::string& name) {
  std::array<char, kMaxHeaderValueBytes> value{};
  if (auto token = KnownToken(name)) {
    if (lws_hdr_total_length(wsi, *token) == 0) return std::nullopt;
    if (lws_hdr_copy(wsi, value.data(), static_cast<int>(value.size()), *token) < 0) {
      return std::nullopt;
    }
    return std::string(value.data());
  }
  std::string key = name + ":";
  int length = lws_hdr_custom_length(wsi, key.c_str(), static_cast<int>(key.size()));
  if (length < 0) return std::nullopt;
  if (lws_hdr_custom_copy(wsi, value.data(), static_cast<int>(value.size()), key.c_str(),
                          static_cast<int>(key.size())) < 0) {
    return std::nullopt;
  }
  return std::string(value.data());
}

}  // namespace

struct http_server::exchange {
  http_server* owner = nullptr;
  lws* wsi = nullptr;
  http_request request;
  bool delivered = false;
  bool begun = false;
  bool headers_written = false;
  bool ended = false;
  bool aborted = false;
  bool flushing = false;
  /// The response has announced that the connection is closed after it.
  bool closing = false;
  unsigned status = 0;
  std::string content_type;
  std::vector<http_header> headers;
  std::optional<std::size_t> length;
  std::string output = std::string(LWS_PRE, '\0');
  std::size_t written = 0;
};

http_server::http_server(io_loop& loop, http_server_settings settings, handlers on)
    : loop_(loop), settings_(std::move(settings)), on_(std::move(on)) {
  protocols_[0].name = "http";
  protocols_[0].callback = &http_server::OnHttp;
  protocols_[0].rx_buffer_size = kMaxWriteBytes;
}

http_server::~http_server() {
  for (auto& [id, x] : exchanges_) lws_set_opaque_user_data(x->wsi, nullptr);
}

std::error_code http_server::Start(const std::optional<endpoint>& listen) {
  lws_context_creation_info info{};
  info.port = listen ? listen->port : CONTEXT_PORT_NO_LISTEN_SERVER;
  if (listen) info.iface = listen->host.c_str();
  info.vhost_name = "http";
  info.protocols = protocols_;
  info.options = LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  info.keepalive_timeout = 60;
  info.user = this;
  if (!settings_.tls_certificate.empty()) {
    info.options |= LWS_SERVER_OPTION_DO_SSL_GLOBAL_INIT;
    info.ssl_cert_filepath = settings_.tls_certificate.c_str();
    info.ssl_private_key_filepath = settings_.tls_key.c_str();
    // Without HTTP/2: libwebsockets 4.1 drops headers that it does not know there, so neither the
    // Member nor the kind of work would arrive. Callers that can do both use HTTP/1.1.
    info.alpn = "http/1.1";
  }
  vhost_ = lws_create_vhost(loop_.Context(), &info);
  if (vhost_ == nullptr) return errc::kListenFailed;
  return {};
}

void http_server::Adopt(int socket) { lws_adopt_socket_vhost(vhost_, socket); }

http_server::exchange* http_server::Find(exchange_id id) {
  auto it = exchanges_.find(id.value);
  return it == exchanges_.end() ? nullptr : it->second.get();
}

void http_server::Begin(exchange_id id, unsigned status, const std::string& content_type,
                        const std::vector<http_header>& headers,
                        std::optional<std::size_t> length) {
  exchange* x = Find(id);
  if (x == nullptr || x->begun) return;
  x->begun = true;
  x->status = status;
  x->content_type = content_type;
  x->headers = headers;
  x->length = length;
  lws_callback_on_writable(x->wsi);
}

void http_server::Write(exchange_id id, std::string_view bytes) {
  exchange* x = Find(id);
  if (x == nullptr || x->ended) return;
  bool idle = x->output.size() == LWS_PRE;
  x->output.append(bytes);
  if (x->output.size() - LWS_PRE - x->written > settings_.max_buffered_bytes) {
    if (on_.on_slow_client) on_.on_slow_client(false);
    lws_set_timeout(x->wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
    return;
  }
  if (idle) lws_set_timer_usecs(x->wsi, Micros(settings_.write_timeout));
  lws_callback_on_writable(x->wsi);
}

void http_server::End(exchange_id id) {
  exchange* x = Find(id);
  if (x == nullptr) return;
  x->ended = true;
  lws_callback_on_writable(x->wsi);
}

void http_server::Abort(exchange_id id) {
  exchange* x = Find(id);
  if (x == nullptr) return;
  x->aborted = true;
  lws_callback_on_writable(x->wsi);
}

void http_server::Respond(exchange_id id, unsigned status, const std::string& content_type,
                          const std::vector<http_header>& headers, std::string_view body) {
  Begin(id, status, content_type, headers, body.size());
  Write(id, body);
  End(id);
}

int http_server::OnHeaders(lws* wsi, std::string_view uri) {
  auto x = std::make_unique<exchange>();
  x->owner = this;
  x->wsi = wsi;
  x->request.exchange = {next_id_++};
  auto [connection, is_new] = connections_.try_emplace(lws_get_network_wsi(wsi), next_connection_);
  if (is_new) ++next_connection_;
  x->request.connection = connection->second;
  char* raw_uri = nullptr;
  int raw_length = 0;
  int method = lws_http_get_uri_and_method(wsi, &raw_uri, &raw_length);
  x->request.method = MethodName(method);
  x->request.path = std::string(uri);
  for (const std::string& name : settings_.headers) {
    if (auto value = ReadHeader(wsi, name)) x->request.headers[name] = std::move(*value);
  }
  bool has_body = method == LWSHUMETH_POST || method == LWSHUMETH_PUT;
  std::array<char, 32> length_text{};
  if (lws_hdr_copy(wsi, length_text.data(), static_cast<int>(length_text.size()),
                   WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0) {
    std::size_t length = std::strtoull(length_text.data(), nullptr, 10);
    if (length == 0) has_body = false;
    if (length > settings_.max_body_bytes) {
      if (on_.on_body_too_large) on_.on_body_too_large();
      lws_return_http_status(wsi, 413, nullptr);
      return -1;
    }
    x->request.body.reserve(length);
  }
  exchange* raw = x.get();
  lws_set_opaque_user_data(wsi, raw);
  exchanges_.emplace(raw->request.exchange.value, std::move(x));
  if (!has_body) return OnComplete(*raw);
  lws_set_timer_usecs(wsi, Micros(settings_.body_timeout));
  return 0;
}

int http_server::OnComplete(exchange& x) {
  if (x.delivered) return 0;
  x.delivered = true;
  lws_set_timer_usecs(x.wsi, LWS_SET_TIMER_USEC_CANCEL);
  http_request request = std::move(x.request);
  x.request.exchange = request.exchange;
  on_.on_request(std::move(request));
  return 0;
}

int http_server::OnTimer(exchange& x) {
  bool sending = !x.delivered;
  if (!sending && x.output.size() == LWS_PRE) return 0;
  if (on_.on_slow_client) on_.on_slow_client(sending);
  return -1;
}

int http_server::WriteHeaders(exchange& x) {
  std::array<unsigned char, LWS_PRE + kHeaderBufferBytes> buffer{};
  unsigned char* start = buffer.data() + LWS_PRE;
  unsigned char* p = start;
  unsigned char* end = buffer.data() + buffer.size() - 1;
  lws_filepos_t length = x.length ? *x.length : LWS_ILLEGAL_HTTP_CONTENT_LEN;
  if (lws_add_http_common_headers(x.wsi, x.status, x.content_type.c_str(), length, &p, end)) {
    return -1;
  }
  for (const http_header& header : x.headers) {
    std::string name = header.name + ":";
    if (lws_add_http_header_by_name(x.wsi, reinterpret_cast<const unsigned char*>(name.c_str()),
                                    reinterpret_cast<const unsigned char*>(header.value.data()),
                                    static_cast<int>(header.value.size()), &p, end)) {
      return -1;
    }
  }
  // HTTP/2 has no such header.
  if (draining_ && lws_get_network_wsi(x.wsi) == x.wsi) {
    constexpr std::string_view kClose = "close";
    if (lws_add_http_header_by_token(x.wsi, WSI_TOKEN_CONNECTION,
                                     reinterpret_cast<const unsigned char*>(kClose.data()),
                                     static_cast<int>(kClose.size()), &p, end)) {
      return -1;
    }
    x.closing = true;
  }
  if (lws_finalize_write_http_header(x.wsi, start, &p, end)) return -1;
  x.headers_written = true;
  return 0;
}

int http_server::WriteBody(exchange& x) {
  std::size_t pending = x.output.size() - LWS_PRE - x.written;
  std::size_t length = std::min(pending, kMaxWriteBytes);
  bool last = x.ended && length == pending;
  if (length == 0 && !last) return 0;
  auto* data = reinterpret_cast<unsigned char*>(x.output.data()) + LWS_PRE + x.written;
  auto how = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
  if (lws_write(x.wsi, data, length, how) < static_cast<int>(length)) return -1;
  x.written += length;
  bool drained = length == pending;
  lws_set_timer_usecs(x.wsi, drained ? LWS_SET_TIMER_USEC_CANCEL : Micros(settings_.write_timeout));
  if (x.written == x.output.size() - LWS_PRE) {
    x.output.resize(LWS_PRE);
    x.written = 0;
  }
  if (!last) {
    if (x.output.size() > LWS_PRE || x.ended) lws_callback_on_writable(x.wsi);
    return 0;
  }
  // Bytes that libwebsockets still buffers would be lost if the process stopped now.
  if (lws_partial_buffered(x.wsi) != 0) {
    x.flushing = true;
    lws_callback_on_writable(x.wsi);
    return 0;
  }
  return Complete(x);
}

int http_server::Complete(exchange& x) {
  bool reusable = x.length.has_value() && !x.closing;
  lws* wsi = x.wsi;
  Drop(x, false);
  if (lws_http_transaction_completed(wsi) != 0) return -1;
  return reusable ? 0 : -1;
}

void http_server::WhenIdle(std::function<void()> on_idle) {
  on_idle_ = std::move(on_idle);
  if (exchanges_.empty()) BecomeIdle(kClosingRounds);
}

void http_server::BecomeIdle(int rounds_left) {
  if (!exchanges_.empty()) return;
  if (CloseUnused() || rounds_left == 0) {
    on_idle_();
    return;
  }
  bool posted = loop_.Post([this, rounds_left] { BecomeIdle(rounds_left - 1); });
  if (!posted) on_idle_();
}

// A client may send its next request at any time. One that has arrived is answered first; after the
// end of the stream has been sent, a client that looks at its connection sends no more.
bool http_server::CloseUnused() {
  bool all = true;
  for (const auto& [wsi, number] : connections_) {
    char byte = 0;
    lws_sockfd_type socket = lws_get_socket_fd(wsi);
    if (recv(socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0) {
      all = false;
      continue;
    }
    shutdown(socket, SHUT_WR);
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
  }
  return all;
}

int http_server::OnWritable(exchange& x) {
  if (x.aborted) return -1;
  if (!x.begun) return 0;
  if (x.flushing) return Complete(x);
  if (!x.headers_written) {
    if (WriteHeaders(x) != 0) return -1;
    // A second write in the same callback is allowed only on HTTP/1 with an empty send buffer.
    if (lws_partial_buffered(x.wsi) != 0 || lws_get_network_wsi(x.wsi) != x.wsi) {
      lws_callback_on_writable(x.wsi);
      return 0;
    }
  }
  return WriteBody(x);
}

void http_server::Drop(exchange& x, bool notify) {
  exchange_id id = x.request.exchange;
  bool complete = x.ended || !x.delivered;
  lws_set_opaque_user_data(x.wsi, nullptr);
  exchanges_.erase(id.value);
  if (notify && !complete && on_.on_closed) on_.on_closed(id);
  if (exchanges_.empty() && on_idle_) BecomeIdle(kClosingRounds);
}

int http_server::OnHttp(lws* wsi, lws_callback_reasons reason, void*, void* in, size_t len) {
  if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) {
    io_loop::OnCancelled(wsi);
    return 0;
  }
  if (wsi == nullptr) return 0;
  auto* x = static_cast<exchange*>(lws_get_opaque_user_data(wsi));
  switch (reason) {
    case LWS_CALLBACK_HTTP: {
      auto* server = static_cast<http_server*>(lws_get_vhost_user(lws_get_vhost(wsi)));
      return server->OnHeaders(wsi, {static_cast<const char*>(in), len});
    }
    case LWS_CALLBACK_HTTP_BODY:
      if (x == nullptr) return -1;
      if (x->request.body.size() + len > x->owner->settings_.max_body_bytes) {
        if (x->owner->on_.on_body_too_large) x->owner->on_.on_body_too_large();
        return -1;
      }
      x->request.body.append(static_cast<const char*>(in), len);
      return 0;
    case LWS_CALLBACK_HTTP_BODY_COMPLETION:
      return x == nullptr ? 0 : x->owner->OnComplete(*x);
    case LWS_CALLBACK_TIMER:
      return x == nullptr ? 0 : x->owner->OnTimer(*x);
    case LWS_CALLBACK_HTTP_WRITEABLE:
      return x == nullptr ? 0 : x->owner->OnWritable(*x);
    case LWS_CALLBACK_CLOSED_HTTP:
      if (x != nullptr) x->owner->Drop(*x, true);
      return 0;
    case LWS_CALLBACK_WSI_DESTROY: {
      auto* server = static_cast<http_server*>(lws_get_vhost_user(lws_get_vhost(wsi)));
      if (server != nullptr) server->connections_.erase(wsi);
      return 0;
    }
    default:
      return 0;
  }
}

}  // namespace radishroute
