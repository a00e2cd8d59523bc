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

// Guards against a receiver that takes a link for silent while a large message is in transit.
TEST_CASE("the parts of a large message are reported before the message") {
  static const lws_protocols protocols[] = {link_transport::Protocol(), {}};
  io_loop loop;
  REQUIRE(loop.CreateClientVhost(protocols));
  int parts = 0;
  std::promise<void> done;
  link_transport receiver(loop, hello{}, [&](event&& e) {
    if (std::holds_alternative<link_progressed>(e)) ++parts;
    if (std::holds_alternative<message_received>(e)) done.set_value();
  });
  link_transport* dialing = nullptr;
  link_transport sender(loop, hello{}, [&](event&& e) {
    const auto* opened = std::get_if<link_opened>(&e);
    if (opened == nullptr) return;
    dialing->Send(opened->link, config_push{1, {}, std::string(std::size_t{3} << 20, 'x')});
  });
  dialing = &sender;
  std::uint16_t port = FreeLoopbackPort();
  REQUIRE_FALSE(receiver.Listen({"127.0.0.1", port}));
  loop.Post([&] { sender.Open({"127.0.0.1", port}); });
  std::thread thread([&] { loop.Run(); });
  CHECK(done.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  loop.Stop();
  thread.join();
  CHECK(parts > 0);
}

}  // namespace radishroute
