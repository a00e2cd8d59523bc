#include "io/stream_server.h"

#include <array>
#include <charconv>
#include <utility>

#include "io/metrics.h"
#include "radishroute/error.h"

namespace radishroute {

namespace {

// Timeouts of clients are whole seconds; a sweep of all connections need not be finer.
constexpr std::chrono::milliseconds kSweepInterval{500};

// A closed connection waits this long for its client to close too.
constexpr std::chrono::milliseconds kLinger{2000};

// Bytes of further requests that a client may send before its response is complete.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

steady_time Now() { return system_clock_source().Now(); }

void AppendChunk(std::string& out, std::string_view bytes) {
  std::array<char, 18> size;
  auto [end, error] = std::to_chars(size.data(), size.data() + 16, bytes.size(), 16);
  (void)error;  // 16 digits hold every size.
  *end++ = '\r';
  *end++ = '\n';
  out.append(size.data(), static_cast<std::size_t>(end - size.data()));
  out.append(bytes).append("\r\n");
}

}  // namespace

struct stream_server::connection {
  connection(stream_server& server, std::uint64_t n)
      : number(n),
        decoder(http_side::kRequest, server.limits_.max_head_bytes,
                {[&server, this](http_head&& h) { server.OnHead(*this, std::move(h)); },
                 [&server, this](std::string_view bytes) { server.OnBody(*this, bytes); },
                 [&server, this] { server.OnComplete(*this); }}) {}

  std::uint64_t number;
  std::unique_ptr<tcp_connection> tcp;
  http_decoder decoder;
  std::string input;
  http_head head;
  std::string body;
  std::uint64_t exchange = 0;
  /// Set while the response is written.
  bool begun = false;
  bool chunked = false;
  bool no_body = false;
  bool allows_chunks = true;
  /// The response has no other end than that of its connection.
  bool ends_with_connection = false;
  bool close_after = false;
  bool closing = false;
  bool removed = false;
  bool parsing = false;
  std::size_t length_left = 0;
  /// Bytes of responses that the system had not taken when they were last counted.
  std::size_t unsent_bytes = 0;
  steady_time active;
};

stream_server::stream_server(io_loop& loop, handlers on)
    : loop_(loop),
      on_(std::move(on)),
      listener_(loop, [this](int socket) { Accept(socket); }),
      sweep_(loop, kSweepInterval, [this] { Sweep(); }) {}

stream_server::~stream_server() = default;

stream_server::connection* stream_server::Find(exchange_id id) {
  auto it = exchanges_.find(id.value);
  if (it == exchanges_.end()) return nullptr;
  auto c = connections_.find(it->second);
  return c == connections_.end() ? nullptr : c->second.get();
}

void stream_server::Accept(int socket) {
  std::uint64_t number = next_connection_++;
  auto c = std::make_unique<connection>(*this, number);
  connection* raw = c.get();
  c->active = Now();
  c->tcp = tcp_connection::Adopt(loop_, socket, {},
                                 {[this, raw](std::string_view bytes) { OnBytes(*raw, bytes); },
                                  [this, raw](tcp_end) { OnEnd(*raw); }});
  if (c->tcp) connections_.emplace(number, std::move(c));
}

void stream_server::OnBytes(connection& c, std::string_view bytes) {
  c.active = Now();
  c.input.append(bytes);
  Parse(c);
  if (c.removed || c.closing) return;
  if (c.exchange != 0 && c.input.size() > kMaxPipelinedBytes) c.tcp->SetReading(false);
}

void stream_server::Parse(connection& c) {
  // A response may be sent, and the next request parsed, within the handler of a request.
  if (c.parsing) return;
  c.parsing = true;
  while (!c.removed && !c.closing && c.exchange == 0 && !c.input.empty()) {
    std::error_code error;
    std::size_t used = c.decoder.Feed(c.input, error);
    if (c.removed || c.closing) break;
    c.input.erase(0, used);
    if (error) Reject(c, error == errc::kHttpHeadTooLong ? 431 : 400);
  }
  c.parsing = false;
}

void stream_server::OnHead(connection& c, http_head&& head) {
  c.head = std::move(head);
  c.body.clear();
  if (c.head.content_length.value_or(0) > limits_.max_body_bytes) {
    Reject(c, 413);
    return;
  }
  if (buffered_bytes_ + c.head.content_length.value_or(0) > limits_.max_buffered_bytes) {
    Reject(c, 503);
    return;
  }
  if (c.head.expects_continue) Send(c, "HTTP/1.1 100 Continue\r\n\r\n");
}

void stream_server::OnBody(connection& c, std::string_view bytes) {
  if (c.closing) return;
  c.body.append(bytes);
  buffered_bytes_ += bytes.size();
  if (c.body.size() > limits_.max_body_bytes) Reject(c, 413);
}

void stream_server::OnComplete(connection& c) {
  if (c.closing) return;
  buffered_bytes_ -= c.body.size();
  c.exchange = next_exchange_++;
  c.begun = false;
  c.close_after = !c.head.keep_alive;
  c.no_body = c.head.method == "HEAD";
  c.allows_chunks = c.head.allows_chunks;
  exchanges_[c.exchange] = c.number;
  on_.on_request({{c.exchange}, std::move(c.head), std::move(c.body)});
  c.head = {};
  c.body = {};
}

void stream_server::Reject(connection& c, unsigned status) {
  buffered_bytes_ -= c.body.size();
  c.body.clear();
  if (on_.on_rejected) on_.on_rejected(status);
  std::string out = StatusLine(status);
  AppendHeader(out, "Content-Length", "0");
  AppendHeader(out, "Connection", "close");
  out.append("\r\n");
  Send(c, out);
  if (!c.removed) CloseLater(c);
}

void stream_server::Send(connection& c, std::string_view bytes) {
  c.tcp->Write(bytes);
  if (c.tcp->BufferedBytes() > limits_.max_unsent_bytes) {
    OnEnd(c);
    return;
  }
  CountUnsent(c);
  if (unsent_bytes_ > limits_.max_total_unsent_bytes) CutSlowestClient();
}

void stream_server::CountUnsent(connection& c) {
  unsent_bytes_ -= c.unsent_bytes;
  c.unsent_bytes = c.tcp->BufferedBytes();
  unsent_bytes_ += c.unsent_bytes;
}

void stream_server::CutSlowestClient() {
  connection* slowest = nullptr;
  for (auto& [number, c] : connections_) {
    CountUnsent(*c);
    if (slowest == nullptr || c->unsent_bytes > slowest->unsent_bytes) slowest = c.get();
  }
  if (slowest == nullptr || unsent_bytes_ <= limits_.max_total_unsent_bytes) return;
  CountMetric(counter::kSlowCallersCut);
  OnEnd(*slowest);
}

void stream_server::CloseLater(connection& c) {
  c.closing = true;
  c.active = Now();
  c.tcp->CloseAfterWrites();
}

void stream_server::OnEnd(connection& c) {
  if (c.removed) return;
  std::uint64_t exchange = std::exchange(c.exchange, 0);
  if (exchange == 0 && !c.closing) buffered_bytes_ -= c.body.size();
  Remove(c);
  if (exchange == 0) return;
  exchanges_.erase(exchange);
  on_.on_closed({exchange});
}

void stream_server::Remove(connection& c) {
  c.removed = true;
  unsent_bytes_ -= std::exchange(c.unsent_bytes, 0);
  // An orderly end would complete the response.
  if (c.begun && c.ends_with_connection) c.tcp->Reset();
  c.tcp.reset();
  auto it = connections_.find(c.number);
  removed_.push_back(std::move(it->second));
  connections_.erase(it);
}

void stream_server::Begin(exchange_id id, unsigned status, const std::vector<http_header>& headers,
                          std::optional<std::size_t> length) {
  connection* c = Find(id);
  if (c == nullptr || c->begun) return;
  c->begun = true;
  bool bodiless = status == 204 || status == 304;
  bool framed = length || bodiless;
  c->chunked = !framed && c->allows_chunks;
  c->ends_with_connection = !framed && !c->allows_chunks;
  c->length_left = length.value_or(0);
  c->close_after = c->close_after || draining_ || c->ends_with_connection;
  std::string out = StatusLine(status);
  for (const http_header& header : headers) AppendHeader(out, header.name, header.value);
  if (c->chunked) AppendHeader(out, "Transfer-Encoding", "chunked");
  if (length && !bodiless) AppendHeader(out, "Content-Length", std::to_string(*length));
  if (c->close_after) AppendHeader(out, "Connection", "close");
  out.append("\r\n");
  Send(*c, out);
}

void stream_server::Write(exchange_id id, std::string_view bytes) {
  connection* c = Find(id);
  if (c == nullptr || !c->begun || c->no_body || bytes.empty()) return;
  c->active = Now();
  if (c->chunked) {
    std::string out;
    AppendChunk(out, bytes);
    Send(*c, out);
  } else if (c->ends_with_connection) {
    Send(*c, bytes);
  } else {
    bytes = bytes.substr(0, c->length_left);
    c->length_left -= bytes.size();
    Send(*c, bytes);
  }
}

void stream_server::End(exchange_id id) {
  connection* c = Find(id);
  if (c == nullptr) return;
  if (!c->begun || (!c->no_body && c->length_left > 0)) {
    Abort(id);
    return;
  }
  if (c->chunked && !c->no_body) Send(*c, "0\r\n\r\n");
  if (c->removed) return;
  FinishResponse(*c);
}

void stream_server::FinishResponse(connection& c) {
  exchanges_.erase(std::exchange(c.exchange, 0));
  c.begun = false;
  c.active = Now();
  // A response that began before the drain did not announce the end of its connection.
  if (c.close_after || closed_to_requests_) {
    CloseLater(c);
    return;
  }
  c.tcp->SetReading(true);
  Parse(c);
}

void stream_server::Respond(exchange_id id, unsigned status,
                            const std::vector<http_header>& headers, std::string_view body) {
  Begin(id, status, headers, body.size());
  Write(id, body);
  End(id);
}

void stream_server::Abort(exchange_id id) {
  connection* c = Find(id);
  if (c == nullptr) return;
  exchanges_.erase(std::exchange(c->exchange, 0));
  Remove(*c);
}

void stream_server::CloseIdle() {
  draining_ = true;
  closed_to_requests_ = true;
  // Clients whose connections wait in the queue have been accepted by the system.
  listener_.AcceptAll();
  listener_.Stop();
  for (auto& [number, c] : connections_) {
    if (!HasRequest(*c) && !c->closing) CloseLater(*c);
  }
}

void stream_server::WhenWritten(std::function<void()> done) {
  on_written_ = std::move(done);
  CheckWritten();
}

// A request that has been sent in part is served like one that has been read.
bool stream_server::HasRequest(const connection& c) const {
  if (c.exchange != 0) return true;
  return !c.closing && (c.decoder.InMessage() || c.tcp->HasUnreadInput());
}

void stream_server::CheckWritten() {
  if (!on_written_) return;
  for (const auto& [number, c] : connections_) {
    if (c->tcp->BufferedBytes() > 0 || HasRequest(*c)) return;
  }
  std::exchange(on_written_, nullptr)();
}

void stream_server::Sweep() {
  removed_.clear();
  steady_time now = Now();
  std::vector<connection*> idle;
  std::vector<connection*> slow;
  for (auto& [number, c] : connections_) {
    if (c->exchange != 0) continue;
    auto age = now - c->active;
    if (c->closing ? age > kLinger : age > limits_.idle_timeout) {
      idle.push_back(c.get());
    } else if (!c->closing && c->decoder.InMessage() && age > limits_.head_timeout) {
      slow.push_back(c.get());
    }
  }
  for (connection* c : idle) OnEnd(*c);
  for (connection* c : slow) Reject(*c, 408);
  CheckWritten();
}

}  // namespace radishroute
