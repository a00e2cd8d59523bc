#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "fake_traffic.h"

namespace radishroute {

namespace {

constexpr int kRequests = 40;

struct run_summary {
  int whole = 0;
  /// Requests that ran but whose answer is not whole.
  int lost = 0;
};

// Throws if an answer is mixed up, an ending is missing, or "not run" is false.
run_summary CheckRun(std::uint64_t seed, const fake_faults& faults) {
  fake_traffic world(seed, 3, faults);
  for (int i = 0; i < kRequests; ++i) {
    bool booking = i % 4 == 0;
    world.Submit("r" + std::to_string(i), booking ? "booking" : "quote", !booking && i % 2 == 0);
    world.Run(std::chrono::milliseconds(11));
  }
  world.Run(std::chrono::seconds(40));
  run_summary summary;
  for (const auto& [exchange, outcome] : world.Outcomes()) {
    const std::string& body = world.Body(exchange);
    std::string answer = fake_traffic::Answer(body);
    if (!outcome.ended && !outcome.aborted && !outcome.problem) {
      throw std::runtime_error("no end for " + body);
    }
    if (outcome.ended && outcome.bytes != answer) throw std::runtime_error("wrong bytes: " + body);
    if (!answer.starts_with(outcome.bytes)) throw std::runtime_error("wrong prefix: " + body);
    if (outcome.problem == run_outcome::kNotRun && world.Runs(body) != 0) {
      throw std::runtime_error("false not-run: " + body);
    }
    bool booking = std::stoi(body.substr(1)) % 4 == 0;
    if (booking && world.Runs(body) > 1) throw std::runtime_error("second run: " + body);
    if (outcome.ended) {
      ++summary.whole;
    } else if (world.Runs(body) > 0) {
      ++summary.lost;
    }
  }
  return summary;
}

}  // namespace

// Guards against a path that fails without any fault, which would make the runs below pass idly.
TEST_CASE("every request is answered when nothing fails") {
  CHECK(CheckRun(1, {}).whole == kRequests);
}

// Guards against mixed, cut or duplicated answers, second runs and false "not run" when links
// drop, messages are repeated or reordered, and engines break or stall. A failure prints its seed.
TEST_CASE("random failures never break an answer") {
  CHECK(rc::check("random failures", [](std::uint64_t seed) {
    CheckRun(seed, {.drop_link = 2,
                    .repeat_message = 10,
                    .reorder_message = 10,
                    .refuse_open = 10,
                    .break_call = 5,
                    .stall_call = 5});
  }));
}

// Guards against work that is lost although a second link to the same agent works. A dispatch that
// itself is lost on the way three times is refused as not run; that is no loss of work.
TEST_CASE("dropped links lose no work that has started while agents live") {
  CHECK(rc::check("dropped links", [](std::uint64_t seed) {
    run_summary summary = CheckRun(seed, {.drop_link = 3});
    if (summary.lost != 0) throw std::runtime_error("answer lost");
    if (summary.whole < kRequests * 9 / 10) throw std::runtime_error("too few answers");
  }));
}

}  // namespace radishroute
