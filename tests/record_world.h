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

/// Log that commits what it is given after the world's delay, or nothing without a quorum.
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

/// What a caller was told.
struct caller_answer {
  std::string outcome;
  std::string body;
  refusal_reason refusal = refusal_reason::kNone;
  dispatch_failure failure = dispatch_failure::kNone;
};

/// Entries, agents and one leader in one thread, joined by a seeded queue of events. Every reducer
/// is the real one; engines, links, log and clock are fakes.
class record_world {
 public:
  static constexpr int kLeader = -1;

  explicit record_world(std::uint64_t seed, int entries = 2, int agents = 1);

  /// Sends a request through an entry; its answer appears in `answers`.
  exchange_id Submit(int entry, const std::string& key, bool first,
                     const std::string& body = "slot 7");
  void HangUp(int entry, exchange_id exchange);
  void Run(std::chrono::milliseconds duration);

  void KillEntry(int entry);
  void StartEntry(int entry);
  /// Ends an agent's life and starts the next one.
  void RestartAgent(int agent);
  /// The engine beside an agent fails every call in progress.
  void CrashEngine(int agent);
  void CutLeader(bool cut);

  const record_table& Records() const { return state_.machine.Records(); }
  int Runs(const std::string& key) const {
    auto it = runs.find(key);
    return it == runs.end() ? 0 : it->second;
  }

  // Scripts of failures. A message is delivered after the delay; nothing loses it.
  std::function<std::optional<std::chrono::milliseconds>(const message&)> route;
  std::function<int(const message&)> copies;
  std::chrono::milliseconds engine_time{20};
  bool engine_refuses = false;
  std::map<exchange_id, caller_answer> answers;
  std::map<std::string, int> runs;
  std::string violation;
  random_source random;

 private:
  enum class thread_kind : std::uint8_t { kControl, kTraffic };
  struct process {
    int number = 0;
    bool alive = false;
    std::uint64_t life = 0;
    endpoint address;
    std::unique_ptr<thread_state<baseline_policies>> control;
    std::unique_ptr<thread_state<baseline_policies>> traffic;
    std::set<steady_time> wakeups[2];
    std::set<dispatch_id> calls;
  };
  struct place {
    int number = kLeader;
    thread_kind thread = thread_kind::kControl;
    std::uint64_t life = 0;
  };
  struct link_end {
    place owner;
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
  void Later(std::chrono::milliseconds delay, std::function<void()> run);
  void Deliver(const place& to, const event& e);
  void LeaderHandles(link_id link, const message& m);
  void Execute(const place& from, effect& one);
  void Open(const place& from, const endpoint& address);
  void CloseLinks(int number);
  void CloseEnd(std::uint64_t id);
  void StartAgent(int agent);
  void Announce(int agent);
  reduce_context Context() { return {now_, wall_, random, leader_effects_}; }

  steady_time now_{std::chrono::hours(1)};
  wall_time wall_ = kTestEpoch;
  std::uint64_t next_ = 1;
  std::priority_queue<task> tasks_;
  std::vector<std::unique_ptr<process>> processes_;
  int entry_count_;
  int agent_count_;
  std::map<std::uint64_t, link_end> links_;
  bool leader_cut_ = false;
  std::uint64_t leader_life_ = 1;
  state_fixture state_;
  fake_log log_;
  record_server server_;
  config_leases leases_;
  effect_list leader_effects_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_RECORD_WORLD_H_
