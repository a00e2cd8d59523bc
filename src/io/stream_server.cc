#include "io/stream_server.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <utility>

#include "io/metrics.h"
#include "radishroute/error.h"
#include "radishroute/held_memory.h"

namespace radishroute {

namespace {

// Timeouts of clients are whole seconds; a sweep of all connections need not be finer.
constexpr std::chrono::milliseconds kSweepInterval{500};

// A closed connection waits this long for its client to close too.
constexpr std::chrono::milliseconds kLinger{2000};

// Bytes of further requests that a client may send before its response is complete.
constexpr std::size_t kMaxPipelinedBytes = 64 * 1024;

// The same with a budget; one read of a connection takes at most so much.
constexpr std::size_t kMaxBudgetedPipelinedBytes = 16 * 1024;

// Input of an idle connection keeps no more memory than this.
constexpr std::size_t kKeptInputBytes = 1024;

// Under attack, thousands of connections a second are evicted or refused.
constexpr std::chrono::seconds kLogInterval{1};

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
  /// Memory of `head`.
  std::size_t head_bytes = 0;
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
  /// Bytes of further requests were dropped; the connection ends after its response.
  bool dropped_input = false;
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

void stream_server::SetBudget(const budget_limits& limits, body_charge charge) {
  charge_ = charge;
  budget_.SetLimits(limits);
  budgeted_ = budget_.IsLimited();
}

bool stream_server::Apply(const budget_decision& decision, budget_account account) {
  for (const budget_eviction& eviction : decision.evicted) {
    auto it = connections_.find(eviction.connection);
    if (it == connections_.end()) continue;
    CountMetric(counter::kConnectionsEvicted);
    LogOverBudget(account, eviction.held, "evicted");
    OnEnd(*it->second);
  }
  return decision.granted;
}

void stream_server::LogOverBudget(budget_account account, std::size_t bytes,
                                  std::string_view reason) {
  steady_time now = Now();
  if (logged_ && now - *logged_ < kLogInterval) {
    ++unlogged_;
    return;
  }
  logged_ = now;
  WriteLog({event_code::kConnectionEvicted,
            log_level::kWarning,
            {{"account", std::string(ToString(account))},
             {"bytes", std::to_string(bytes)},
             {"reason", std::string(reason)},
             {"suppressed", std::to_string(std::exchange(unlogged_, 0))}}});
}

void stream_server::Accept(int socket) {
  std::uint64_t number = next_connection_++;
  // Counted also without limits, which may be set while the connection is open.
  if (!Apply(budget_.Open(number, Now()), budget_account::kConnections)) {
    CountMetric(counter::kRequestsOverBudget);
    LogOverBudget(budget_account::kConnections, 1, "refused");
    close(socket);
    return;
  }
  auto c = std::make_unique<connection>(*this, number);
  connection* raw = c.get();
  c->active = Now();
  c->tcp = tcp_connection::Adopt(loop_, socket, {},
                                 {[this, raw](std::string_view bytes) { OnBytes(*raw, bytes); },
                                  [this, raw](tcp_end) { OnEnd(*raw); }});
  if (!c->tcp) {
    budget_.Close(number);
    return;
  }
  connections_.emplace(number, std::move(c));
}

void stream_server::OnBytes(connection& c, std::string_view bytes) {
  c.active = Now();
  if (c.dropped_input) return;
  if (budgeted_) budget_.OnReceived(c.number, bytes.size(), c.active);
  c.input.append(bytes);
  Parse(c);
  if (c.removed || c.closing) return;
  std::size_t longest = budgeted_ ? kMaxBudgetedPipelinedBytes : kMaxPipelinedBytes;
  if (c.exchange != 0 && c.input.size() > longest) c.tcp->SetReading(false);
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
  if (c.input.empty() && c.input.capacity() > kKeptInputBytes) FreeString(c.input);
  if (budgeted_ && !c.removed && !c.closing) ChargeInput(c);
}

void stream_server::ChargeInput(connection& c) {
  std::size_t bytes = c.input.capacity() + c.decoder.HeldBytes() + c.head_bytes;
  budget_decision decision = budget_.Hold(c.number, budget_account::kHeads, bytes, c.active);
  if (Apply(decision, budget_account::kHeads)) return;
  CountMetric(counter::kRequestsOverBudget);
  LogOverBudget(budget_account::kHeads, bytes, "refused");
  if (c.exchange == 0) {
    Reject(c, 503);
    return;
  }
  // The request in progress is answered; those behind it have not been read.
  FreeString(c.input);
  c.dropped_input = c.close_after = true;
  c.tcp->SetReading(false);
  budget_.Hold(c.number, budget_account::kHeads, 0, c.active);
}

bool stream_server::ChargeBody(connection& c, std::size_t bytes) {
  budget_decision decision = budget_.Hold(c.number, budget_account::kBodies, bytes, c.active);
  if (Apply(decision, budget_account::kBodies)) return true;
  CountMetric(counter::kRequestsOverBudget);
  LogOverBudget(budget_account::kBodies, bytes, "refused");
  Reject(c, 503);
  return false;
}

void stream_server::ReleaseHead(connection& c) {
  c.head_bytes = 0;
  if (budgeted_) budget_.Hold(c.number, budget_account::kHeads, 0, c.active);
}

void stream_server::ReleaseBody(connection& c) {
  if (budgeted_) budget_.Hold(c.number, budget_account::kBodies, 0, c.active);
}

void stream_server::OnHead(connection& c, http_head&& head) {
  c.head = std::move(head);
  c.body.clear();
  std::size_t length = c.head.content_length.value_or(0);
  if (length > limits_.max_body_bytes) {
    Reject(c, 413);
    return;
  }
  if (budgeted_) {
    c.head_bytes = HeldBytes(c.head.headers) + c.head.target.capacity();
    if (length > 0 && !ChargeBody(c, length)) return;
    GrowTo(c.body, length);
  } else if (buffered_bytes_ + length > limits_.max_buffered_bytes) {
    Reject(c, 503);
    return;
  }
  if (c.head.expects_continue) Send(c, "HTTP/1.1 100 Continue\r\n\r\n");
}

void stream_server::OnBody(connection& c, std::string_view bytes) {
  if (c.closing || c.removed) return;
  std::size_t needed = c.body.size() + bytes.size();
  if (needed > limits_.max_body_bytes) {
    Reject(c, 413);
    return;
  }
  if (budgeted_ && needed > c.body.capacity()) {
    std::size_t capacity = GrownCapacity(c.body.capacity(), needed, limits_.max_body_bytes);
    if (!ChargeBody(c, capacity)) return;
    GrowTo(c.body, capacity);
  }
  c.body.append(bytes);
  buffered_bytes_ += bytes.size();
}

void stream_server::OnComplete(connection& c) {
  if (c.closing || c.removed) return;
  buffered_bytes_ -= c.body.size();
  ReleaseHead(c);
  if (charge_ == body_charge::kWhileRead) ReleaseBody(c);
  budget_.OnForwarded(c.number);
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
  FreeString(c.body);
  FreeString(c.head.target);
  c.head = {};
  ReleaseHead(c);
  ReleaseBody(c);
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
  c.unsent_bytes = budgeted_ ? c.tcp->BufferedMemory() : c.tcp->BufferedBytes();
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
  budget_.Close(c.number);
  // The connection itself stays until the next sweep.
  FreeString(c.body);
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
  ReleaseBody(c);
  budget_.OnAnswered(c.number, c.active);
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
  for (connection* c : slow) {
    // The rejection of another client may have cut this one off.
    if (!c->removed) Reject(*c, 408);
  }
  CheckWritten();
}

}  // namespace radishroute
