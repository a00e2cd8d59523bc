#include "io/loop.h"

#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <thread>

namespace radishroute {

// Guards against a replica that waits for ever for the end of a write that was lost in a full
// queue.
TEST_CASE("the result of an operation is delivered although the queue is full") {
  static const lws_protocols protocols[] = {io_loop::WakeProtocol(), {}};
  io_loop loop;
  loop.CreateClientVhost(protocols);
  std::size_t posted = 0;
  while (loop.Post([] {})) ++posted;
  CHECK(posted == io_loop::kMaxPostedTasks);
  std::promise<void> done;
  loop.PostCompletion([&done] { done.set_value(); });
  std::thread thread([&loop] { loop.Run(); });
  CHECK(done.get_future().wait_for(std::chrono::seconds(5)) == std::future_status::ready);
  loop.Stop();
  thread.join();
}

}  // namespace radishroute
