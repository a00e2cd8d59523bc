#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <queue>

#include "radishroute/config_client.h"
#include "radishroute/config_leases.h"
#include "state_fixture.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

constexpr int kEntries = 4;
constexpr int kControllers = 2;
constexpr int kSteps = 400;

endpoint EntryAddress(int i) { return {"10.0.1." + std::to_string(i + 1), 1}; }
endpoint ControllerAddress(int i) { return {"10.0.2." + std::to_string(i + 1), 1}; }

std::string Sheet(std::uint64_t version) {
  return "table,name,class,deadline_ms,worth,repeat,weight,floor_percent,hour,requests\n"
         "kind,quote,interactive," +
         std::to_string(version + 1) + ",1,yes,,,,\nmember,club-1,,,,,1,,,\n";
}

struct entry_node {
  int number = 0;
  int incarnation = 0;
  /// Rate of the entry's clock; any two clocks differ by at most 1%.
  double rate = 1;
  std::string zone;
  std::unique_ptr<directory> backends;
  std::unique_ptr<config_client> client;
  std::uint64_t applied = 0;
  /// The earliest requested wake-up; the handlers request later ones again, as in the event loop.
  std::optional<milliseconds> next_wakeup;
};

/// Simulates entries and two controllers that lead in turn. Clocks have different rates; messages
/// are delayed, dropped and reordered.
struct lease_simulation {
  random_source random;
  milliseconds now{0};
  std::vector<entry_node> entries{kEntries};
  std::vector<config_leases> leases{kControllers};
  std::vector<double> controller_clock_rates;
  int leader = 0;
  state_fixture state;
  std::string violation;

  struct task {
    milliseconds due;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const task& o) const {
      return due != o.due ? due > o.due : sequence > o.sequence;
    }
  };
  std::priority_queue<task> tasks;
  std::uint64_t next_id = 1;
  /// The entry that opened a link, its incarnation then, and the address that it dialed.
  struct link_info {
    int entry = 0;
    int incarnation = 0;
    endpoint dialed;
  };
  std::map<std::uint64_t, link_info> links;

  explicit lease_simulation(std::uint64_t seed) : random(seed) {
    for (int i = 0; i < kControllers; ++i) controller_clock_rates.push_back(RandomClockRate());
    leases[0].BecomeLeader(LocalTime(controller_clock_rates[0]));
    for (int i = 0; i < kEntries; ++i) StartEntry(i);
  }

  double RandomClockRate() { return 0.995 + 0.01 * static_cast<double>(random() % 1001) / 1000; }
  steady_time LocalTime(double rate) const {
    auto local = std::chrono::duration<double, std::milli>(static_cast<double>(now.count()) * rate);
    return steady_time(std::chrono::hours(1)) +
           std::chrono::duration_cast<steady_time::duration>(local);
  }
  void Schedule(milliseconds delay, std::function<void()> run) {
    tasks.push({now + delay, next_id++, std::move(run)});
  }
  milliseconds RandomDelay() {
    return milliseconds(random() % 10 == 0 ? random() % 2500 : random() % 20);
  }

  void StartEntry(int i) {
    entry_node& e = entries[static_cast<std::size_t>(i)];
    e.number = i;
    ++e.incarnation;
    e.rate = RandomClockRate();
    e.zone = i % 2 == 0 ? "z0" : "z1";
    e.applied = 0;
    e.next_wakeup.reset();
    std::vector<endpoint> controllers;
    std::vector<endpoint> peers;
    controllers.reserve(kControllers);
    for (int c = 0; c < kControllers; ++c) controllers.push_back(ControllerAddress(c));
    for (int p = 0; p < kEntries; ++p) {
      if (p != i) peers.push_back(EntryAddress(p));
    }
    e.backends = std::make_unique<directory>(process_id{static_cast<std::uint64_t>(i) + 1, 1},
                                             e.zone, work_sheet{});
    e.client = std::make_unique<config_client>(
        config_client_settings{"entry-" + std::to_string(i), e.zone, controllers, peers, {}},
        *e.backends);
    Reduce(e, [&](reduce_context& ctx) { e.client->Handle(process_started{}, ctx); });
  }

  template <class F>
  void Reduce(entry_node& e, F&& action) {
    effect_list effects;
    reduce_context ctx{LocalTime(e.rate), kTestEpoch, random, effects};
    action(ctx);
    for (effect& emitted : effects) Execute(e, emitted);
  }

  void Execute(entry_node& e, effect& emitted) {
    int number = e.number;
    int incarnation = e.incarnation;
    if (auto* open = std::get_if<open_link>(&emitted)) {
      std::uint64_t id = next_id++;
      links[id] = {number, incarnation, open->address};
      Schedule(RandomDelay(), [this, id] { CompleteOpen(id); });
    } else if (auto* send = std::get_if<send_message>(&emitted)) {
      Transmit(send->link.value, send->body);
    } else if (auto* wakeup = std::get_if<schedule_wakeup>(&emitted)) {
      auto wait = std::chrono::ceil<milliseconds>(wakeup->at - LocalTime(e.rate));
      if (wait > std::chrono::hours(1)) return;
      milliseconds due = now + std::max(wait, milliseconds(1));
      if (e.next_wakeup && *e.next_wakeup <= due) return;
      e.next_wakeup = due;
      Schedule(due - now, [this, number, incarnation, due] {
        entry_node& target = entries[static_cast<std::size_t>(number)];
        if (target.incarnation != incarnation || target.next_wakeup != due) return;
        target.next_wakeup.reset();
        Reduce(target, [&](reduce_context& ctx) { target.client->Handle(timer_expired{}, ctx); });
      });
    } else if (auto* log = std::get_if<write_log>(&emitted)) {
      if (log->event.code == event_code::kInvariantViolated) violation = "invariant";
    }
  }

  void CompleteOpen(std::uint64_t id) {
    link_info info = links[id];
    entry_node& e = entries[static_cast<std::size_t>(info.entry)];
    if (e.incarnation != info.incarnation) return;
    link_opened opened{{id}, {}, info.dialed};
    for (const entry_node& peer : entries) {
      if (EntryAddress(peer.number) == info.dialed) opened.peer.zone = peer.zone;
    }
    Reduce(e, [&](reduce_context& ctx) { e.client->Handle(opened, ctx); });
  }

  /// Delivers a message of an entry to the peer of its link and schedules the replies.
  void Transmit(std::uint64_t id, const message& body) {
    auto found = links.find(id);
    if (found == links.end() || random() % 20 == 0) return;
    endpoint target = found->second.dialed;
    if (const auto* renew = std::get_if<lease_renew>(&body)) {
      Schedule(RandomDelay(),
               [this, id, target, renew = *renew] { DeliverRenewal(id, target, renew); });
    } else if (const auto* query = std::get_if<version_query>(&body)) {
      for (entry_node& peer : entries) {
        if (EntryAddress(peer.number) != target) continue;
        effect_list effects;
        reduce_context ctx{LocalTime(peer.rate), kTestEpoch, random, effects};
        peer.client->Handle({id}, *query, ctx);
        DeliverReplies(effects);
      }
    }
  }

  void DeliverRenewal(std::uint64_t id, const endpoint& target, const lease_renew& renew) {
    for (int c = 0; c < kControllers; ++c) {
      if (ControllerAddress(c) != target) continue;
      effect_list effects;
      reduce_context ctx{LocalTime(controller_clock_rates[static_cast<std::size_t>(c)]), kTestEpoch,
                         random, effects};
      leases[static_cast<std::size_t>(c)].OnRenew({id}, renew, state.machine.Config(),
                                                  ControllerAddress(leader), ctx);
      DeliverReplies(effects);
    }
  }

  void DeliverReplies(const effect_list& effects) {
    for (const effect& emitted : effects) {
      const auto* send = std::get_if<send_message>(&emitted);
      if (send == nullptr || random() % 20 == 0) continue;
      Schedule(RandomDelay(), [this, id = send->link, body = send->body] {
        link_info info = links[id.value];
        entry_node& e = entries[static_cast<std::size_t>(info.entry)];
        if (e.incarnation != info.incarnation) return;
        Reduce(e, [&](reduce_context& ctx) {
          std::visit(
              [&](const auto& m) {
                if constexpr (requires { e.client->Handle(id, m, ctx); }) {
                  e.client->Handle(id, m, ctx);
                }
              },
              body);
        });
      });
    }
  }

  void Run(milliseconds duration) {
    milliseconds end = now + duration;
    while (!tasks.empty() && tasks.top().due <= end) {
      task first = tasks.top();
      tasks.pop();
      now = first.due;
      first.run();
    }
    now = end;
  }

  void Commit() {
    std::uint64_t base = state.machine.Config().Version();
    state.Change(base, "change-" + std::to_string(base), Sheet(base));
    effect_list effects;
    reduce_context ctx{LocalTime(controller_clock_rates[static_cast<std::size_t>(leader)]),
                       kTestEpoch, random, effects};
    leases[static_cast<std::size_t>(leader)].OnCommitted(state.machine.Config(), ctx);
    DeliverReplies(effects);
  }

  void ChangeLeader() {
    leases[static_cast<std::size_t>(leader)].StepDown();
    leader = (leader + 1) % kControllers;
    leases[static_cast<std::size_t>(leader)].BecomeLeader(
        LocalTime(controller_clock_rates[static_cast<std::size_t>(leader)]));
  }

  in_force_report Report() const {
    auto index = static_cast<std::size_t>(leader);
    return leases[index].Report(state.machine.Config().Version(),
                                LocalTime(controller_clock_rates[index]));
  }
};

void CheckReport(lease_simulation& sim) {
  RC_ASSERT(sim.violation.empty());
  auto report = sim.Report();
  for (entry_node& e : sim.entries) {
    RC_ASSERT(e.client->AppliedVersion() >= e.applied);
    e.applied = e.client->AppliedVersion();
    for (const zone_report& zone : report.zones) {
      if (zone.zone != e.zone || !zone.in_force) continue;
      if (e.client->LeaseValid(sim.LocalTime(e.rate))) RC_ASSERT(e.applied >= report.version);
    }
  }
}

}  // namespace

// Guards against reporting a version in force in a zone where an entry with a valid lease serves
// under an older one, and against a decrease of the applied version.
TEST_CASE("in-force reports stay correct under random failures") {
  CHECK(rc::check("in force", [] {
    lease_simulation sim(*rc::gen::arbitrary<std::uint64_t>());
    for (int step = 0; step < kSteps; ++step) {
      if (sim.random() % 10 == 0) sim.Commit();
      if (sim.random() % 60 == 0) sim.ChangeLeader();
      if (sim.random() % 40 == 0) sim.StartEntry(static_cast<int>(sim.random() % kEntries));
      sim.Run(milliseconds(sim.random() % 300));
      CheckReport(sim);
    }
    sim.Run(std::chrono::seconds(15));
    RC_ASSERT(sim.Report().known);
    for (entry_node& e : sim.entries) RC_ASSERT(e.client->Ready());
  }));
}

}  // namespace radishroute
