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
  int life = 0;
  /// Rate of the entry's clock; any two clocks differ by at most 1%.
  double rate = 1;
  std::string zone;
  std::unique_ptr<directory> backends;
  std::unique_ptr<config_client> client;
  std::uint64_t applied = 0;
  /// Time of the next wake-up; later ones are asked for again, as in the event loop.
  std::optional<milliseconds> wake;
};

/// Entries and two controllers that lead in turn, with clocks of different rates and messages that
/// are delayed, dropped and reordered.
struct lease_world {
  random_source random;
  milliseconds now{0};
  std::vector<entry_node> entries{kEntries};
  std::vector<config_leases> leases{kControllers};
  std::vector<double> rates;
  int leader = 0;
  state_fixture state;
  std::string violation;

  struct task {
    milliseconds at;
    std::uint64_t sequence;
    std::function<void()> run;
    bool operator<(const task& o) const { return at != o.at ? at > o.at : sequence > o.sequence; }
  };
  std::priority_queue<task> tasks;
  std::uint64_t next = 1;
  /// Far end of each link as (entry, its life, address dialled).
  struct link_info {
    int entry = 0;
    int life = 0;
    endpoint dialed;
  };
  std::map<std::uint64_t, link_info> links;

  explicit lease_world(std::uint64_t seed) : random(seed) {
    for (int i = 0; i < kControllers; ++i) rates.push_back(Rate());
    leases[0].BecomeLeader(Local(rates[0]));
    for (int i = 0; i < kEntries; ++i) Start(i);
  }

  double Rate() { return 0.995 + 0.01 * static_cast<double>(random() % 1001) / 1000; }
  steady_time Local(double rate) const {
    auto local = std::chrono::duration<double, std::milli>(static_cast<double>(now.count()) * rate);
    return steady_time(std::chrono::hours(1)) +
           std::chrono::duration_cast<steady_time::duration>(local);
  }
  void Later(milliseconds delay, std::function<void()> run) {
    tasks.push({now + delay, next++, std::move(run)});
  }
  milliseconds Delay() {
    return milliseconds(random() % 10 == 0 ? random() % 2500 : random() % 20);
  }

  void Start(int i) {
    entry_node& e = entries[static_cast<std::size_t>(i)];
    e.number = i;
    ++e.life;
    e.rate = Rate();
    e.zone = i % 2 == 0 ? "z0" : "z1";
    e.applied = 0;
    e.wake.reset();
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
    Do(e, [&](reduce_context& ctx) { e.client->Handle(process_started{}, ctx); });
  }

  template <class F>
  void Do(entry_node& e, F&& action) {
    effect_list effects;
    reduce_context ctx{Local(e.rate), kTestEpoch, random, effects};
    action(ctx);
    for (effect& one : effects) Execute(e, one);
  }

  void Execute(entry_node& e, effect& one) {
    int number = e.number;
    int life = e.life;
    if (auto* open = std::get_if<open_link>(&one)) {
      std::uint64_t id = next++;
      links[id] = {number, life, open->address};
      Later(Delay(), [this, id] { Opened(id); });
    } else if (auto* send = std::get_if<send_message>(&one)) {
      Carry(send->link.value, send->body);
    } else if (auto* wake = std::get_if<schedule_wakeup>(&one)) {
      auto wait = std::chrono::ceil<milliseconds>(wake->at - Local(e.rate));
      if (wait > std::chrono::hours(1)) return;
      milliseconds at = now + std::max(wait, milliseconds(1));
      if (e.wake && *e.wake <= at) return;
      e.wake = at;
      Later(at - now, [this, number, life, at] {
        entry_node& target = entries[static_cast<std::size_t>(number)];
        if (target.life != life || target.wake != at) return;
        target.wake.reset();
        Do(target, [&](reduce_context& ctx) { target.client->Handle(timer_expired{}, ctx); });
      });
    } else if (auto* log = std::get_if<write_log>(&one)) {
      if (log->event.code == event_code::kInvariantViolated) violation = "invariant";
    }
  }

  void Opened(std::uint64_t id) {
    link_info info = links[id];
    entry_node& e = entries[static_cast<std::size_t>(info.entry)];
    if (e.life != info.life) return;
    link_opened opened{{id}, {}, info.dialed};
    for (const entry_node& peer : entries) {
      if (EntryAddress(peer.number) == info.dialed) opened.peer.zone = peer.zone;
    }
    Do(e, [&](reduce_context& ctx) { e.client->Handle(opened, ctx); });
  }

  /// Takes a message of an entry to the far end of its link and the replies back.
  void Carry(std::uint64_t id, const message& body) {
    auto found = links.find(id);
    if (found == links.end() || random() % 20 == 0) return;
    endpoint to = found->second.dialed;
    if (const auto* renew = std::get_if<lease_renew>(&body)) {
      Later(Delay(), [this, id, to, renew = *renew] { Renewed(id, to, renew); });
    } else if (const auto* query = std::get_if<version_query>(&body)) {
      for (entry_node& peer : entries) {
        if (EntryAddress(peer.number) != to) continue;
        effect_list effects;
        reduce_context ctx{Local(peer.rate), kTestEpoch, random, effects};
        peer.client->Handle({id}, *query, ctx);
        Replies(effects);
      }
    }
  }

  void Renewed(std::uint64_t id, const endpoint& to, const lease_renew& renew) {
    for (int c = 0; c < kControllers; ++c) {
      if (ControllerAddress(c) != to) continue;
      effect_list effects;
      reduce_context ctx{Local(rates[static_cast<std::size_t>(c)]), kTestEpoch, random, effects};
      leases[static_cast<std::size_t>(c)].OnRenew({id}, renew, state.machine.Config(),
                                                  ControllerAddress(leader), ctx);
      Replies(effects);
    }
  }

  void Replies(const effect_list& effects) {
    for (const effect& one : effects) {
      const auto* send = std::get_if<send_message>(&one);
      if (send == nullptr || random() % 20 == 0) continue;
      Later(Delay(), [this, id = send->link, body = send->body] {
        link_info info = links[id.value];
        entry_node& e = entries[static_cast<std::size_t>(info.entry)];
        if (e.life != info.life) return;
        Do(e, [&](reduce_context& ctx) {
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
    while (!tasks.empty() && tasks.top().at <= end) {
      task one = tasks.top();
      tasks.pop();
      now = one.at;
      one.run();
    }
    now = end;
  }

  void Commit() {
    std::uint64_t base = state.machine.Config().Version();
    state.Change(base, "change-" + std::to_string(base), Sheet(base));
    effect_list effects;
    reduce_context ctx{Local(rates[static_cast<std::size_t>(leader)]), kTestEpoch, random, effects};
    leases[static_cast<std::size_t>(leader)].OnCommitted(state.machine.Config(), ctx);
    Replies(effects);
  }

  void ChangeLeader() {
    leases[static_cast<std::size_t>(leader)].StepDown();
    leader = (leader + 1) % kControllers;
    leases[static_cast<std::size_t>(leader)].BecomeLeader(
        Local(rates[static_cast<std::size_t>(leader)]));
  }

  in_force_report Report() const {
    auto index = static_cast<std::size_t>(leader);
    return leases[index].Report(state.machine.Config().Version(), Local(rates[index]));
  }
};

void Check(lease_world& w) {
  RC_ASSERT(w.violation.empty());
  auto report = w.Report();
  for (entry_node& e : w.entries) {
    RC_ASSERT(e.client->AppliedVersion() >= e.applied);
    e.applied = e.client->AppliedVersion();
    for (const zone_report& zone : report.zones) {
      if (zone.zone != e.zone || !zone.in_force) continue;
      if (e.client->LeaseValid(w.Local(e.rate))) RC_ASSERT(e.applied >= report.version);
    }
  }
}

}  // namespace

// Guards against reporting a version in force in a zone where an entry with a valid lease serves
// under an older one, and against versions that go back.
TEST_CASE("random failures never make a report of in force wrong") {
  CHECK(rc::check("in force", [] {
    lease_world w(*rc::gen::arbitrary<std::uint64_t>());
    for (int step = 0; step < kSteps; ++step) {
      if (w.random() % 10 == 0) w.Commit();
      if (w.random() % 60 == 0) w.ChangeLeader();
      if (w.random() % 40 == 0) w.Start(static_cast<int>(w.random() % kEntries));
      w.Run(milliseconds(w.random() % 300));
      Check(w);
    }
    w.Run(std::chrono::seconds(15));
    RC_ASSERT(w.Report().known);
    for (entry_node& e : w.entries) RC_ASSERT(e.client->Ready());
  }));
}

}  // namespace radishroute
