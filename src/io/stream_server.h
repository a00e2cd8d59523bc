#ifndef RADISHROUTE_IO_STREAM_SERVER_H_
#define RADISHROUTE_IO_STREAM_SERVER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <unordered_map>
#include <vector>

#include "io/http_codec.h"
#include "io/tcp.h"
#include "radishroute/clock.h"
#include "radishroute/resource_budget.h"
#include "radishroute/types.h"

namespace radishroute {

/// A complete request as it came.
struct received_request {
  exchange_id exchange;
  http_head head;
  std::string body;
};

/// What a client may send, and how long it may take.
struct client_limits {
  std::size_t max_head_bytes = 16 * 1024;
  std::size_t max_body_bytes = std::size_t{4} << 20;
  std::chrono::milliseconds head_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
  /// All bodies that are being read together; a further one is refused with 503.
  std::size_t max_buffered_bytes = std::size_t{32} << 20;
  /// A client that leaves more than this of its response unread is cut off.
  std::size_t max_unsent_bytes = std::size_t{4} << 20;
  /// Unread bytes of all clients together. Beyond it, the client with the most is cut off.
  std::size_t max_total_unsent_bytes = std::size_t{24} << 20;
};

/// How long the bodies of requests count towards the budget.
enum class body_charge : std::uint8_t {
  /// Until the request is handed on; its receiver has limits of its own.
  kWhileRead,
  kUntilAnswered,
};

/// HTTP/1.1 server that hands on heads and bodies unchanged and streams responses.
class stream_server {
 public:
  struct handlers {
    std::function<void(received_request&&)> on_request;
    /// The client is gone before the response was complete.
    std::function<void(exchange_id)> on_closed;
    /// A request was rejected before it was complete, with this status.
    std::function<void(unsigned status)> on_rejected;
  };

  stream_server(io_loop& loop, handlers on);
  ~stream_server();
  stream_server(const stream_server&) = delete;
  stream_server& operator=(const stream_server&) = delete;

  /// Error: kListenFailed.
  std::error_code Start(const endpoint& listen) { return listener_.Start(listen); }
  void StopListening() { listener_.Stop(); }
  void SetLimits(const client_limits& limits) { limits_ = limits; }
  /// Limits what all clients together use. Without it, `client_limits` alone applies.
  void SetBudget(const budget_limits& limits, body_charge charge = body_charge::kWhileRead);

  /// Starts a response. Without a length, the body is sent in chunks.
  void Begin(exchange_id id, unsigned status, const std::vector<http_header>& headers,
             std::optional<std::size_t> length);
  void Write(exchange_id id, std::string_view bytes);
  void End(exchange_id id);
  /// Sends a complete response.
  void Respond(exchange_id id, unsigned status, const std::vector<http_header>& headers,
               std::string_view body);
  /// Closes the connection, so that the response cannot be taken for a complete one.
  void Abort(exchange_id id);

  /// Each further response announces that its connection is closed after it.
  void Drain() { draining_ = true; }
  /// Accepts no more connections, and no requests but those that have been sent at least in part;
  /// each connection is closed after its response.
  void CloseIdle();
  /// Bytes of bodies of requests that are not complete yet.
  std::size_t BufferedRequestBytes() const { return buffered_bytes_; }
  /// Calls `done` once no request is being read or answered, and all bytes of responses have been
  /// handed to the system.
  void WhenWritten(std::function<void()> done);

 private:
  struct connection;

  void Accept(int socket);
  void OnBytes(connection& c, std::string_view bytes);
  void Parse(connection& c);
  void OnHead(connection& c, http_head&& head);
  void OnBody(connection& c, std::string_view bytes);
  void OnComplete(connection& c);
  void Reject(connection& c, unsigned status);
  /// Closes the evicted connections; whether the use is granted.
  bool Apply(const budget_decision& decision, budget_account account);
  /// Charges the body's memory; rejects the request if it is not granted.
  bool ChargeBody(connection& c, std::size_t bytes);
  void ChargeInput(connection& c);
  void ReleaseHead(connection& c);
  void ReleaseBody(connection& c);
  void LogOverBudget(budget_account account, std::size_t bytes, std::string_view reason);
  void OnEnd(connection& c);
  void FinishResponse(connection& c);
  void Send(connection& c, std::string_view bytes);
  void CountUnsent(connection& c);
  void CutSlowestClient();
  void CloseLater(connection& c);
  void Remove(connection& c);
  bool HasRequest(const connection& c) const;
  void CheckWritten();
  void Sweep();
  connection* Find(exchange_id id);

  io_loop& loop_;
  handlers on_;
  client_limits limits_;
  resource_budget budget_;
  bool budgeted_ = false;
  body_charge charge_ = body_charge::kWhileRead;
  /// The last line about the budget, and how many have been left out since.
  std::optional<steady_time> logged_;
  std::uint64_t unlogged_ = 0;
  tcp_listener listener_;
  std::uint64_t next_connection_ = 1;
  std::uint64_t next_exchange_ = 1;
  bool draining_ = false;
  bool closed_to_requests_ = false;
  std::function<void()> on_written_;
  std::size_t buffered_bytes_ = 0;
  /// Sum of the connections' `unsent_bytes`.
  std::size_t unsent_bytes_ = 0;
  std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
  /// Exchanges in progress, by number, with their connection's number.
  std::unordered_map<std::uint64_t, std::uint64_t> exchanges_;
  /// Connections whose handler may still be on the stack; freed by the next sweep.
  std::vector<std::unique_ptr<connection>> removed_;
  periodic_task sweep_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_STREAM_SERVER_H_
