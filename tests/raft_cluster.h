#ifndef RADISHROUTE_TESTS_RAFT_CLUSTER_H_
#define RADISHROUTE_TESTS_RAFT_CLUSTER_H_

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "radishroute/error.h"
#include "radishroute/event.h"
#include "radishroute/raft.h"

namespace radishroute {

/// The entries applied by any fake state machine of a cluster, by index. `failure` is set if two
/// state machines apply different entries at one index.
struct applied_record {
  std::map<std::uint64_t, std::string> entries;
  std::string failure;
};

/// Fake state machine whose state is the list of applied change ids.
class fake_state_machine {
 public:
  static constexpr const char* kUnreadableState = "unreadable";

  explicit fake_state_machine(applied_record* record = nullptr) : record_(record) {}

  void Apply(const log_entry& entry, reduce_context& ctx);
  std::string Snapshot() const { return state_; }
  std::error_code Restore(std::string_view state) {
    if (state == kUnreadableState) return errc::kSnapshotCorrupt;
    state_ = state;
    return {};
  }
  const std::string& State() const { return state_; }

 private:
  applied_record* record_ = nullptr;
  std::string state_;
};

static_assert(replicated_state_machine<fake_state_machine>);

/// Simulates several replicas with their disks and network. One event queue and one seed make each
/// run reproducible.
class raft_cluster {
 public:
  struct faults {
    int drop_percent = 0;
    int duplicate_percent = 0;
    std::chrono::milliseconds max_delay{4};
  };

  raft_cluster(std::uint64_t seed, std::size_t size, raft_limits limits = {});

  void Run(std::chrono::milliseconds time);
  /// Runs until `holds` returns true, at most for `limit`; returns whether it did.
  template <class Condition>
  bool RunUntil(Condition holds, std::chrono::milliseconds limit) {
    steady_time end = now_ + limit;
    while (!holds() && now_ < end && failure.empty() && Step()) {
    }
    return holds();
  }

  void Start(std::size_t node);
  /// Stops a replica at once. A batch being stored is written only up to a random step.
  void Crash(std::size_t node);
  /// Gives a crashed replica an empty disk and a new voter id.
  void LoseDisk(std::size_t node);
  /// A paused replica handles no events; they are delivered when it resumes.
  void SetPaused(std::size_t node, bool paused);
  /// Drops all messages from one replica to another.
  void Block(std::size_t from, std::size_t to) { blocked_.insert({from, to}); }
  void UnblockAll() { blocked_.clear(); }
  /// All writes of a replica fail with `error` until it is reset. What a failed write was to store
  /// is on the disk up to a random step.
  void SetDiskError(std::size_t node, std::error_code error) { nodes_[node].disk_error = error; }

  std::optional<std::size_t> Leader() const;
  bool IsRunning(std::size_t node) const { return nodes_[node].log.has_value(); }
  const raft_core& Core(std::size_t node) const { return nodes_[node].log->Core(); }
  const fake_state_machine& Machine(std::size_t node) const { return nodes_[node].log->Machine(); }
  replica Replica(std::size_t node) const { return nodes_[node].self; }
  std::size_t Size() const { return nodes_.size(); }
  steady_time Now() const { return now_; }
  random_source& Random() { return random_; }

  void Deliver(std::size_t node, event e);
  proposal_id Propose(std::size_t node);
  /// Candidate to which a replica, under its current voter id, sent its vote in a term; zero for
  /// none.
  voter_id SentVote(std::size_t node, std::uint64_t term) const {
    auto it = votes_.find({Replica(node).id, term});
    return it == votes_.end() ? voter_id{} : it->second;
  }
  std::optional<proposal_finished> Result(proposal_id id) const;
  /// Proposes through the current leader until one proposal is committed.
  bool CommitOne(std::chrono::milliseconds limit);

  faults network;
  /// A violated invariant; empty if none.
  std::string failure;
  std::size_t store_count = 0;
  std::size_t snapshots_installed = 0;
  std::vector<log_event> leader_missing;

 private:
  struct node_state {
    replica self;
    std::optional<replicated_log<fake_state_machine>> log;
    recovered_log disk;
    std::shared_ptr<const store_batch> storing;
    std::uint64_t incarnation = 0;
    bool paused = false;
    std::vector<event> held_events;
    std::error_code disk_error;
    std::optional<steady_time> wake_at;
  };
  struct queued_event {
    std::size_t node = 0;
    std::uint64_t incarnation = 0;
    event body;
  };

  bool Step();
  std::chrono::microseconds RandomDelay();
  bool WithProbability(int percent);
  void Schedule(std::size_t node, event e, std::chrono::microseconds after);
  void Execute(std::size_t node, effect& e);
  void SendTo(std::size_t node, const send_message& e);
  void OpenLink(std::size_t node, const endpoint& address);
  void CloseLink(link_id link);
  void Store(node_state& state, const store_batch& batch, std::size_t steps);
  void StorePart(node_state& state, const store_batch& batch);
  void CheckLogEvent(std::size_t node, const log_event& e);
  void CheckVoteReply(std::size_t node, const message& m);

  random_source random_;
  raft_limits limits_;
  steady_time now_{std::chrono::hours(1)};
  std::vector<node_state> nodes_;
  std::multimap<steady_time, queued_event> queue_;
  std::set<std::pair<std::size_t, std::size_t>> blocked_;
  std::map<std::uint64_t, std::pair<std::size_t, std::size_t>> links_;
  std::uint64_t next_link_ = 1;
  std::uint64_t next_voter_ = 1;
  std::uint64_t next_proposal_ = 1;
  std::map<std::uint64_t, std::string> leaders_;
  std::map<std::pair<voter_id, std::uint64_t>, voter_id> votes_;
  std::map<proposal_id, proposal_finished> results_;
  applied_record applied_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_RAFT_CLUSTER_H_
