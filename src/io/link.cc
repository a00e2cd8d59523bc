#include "io/link.h"

#include <algorithm>
#include <utility>

#include "io/metrics.h"
#include "io/secret.h"
#include "io/wire.h"

namespace radishroute {

namespace {

constexpr const char* kProtocolName = "radishroute-link";

// Bytes handed to one lws_write; larger writes would be copied again when the socket is full.
constexpr std::size_t kMaxWriteBytes = 64 * 1024;

// A peer that stops reading is cut off at this backlog instead of exhausting memory.
constexpr std::size_t kMaxBacklogBytes = std::size_t{32} << 20;

// Longest wait for the peer's hello on a new connection.
constexpr std::chrono::microseconds kHelloTimeout{1000000};

// A refused connection is known after one round trip.
constexpr std::chrono::milliseconds kRefusalWithin{1000};

}  // namespace

struct link_transport::connection {
  link_transport* owner = nullptr;
  lws* wsi = nullptr;
  link_id id;
  endpoint dialed;
  steady_time dialed_at;
  bool peer_known = false;
  bool closing = false;
  std::error_code close_reason;
  std::string input;
  // Starts with LWS_PRE spare bytes, which lws_write may overwrite.
  std::string output = std::string(LWS_PRE, '\0');
  std::size_t written = 0;
};

link_transport::link_transport(io_loop& loop, hello self, event_sink sink)
    : loop_(loop), self_(std::move(self)), sink_(std::move(sink)) {
  self_.protocol_version = kProtocolVersion;
}

link_transport::~link_transport() {
  for (auto& [id, c] : connections_) {
    if (c->wsi != nullptr) lws_set_opaque_user_data(c->wsi, nullptr);
  }
}

lws_protocols link_transport::Protocol() {
  lws_protocols protocol{};
  protocol.name = kProtocolName;
  protocol.callback = &link_transport::OnRaw;
  protocol.rx_buffer_size = kMaxWriteBytes;
  return protocol;
}

std::error_code link_transport::Listen(const endpoint& address) {
  static const lws_protocols protocols[] = {Protocol(), {}};
  lws_context_creation_info info{};
  info.port = address.port;
  info.iface = address.host.c_str();
  info.vhost_name = "link";
  info.protocols = protocols;
  info.options = LWS_SERVER_OPTION_ADOPT_APPLY_LISTEN_ACCEPT_CONFIG |
                 LWS_SERVER_OPTION_DISABLE_IPV6 | LWS_SERVER_OPTION_FAIL_UPON_UNABLE_TO_BIND;
  info.listen_accept_role = "raw-skt";
  info.listen_accept_protocol = kProtocolName;
  info.user = this;
  if (lws_create_vhost(loop_.Context(), &info) == nullptr) return errc::kListenFailed;
  return {};
}

void link_transport::Open(const endpoint& address) {
  auto c = std::make_unique<connection>();
  c->owner = this;
  c->id = {next_id_++};
  c->dialed = address;
  c->dialed_at = std::chrono::steady_clock::now();
  connection* raw = c.get();
  connections_.emplace(raw->id.value, std::move(c));

  lws_client_connect_info info{};
  info.context = loop_.Context();
  info.vhost = loop_.ClientVhost();
  info.address = address.host.c_str();
  info.port = address.port;
  info.host = info.address;
  info.method = "RAW";
  info.local_protocol_name = kProtocolName;
  info.opaque_user_data = raw;
  info.pwsi = &raw->wsi;
  std::uint64_t id = raw->id.value;
  if (lws_client_connect_via_info(&info) == nullptr && connections_.contains(id)) {
    OnClosed(*raw, errc::kConnectFailed);
  }
}

void link_transport::QueueFrame(connection& c, const message& m) {
  if (EncodeFrame(m, c.output)) {
    CountMetric(counter::kFramesRejected);
    return;
  }
  WriteLater(c);
}

void link_transport::WriteLater(connection& c) {
  if (c.output.size() - c.written > kMaxBacklogBytes) {
    Reject(c, event_code::kLinkRejected, errc::kTimeout);
    return;
  }
  if (c.wsi != nullptr) lws_callback_on_writable(c.wsi);
}

void link_transport::Send(link_id link, const message& m) {
  auto it = connections_.find(link.value);
  if (it != connections_.end() && !it->second->closing) QueueFrame(*it->second, m);
}

void link_transport::Broadcast(const std::vector<link_id>& links, const message& m) {
  std::string frame;
  if (EncodeFrame(m, frame)) {
    CountMetric(counter::kFramesRejected);
    return;
  }
  for (link_id link : links) {
    auto it = connections_.find(link.value);
    if (it == connections_.end() || it->second->closing) continue;
    it->second->output.append(frame);
    WriteLater(*it->second);
  }
}

void link_transport::Close(link_id link) {
  auto it = connections_.find(link.value);
  if (it == connections_.end()) return;
  connection& c = *it->second;
  c.closing = true;
  // Not by the next writable callback: a peer that does not read would never cause one.
  if (c.wsi != nullptr) lws_set_timeout(c.wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
}

void link_transport::Reject(connection& c, event_code code, std::error_code reason) {
  c.closing = true;
  c.close_reason = reason;
  // Not by the next writable callback: a peer that does not read would never cause one.
  if (c.wsi != nullptr) lws_set_timeout(c.wsi, PENDING_TIMEOUT_USER_REASON_BASE, LWS_TO_KILL_ASYNC);
  CountMetric(reason == errc::kUnauthorized ? counter::kLinksUnauthorized
                                            : counter::kFramesRejected);
  WriteLog({code, log_level::kWarning, {{"reason", reason.message()}}});
}

link_transport::connection* link_transport::Adopt(lws* wsi) {
  auto* owner = static_cast<link_transport*>(lws_get_vhost_user(lws_get_vhost(wsi)));
  if (owner == nullptr) return nullptr;
  auto c = std::make_unique<connection>();
  c->owner = owner;
  c->wsi = wsi;
  c->id = {owner->next_id_++};
  connection* raw = c.get();
  lws_set_opaque_user_data(wsi, raw);
  owner->connections_.emplace(raw->id.value, std::move(c));
  return raw;
}

int link_transport::OnReceived(connection& c, std::string_view bytes) {
  CountMetric(counter::kLinkBytesReceived, bytes.size());
  c.input.append(bytes);
  std::size_t used = 0;
  while (!c.closing && c.input.size() - used >= kFramePrefixBytes) {
    std::string_view rest = std::string_view(c.input).substr(used);
    std::size_t length = FrameBodyLength(rest);
    if (length > kMaxFrameBytes) {
      Reject(c, event_code::kFrameRejected, errc::kFrameTooLong);
      return -1;
    }
    if (rest.size() < kFramePrefixBytes + length) break;
    if (OnFrame(c, rest.substr(kFramePrefixBytes, length)) != 0) return -1;
    used += kFramePrefixBytes + length;
  }
  c.input.erase(0, used);
  bool is_partial = !c.closing && c.peer_known && !c.input.empty();
  if (is_partial) sink_(link_progressed{c.id});
  return 0;
}

int link_transport::OnFrame(connection& c, std::string_view body) {
  message m;
  if (std::error_code error = DecodeFrame(body, m)) {
    Reject(c, event_code::kFrameRejected, error);
    return -1;
  }
  if (c.peer_known) {
    sink_(message_received{c.id, std::move(m)});
    return 0;
  }
  const hello* peer = std::get_if<hello>(&m);
  if (peer == nullptr || !SecretsEqual(peer->secret, self_.secret)) {
    Reject(c, event_code::kLinkRejected, errc::kUnauthorized);
    return -1;
  }
  c.peer_known = true;
  lws_set_timer_usecs(c.wsi, LWS_SET_TIMER_USEC_CANCEL);
  CountMetric(counter::kLinksOpened);
  sink_(link_opened{c.id, *peer, c.dialed});
  return 0;
}

int link_transport::OnWritable(connection& c) {
  std::size_t pending = c.output.size() - LWS_PRE - c.written;
  if (pending == 0) return c.closing ? -1 : 0;
  std::size_t length = std::min(pending, kMaxWriteBytes);
  // lws_write uses the LWS_PRE bytes before the data; they hold bytes that are already written.
  auto* data = reinterpret_cast<unsigned char*>(c.output.data()) + LWS_PRE + c.written;
  if (lws_write(c.wsi, data, length, LWS_WRITE_RAW) < static_cast<int>(length)) return -1;
  CountMetric(counter::kLinkBytesSent, length);
  c.written += length;
  if (c.written == c.output.size() - LWS_PRE) {
    c.output.resize(LWS_PRE);
    c.written = 0;
    if (c.closing) return -1;
  } else {
    lws_callback_on_writable(c.wsi);
  }
  return 0;
}

void link_transport::OnClosed(connection& c, std::error_code reason) {
  link_closed closed{c.id, c.dialed, c.close_reason ? c.close_reason : reason};
  if (!c.peer_known) closed.link = {};
  bool report = c.peer_known || !c.dialed.host.empty();
  connections_.erase(c.id.value);
  if (!report) return;
  CountMetric(counter::kLinksClosed);
  sink_(std::move(closed));
}

int link_transport::OnRaw(lws* wsi, lws_callback_reasons reason, void*, void* in, size_t len) {
  if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) {
    io_loop::OnCancelled(wsi);
    return 0;
  }
  if (wsi == nullptr) return 0;
  auto* c = static_cast<connection*>(lws_get_opaque_user_data(wsi));
  switch (reason) {
    case LWS_CALLBACK_RAW_ADOPT:
      if (c == nullptr) c = link_transport::Adopt(wsi);
      if (c == nullptr) return -1;
      lws_set_timer_usecs(wsi, kHelloTimeout.count());
      c->owner->QueueFrame(*c, c->owner->self_);
      return 0;
    case LWS_CALLBACK_RAW_CONNECTED:
      if (c == nullptr) return -1;
      c->wsi = wsi;
      // The system accepts connections for a stopped process too; only its hello shows that it
      // runs.
      lws_set_timer_usecs(wsi, kHelloTimeout.count());
      c->owner->QueueFrame(*c, c->owner->self_);
      return 0;
    case LWS_CALLBACK_RAW_RX:
      if (c == nullptr) return -1;
      return c->owner->OnReceived(*c, {static_cast<const char*>(in), len});
    case LWS_CALLBACK_TIMER:
      if (c == nullptr || c->peer_known) return 0;
      c->close_reason = errc::kTimeout;
      return -1;
    case LWS_CALLBACK_RAW_WRITEABLE:
      return c == nullptr ? -1 : c->owner->OnWritable(*c);
    case LWS_CALLBACK_CLIENT_CONNECTION_ERROR:
      lws_set_opaque_user_data(wsi, nullptr);
      if (c == nullptr) return 0;
      // A refusal comes at once and shows that the peer's process is gone; a host that does not
      // answer may only be cut off.
      if (std::chrono::steady_clock::now() - c->dialed_at >= kRefusalWithin) {
        c->owner->OnClosed(*c, errc::kTimeout);
      } else {
        c->owner->OnClosed(*c, errc::kConnectFailed);
      }
      return 0;
    case LWS_CALLBACK_RAW_CLOSE:
      lws_set_opaque_user_data(wsi, nullptr);
      if (c != nullptr) c->owner->OnClosed(*c, {});
      return 0;
    default:
      return 0;
  }
}

}  // namespace radishroute
