#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include "engine/model.h"

namespace radishroute {

namespace {

/// Drives a stand-in's model without sockets: collects what each exchange receives.
class fake_engine_process {
 public:
  explicit fake_engine_process(engine_settings settings = {}) : model_(std::move(settings)) {}

  void Apply(const engine_event& e) {
    engine_effects effects;
    model_.Reduce(e, clock_.Now(), effects);
    for (engine_effect& effect : effects) {
      if (auto* bytes = std::get_if<engine_bytes>(&effect)) {
        received[bytes->exchange.value] += bytes->bytes;
      } else if (auto* end = std::get_if<engine_end>(&effect)) {
        ended.push_back(end->exchange.value);
      } else {
        others.push_back(std::move(effect));
      }
    }
  }

  void Ask(std::uint64_t exchange, const std::string& body, std::uint32_t priority = 0,
           std::uint64_t connection = 1, std::uint64_t resume_offset = 0) {
    Apply(engine_request_arrived{{{exchange}, connection}, priority, resume_offset, body});
  }

  void Advance(std::chrono::microseconds by) {
    clock_.Advance(by);
    Apply(engine_timer_expired{});
  }

  template <class T>
  std::vector<T> Others() const {
    std::vector<T> found;
    for (const engine_effect& effect : others) {
      if (auto* specific = std::get_if<T>(&effect)) found.push_back(*specific);
    }
    return found;
  }

  steady_time Wakeup() const { return Others<engine_wakeup>().back().at; }
  steady_time Now() const { return clock_.Now(); }

  std::map<std::uint64_t, std::string> received;
  std::vector<std::uint64_t> ended;
  std::vector<engine_effect> others;

 private:
  manual_clock clock_;
  engine_model model_;
};

std::string Body(std::uint32_t tokens, const std::string& prompt = "p", bool stream = true) {
  return nlohmann::json{{"model", "draft"},
                        {"stream", stream},
                        {"max_tokens", tokens},
                        {"messages", {{{"role", "user"}, {"content", prompt}}}}}
      .dump();
}

constexpr std::chrono::milliseconds kLongStep{1000};

}  // namespace

TEST_CASE("a step takes longer with a larger batch", "[engine]") {
  // Guards against a stand-in whose capacity is unlimited.
  fake_engine_process engine;
  engine.Ask(1, Body(4));
  steady_time alone = engine.Wakeup();
  auto single = alone - engine.Now();
  engine.Ask(2, Body(4));
  engine.Advance(std::chrono::duration_cast<std::chrono::microseconds>(single));
  CHECK(engine.Wakeup() - engine.Now() > single);
}

TEST_CASE("a cached prefix shortens prefill", "[engine]") {
  // Guards against a prefix cache that has no effect, or that never evicts.
  engine_settings settings;
  settings.cache.blocks = 100;
  fake_engine_process engine(settings);
  std::string prompt(4000, 'x');
  engine.Ask(1, Body(1, prompt));
  auto cold = engine.Wakeup() - engine.Now();
  engine.Advance(kLongStep);
  engine.Ask(2, Body(1, prompt));
  auto warm = engine.Wakeup() - engine.Now();
  engine.Advance(kLongStep);
  engine.Ask(3, Body(1, std::string(8000, 'y')));
  engine.Advance(kLongStep);
  engine.Ask(4, Body(1, prompt));
  auto evicted = engine.Wakeup() - engine.Now();
  CHECK(warm < cold / 2);
  CHECK(evicted == cold);
}

TEST_CASE("a more urgent request takes a running one's place without loss", "[engine]") {
  // Guards against a preempted answer that loses or repeats tokens.
  engine_settings settings;
  settings.speed.max_batch = 1;
  fake_engine_process engine(settings);
  engine.Ask(1, Body(4), 2);
  engine.Advance(kLongStep);
  engine.Ask(2, Body(2), 0);
  for (int i = 0; i < 8; ++i) engine.Advance(kLongStep);
  REQUIRE(engine.ended == std::vector<std::uint64_t>{2, 1});
  CHECK(engine.received[1] == engine_answer(Body(4)).Whole());
  CHECK(engine.received[2] == engine_answer(Body(2)).Whole());
}

TEST_CASE("an answer resumes at an offset and stops when the caller leaves", "[engine]") {
  // Guards against a resumed answer with missing or repeated bytes.
  fake_engine_process engine;
  engine.Ask(1, Body(3), 0, 1, 100);
  engine.Ask(2, Body(100));
  engine.Apply(engine_caller_gone{{2}});
  for (int i = 0; i < 6; ++i) engine.Advance(kLongStep);
  CHECK(engine.received[1] == engine_answer(Body(3)).Whole().substr(100));
  CHECK(engine.received[2].empty());
}

TEST_CASE("cache events are late and have gaps", "[engine]") {
  // Guards against a reader that is only tested with complete and prompt events.
  engine_settings settings;
  settings.cache.event_delay = std::chrono::milliseconds(50);
  settings.cache.lose_every = 2;
  fake_engine_process engine(settings);
  engine.Ask(1, Body(1, std::string(256, 'x')));
  engine.Apply(cache_events_asked{{{2}, 1}, 0});
  engine.Advance(std::chrono::milliseconds(60));
  engine.Apply(cache_events_asked{{{3}, 1}, 0});
  auto reports = engine.Others<respond_cache_events>();
  REQUIRE(reports.size() == 2);
  CHECK(reports[0].events.empty());
  REQUIRE(reports[1].events.size() == 2);
  CHECK(reports[1].events[0].sequence == 1);
  CHECK(reports[1].events[1].sequence == 3);
}

TEST_CASE("reported load has the configured age", "[engine]") {
  // Guards against routing that is only tested with fresh load reports.
  engine_settings settings;
  settings.load_lag = std::chrono::milliseconds(100);
  fake_engine_process engine(settings);
  engine.Ask(1, Body(1000));
  engine.Apply(load_asked{{{2}, 1}});
  engine.Advance(std::chrono::milliseconds(150));
  engine.Apply(load_asked{{{3}, 1}});
  auto reports = engine.Others<respond_load>();
  CHECK(reports[0].load.running == 0);
  CHECK(reports[1].load.running == 1);
}

TEST_CASE("only the kind that checks fencing tokens refuses an old one", "[engine]") {
  // Guards against an old leader's order that changes a backend server.
  for (bool checks : {true, false}) {
    engine_settings settings;
    settings.checks_fencing = checks;
    fake_engine_process engine(settings);
    engine.Apply(order_arrived{{{1}, 1}, {7, order_kind::kLoadModel, "a", 1000}});
    engine.Apply(order_arrived{{{2}, 1}, {9, order_kind::kChangeRole, "prefill", 0}});
    // The weights of the older order arrive after the newer order.
    engine.Apply(weights_arrived{{1}, true});
    engine.Apply(order_arrived{{{3}, 1}, {8, order_kind::kSetVersion, "2", 0}});
    auto replies = engine.Others<respond_order>();
    REQUIRE(replies.size() == 3);
    CHECK(replies[0].result == order_result::kApplied);
    CHECK((replies[1].result == order_result::kStaleToken) == checks);
    CHECK((replies[2].result == order_result::kStaleToken) == checks);
  }
}

TEST_CASE("the weight store's rate is shared", "[engine]") {
  // Guards against weight loading that costs nothing when many engines load at once.
  engine_settings settings;
  settings.weight_bytes_per_second = 1000;
  fake_engine_process store(settings);
  store.Apply(weights_asked{{{1}, 1}, 1000});
  store.Apply(weights_asked{{{2}, 2}, 1000});
  store.Advance(std::chrono::milliseconds(1100));
  CHECK(store.Others<respond_weights>().size() == 1);
  store.Advance(std::chrono::milliseconds(1000));
  CHECK(store.Others<respond_weights>().size() == 2);
}

TEST_CASE("silence stops old connections and spares new ones", "[engine]") {
  // Guards against a fault that closes connections, which callers notice at once.
  fake_engine_process engine;
  engine.Ask(1, Body(2), 0, 1);
  engine.Apply(fault_injected{{2}, engine_fault::kSilence, 0});
  engine.Ask(3, Body(2), 0, 1);
  engine.Ask(4, Body(2), 0, 2);
  for (int i = 0; i < 4; ++i) engine.Advance(kLongStep);
  CHECK(engine.received[1].empty());
  CHECK(engine.received[3].empty());
  CHECK(engine.received[4] == engine_answer(Body(2)).Whole());
}

TEST_CASE("a stall holds everything, then everything goes on", "[engine]") {
  // Guards against a stall that loses requests.
  fake_engine_process engine;
  engine.Apply(fault_injected{{1}, engine_fault::kStall, 500});
  engine.Ask(2, Body(1));
  engine.Advance(std::chrono::milliseconds(499));
  CHECK(engine.received[2].empty());
  engine.Advance(std::chrono::milliseconds(10));
  engine.Advance(kLongStep);
  CHECK(engine.received[2] == engine_answer(Body(1)).Whole());
}

TEST_CASE("a prompt with the marker crashes the engine", "[engine]") {
  // Guards against a crash fault that another request triggers.
  engine_settings settings;
  settings.faults.crash_on = "poison";
  fake_engine_process engine(settings);
  engine.Ask(1, Body(1));
  CHECK(engine.Others<engine_crash>().empty());
  engine.Advance(kLongStep);
  engine.Ask(2, Body(1, "some poison here"));
  CHECK(engine.Others<engine_crash>().size() == 1);
}

}  // namespace radishroute
