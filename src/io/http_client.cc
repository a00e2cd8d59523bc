#include "io/http_client.h"

#include <utility>

namespace radishroute {

namespace {

// Last bytes of a complete server-sent event stream in the chat completions interface. A stream
// that ends without them was cut off by the server, however it was framed.
constexpr std::string_view kStreamEnd = "data: [DONE]\n\n";

// A host that is gone does not answer; work for it must move on well within its deadline.
constexpr std::chrono::milliseconds kConnectTimeout{2000};

// An unused connection is closed after this time, well before servers do so (60 s), since a call
// that meets the server's close has an unknown outcome.
constexpr std::chrono::milliseconds kIdleTime{10000};

upstream_client_limits Limits(std::size_t max_kept_per_server) {
  upstream_client_limits limits;
  limits.connect_timeout = kConnectTimeout;
  limits.idle_timeout = kIdleTime;
  limits.max_idle_per_backend = max_kept_per_server;
  limits.checks_idle = true;
  // A server may take a long request slowly; callers' deadlines bound the wait.
  limits.tcp.user_timeout = std::chrono::milliseconds(0);
  return limits;
}

std::string Encode(const endpoint& server, const std::string& path,
                   const std::vector<http_header>& headers, const std::string& body) {
  std::string out = (body.empty() ? "GET " : "POST ") + path + " HTTP/1.1\r\n";
  AppendHeader(out, "Host", ToString(server));
  for (const http_header& header : headers) AppendHeader(out, header.name, header.value);
  if (!body.empty()) {
    AppendHeader(out, "Content-Type", "application/json");
    AppendHeader(out, "Content-Length", std::to_string(body.size()));
  }
  return out.append("\r\n").append(body);
}

}  // namespace

http_client::http_client(io_loop& loop, handlers on, std::size_t max_kept_per_server)
    : loop_(loop),
      on_(std::move(on)),
      connections_(loop, {},
                   {[this](upstream_id id, http_head&& head) { OnHead(id.value, head); },
                    [this](upstream_id id, std::string_view bytes) { OnBytes(id.value, bytes); },
                    [this](upstream_id id) { OnEnd(id.value); },
                    [this](upstream_id id, upstream_stage stage, response_fault fault) {
                      bool unsent = stage == upstream_stage::kConnecting;
                      Finish(id.value,
                             unsent ? http_call_result::kNotSent : http_call_result::kBroken,
                             fault);
                    }},
                   Limits(max_kept_per_server)) {}

const lws_protocols* http_client::Protocols() {
  static const lws_protocols protocols[] = {
      tcp_connection::Protocol(), io_loop::WakeProtocol(), {}};
  return protocols;
}

http_client::call_id http_client::Start(const endpoint& server, const std::string& path,
                                        const std::vector<http_header>& headers,
                                        const std::string& body) {
  call_id id = next_id_++;
  calls_.emplace(id, call());
  starting_ = id;
  connections_.Start({{id}, server, Encode(server, path, headers, body), {}, true});
  starting_ = 0;
  return id;
}

void http_client::Cancel(call_id id) {
  if (calls_.erase(id) > 0) connections_.Cancel({id});
}

void http_client::OnHead(call_id id, const http_head& head) {
  const std::string* type = FindHeader(head.headers, "content-type");
  std::string content_type = type == nullptr ? std::string() : *type;
  calls_.at(id).event_stream = content_type.starts_with("text/event-stream");
  on_.on_begin(id, head.status, content_type);
}

void http_client::OnBytes(call_id id, std::string_view bytes) {
  call& c = calls_.at(id);
  if (c.event_stream) {
    c.tail.append(bytes);
    if (c.tail.size() > kStreamEnd.size()) c.tail.erase(0, c.tail.size() - kStreamEnd.size());
  }
  on_.on_bytes(id, bytes);
}

void http_client::OnEnd(call_id id) {
  const call& c = calls_.at(id);
  bool whole = !c.event_stream || c.tail == kStreamEnd;
  if (whole) {
    Finish(id, http_call_result::kComplete, response_fault::kNone);
  } else {
    Finish(id, http_call_result::kBroken, response_fault::kClosed);
  }
}

void http_client::Finish(call_id id, http_call_result result, response_fault fault) {
  // The caller has to know the id before the event.
  if (id == starting_) {
    bool posted = loop_.Post([this, id, result, fault] { Finish(id, result, fault); });
    if (posted) return;
  }
  if (calls_.erase(id) > 0) on_.on_end(id, result, fault);
}

}  // namespace radishroute
