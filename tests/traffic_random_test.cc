#include <rapidcheck.h>

#include <catch2/catch.hpp>

#include "fake_traffic.h"

namespace radishroute {

namespace {

constexpr int kRequests = 40;

struct run_summary {
  int completed = 0;
  /// Requests that ran but whose answer is incomplete.
  int lost = 0;
};

// Throws if an answer has wrong content or does not end, a booking runs twice, or a request
// reported as "not run" was run.
run_summary SimulateAndCheck(std::uint64_t seed, const fake_faults& faults) {
  fake_traffic traffic(seed, 3, faults);
  for (int i = 0; i < kRequests; ++i) {
    bool booking = i % 4 == 0;
    traffic.Submit("r" + std::to_string(i), booking ? "booking" : "quote", !booking && i % 2 == 0);
    traffic.RunFor(std::chrono::milliseconds(11));
  }
  traffic.RunFor(std::chrono::seconds(40));
  run_summary summary;
  for (const auto& [exchange, outcome] : traffic.Outcomes()) {
    const std::string& body = traffic.Body(exchange);
    std::string answer = fake_traffic::ExpectedAnswer(body);
    if (!outcome.ended && !outcome.aborted && !outcome.problem) {
      throw std::runtime_error("answer did not end: " + body);
    }
    if (outcome.ended && outcome.bytes != answer)
      throw std::runtime_error("answer has wrong content: " + body);
    if (!answer.starts_with(outcome.bytes))
      throw std::runtime_error("partial answer has wrong content: " + body);
    if (outcome.problem == run_outcome::kNotRun && traffic.RunCount(body) != 0) {
      throw std::runtime_error("reported as not run, but was run: " + body);
    }
    bool booking = std::stoi(body.substr(1)) % 4 == 0;
    if (booking && traffic.RunCount(body) > 1)
      throw std::runtime_error("non-idempotent request ran twice: " + body);
    if (outcome.ended) {
      ++summary.completed;
    } else if (traffic.RunCount(body) > 0) {
      ++summary.lost;
    }
  }
  return summary;
}

}  // namespace

// Guards against a simulation that fails without faults, which would make the tests below pass
// vacuously.
TEST_CASE("every request is answered when nothing fails") {
  CHECK(SimulateAndCheck(1, {}).completed == kRequests);
}

// Guards against mixed, truncated or duplicated answers, second runs and false reports of "not run"
// when links drop, messages are repeated or reordered, and engine calls disconnect or stall. A
// failure prints its seed.
TEST_CASE("random failures never corrupt an answer") {
  CHECK(rc::check("random failures", [](std::uint64_t seed) {
    SimulateAndCheck(seed, {.drop_link = 2,
                            .repeat_message = 10,
                            .reorder_message = 10,
                            .refuse_open = 10,
                            .disconnect_call = 5,
                            .stall_call = 5});
  }));
}

// Guards against losing a running request although a second link to its agent works. A request
// whose dispatch is lost in transit three times is refused as not run; that is not a lost answer.
TEST_CASE("dropped links lose no started work while agents run") {
  CHECK(rc::check("dropped links", [](std::uint64_t seed) {
    run_summary summary = SimulateAndCheck(seed, {.drop_link = 3});
    if (summary.lost != 0)
      throw std::runtime_error("request was run, but its answer is incomplete");
    if (summary.completed < kRequests * 9 / 10)
      throw std::runtime_error("fewer than 9 of 10 requests completed");
  }));
}

}  // namespace radishroute
