#ifndef RADISHROUTE_FORWARD_FORWARD_EVENT_H_
#define RADISHROUTE_FORWARD_FORWARD_EVENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/error.h"
#include "radishroute/forward/deployment.h"
#include "radishroute/http_header.h"
#include "radishroute/types.h"

namespace radishroute {

/// Identifies one attempt to run a request on a backend server; unique within one event loop.
struct upstream_id {
  std::uint64_t value = 0;
  auto operator<=>(const upstream_id&) const = default;
};

/// A caller's HTTP request, forwarded unchanged.
struct forward_request {
  exchange_id exchange;
  /// Id that the caller gave to this attempt; empty if there is none.
  std::string id;
  std::string method;
  /// Path and query as sent.
  std::string target;
  /// Without the port.
  std::string host;
  std::string path;
  std::string key;
  /// End-to-end headers, without those that the gateway sets itself.
  std::vector<http_header> headers;
  std::string body;
  /// Time until the caller's deadline; absent if it gave none.
  std::optional<std::chrono::milliseconds> time_left;
  /// Zero if unknown.
  std::uint32_t prompt_tokens = 0;
  /// Hashes of the parts of the prompt that other requests may share, in order.
  std::vector<fingerprint> prompt_parts;
  /// Id of the event after which a stream resumes; empty to start at the beginning.
  std::string last_event;
};

/// Load of a backend server when it sent a response.
struct reported_load {
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  std::uint32_t slots = 0;
};

/// Head of a backend server's response.
struct backend_response {
  unsigned status = 0;
  /// End-to-end headers as sent.
  std::vector<http_header> headers;
  std::optional<std::size_t> length;
  /// The backend server states that it has not run the request and will not run it.
  bool not_run = false;
  /// The request was addressed to a different backend server than the one at this address.
  bool wrong_backend = false;
  std::optional<reported_load> load;
  /// The backend server takes no new requests because it is about to end.
  bool leaving = false;
  /// Time for which the backend server, which refused the request, wants none from this process.
  std::optional<std::chrono::milliseconds> retry_after;
  /// The response has a time to come back that cannot be read.
  bool retry_after_unreadable = false;
};

/// Stage at which an attempt failed.
enum class upstream_stage : std::uint8_t {
  /// No byte of the request was sent.
  kConnecting,
  /// The request was sent completely or in part, so it may have run.
  kWaiting,
  /// A part of the response was received.
  kAnswering,
  /// The received bytes are not a valid response.
  kMalformed,
};

std::string_view ToString(upstream_stage stage);

// Events.

struct forward_received {
  std::shared_ptr<const forward_request> request;
};

/// The caller disconnected before the end of the response.
struct forward_caller_closed {
  exchange_id exchange;
};

struct upstream_response_begin {
  upstream_id id;
  backend_response response;
};

struct upstream_response_bytes {
  upstream_id id;
  std::string bytes;
};

struct upstream_response_end {
  upstream_id id;
};

struct upstream_call_failed {
  upstream_id id;
  upstream_stage stage = upstream_stage::kConnecting;
  /// What was wrong with the response; kNone while connecting.
  response_fault fault = response_fault::kNone;
};

enum class probe_result : std::uint8_t {
  /// The backend server accepts connections.
  kReachable,
  /// Its machine refuses the connection: the process of the backend server has ended.
  kRefused,
  /// No answer within the connect timeout; it may only be cut off.
  kUnknown,
};

std::string_view ToString(probe_result result);

/// Answer to `probe_backend`.
struct backend_probed {
  std::string backend;
  probe_result result = probe_result::kUnknown;
};

/// The control thread applied a deployment.
struct deployment_published {
  std::shared_ptr<const route_index> routes;
};

// Effects.

/// Sends `request` to a backend server. The other fields override or extend what the caller sent.
struct start_upstream {
  upstream_id id;
  std::shared_ptr<const forward_request> request;
  endpoint address;
  /// Id of the only backend server that may run the request.
  std::string backend;
  /// Empty on routes that need no API key.
  std::string member;
  std::optional<std::chrono::milliseconds> time_left;
  /// Queue priority at the backend server, from 0 (first) to 9 (last).
  std::uint32_t urgency = 5;
  std::string last_event;
  bool may_reuse_connection = true;
  /// Connections that this process may have to the backend server; zero for no limit.
  std::uint32_t max_connections = 0;
};

struct cancel_upstream {
  upstream_id id;
};

/// Opens a connection to a backend server and closes it again.
struct probe_backend {
  std::string backend;
  endpoint address;
};

struct forward_begin {
  exchange_id exchange;
  unsigned status = 0;
  std::vector<http_header> headers;
  std::optional<std::size_t> length;
};

struct forward_bytes {
  exchange_id exchange;
  std::string bytes;
};

struct forward_end {
  exchange_id exchange;
};

/// Closes the caller's connection, so that the caller cannot mistake the response for complete.
struct forward_abort {
  exchange_id exchange;
};

/// Sends a complete error response that this process generates itself.
struct send_error_response {
  exchange_id exchange;
  unsigned status = 0;
  refusal_reason reason = refusal_reason::kNone;
  std::optional<std::chrono::milliseconds> retry_after;
};

}  // namespace radishroute

template <>
struct std::hash<radishroute::upstream_id> {
  std::size_t operator()(const radishroute::upstream_id& id) const noexcept { return id.value; }
};

#endif  // RADISHROUTE_FORWARD_FORWARD_EVENT_H_
