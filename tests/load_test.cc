#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>
#include <set>

#include "engine/answer.h"
#include "load/check.h"
#include "load/generator.h"
#include "load/report.h"
#include "load/result.h"

namespace radishroute {

namespace {

constexpr const char* kPlan = R"({"seed": 3, "seconds": 4, "zipf": 1,
  "members": [{"name": "large", "weight": 2}, {"name": "small"}],
  "kinds": [
    {"name": "quote", "model": "draft", "deadline_ms": 100, "rate": [[0, 50], [2, 100]],
     "prefixes": 2, "prefix_tokens": 16},
    {"name": "booking", "class": "transactional", "service": "bench", "rate": 10,
     "resend_after_ms": 500, "resends": 2,
     "floods": [{"at": 1, "seconds": 1, "rate": 40, "member": "small"}]}]})";

load_plan Plan(const char* text = kPlan) {
  std::vector<settings_error> errors;
  load_plan plan = ParseLoadPlan(text, std::nullopt, errors);
  REQUIRE(errors.empty());
  return plan;
}

load_plan OneBooking() {
  load_plan plan = Plan(R"({"seconds": 0.1, "arrivals": "fixed", "members": [{"name": "m"}],
    "kinds": [{"name": "booking", "service": "bench", "rate": 10, "resend_after_ms": 500}]})");
  return plan;
}

/// Runs the generator against hand-written answers.
struct fake_entries {
  explicit fake_entries(const load_plan& plan, std::size_t targets = 2,
                        std::size_t connections = load_generator::kDefaultConnections)
      : generator(plan, targets, connections) {
    Apply(load_started{wall_time(std::chrono::hours(1))});
  }

  void Apply(const load_event& e) {
    load_effects effects;
    generator.Reduce(e, clock.Now(), effects);
    for (load_effect& effect : effects) {
      if (auto* start = std::get_if<start_call>(&effect)) started.push_back(std::move(*start));
      if (auto* done = std::get_if<record_request>(&effect)) records.push_back(done->record);
      finished = finished || std::holds_alternative<load_finished>(effect);
    }
  }

  void Answer(const start_call& call, unsigned status, const std::string& body,
              http_call_result result = http_call_result::kComplete) {
    Apply(call_began{call.call, status, "application/json"});
    Apply(call_bytes{call.call, body});
    Apply(call_ended{call.call, result});
  }

  void Wait(std::chrono::milliseconds time) {
    clock.Advance(time);
    Apply(load_timer_expired{});
  }

  manual_clock clock;
  load_generator generator;
  std::vector<start_call> started;
  std::vector<load_record> records;
  bool finished = false;
};

std::string HeaderOf(const start_call& call, const std::string& name) {
  for (const http_header& header : call.headers) {
    if (header.name == name) return header.value;
  }
  return "";
}

constexpr const char* kDrainingProblem =
    R"({"type":"urn:radishroute:problem:draining","outcome":"not-run"})";

constexpr const char* kNotRunProblem =
    R"({"type":"urn:radishroute:problem:queue_full","outcome":"not-run"})";

}  // namespace

TEST_CASE("a plan and its seed fix the schedule", "[load]") {
  // Guards against runs that can't be repeated, and against lost steps, floods and shares.
  load_plan plan = Plan();
  auto schedule = MakeSchedule(plan);
  auto again = MakeSchedule(plan);
  REQUIRE(schedule.size() == again.size());
  std::size_t large = 0;
  std::size_t early = 0;
  std::size_t flood = 0;
  std::size_t quotes = 0;
  for (std::size_t i = 0; i < schedule.size(); ++i) {
    REQUIRE(schedule[i].at == again[i].at);
    REQUIRE(MakeContent(plan, schedule[i]).body == MakeContent(plan, again[i]).body);
    bool booking = schedule[i].kind == 1;
    if (booking && schedule[i].at >= std::chrono::seconds(1) &&
        schedule[i].at < std::chrono::seconds(2)) {
      ++flood;
    }
    if (booking) continue;
    ++quotes;
    if (schedule[i].member == 0) ++large;
    if (schedule[i].at < std::chrono::seconds(2)) ++early;
  }
  // Expected 100 + 200 quotes, 50 bookings in the flooded second, two thirds of the large Member.
  CHECK(quotes == Approx(300).margin(60));
  CHECK(early == Approx(100).margin(35));
  CHECK(flood == Approx(50).margin(25));
  CHECK(static_cast<double>(large) / static_cast<double>(quotes) == Approx(0.67).margin(0.1));
  plan.seed = 4;
  CHECK(MakeSchedule(plan)[0].at != schedule[0].at);
}

TEST_CASE("fixed arrivals are exact", "[load]") {
  // Guards against gaps whose rounding errors add a request at the end.
  load_plan plan = Plan(R"({"seconds": 3, "arrivals": "fixed", "members": [{"name": "m"}],
    "kinds": [{"name": "quote", "model": "draft", "rate": 200}]})");
  auto schedule = MakeSchedule(plan);
  REQUIRE(schedule.size() == 600);
  CHECK(schedule[599].at == std::chrono::microseconds(2995000));
}

TEST_CASE("a plan's faults are reported by path", "[load]") {
  // Guards against a misspelt plan that runs as something else.
  std::vector<settings_error> errors;
  ParseLoadPlan(R"({"arrivals":"even","kinds":[{"name":"q","rate":"x"}],"members":[]})",
                std::nullopt, errors);
  std::set<std::string> paths;
  for (const settings_error& error : errors) paths.insert(error.path);
  CHECK(paths == std::set<std::string>{"arrivals", "kinds[0].rate", "kinds[0].model", "members"});
}

TEST_CASE("every byte of an answer is judged", "[load]") {
  // Guards against a wrong, cut or foreign answer that counts as whole.
  std::string body = R"({"max_tokens":3,"stream":true})";
  std::string right = engine_answer(body).Whole();
  received_answer answer{200, "text/event-stream", right, http_call_result::kComplete};
  CHECK(Judge(answer, right, true).outcome == load_outcome::kInTime);
  CHECK(Judge(answer, right, false).outcome == load_outcome::kLate);
  answer.body[right.size() / 2] ^= 1;
  CHECK(Judge(answer, right, true).outcome == load_outcome::kWrong);
  answer.body = right.substr(0, right.size() - 1);
  CHECK(Judge(answer, right, true).outcome == load_outcome::kCut);
  answer.body = right + "x";
  CHECK(Judge(answer, right, true).outcome == load_outcome::kWrong);
  answer.body = right.substr(0, 20) + "event: error\ndata: " +
                R"({"type":"urn:radishroute:problem:engine_crashed","outcome":"unknown"})"
                "\n\n";
  judgement failed = Judge(answer, right, true);
  CHECK(failed.outcome == load_outcome::kUnknown);
  CHECK(failed.reason == "engine_crashed");
  answer = {429, "application/problem+json", kNotRunProblem, http_call_result::kComplete};
  CHECK(Judge(answer, right, true).outcome == load_outcome::kNotRun);
  answer.body = "plain text";
  CHECK(Judge(answer, right, true).outcome == load_outcome::kUnknown);
}

TEST_CASE("a broken answer is judged neither whole nor a refusal", "[load]") {
  // Guards against a refusal that counts although its answer was broken off, so that it may be
  // false.
  std::string right = engine_answer(R"({"max_tokens":3})").Whole();
  received_answer answer{200, "application/json", right, http_call_result::kBroken};
  CHECK(Judge(answer, right, true).outcome == load_outcome::kUnknown);
  answer = {429, "application/problem+json", kNotRunProblem, http_call_result::kBroken};
  CHECK(Judge(answer, right, true).outcome == load_outcome::kUnknown);
  CHECK(Judge(answer, right, true).reason == "connection_lost");
}

TEST_CASE("a service call without an answer is sent again with its key", "[load]") {
  // Guards against a resend with a new key, to the same entry, or marked as the first submission.
  fake_entries entries(OneBooking());
  REQUIRE(entries.started.size() == 1);
  entries.Wait(std::chrono::milliseconds(600));
  entries.Wait(std::chrono::milliseconds(1));
  REQUIRE(entries.started.size() == 2);
  const start_call& first = entries.started[0];
  const start_call second = entries.started[1];
  CHECK(HeaderOf(first, "idempotency-key") == HeaderOf(second, "idempotency-key"));
  CHECK(HeaderOf(first, "idempotency-key")[14] == '7');
  CHECK(HeaderOf(first, "x-first-submission") == "true");
  CHECK(HeaderOf(second, "x-first-submission").empty());
  CHECK(first.body == second.body);
  CHECK(first.target != second.target);
  entries.Answer(second, 200, ServiceAnswer(second.body));
  REQUIRE(entries.records.size() == 1);
  CHECK(entries.records[0].outcome == load_outcome::kInTime);
  CHECK(entries.records[0].attempts == 2);
  CHECK(entries.finished);
}

TEST_CASE("a call that says not run is final", "[load]") {
  // Guards against a claim that a later answer hides.
  fake_entries entries(OneBooking());
  entries.Answer(entries.started[0], 429, kNotRunProblem);
  REQUIRE(entries.records.size() == 1);
  CHECK(entries.records[0].claimed_not_run);
  CHECK(entries.records[0].reason == "queue_full");
}

TEST_CASE("a request that a target certainly did not run goes to the next one at once", "[load]") {
  // Guards against a rolling restart that callers notice, and against endless moves.
  fake_entries entries(OneBooking());
  entries.Answer(entries.started[0], 503, kDrainingProblem);
  REQUIRE(entries.started.size() == 2);
  const start_call second = entries.started[1];
  CHECK(second.target != entries.started[0].target);
  // The balancer forwards the same request, so it is still the first submission.
  CHECK(HeaderOf(second, "x-first-submission") == "true");
  entries.Answer(second, 200, ServiceAnswer(second.body));
  REQUIRE(entries.records.size() == 1);
  CHECK(entries.records[0].outcome == load_outcome::kInTime);
  CHECK(entries.records[0].attempts == 1);
  CHECK(entries.records[0].moved_draining == 1);
  CHECK_FALSE(entries.records[0].claimed_not_run);

  fake_entries none(OneBooking());
  none.Apply(call_ended{none.started[0].call, http_call_result::kNotSent});
  REQUIRE(none.started.size() == 2);
  none.Answer(none.started[1], 503, kDrainingProblem);
  REQUIRE(none.records.size() == 1);
  CHECK(none.started.size() == 2);
  CHECK(none.records[0].moved_unreachable == 1);
  CHECK(none.records[0].outcome == load_outcome::kNotRun);
}

TEST_CASE("calls beyond the connections wait and their wait is latency", "[load]") {
  // Guards against connections without bound under overload, a latency without the wait, a queued
  // call that is lost when another one ends or is given up, and a run that does not end.
  load_plan plan = Plan(R"({"seconds": 0.5, "arrivals": "fixed", "members": [{"name": "m"}],
    "kinds": [{"name": "quote", "model": "draft", "rate": 10, "timeout_ms": 2000}]})");
  fake_entries entries(plan, 1, 2);
  for (int i = 0; i < 5; ++i) entries.Wait(std::chrono::milliseconds(100));
  REQUIRE(entries.started.size() == 2);
  entries.Answer(entries.started[0], 200, ExpectedAnswer(plan.kinds[0], entries.started[0].body));
  REQUIRE(entries.started.size() == 3);
  CHECK(entries.records[0].latency == std::chrono::milliseconds(500));
  entries.Wait(std::chrono::milliseconds(1000));
  const start_call third = entries.started[2];
  entries.Answer(third, 200, ExpectedAnswer(plan.kinds[0], third.body));
  // Planned at 200 ms and answered at 1500 ms.
  CHECK(entries.records[1].latency == std::chrono::milliseconds(1300));
  REQUIRE(entries.started.size() == 4);
  entries.Wait(std::chrono::milliseconds(1000));
  REQUIRE(entries.records.size() == 5);
  CHECK(entries.records[4].reason == "no_connection");
  CHECK(entries.finished);
}

TEST_CASE("the check finds each kind of violation", "[load]") {
  // Guards against a check that passes whatever the services ran.
  load_record done;
  done.idempotency_key = "k";
  done.outcome = load_outcome::kInTime;
  load_record denied = done;
  denied.outcome = load_outcome::kNotRun;
  denied.claimed_not_run = true;
  load_record wrong;
  wrong.outcome = load_outcome::kWrong;
  load_record cut;
  cut.outcome = load_outcome::kCut;
  auto only = [](const std::vector<violation_found>& found, load_violation violation) {
    return found.size() == 1 && found[0].violation == violation;
  };
  CHECK(CheckRun({done}, {{"k", 1}}).empty());
  CHECK(CheckRun({denied}, {}).empty());
  CHECK(only(CheckRun({done}, {{"k", 2}}), load_violation::kRanTwice));
  CHECK(only(CheckRun({}, {{"k", 2}}), load_violation::kRanTwice));
  CHECK(only(CheckRun({done}, {}), load_violation::kDoneWithoutRun));
  CHECK(only(CheckRun({denied}, {{"k", 1}}), load_violation::kRanAlthoughNotRun));
  CHECK(only(CheckRun({wrong}, {}), load_violation::kWrongAnswer));
  CHECK(only(CheckRun({cut}, {}), load_violation::kCutAnswer));
}

TEST_CASE("a result counts per Member and its report escapes events", "[load]") {
  // Guards against an index that ignores weights, and a report that an event's text breaks.
  CHECK(WeightedJain({20, 10}, {2, 1}) == Approx(1));
  CHECK(WeightedJain({30, 0}, {2, 1}) == Approx(0.5));
  load_result result(Plan());
  load_record record;
  record.member = "small";
  record.outcome = load_outcome::kInTime;
  record.latency = std::chrono::milliseconds(5);
  result.Add(record);
  result.Mark({std::chrono::seconds(1), "<entry & agent>"});
  nlohmann::json json = result.ToJson();
  CHECK(json["members"]["small"]["in_time"] == 1);
  CHECK(json["classes"]["interactive"]["latency_ms"]["p50"] == 5);
  std::string page = RenderReport(json);
  CHECK(page.find("&lt;entry &amp; agent&gt;") != std::string::npos);
  CHECK(page.find("http://") == std::string::npos);
}

}  // namespace radishroute
