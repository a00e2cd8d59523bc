#include "radishroute/experts/engine_watch.h"

#include <catch2/catch.hpp>

#include "fake_context.h"

namespace radishroute {

namespace {

const endpoint controller{"10.0.0.9", 9000};

/// A sidecar with a link to its leader, whose reads and commands the test answers.
struct watch_fixture {
  fake_context fake;
  engine_watch watch{{"10.0.0.1", 80}, {controller}};

  watch_fixture() {
    Handle(process_started{});
    Handle(link_opened{{1}, {}, controller});
    // One read from the start of the process, one from that of the link.
    FinishRead();
    FinishRead();
  }

  void BeginRead() {
    fake.Advance(std::chrono::milliseconds(150));
    Handle(timer_expired{});
  }

  template <class Event>
  void Handle(const Event& e) {
    fake.Do([&](auto& ctx) { watch.Handle(e, ctx); });
  }

  void ReceiveCommand(std::uint64_t number) {
    engine_command c;
    c.term = 1;
    c.number = number;
    fake.Do([&](auto& ctx) { watch.Handle(link_id{1}, c, ctx); });
  }

  /// Answers the read in progress; returns the status that follows.
  engine_status FinishRead(std::uint64_t engine_started = 1) {
    engine_report report;
    report.group = "g";
    report.started = engine_started;
    Handle(engine_report_read{report});
    auto sent = fake.Sent<engine_status>();
    REQUIRE(sent.size() == 1);
    return sent[0].second;
  }
};

}  // namespace

// Guards against a leader that takes the state of an engine before a command for the one after it.
TEST_CASE("a status tells the result that was known when its read began") {
  watch_fixture f;
  f.BeginRead();
  f.ReceiveCommand(7);
  f.Handle(engine_command_done{7, engine_order_result::kAccepted});
  CHECK(f.FinishRead().last_command == 0);
  engine_status next = f.FinishRead();
  CHECK(next.last_command == 7);
  CHECK(next.last_result == engine_order_result::kAccepted);
}

// Guards against a leader that takes a restarted engine for one that refuses orders of earlier
// leaders.
TEST_CASE("the result of a command ends with the engine's incarnation") {
  watch_fixture f;
  f.ReceiveCommand(7);
  f.Handle(engine_command_done{7, engine_order_result::kAccepted});
  CHECK(f.FinishRead().last_command == 7);
  f.BeginRead();
  CHECK(f.FinishRead(2).last_command == 0);
  f.BeginRead();
  CHECK(f.FinishRead(2).last_command == 0);
}

}  // namespace radishroute
