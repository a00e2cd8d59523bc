#ifndef RADISHROUTE_IO_LINK_H_
#define RADISHROUTE_IO_LINK_H_

#include <libwebsockets.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <system_error>
#include <unordered_map>

#include "io/loop.h"
#include "radishroute/event.h"
#include "radishroute/log_event.h"

namespace radishroute {

/// Framed TCP links between the system's own processes, on one event loop.
class link_transport {
 public:
  using event_sink = std::function<void(event&&)>;

  /// `self` is sent as the first message of every link; a peer whose secret differs is rejected.
  link_transport(io_loop& loop, hello self, event_sink sink);
  ~link_transport();
  link_transport(const link_transport&) = delete;
  link_transport& operator=(const link_transport&) = delete;

  /// Accepts links on `address`. Error: kListenFailed.
  std::error_code Listen(const endpoint& address);

  /// Ends in a link_opened or link_closed event.
  void Open(const endpoint& address);
  void Send(link_id link, const message& m);
  /// Sends one message on several links; links that are closed are left out.
  void Broadcast(const std::vector<link_id>& links, const message& m);
  void Close(link_id link);

  static lws_protocols Protocol();

 private:
  struct connection;

  static int OnRaw(lws* wsi, lws_callback_reasons reason, void* user, void* in, size_t len);
  int OnReceived(connection& c, std::string_view bytes);
  int OnFrame(connection& c, std::string_view body);
  int OnWritable(connection& c);
  void OnClosed(connection& c, std::error_code reason);
  static connection* Adopt(lws* wsi);
  void QueueFrame(connection& c, const message& m);
  /// Writes the buffered output when the socket takes it; closes a link with too much of it.
  void WriteLater(connection& c);
  void Reject(connection& c, event_code code, std::error_code reason);

  io_loop& loop_;
  hello self_;
  event_sink sink_;
  std::uint64_t next_id_ = 1;
  std::unordered_map<std::uint64_t, std::unique_ptr<connection>> connections_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_LINK_H_
