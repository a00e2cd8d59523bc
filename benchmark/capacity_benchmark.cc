// Memory and time of an entry's control thread against the numbers of backend servers and Members.
// Prints one line per size; docs/CAPACITY.md uses the slopes.

#include <malloc.h>

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <memory>
#include <string>

#include "radishroute/policies.h"
#include "radishroute/reducer.h"

namespace radishroute {
namespace {

constexpr std::uint32_t kModels = 28;

announcement MakeAnnouncement(std::uint32_t i) {
  announcement record;
  record.backend = "engine-" + std::to_string(i);
  record.incarnation = 1700000000000000ULL + i;
  record.sequence = 1;
  record.zone = "zone-" + std::to_string(i % 10);
  record.traffic_address = {"10.0." + std::to_string(i / 250) + "." + std::to_string(i % 250),
                            7000};
  record.models = {"model-" + std::to_string(i % kModels)};
  record.concurrency_limit = 16;
  return record;
}

work_sheet MakeSheet(std::uint32_t members) {
  work_sheet sheet;
  sheet.kinds.push_back({"quote", priority_class::kInteractive, std::chrono::seconds(5), 1, true});
  for (std::uint32_t i = 0; i < members; ++i) {
    sheet.members.push_back({"member-" + std::to_string(i), 1 + i % 10});
  }
  return sheet;
}

struct published_table {
  std::shared_ptr<const routing_table> table;
};

void Measure(std::uint32_t engines, std::uint32_t members) {
  std::size_t before = mallinfo2().uordblks;
  auto state = std::make_unique<thread_state<balanced_policies>>();
  state->control.backends.emplace(process_id{1, 1}, "zone-0", MakeSheet(members));
  random_source random(1);
  manual_clock clock;
  effect_list effects;
  published_table last;
  auto apply = [&](const event& e) {
    effects.clear();
    reduce_context ctx{clock.Now(), clock.WallNow(), random, effects};
    Reduce(*state, e, ctx);
    for (effect& one : effects) {
      if (auto* publish = std::get_if<publish_routing_table>(&one)) last.table = publish->table;
    }
    effects.clear();
  };
  for (std::uint32_t i = 0; i < engines; ++i) {
    apply(message_received{{i + 1}, MakeAnnouncement(i)});
  }
  std::size_t bytes = mallinfo2().uordblks - before;
  constexpr std::uint32_t kChanges = 20;
  auto started = std::chrono::steady_clock::now();
  for (std::uint32_t i = 0; i < kChanges; ++i) {
    announcement changed = MakeAnnouncement(i % engines);
    changed.sequence = 2 + i;
    changed.status = backend_status::kLeaving;
    apply(message_received{{i % engines + 1}, changed});
  }
  double micros =
      std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - started).count();
  std::printf("%5u engines %5u Members: %8.2f MB, %8.1f us per change of a backend server\n",
              engines, members, static_cast<double>(bytes) / 1e6, micros / kChanges);
}

}  // namespace
}  // namespace radishroute

int main() {
  radishroute::Measure(15, 10);
  radishroute::Measure(300, 420);
  radishroute::Measure(1000, 1400);
  radishroute::Measure(3000, 4200);
  return 0;
}
