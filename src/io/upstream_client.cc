#include "io/upstream_client.h"

#include <algorithm>
#include <cerrno>
#include <utility>

namespace radishroute {

namespace {

// A third of the connect timeout: the resolution with which it is noticed.
constexpr std::chrono::milliseconds kSweepInterval{100};

steady_time Now() { return system_clock_source().Now(); }

response_fault FaultOf(std::error_code error) {
  if (error == errc::kInvalidHttpStatus) return response_fault::kInvalidStatus;
  if (error == errc::kInvalidHttpFraming) return response_fault::kInvalidFraming;
  if (error == errc::kHttpHeadTooLong) return response_fault::kTooLong;
  return response_fault::kInvalidHead;
}

// Whether the head names two requests; readers differ in which of them they take.
bool NamesTwoRequests(const http_head& head, const std::string& identity_header) {
  const std::string* first = FindHeader(head.headers, identity_header);
  return std::any_of(head.headers.begin(), head.headers.end(), [&](const http_header& h) {
    return EqualIgnoringCase(h.name, identity_header) && h.value != *first;
  });
}

}  // namespace

struct upstream_client::connection {
  connection(upstream_client& client, std::uint64_t n, endpoint address)
      : number(n),
        to(std::move(address)),
        decoder(http_side::kResponse, client.limits_.max_head_bytes,
                {[&client, this](http_head&& head) { client.OnHead(*this, std::move(head)); },
                 [&client, this](std::string_view bytes) {
                   if (call.value != 0 && !foreign) client.on_.on_body(call, bytes);
                 },
                 [&client, this] { client.OnComplete(*this); }}) {}

  std::uint64_t number;
  endpoint to;
  std::unique_ptr<tcp_connection> tcp;
  http_decoder decoder;
  upstream_id call;
  std::string request_id;
  /// The response that is being read belongs to another request and is dropped.
  bool foreign = false;
  /// An earlier request was answered on this connection, by a response that named it.
  bool reused = false;
  bool answered = false;
  /// Bytes since the request was sent that did not belong to its response.
  std::size_t skipped_bytes = 0;
  std::size_t max_connections = 0;
  bool keep_alive = true;
  bool removed = false;
  steady_time since;
  steady_time reusable_until;
};

upstream_client::upstream_client(io_loop& loop, std::string identity_header, handlers on,
                                 upstream_client_limits limits)
    : loop_(loop),
      identity_header_(std::move(identity_header)),
      names_requests_(!identity_header_.empty()),
      on_(std::move(on)),
      limits_(limits),
      sweep_(loop, kSweepInterval, [this] { Sweep(); }) {}

upstream_client::~upstream_client() = default;

upstream_client::connection* upstream_client::TakeIdle(const endpoint& to) {
  auto it = idle_.find(to);
  if (it == idle_.end()) return nullptr;
  steady_time now = Now();
  while (!it->second.empty()) {
    auto found = connections_.find(it->second.back());
    it->second.pop_back();
    if (found == connections_.end()) continue;
    bool usable = found->second->reusable_until > now &&
                  !(limits_.checks_idle && found->second->tcp->HasUnreadEvent());
    if (usable) return found->second.get();
    Remove(*found->second);
  }
  return nullptr;
}

upstream_client::connection* upstream_client::Open(const endpoint& to) {
  std::uint64_t number = next_connection_++;
  auto c = std::make_unique<connection>(*this, number, to);
  connection* raw = c.get();
  c->since = Now();
  c->tcp = tcp_connection::Connect(loop_, to, limits_.tcp,
                                   {[this, raw](std::string_view bytes) { OnBytes(*raw, bytes); },
                                    [this, raw](tcp_end how) { OnEnd(*raw, how); }});
  if (!c->tcp) return nullptr;
  connections_.emplace(number, std::move(c));
  ++open_[to];
  return raw;
}

void upstream_client::MakeRoom(const endpoint& to, std::size_t limit) {
  auto it = idle_.find(to);
  if (it == idle_.end()) return;
  auto open = open_.find(to);
  while (open != open_.end() && open->second >= limit && !it->second.empty()) {
    auto oldest = connections_.find(it->second.front());
    it->second.erase(it->second.begin());
    if (oldest != connections_.end()) Remove(*oldest->second);
    open = open_.find(to);
  }
}

void upstream_client::MakeRoomInTotal() {
  while (limits_.max_connections > 0 && connections_.size() >= limits_.max_connections) {
    connection* oldest = nullptr;
    for (auto& [to, numbers] : idle_) {
      std::erase_if(numbers, [this](std::uint64_t n) { return !connections_.contains(n); });
      if (numbers.empty()) continue;
      connection* c = connections_.at(numbers.front()).get();
      if (oldest == nullptr || c->reusable_until < oldest->reusable_until) oldest = c;
    }
    if (oldest == nullptr) return;
    Remove(*oldest);
  }
}

void upstream_client::Start(upstream_call call) {
  // Without an identity, a late response to an earlier request could not be told from its own.
  bool may_reuse = call.may_reuse && (!names_requests_ || !call.request_id.empty());
  connection* c = may_reuse ? TakeIdle(call.to) : nullptr;
  bool reused = c != nullptr;
  if (!reused) {
    if (call.max_connections > 0) MakeRoom(call.to, call.max_connections);
    MakeRoomInTotal();
    c = Open(call.to);
  }
  if (c == nullptr) {
    on_.on_failed(call.id, upstream_stage::kConnecting, response_fault::kNone);
    return;
  }
  c->call = call.id;
  c->reused = reused;
  c->request_id = std::move(call.request_id);
  c->answered = c->foreign = false;
  c->skipped_bytes = 0;
  c->max_connections = call.max_connections;
  c->keep_alive = true;
  calls_[call.id.value] = c->number;
  c->tcp->Write(std::move(call.bytes));
}

void upstream_client::Cancel(upstream_id id) {
  auto it = calls_.find(id.value);
  if (it == calls_.end()) return;
  auto found = connections_.find(it->second);
  calls_.erase(it);
  if (found == connections_.end()) return;
  connection& c = *found->second;
  c.call = {};
  c.tcp->Reset();
  Remove(c);
}

void upstream_client::Probe(const endpoint& to, std::function<void(probe_result)> done) {
  std::uint64_t number = next_probe_++;
  // A machine answers for a process that has ended by a reset; one that is cut off does not answer.
  tcp_connection::handlers on{[](std::string_view) {},
                              [this, number](tcp_end) { EndProbe(number, probe_result::kRefused); },
                              [this, number] { EndProbe(number, probe_result::kReachable); }};
  auto tcp = tcp_connection::Connect(loop_, to, {}, std::move(on));
  if (!tcp) {
    done(errno == ECONNREFUSED ? probe_result::kRefused : probe_result::kUnknown);
    return;
  }
  probes_.emplace(number, probe{std::move(tcp), Now(), std::move(done)});
}

void upstream_client::EndProbe(std::uint64_t number, probe_result result) {
  auto it = probes_.find(number);
  if (it == probes_.end()) return;
  auto done = std::move(it->second.done);
  // The connection may be the caller of this function.
  ended_probes_.push_back(std::move(it->second.tcp));
  probes_.erase(it);
  done(result);
}

void upstream_client::OnBytes(connection& c, std::string_view bytes) {
  while (!c.removed && !bytes.empty()) {
    if (c.call.value == 0) {
      // Bytes after a complete response belong to no request.
      Remove(c);
      return;
    }
    std::error_code error;
    std::size_t used = c.decoder.Feed(bytes, error);
    if (c.removed) return;
    if (c.call.value != 0 && !c.answered) c.skipped_bytes += used;
    if (error || c.skipped_bytes > limits_.max_skipped_bytes) {
      Fail(c, upstream_stage::kMalformed, error ? FaultOf(error) : response_fault::kTooLong);
      return;
    }
    bytes.remove_prefix(used);
  }
}

void upstream_client::OnHead(connection& c, http_head&& head) {
  // Interim responses come before the response itself.
  if (head.status < 200) return;
  if (names_requests_ && c.call.value != 0 && NamesTwoRequests(head, identity_header_)) {
    c.foreign = true;
    Fail(c, upstream_stage::kMalformed, response_fault::kUnidentified);
    return;
  }
  const std::string* id =
      names_requests_ ? FindHeader(head.headers, identity_header_) : &c.request_id;
  c.foreign = id != nullptr && !c.request_id.empty() && *id != c.request_id;
  if (c.foreign || c.call.value == 0) return;
  // A response to an earlier request that is sent once more; the one to this request may follow.
  if (id == nullptr && c.reused) {
    c.foreign = true;
    Fail(c, upstream_stage::kMalformed, response_fault::kUnidentified);
    return;
  }
  c.answered = true;
  c.keep_alive = head.keep_alive && id != nullptr && *id == c.request_id;
  auto seconds = KeepAliveSeconds(head);
  std::chrono::milliseconds usable = limits_.idle_timeout;
  if (seconds) {
    usable = std::min<std::chrono::milliseconds>(
        usable, std::chrono::seconds(*seconds) - limits_.idle_margin);
  }
  c.reusable_until = Now() + usable;
  on_.on_head(c.call, std::move(head));
}

void upstream_client::OnComplete(connection& c) {
  if (c.removed || c.foreign || !c.answered || c.call.value == 0) return;
  upstream_id call = std::exchange(c.call, {});
  calls_.erase(call.value);
  c.answered = false;
  auto& idle = idle_[c.to];
  steady_time now = Now();
  // A request that was answered before it was sent in full leaves the connection in its middle.
  bool whole = c.tcp->HasWrittenAll();
  bool has_room = c.max_connections == 0 || open_[c.to] <= c.max_connections;
  if (whole && has_room && c.keep_alive && c.reusable_until > now &&
      idle.size() < limits_.max_idle_per_backend) {
    c.reusable_until = std::min(c.reusable_until, now + limits_.idle_timeout);
    idle.push_back(c.number);
  } else {
    Remove(c);
  }
  on_.on_end(call);
}

void upstream_client::OnEnd(connection& c, tcp_end how) {
  if (c.removed) return;
  if (c.call.value == 0) {
    Remove(c);
    return;
  }
  bool clean = how == tcp_end::kClosed;
  // The end of the connection completes a response without a length. If that one belonged to
  // another request, this call has had none.
  bool completed = clean && c.decoder.InMessage() && !c.decoder.Finish();
  if (c.removed) return;
  if (completed && c.call.value == 0) {
    Remove(c);
    return;
  }
  upstream_stage stage = upstream_stage::kWaiting;
  if (how == tcp_end::kConnectFailed) stage = upstream_stage::kConnecting;
  if (c.answered) stage = upstream_stage::kAnswering;
  response_fault fault = clean ? response_fault::kClosed : response_fault::kReset;
  Fail(c, stage, stage == upstream_stage::kConnecting ? response_fault::kNone : fault);
}

void upstream_client::Fail(connection& c, upstream_stage stage, response_fault fault) {
  upstream_id call = std::exchange(c.call, {});
  calls_.erase(call.value);
  Remove(c);
  on_.on_failed(call, stage, fault);
}

void upstream_client::Remove(connection& c) {
  if (c.removed) return;
  c.removed = true;
  c.tcp.reset();
  auto it = connections_.find(c.number);
  removed_.push_back(std::move(it->second));
  connections_.erase(it);
  auto open = open_.find(c.to);
  if (--open->second == 0) open_.erase(open);
}

void upstream_client::Sweep() {
  removed_.clear();
  ended_probes_.clear();
  steady_time now = Now();
  std::vector<std::uint64_t> unanswered;
  for (const auto& [number, p] : probes_) {
    if (now - p.since > limits_.connect_timeout) unanswered.push_back(number);
  }
  for (std::uint64_t number : unanswered) EndProbe(number, probe_result::kUnknown);
  std::vector<connection*> late;
  std::vector<connection*> unused;
  for (auto& [number, c] : connections_) {
    if (!c->tcp->Connected() && now - c->since > limits_.connect_timeout) late.push_back(c.get());
    if (c->call.value == 0 && c->reusable_until <= now) unused.push_back(c.get());
  }
  for (connection* c : unused) Remove(*c);
  for (connection* c : late) OnEnd(*c, tcp_end::kConnectFailed);
  for (auto& [to, numbers] : idle_) {
    std::erase_if(numbers, [this](std::uint64_t n) { return !connections_.contains(n); });
  }
  std::erase_if(idle_, [](const auto& item) { return item.second.empty(); });
}

}  // namespace radishroute
