#include <catch2/catch.hpp>

#include "fake_context.h"
#include "radishroute/executions.h"
#include "radishroute/policies.h"
#include "radishroute/requests.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;

caller_request MakeRequest(std::uint64_t exchange) {
  caller_request request;
  request.exchange = {exchange};
  request.member = "club";
  request.kind = "quote";
  request.model = "draft";
  return request;
}

}  // namespace

TEST_CASE("a draining entry refuses requests during the linger time before it stops", "[drain]") {
  // Guards against an entry that exits while callers still send requests on keep-alive connections.
  fake_context context;
  request_limits limits;
  limits.drain_linger = 1000ms;
  request_table<baseline_policies> requests(1, 0, limits);
  context.Do([&](auto& ctx) { requests.Handle(drain_requested{ctx.now + 10s}, ctx); });
  CHECK(context.All<drain_connections>().size() == 1);
  CHECK(context.All<stop_process>().empty());
  context.Advance(900ms);
  context.Do([&](auto& ctx) { requests.Handle(MakeRequest(1), ctx); });
  auto refused = context.All<respond_problem>();
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].refusal == refusal_reason::kDraining);
  CHECK(refused[0].outcome == run_outcome::kNotRun);
  CHECK(context.All<stop_process>().empty());
  context.Advance(100ms);
  context.Do([&](auto& ctx) { requests.Handle(timer_expired{}, ctx); });
  REQUIRE(context.All<stop_process>().size() == 1);
  CHECK(context.All<stop_process>()[0].all_finished);
}

TEST_CASE("a drain deadline shorter than the linger time ends the drain", "[drain]") {
  // Guards against a process that ignores its drain timeout while the linger time has not passed.
  fake_context context;
  request_table<baseline_policies> requests(1, 0, request_limits{});
  context.Do([&](auto& ctx) { requests.Handle(drain_requested{ctx.now + 10ms}, ctx); });
  context.Advance(10ms);
  context.Do([&](auto& ctx) { requests.Handle(timer_expired{}, ctx); });
  CHECK(context.All<stop_process>().size() == 1);
}

TEST_CASE("a draining agent is not woken before its next deadline", "[drain]") {
  // Guards against a wake-up time in the past (the end of a linger time that had already passed),
  // which made the thread spin until the last answer ended.
  fake_context context;
  execution_table<baseline_policies> executions(1, execution_limits{}, 1);
  dispatch_request dispatch;
  dispatch.id = {{1, 1}, 1};
  dispatch.agent_incarnation = 1;
  dispatch.time_left = 20s;
  context.Do([&](auto& ctx) { executions.Handle(link_id{1}, dispatch, ctx); });
  context.Do([&](auto& ctx) { executions.Handle(drain_requested{ctx.now + 30s}, ctx); });
  context.Advance(1500ms);
  context.Do([&](auto& ctx) { executions.Handle(timer_expired{}, ctx); });
  CHECK(context.All<stop_process>().empty());
  for (const schedule_wakeup& wakeup : context.All<schedule_wakeup>()) {
    CHECK(wakeup.at > context.Now());
  }
}

}  // namespace radishroute
