#include "radishroute/forward/group_loads.h"

#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <string>

#include "radishroute/forward/admission.h"
#include "radishroute/forward/backend_selector.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;

constexpr std::uint16_t kEnginesPerGroup = 4;

endpoint EngineAddress(int group, int engine) {
  return {"10.0.0." + std::to_string(group), static_cast<std::uint16_t>(engine + 1)};
}

std::shared_ptr<const fleet_load> MakeLoad(int group, bool open, std::uint64_t term = 1,
                                           std::uint64_t sequence = 1,
                                           std::chrono::microseconds pass = 60ms) {
  auto load = std::make_shared<fleet_load>();
  load->group = "g" + std::to_string(group);
  load->term = term;
  load->sequence = sequence;
  load->open = open;
  load->pass = pass;
  for (int i = 0; i < kEnginesPerGroup; ++i) {
    load->engines.push_back({EngineAddress(group, i), 3, 0, 0ms});
  }
  return load;
}

routing_table MakeTable(int groups) {
  routing_table table;
  for (int g = 0; g < groups; ++g) {
    for (int i = 0; i < kEnginesPerGroup; ++i) {
      announcement a;
      a.backend = std::to_string(g) + "-" + std::to_string(i);
      a.zone = "a";
      a.traffic_address = EngineAddress(g, i);
      a.concurrency_limit = 10;
      table.pools["draft"].local.push_back(static_cast<std::uint32_t>(table.backends.size()));
      table.backends.push_back(a);
    }
  }
  return table;
}

}  // namespace

// Guards against the report of one group that is taken for another one's, depending on which came
// last.
TEST_CASE("each engine is judged by the report of its own group") {
  engine_model_admission admission;
  steady_time now{1h};
  admission.OnFleetLoad(MakeLoad(0, true), now);
  admission.OnFleetLoad(MakeLoad(1, false), now);
  CHECK_FALSE(admission.IsGroupDown(EngineAddress(0, 1), now));
  CHECK(admission.IsGroupDown(EngineAddress(1, 1), now));
  admission.OnFleetLoad(MakeLoad(0, true, 1, 2), now);
  CHECK(admission.IsGroupDown(EngineAddress(1, 1), now));
  // Without news, nothing is known of a group after a second.
  CHECK_FALSE(admission.IsGroupDown(EngineAddress(1, 1), now + 1100ms));
}

// Guards against reports that were delayed on a relayed path and replace newer ones, and against a
// deposed leader.
TEST_CASE("outdated reports of a group are dropped") {
  group_loads loads;
  steady_time now{1h};
  CHECK(loads.OnFleetLoad(MakeLoad(0, true, 5, 7), now));
  CHECK_FALSE(loads.OnFleetLoad(MakeLoad(0, false, 5, 6), now));
  CHECK_FALSE(loads.OnFleetLoad(MakeLoad(0, false, 5, 7), now));
  CHECK_FALSE(loads.OnFleetLoad(MakeLoad(0, false, 4, 90), now));
  CHECK(loads.OnFleetLoad(MakeLoad(1, false, 4, 1), now));
  CHECK(loads.OnFleetLoad(MakeLoad(0, false, 6, 1), now));
  CHECK(loads.Find(EngineAddress(0, 0))->IsDown(now));
  // Once the known report is too old to be used, any other one is better.
  CHECK(loads.OnFleetLoad(MakeLoad(0, true, 5, 8), now + 2s));
}

// Guards against engines that stay with a group that is gone, and against state that grows with
// each name that a group has had.
TEST_CASE("groups that are not reported any more are forgotten") {
  group_loads loads;
  steady_time now{1h};
  loads.OnFleetLoad(MakeLoad(0, true), now);
  loads.OnFleetLoad(MakeLoad(1, true), now + 11s);
  loads.OnFleetLoad(MakeLoad(2, true), now + 11s);
  CHECK(loads.Find(EngineAddress(0, 0)) == nullptr);
  CHECK(loads.Groups().size() == 2);
}

// Guards against requests to a group that makes no passes while another one could take them, and
// against gateways that refuse although a group is open.
TEST_CASE("a group that is down gets no requests until it is open again") {
  least_loaded_selector selector;
  selector.OnTable(MakeTable(3), "a");
  steady_time now{1h};
  random_source random{1};
  withheld_backends withheld;
  std::vector<std::string> tried;
  selection_query query{"draft", 5, tried, withheld};
  for (int g = 0; g < 3; ++g) selector.OnFleetLoad(*MakeLoad(g, g == 2), now);
  for (int i = 0; i < 50; ++i) {
    auto chosen = selector.Choose(query, now, random);
    REQUIRE(chosen);
    CHECK(chosen->backend.starts_with("2-"));
    selector.OnSent(chosen->backend, now);
  }
  selector.OnFleetLoad(*MakeLoad(2, false), now);
  CHECK_FALSE(selector.Choose(query, now, random));
  selector.OnFleetLoad(*MakeLoad(0, true), now);
  auto chosen = selector.Choose(query, now, random);
  REQUIRE(chosen);
  CHECK(chosen->backend.starts_with("0-"));
}

}  // namespace radishroute
