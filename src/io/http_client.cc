#include "io/http_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

namespace radishroute {

namespace {

constexpr const char* kProtocolName = "http-client";
constexpr std::size_t kMaxWriteBytes = std::size_t{16} * 1024;
constexpr std::size_t kReadBufferBytes = std::size_t{16} * 1024;

// Last bytes of a complete server-sent event stream in the chat completions interface. A stream
// without a length is complete only if it ends so.
constexpr std::string_view kStreamEnd = "data: [DONE]\n\n";

bool ClosedByPeer(lws* wsi) {
  char byte = 0;
  return wsi != nullptr && recv(lws_get_socket_fd(wsi), &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

bool AnnouncesClose(lws* wsi) {
  std::array<char, 32> value{};
  lws_hdr_copy(wsi, value.data(), static_cast<int>(value.size()), WSI_TOKEN_CONNECTION);
  return std::string_view(value.data()) == "close";
}

}  // namespace

struct http_client::call {
  http_client* owner = nullptr;
  lws* wsi = nullptr;
  call_id id = 0;
  lane* kept = nullptr;
  std::string server;
  std::vector<http_header> headers;
  std::string body;
  std::size_t written = 0;
  bool starting = true;
  /// Set if the call ended while Start was still running.
  std::optional<http_call_result> ended_early;
  bool sent = false;
  bool established = false;
  bool finished = false;
  bool event_stream = false;
  /// The server closes the connection after this response.
  bool closing = false;
  std::int64_t remaining = -1;
  std::string tail;
};

http_client::http_client(io_loop& loop, handlers on, std::size_t max_kept_per_server)
    : loop_(loop), on_(std::move(on)), max_kept_per_server_(max_kept_per_server) {
  lane_protocols_[0] = Protocol();
  lane_protocols_[0].callback = &http_client::OnLane;
  deferred_timer_.owner = this;
  loop_.SetHttpClient(this);
}

http_client::~http_client() {
  loop_.SetHttpClient(nullptr);
  lws_sul_schedule(loop_.Context(), 0, &deferred_timer_.sul, nullptr, LWS_SET_TIMER_USEC_CANCEL);
  for (auto& [id, c] : calls_) {
    if (c->wsi != nullptr) lws_set_opaque_user_data(c->wsi, nullptr);
  }
}

lws_protocols http_client::Protocol() {
  lws_protocols protocol{};
  protocol.name = kProtocolName;
  protocol.callback = &http_client::OnHttp;
  protocol.rx_buffer_size = kReadBufferBytes;
  return protocol;
}

http_client::lane* http_client::TakeLane(const std::string& server) {
  auto& lanes = lanes_[server];
  for (auto& candidate : lanes) {
    // A server may close a kept connection at any time; a request sent on it after that would have
    // an unknown outcome. The event loop closes this side soon.
    if (candidate->busy || ClosedByPeer(candidate->wsi)) continue;
    candidate->busy = true;
    return candidate.get();
  }
  if (lanes.size() >= max_kept_per_server_) return nullptr;
  lws_context_creation_info info{};
  info.port = CONTEXT_PORT_NO_LISTEN;
  info.vhost_name = "client-lane";
  info.protocols = lane_protocols_;
  info.options = LWS_SERVER_OPTION_DISABLE_IPV6;
  auto added = std::make_unique<lane>();
  info.user = added.get();
  added->vhost = lws_create_vhost(loop_.Context(), &info);
  if (added->vhost == nullptr) return nullptr;
  added->busy = true;
  lanes.push_back(std::move(added));
  return lanes.back().get();
}

void http_client::Release(lane* used) {
  if (used == nullptr) return;
  // Only after the present callback has returned is the connection idle or closed.
  released_.push_back(used);
  lws_sul_schedule(loop_.Context(), 0, &deferred_timer_.sul, &http_client::OnDeferred, 1);
}

void http_client::OnDeferred(lws_sorted_usec_list_t* sul) {
  http_client* owner = lws_container_of(sul, deferred_timer, sul)->owner;
  for (lane* used : owner->released_) used->busy = false;
  owner->released_.clear();
  for (call_id id : owner->awaiting_) {
    auto it = owner->calls_.find(id);
    if (it == owner->calls_.end() || it->second->wsi == nullptr) continue;
    lws_set_timeout(it->second->wsi, NO_PENDING_TIMEOUT, 0);
  }
  owner->awaiting_.clear();
}

void http_client::AwaitAnswer(call& c) {
  // libwebsockets closes a call that has no answer after 10 s, but queued batch work may take
  // hours; callers' deadlines bound the wait. It sets its timeout after the present callback.
  awaiting_.push_back(c.id);
  lws_sul_schedule(loop_.Context(), 0, &deferred_timer_.sul, &http_client::OnDeferred, 1);
}

http_client::call_id http_client::Start(const endpoint& server, const std::string& path,
                                        const std::vector<http_header>& headers, std::string body) {
  auto c = std::make_unique<call>();
  c->owner = this;
  c->id = next_id_++;
  c->server = ToString(server);
  c->headers = headers;
  c->body = std::string(LWS_PRE, '\0') + body;
  call* raw = c.get();
  call_id id = raw->id;
  calls_.emplace(id, std::move(c));

  lws_client_connect_info info{};
  info.context = loop_.Context();
  raw->kept = TakeLane(raw->server);
  info.vhost = raw->kept == nullptr ? loop_.ClientVhost() : raw->kept->vhost;
  if (raw->kept != nullptr) {
    info.ssl_connection = LCCSCF_PIPELINE;
    info.keep_warm_secs = static_cast<std::uint16_t>(kIdleTime.count());
  }
  info.address = server.host.c_str();
  info.port = server.port;
  info.path = path.c_str();
  // Without the port: libwebsockets 4.1 reuses a connection only if this equals the address.
  info.host = server.host.c_str();
  info.method = body.empty() ? "GET" : "POST";
  info.local_protocol_name = kProtocolName;
  // The id, not the call: libwebsockets may keep a connection that waits for a header buffer
  // although it has reported a failure, and call back after the call's end.
  info.opaque_user_data = reinterpret_cast<void*>(id);
  lws* wsi = lws_client_connect_via_info(&info);
  raw->starting = false;
  // A call that waits for a free header buffer has had no callback that names its connection.
  if (wsi != nullptr && !raw->ended_early) raw->wsi = wsi;
  if (wsi == nullptr && !raw->ended_early) raw->ended_early = http_call_result::kNotSent;
  if (raw->ended_early) {
    // Reported later, so that the caller has the id before the event.
    http_call_result result = *raw->ended_early;
    bool posted = loop_.Post([this, id, result] {
      auto it = calls_.find(id);
      if (it != calls_.end()) Finish(*it->second, result);
    });
    if (!posted) Finish(*raw, result);
  }
  return id;
}

void http_client::Cancel(call_id id) {
  auto it = calls_.find(id);
  if (it == calls_.end()) return;
  lws* wsi = it->second->wsi;
  if (wsi != nullptr) {
    lws_set_opaque_user_data(wsi, nullptr);
    lws_set_timeout(wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
  }
  // After the order to close: a call on the lane must not be queued behind the closing one.
  Release(it->second->kept);
  calls_.erase(it);
}

int http_client::AppendHeaders(call& c, unsigned char** p, unsigned char* end) {
  auto add = [&](const std::string& name, const std::string& value) {
    std::string key = name + ":";
    return lws_add_http_header_by_name(c.wsi, reinterpret_cast<const unsigned char*>(key.c_str()),
                                       reinterpret_cast<const unsigned char*>(value.data()),
                                       static_cast<int>(value.size()), p, end);
  };
  for (const http_header& header : c.headers) {
    if (add(header.name, header.value) != 0) return -1;
  }
  std::size_t length = c.body.size() - LWS_PRE;
  if (length > 0) {
    if (add("content-type", "application/json") != 0) return -1;
    if (add("content-length", std::to_string(length)) != 0) return -1;
    lws_client_http_body_pending(c.wsi, 1);
    lws_callback_on_writable(c.wsi);
  } else {
    AwaitAnswer(c);
  }
  c.sent = true;
  return 0;
}

int http_client::OnWritable(call& c) {
  std::size_t pending = c.body.size() - LWS_PRE - c.written;
  if (pending == 0) return 0;
  std::size_t length = std::min(pending, kMaxWriteBytes);
  bool last = length == pending;
  auto* data = reinterpret_cast<unsigned char*>(c.body.data()) + LWS_PRE + c.written;
  auto how = last ? LWS_WRITE_HTTP_FINAL : LWS_WRITE_HTTP;
  if (last) lws_client_http_body_pending(c.wsi, 0);
  if (lws_write(c.wsi, data, length, how) < static_cast<int>(length)) return -1;
  c.written += length;
  if (last) {
    AwaitAnswer(c);
  } else {
    lws_callback_on_writable(c.wsi);
  }
  return 0;
}

void http_client::OnEstablished(call& c) {
  c.established = true;
  std::array<char, 128> type{};
  std::array<char, 32> length{};
  lws_hdr_copy(c.wsi, type.data(), static_cast<int>(type.size()), WSI_TOKEN_HTTP_CONTENT_TYPE);
  if (lws_hdr_copy(c.wsi, length.data(), static_cast<int>(length.size()),
                   WSI_TOKEN_HTTP_CONTENT_LENGTH) > 0) {
    c.remaining = std::strtoll(length.data(), nullptr, 10);
  }
  c.closing = AnnouncesClose(c.wsi);
  std::string content_type(type.data());
  c.event_stream = content_type.starts_with("text/event-stream");
  unsigned status = lws_http_client_http_response(c.wsi);
  on_.on_begin(c.id, status, content_type);
}

void http_client::OnBytes(call& c, std::string_view bytes) {
  if (c.remaining >= 0) c.remaining -= static_cast<std::int64_t>(bytes.size());
  if (c.event_stream) {
    c.tail.append(bytes);
    if (c.tail.size() > kStreamEnd.size()) c.tail.erase(0, c.tail.size() - kStreamEnd.size());
  }
  on_.on_bytes(c.id, bytes);
}

void http_client::Finish(call& c, http_call_result result) {
  call_id id = c.id;
  if (c.wsi != nullptr) lws_set_opaque_user_data(c.wsi, nullptr);
  if (c.starting) {
    c.wsi = nullptr;
    c.ended_early = result;
    return;
  }
  Release(c.kept);
  calls_.erase(id);
  on_.on_end(id, result);
}

int http_client::OnLane(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t len) {
  // The loop's own vhosts run posted tasks; one of them is enough.
  if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) return 0;
  // Without a client its lanes are gone too.
  if (reason == LWS_CALLBACK_WSI_DESTROY && wsi != nullptr &&
      io_loop::HttpClientOf(wsi) != nullptr) {
    auto* used = static_cast<lane*>(lws_get_vhost_user(lws_get_vhost(wsi)));
    if (used->wsi == wsi) used->wsi = nullptr;
  }
  return OnHttp(wsi, reason, user, in, len);
}

int http_client::OnHttp(lws* wsi, lws_callback_reasons reason, void*, void* in, size_t len) {
  if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) {
    io_loop::OnCancelled(wsi);
    return 0;
  }
  if (wsi == nullptr) return 0;
  auto id = reinterpret_cast<call_id>(lws_get_opaque_user_data(wsi));
  auto* owner = static_cast<http_client*>(io_loop::HttpClientOf(wsi));
  call* c = nullptr;
  if (id != 0 && owner != nullptr) {
    auto it = owner->calls_.find(id);
    if (it != owner->calls_.end()) c = it->second.get();
  }
  if (c == nullptr) {
    // Cancelled: the connection is closed at the next callback that can close it.
    return reason == LWS_CALLBACK_CLIENT_HTTP_WRITEABLE ||
                   reason == LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER ||
                   reason == LWS_CALLBACK_RECEIVE_CLIENT_HTTP
               ? -1
               : 0;
  }
  c->wsi = wsi;
  if (c->kept != nullptr) c->kept->wsi = wsi;
  switch (reason) {
    case LWS_CALLBACK_CLIENT_APPEND_HANDSHAKE_HEADER: {
      auto** p = static_cast<unsigned char**>(in);
      return c->owner->AppendHeaders(*c, p, *p + len);
    }
    case LWS_CALLBACK_CLIENT_HTTP_WRITEABLE:
      return c->owner->OnWritable(*c);
    case LWS_CALLBACK_ESTABLISHED_CLIENT_HTTP:
      c->owner->OnEstablished(*c);
      return 0;
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP: {
      std::array<char, LWS_PRE + kReadBufferBytes> buffer;
      char* start = buffer.data() + LWS_PRE;
      int length = static_cast<int>(kReadBufferBytes);
      return lws_http_client_read(wsi, &start, &length) < 0 ? -1 : 0;
    }
    case LWS_CALLBACK_RECEIVE_CLIENT_HTTP_READ:
      c->owner->OnBytes(*c, {static_cast<const char*>(in), len});
      return 0;
    case LWS_CALLBACK_COMPLETED_CLIENT_HTTP: {
      bool whole = c->event_stream ? c->tail == kStreamEnd : c->remaining <= 0;
      // Without a length the server ends the answer by closing the connection.
      bool reusable = whole && c->kept != nullptr && c->remaining == 0 && !c->closing;
      c->owner->Finish(*c, whole ? http_call_result::kComplete : http_call_result::kBroken);
      return reusable ? 0 : -1;
    }
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      lws_set_opaque_user_data(wsi, nullptr);
      c->wsi = nullptr;
      c->owner->Finish(*c, c->sent ? http_call_result::kBroken : http_call_result::kNotSent);
      return 0;
    case LWS_CALLBACK_CLOSED_CLIENT_HTTP: {
      bool whole = c->established && (c->event_stream ? c->tail == kStreamEnd : c->remaining == 0);
      auto lost = c->sent ? http_call_result::kBroken : http_call_result::kNotSent;
      c->owner->Finish(*c, whole ? http_call_result::kComplete : lost);
      return 0;
    }
    default:
      return 0;
  }
}

}  // namespace radishroute
