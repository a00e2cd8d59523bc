#ifndef RADISHROUTE_TESTS_LOOPBACK_PORT_H_
#define RADISHROUTE_TESTS_LOOPBACK_PORT_H_

#include <arpa/inet.h>
#include <libwebsockets.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdint>

#include "io/loop.h"

namespace radishroute {

/// A port of 127.0.0.1 that nothing listens on.
inline std::uint16_t FreeLoopbackPort() {
  int probe = socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(bind(probe, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  socklen_t length = sizeof(address);
  getsockname(probe, reinterpret_cast<sockaddr*>(&address), &length);
  close(probe);
  return ntohs(address.sin_port);
}

/// Runs posted tasks of a loop; in the program, another adapter's protocol does.
inline lws_protocols WakeProtocol() {
  lws_protocols protocol{};
  protocol.name = "wake";
  protocol.callback = [](lws* wsi, lws_callback_reasons reason, void*, void*, size_t) {
    if (reason == LWS_CALLBACK_EVENT_WAIT_CANCELLED) io_loop::OnCancelled(wsi);
    return 0;
  };
  return protocol;
}

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_LOOPBACK_PORT_H_
