#include "radishroute/crash_attribution.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

#include "fake_context.h"
#include "radishroute/crash_relay.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;

constexpr fingerprint kDeadly{1};
constexpr fingerprint kSound{2};

suspect_content Content(std::uint64_t request, std::vector<fingerprint> parts) {
  return {{request}, std::move(parts)};
}

}  // namespace

// Guards against content that crashes one engine after the other.
TEST_CASE("a prompt part at two crashes and in no answer is quarantined") {
  crash_attribution known;
  steady_time now{1h};
  known.OnCrash(Content(100, {kSound, kDeadly}), now);
  CHECK_FALSE(known.QuarantinedFor(kDeadly, now));
  now += 2s;
  known.OnSuccess(Content(101, {kSound}), now);
  now += 2s;
  known.OnCrash(Content(102, {kSound, kDeadly}), now);
  CHECK(known.QuarantinedFor(kDeadly, now));
  CHECK_FALSE(known.QuarantinedFor(kSound, now));
  CHECK(known.QuarantinedFor(Content(103, {fingerprint{9}, kDeadly}), now));
  CHECK_FALSE(known.QuarantinedFor(Content(104, {kSound}), now));
  CHECK(known.QuarantinedFor(kDeadly, now) <= std::chrono::milliseconds(10min));
  CHECK_FALSE(known.QuarantinedFor(kDeadly, now + 10min));
}

// Guards against the same request, sent again and again without any prompt part, that crashes
// engines.
TEST_CASE("a request at two crashes is quarantined as a whole") {
  crash_attribution known;
  known.OnCrash(Content(100, {}), steady_time(1h));
  known.OnCrash(Content(100, {}), steady_time(1h + 5s));
  CHECK(known.QuarantinedFor(Content(100, {}), steady_time(1h + 5s)));
  CHECK_FALSE(known.QuarantinedFor(Content(101, {}), steady_time(1h + 5s)));
}

// Guards against refusing popular content after a rack has lost power with many requests on it.
TEST_CASE("engines that crash at the same time count as one crash") {
  crash_attribution known;
  for (std::uint64_t i = 0; i < 10; ++i) {
    known.OnCrash(Content(100 + i, {kSound}), steady_time(1h) + 50ms * static_cast<int>(i));
  }
  CHECK_FALSE(known.QuarantinedFor(kSound, steady_time(1h + 1s)));
}

// Guards against a part that was sound and is not any more, for example after a release of the
// engines.
TEST_CASE("content that succeeded before is quarantined after more crashes") {
  crash_attribution known;
  steady_time now{1h};
  known.OnSuccess(Content(1, {kSound}), now);
  for (int i = 0; i < 3; ++i) {
    now += 5s;
    known.OnCrash(Content(100, {kSound}), now);
    CHECK_FALSE(known.QuarantinedFor(kSound, now));
  }
  now += 5s;
  known.OnCrash(Content(100, {kSound}), now);
  CHECK(known.QuarantinedFor(kSound, now));
  // An answer that was under way elsewhere proves it sound after all.
  known.OnSuccess(Content(2, {kSound}), now + 100ms);
  CHECK_FALSE(known.QuarantinedFor(kSound, now + 100ms));
}

// Guards against processes that disagree because evidence came in another order, late or
// repeatedly.
TEST_CASE("evidence has the same result in any order") {
  steady_time now{1h};
  crash_attribution source;
  std::vector<crash_evidence> messages;
  auto observe = [&](crash_evidence e, std::chrono::milliseconds age) {
    for (auto* list : {&e.crashes, &e.successes}) {
      for (content_observation& o : *list) o.age = age;
    }
    messages.push_back(std::move(e));
  };
  observe({{{kDeadly, {}}, {kSound, {}}}, {}}, 9s);
  observe({{}, {{kSound, {}}}}, 7s);
  observe({{{kDeadly, {}}, {kSound, {}}}, {}}, 5s);
  observe({{}, {{kSound, {}}}}, 3s);
  std::mt19937 random(1);
  for (int round = 0; round < 50; ++round) {
    std::shuffle(messages.begin(), messages.end(), random);
    crash_attribution known;
    for (const crash_evidence& m : messages) known.Merge(m, now);
    for (const crash_evidence& m : messages) known.Merge(m, now);
    CHECK(known.QuarantinedFor(kDeadly, now));
    CHECK_FALSE(known.QuarantinedFor(kSound, now));
  }
}

// Guards against a caller that fills the table with requests of its own.
TEST_CASE("the table of observed content is bounded") {
  crash_attribution_limits limits;
  limits.max_contents = 100;
  crash_attribution known(limits);
  for (std::uint64_t i = 0; i < 1000; ++i) {
    known.OnCrash(Content(i, {fingerprint{10000 + i}}), steady_time(1h));
    known.OnSuccess(Content(5000 + i, {fingerprint{20000 + i}}), steady_time(1h));
  }
  CHECK(known.Size() == 100);
  CHECK(known.Snapshot(steady_time(1h)).crashes.size() <= limits.max_reported);
}

// Guards against content that is forgotten, and crashes engines again, because much other content
// comes.
TEST_CASE("quarantined content outlasts a flood of other content") {
  crash_attribution_limits limits;
  limits.max_contents = 100;
  crash_attribution known(limits);
  known.OnCrash(Content(100, {kDeadly}), steady_time(1h));
  known.OnCrash(Content(101, {kDeadly}), steady_time(1h + 5s));
  for (std::uint64_t i = 0; i < 1000; ++i) {
    known.OnSuccess(Content(5000 + i, {fingerprint{20000 + i}}), steady_time(1h + 10s));
  }
  CHECK(known.Size() == 100);
  CHECK(known.QuarantinedFor(kDeadly, steady_time(1h + 10s)));
}

namespace {

/// Entries and controllers that are linked to each other, without any delay.
class relay_world {
 public:
  relay_world(int entries, int controllers) : controllers_(static_cast<std::size_t>(controllers)) {
    for (int i = 0; i < entries; ++i) AddEntry();
  }

  /// Starts an entry with links to all controllers; returns its number.
  std::size_t AddEntry() {
    entries_.emplace_back();
    for (std::size_t c = 0; c < controllers_.size(); ++c) Connect(entries_.size() - 1, c);
    return entries_.size() - 1;
  }

  void Connect(std::size_t entry, std::size_t controller) {
    hello to_controller;
    to_controller.role = process_role::kController;
    hello to_entry;
    to_entry.role = process_role::kEntry;
    auto controller_number = static_cast<std::uint16_t>(controller + 1);
    fake_context fake = Fake();
    fake.Do([&](auto& ctx) {
      entries_[entry].relay.Handle(
          link_opened{LinkOf(controller), to_controller, {"c", controller_number}}, ctx);
    });
    Deliver(entry, fake);
    fake.Do([&](auto& ctx) {
      controllers_[controller].Handle(link_opened{LinkOf(entry), to_entry, {}}, ctx);
    });
    Deliver(controller, fake, true);
  }

  void Disconnect(std::size_t entry, std::size_t controller) {
    fake_context fake = Fake();
    fake.Do([&](auto& ctx) {
      entries_[entry].relay.Handle(link_closed{LinkOf(controller), {}, {}}, ctx);
      controllers_[controller].Handle(link_closed{LinkOf(entry), {}, {}}, ctx);
    });
  }

  void Advance(std::chrono::milliseconds by) { elapsed_ += by; }
  void Crash(std::size_t entry, const suspect_content& content) {
    Share(entry, entries_[entry].known.OnCrash(content, Fake().Now()));
  }
  void Succeed(std::size_t entry, const suspect_content& content) {
    Share(entry, entries_[entry].known.OnSuccess(content, Fake().Now()));
  }
  bool IsQuarantined(std::size_t entry, fingerprint content) const {
    return entries_[entry].known.QuarantinedFor(content, Fake().Now()).has_value();
  }

 private:
  struct entry_node {
    crash_relay relay{process_role::kEntry};
    crash_attribution known;
  };

  fake_context Fake() const {
    fake_context fake;
    fake.Advance(elapsed_);
    return fake;
  }

  static link_id LinkOf(std::size_t number) { return {number + 1}; }

  void Share(std::size_t entry, const crash_evidence& evidence) {
    if (evidence.Empty()) return;
    fake_context fake = Fake();
    fake.Do([&](auto& ctx) { entries_[entry].relay.Handle(crash_evidence_shared{evidence}, ctx); });
    Deliver(entry, fake);
  }

  // Delivers what one relay sent or shared in its last reduction.
  void Deliver(std::size_t from, const fake_context& effects, bool is_controller = false) {
    for (const auto& sent : effects.Sent<crash_evidence>()) {
      std::size_t to = sent.first.value - 1;
      const crash_evidence& evidence = sent.second;
      fake_context fake = Fake();
      if (is_controller) {
        fake.Do([&](auto& ctx) { entries_[to].relay.Handle(LinkOf(from), evidence, ctx); });
        Deliver(to, fake);
      } else {
        fake.Do([&](auto& ctx) { controllers_[to].Handle(LinkOf(from), evidence, ctx); });
        Deliver(to, fake, true);
      }
    }
    for (const share_crash_evidence& shared : effects.All<share_crash_evidence>()) {
      crash_attribution& known = entries_[from].known;
      crash_evidence answer = known.KnownSuccesses(shared.evidence, effects.Now());
      known.Merge(shared.evidence, effects.Now());
      Share(from, answer);
    }
  }

  std::chrono::milliseconds elapsed_{};
  std::vector<entry_node> entries_;
  struct controller_node : crash_relay {
    controller_node() : crash_relay(process_role::kController) {}
  };
  std::vector<controller_node> controllers_;
};

}  // namespace

// Guards against each entry that learns by crashes of its own: engines would crash once for each of
// 40 entries.
TEST_CASE("entries combine their evidence, also one that has just started or was cut off") {
  relay_world world(4, 3);
  // An entry that is cut off from all controllers but one still learns of it.
  world.Disconnect(3, 0);
  world.Disconnect(3, 1);
  world.Succeed(2, Content(1, {kSound}));
  world.Advance(1s);
  world.Crash(0, Content(100, {kSound, kDeadly}));
  world.Advance(4s);
  world.Crash(1, Content(101, {kSound, kDeadly}));
  for (std::size_t entry = 0; entry < 4; ++entry) {
    CHECK(world.IsQuarantined(entry, kDeadly));
    CHECK_FALSE(world.IsQuarantined(entry, kSound));
  }
  std::size_t started = world.AddEntry();
  CHECK(world.IsQuarantined(started, kDeadly));
  CHECK_FALSE(world.IsQuarantined(started, kSound));
  // A later answer clears a part that was only beside the cause, everywhere.
  constexpr fingerprint kBeside{3};
  world.Crash(0, Content(102, {kBeside}));
  world.Advance(2s);
  world.Crash(1, Content(103, {kBeside}));
  CHECK(world.IsQuarantined(3, kBeside));
  world.Advance(100ms);
  world.Succeed(2, Content(104, {kBeside}));
  for (std::size_t entry = 0; entry <= started; ++entry) {
    CHECK_FALSE(world.IsQuarantined(entry, kBeside));
  }
}

}  // namespace radishroute
