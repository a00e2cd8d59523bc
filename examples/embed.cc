// Embeds the library's sheet parser and an agent's execution table without any network.
#include <iostream>
#include <random>

#include "radishroute/baseline.h"
#include "radishroute/clock.h"
#include "radishroute/reducer.h"

int main() {
  using radishroute::baseline_policies;
  radishroute::thread_state<baseline_policies> state;
  state.traffic.executions.emplace(1, radishroute::execution_limits{});

  radishroute::manual_clock clock;
  radishroute::random_source random(1);
  radishroute::effect_list effects;
  radishroute::reduce_context ctx{clock.Now(), clock.WallNow(), random, effects};

  radishroute::dispatch_request dispatch;
  dispatch.id = {{7, 1}, 1};
  dispatch.agent_incarnation = 1;
  dispatch.member = "club-1";
  dispatch.time_left = std::chrono::seconds(1);
  radishroute::Reduce(state, radishroute::message_received{{1}, dispatch}, ctx);

  for (const auto& effect : effects) {
    if (std::holds_alternative<radishroute::start_engine_call>(effect)) {
      std::cout << "the dispatch would now be sent to the engine\n";
      return 0;
    }
  }
  return 1;
}
