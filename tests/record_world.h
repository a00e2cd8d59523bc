#ifndef RADISHROUTE_TESTS_RECORD_WORLD_H_
#define RADISHROUTE_TESTS_RECORD_WORLD_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "radishroute/config_leases.h"
#include "radishroute/policies.h"
#include "radishroute/record_server.h"
#include "radishroute/reducer.h"
#include "state_fixture.h"

namespace radishroute {

/// Log that passes each proposal to `on_append`. Without a quorum it accepts no proposals.
struct fake_log {
  bool quorum = true;
  std::uint64_t term = 1;
  std::uint64_t index = 0;
  std::function<void(log_entry)> on_append;

  std::optional<log_position> Propose(command body, reduce_context&) {
    if (!quorum) return std::nullopt;
    log_entry entry{term, ++index, std::move(body)};
    on_append(entry);
    return log_position{entry.term, entry.index};
  }
};

/// Response that a caller received.
struct caller_answer {
  std::string outcome;
  std::string body;
  refusal_reason refusal = refusal_reason::kNone;
  dispatch_failure failure = dispatch_failure::kNone;
};

/// Deterministic simulation of entries, agents and one leader in a single thread, with a seeded
/// queue of events. The reducers are the production ones; engines, links, log and clock are fakes.
class record_simulation {
 public:
  static constexpr int kLeader = -1;

  explicit record_simulation(std::uint64_t seed, int entries = 2, int agents = 1);

  /// Submits a request to an entry; the response is recorded in `answers`.
  exchange_id Submit(int entry, const std::string& key, bool first,
                     const std::string& body = "slot 7");
  void DisconnectCaller(int entry, exchange_id exchange);
  void Run(std::chrono::milliseconds duration);

  void KillEntry(int entry);
  void StartEntry(int entry);
  /// Terminates an agent and starts its next incarnation.
  void RestartAgent(int agent);
  /// Fails every call in progress on the engine of an agent.
  void CrashEngine(int agent);
  void PartitionLeader(bool partitioned);

  const record_table& Records() const { return state_.machine.Records(); }
  int Runs(const std::string& key) const {
    auto it = runs.find(key);
    return it == runs.end() ? 0 : it->second;
  }

  // Fault injection. A message is delivered after its delay, or lost if the delay is nullopt.
  std::function<std::optional<std::chrono::milliseconds>(const message&)> message_delay;
  std::function<int(const message&)> message_copies;
  std::chrono::milliseconds engine_latency{20};
  bool engine_refuses = false;
  std::map<exchange_id, caller_answer> answers;
  std::map<std::string, int> runs;
  /// The last violated invariant; empty if there was none.
  std::string violation;
  random_source random;

 private:
  enum class thread_kind : std::uint8_t { kControl, kTraffic };
  struct process {
    int number = 0;
    bool alive = false;
    std::uint64_t incarnation = 0;
    endpoint address;
    std::unique_ptr<thread_state<baseline_policies>> control;
    std::unique_ptr<thread_state<baseline_policies>> traffic;
    std::set<steady_time> wakeups[2];
    std::set<dispatch_id> calls;
  };
  /// A thread of one incarnation of a process.
  struct thread_ref {
    int number = kLeader;
    thread_kind thread = thread_kind::kControl;
    std::uint64_t incarnation = 0;
  };
  struct link_end {
    thread_ref owner;
    std::uint64_t peer = 0;
    endpoint dialed;
  };
  struct task {
    steady_time at;
    std::uint64_t sequence = 0;
    std::function<void()> run;
    bool operator<(const task& other) const {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  process& Process(int number);
  void Schedule(std::chrono::milliseconds delay, std::function<void()> run);
  void Deliver(const thread_ref& to, const event& e);
  void HandleAtLeader(link_id link, const message& m);
  void Execute(const thread_ref& from, effect& one);
  void Open(const thread_ref& from, const endpoint& address);
  void CloseLinks(int number);
  void CloseLinkEnd(std::uint64_t id);
  void StartAgent(int agent);
  void Announce(int agent);
  reduce_context Context() { return {now_, wall_, random, leader_effects_}; }

  steady_time now_{std::chrono::hours(1)};
  wall_time wall_ = kTestEpoch;
  std::uint64_t next_id_ = 1;
  std::priority_queue<task> tasks_;
  std::vector<std::unique_ptr<process>> processes_;
  int entry_count_;
  int agent_count_;
  std::map<std::uint64_t, link_end> links_;
  bool leader_partitioned_ = false;
  std::uint64_t leader_incarnation_ = 1;
  state_fixture state_;
  fake_log log_;
  record_server server_;
  config_leases leases_;
  effect_list leader_effects_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_RECORD_WORLD_H_
