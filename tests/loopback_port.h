#ifndef RADISHROUTE_TESTS_LOOPBACK_PORT_H_
#define RADISHROUTE_TESTS_LOOPBACK_PORT_H_

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <cstdint>

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

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_LOOPBACK_PORT_H_
