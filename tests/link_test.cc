#include "io/link.h"

#include <catch2/catch.hpp>
#include <future>
#include <thread>

#include "loopback_port.h"

namespace radishroute {

// Guards against a link that fails while it is still being opened and is not reported, so that its
// owner waits for it forever.
TEST_CASE("links to controllers that do not listen yet are reported as closed") {
  constexpr int kLinks = 50;
  static const lws_protocols protocols[] = {link_transport::Protocol(), {}};
  io_loop loop;
  REQUIRE(loop.CreateClientVhost(protocols));
  int closed = 0;
  std::promise<void> done;
  link_transport links(loop, hello{}, [&](event&& e) {
    if (!std::holds_alternative<link_closed>(e)) return;
    if (++closed == kLinks) done.set_value();
  });
  std::uint16_t port = FreeLoopbackPort();
  loop.Post([&] {
    for (int i = 0; i < kLinks; ++i) {
      // A port of zero is refused before the call returns.
      links.Open({"127.0.0.1", i % 2 == 0 ? port : std::uint16_t{0}});
    }
  });
  std::thread thread([&] { loop.Run(); });
  auto all = done.get_future();
  CHECK(all.wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  loop.Stop();
  thread.join();
  CHECK(closed == kLinks);
}

}  // namespace radishroute
