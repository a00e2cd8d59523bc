#ifndef RADISHROUTE_IO_UPSTREAM_CLIENT_H_
#define RADISHROUTE_IO_UPSTREAM_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "io/http_codec.h"
#include "io/tcp.h"
#include "radishroute/clock.h"
#include "radishroute/forward/forward_event.h"

namespace radishroute {

/// One request to a backend server, already encoded.
struct upstream_call {
  upstream_id id;
  endpoint to;
  std::string bytes;
  /// Identity that the response repeats; a response with another one belongs to another request.
  std::string request_id;
  /// May be sent on a connection that was used before.
  bool may_reuse = true;
  /// Connections to this backend server, idle ones included; zero for no limit. The caller bounds
  /// those in use.
  std::size_t max_connections = 0;
};

struct upstream_client_limits {
  /// A connection in the same region takes a few milliseconds; a lost opening packet is repeated
  /// by the system only after a second.
  std::chrono::milliseconds connect_timeout{300};
  /// Idle connections are used this long if the backend server names no time of its own.
  std::chrono::milliseconds idle_timeout{4000};
  /// A connection is not used any more this long before the backend server may close it.
  std::chrono::milliseconds idle_margin{500};
  std::size_t max_idle_per_backend = 32;
  /// Look at an idle connection before it is used: its end may not have been read yet, and the
  /// outcome of a request that meets it is unknown.
  bool checks_idle = false;
  tcp_options tcp;
  /// See `SetMaxConnections`.
  std::size_t max_connections = 0;
  std::size_t max_head_bytes = 64 * 1024;
  /// Bytes before a response: interim responses and responses to other requests.
  std::size_t max_skipped_bytes = std::size_t{1} << 20;
};

/// HTTP/1.1 client that hands on responses as they come and keeps connections open.
class upstream_client {
 public:
  struct handlers {
    std::function<void(upstream_id, http_head&&)> on_head;
    std::function<void(upstream_id, std::string_view)> on_body;
    std::function<void(upstream_id)> on_end;
    std::function<void(upstream_id, upstream_stage, response_fault)> on_failed;
  };

  /// `identity_header` names the header that carries `upstream_call::request_id`. It is empty if
  /// the calls have no identity; any of them may then get the response to an earlier one.
  upstream_client(io_loop& loop, std::string identity_header, handlers on,
                  upstream_client_limits limits = {});
  ~upstream_client();
  upstream_client(const upstream_client&) = delete;
  upstream_client& operator=(const upstream_client&) = delete;

  /// Connections to all backend servers, beyond which idle ones are closed; zero for no limit. The
  /// caller bounds those in use.
  void SetMaxConnections(std::size_t limit) { limits_.max_connections = limit; }

  void Start(upstream_call call);
  /// Closes the call's connection; no handler is called for it any more.
  void Cancel(upstream_id id);
  /// Opens a connection of its own and closes it again.
  void Probe(const endpoint& to, std::function<void(probe_result)> done);

 private:
  struct connection;

  connection* TakeIdle(const endpoint& to);
  connection* Open(const endpoint& to);
  /// Closes idle connections to a backend server until there are fewer than `limit`.
  void MakeRoom(const endpoint& to, std::size_t limit);
  /// Closes idle connections to any backend server until one more is within the limit.
  void MakeRoomInTotal();
  void OnBytes(connection& c, std::string_view bytes);
  void OnHead(connection& c, http_head&& head);
  void OnComplete(connection& c);
  void OnEnd(connection& c, tcp_end how);
  void Fail(connection& c, upstream_stage stage, response_fault fault);
  void Remove(connection& c);
  void EndProbe(std::uint64_t number, probe_result result);
  void Sweep();

  struct probe {
    std::unique_ptr<tcp_connection> tcp;
    steady_time since;
    std::function<void(probe_result)> done;
  };

  io_loop& loop_;
  std::string identity_header_;
  bool names_requests_;
  handlers on_;
  upstream_client_limits limits_;
  std::uint64_t next_connection_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
  std::unordered_map<std::uint64_t, std::uint64_t> calls_;
  /// Numbers of idle connections, the most recently used last.
  std::map<endpoint, std::vector<std::uint64_t>> idle_;
  /// Number of connections to each backend server.
  std::map<endpoint, std::size_t> open_;
  std::vector<std::unique_ptr<connection>> removed_;
  std::uint64_t next_probe_ = 1;
  std::unordered_map<std::uint64_t, probe> probes_;
  /// Freed by the next sweep.
  std::vector<std::unique_ptr<tcp_connection>> ended_probes_;
  periodic_task sweep_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_UPSTREAM_CLIENT_H_
