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

#include "radishroute/event.h"
#include "radishroute/raft.h"

namespace radishroute {

/// What all fake state machines of a cluster have applied, by index; reports the first difference.
struct applied_record {
  std::map<std::uint64_t, std::string> entries;
  std::string failure;
};

/// Fake state machine: a list of the change ids applied.
class fake_machine {
 public:
  explicit fake_machine(applied_record* record = nullptr) : record_(record) {}

  void Apply(const log_entry& entry, reduce_context& ctx);
  std::string Snapshot() const { return state_; }
  std::error_code Restore(std::string_view state) {
    state_ = state;
    return {};
  }
  const std::string& State() const { return state_; }

 private:
  applied_record* record_ = nullptr;
  std::string state_;
};

static_assert(replicated_state_machine<fake_machine>);

/// Several replicas, their disks and their network, driven through one seeded queue.
class raft_cluster {
 public:
  struct faults {
    int drop_percent = 0;
    int repeat_percent = 0;
    std::chrono::milliseconds max_delay{4};
  };

  raft_cluster(std::uint64_t seed, std::size_t size, raft_limits limits = {});

  void Run(std::chrono::milliseconds time);
  /// Runs until `holds`, at most for `limit`; false if it never held.
  template <class Condition>
  bool RunUntil(Condition holds, std::chrono::milliseconds limit) {
    steady_time end = now_ + limit;
    while (!holds() && now_ < end && failure.empty() && Step()) {
    }
    return holds();
  }

  void Start(std::size_t node);
  /// Stops a replica at once; a batch that is being stored is lost from a random point on.
  void Crash(std::size_t node);
  /// Gives a crashed replica an empty disk and a new voter id.
  void LoseDisk(std::size_t node);
  /// A paused replica handles nothing; what arrives waits.
  void SetPaused(std::size_t node, bool paused);
  /// Drops everything from one replica to another.
  void Cut(std::size_t from, std::size_t to) { cut_.insert({from, to}); }
  void Heal() { cut_.clear(); }
  void FailNextSync(std::size_t node, std::error_code error) { nodes_[node].sync_error = error; }

  std::optional<std::size_t> Leader() const;
  bool Alive(std::size_t node) const { return nodes_[node].log.has_value(); }
  const raft_core& Core(std::size_t node) const { return nodes_[node].log->Core(); }
  const fake_machine& Machine(std::size_t node) const { return nodes_[node].log->Machine(); }
  replica Replica(std::size_t node) const { return nodes_[node].self; }
  std::size_t Size() const { return nodes_.size(); }
  steady_time Now() const { return now_; }
  random_source& Random() { return random_; }

  void Deliver(std::size_t node, event e);
  proposal_id Propose(std::size_t node);
  /// Candidate that a replica's present voter id has sent its vote to in a term; zero for none.
  voter_id VoteOf(std::size_t node, std::uint64_t term) const {
    auto it = votes_.find({Replica(node).id, term});
    return it == votes_.end() ? voter_id{} : it->second;
  }
  std::optional<proposal_finished> Result(proposal_id id) const;
  /// Proposes through whichever replica leads until one proposal is committed.
  bool CommitOne(std::chrono::milliseconds limit);

  faults network;
  /// First broken invariant; empty if none.
  std::string failure;
  std::size_t stores = 0;
  std::size_t snapshots_installed = 0;

 private:
  struct member {
    replica self;
    std::optional<replicated_log<fake_machine>> log;
    recovered_log disk;
    std::shared_ptr<const store_batch> storing;
    std::uint64_t life = 0;
    bool paused = false;
    std::vector<event> held;
    std::error_code sync_error;
    std::optional<steady_time> wake_at;
  };
  struct queued {
    std::size_t node = 0;
    std::uint64_t life = 0;
    event what;
  };

  bool Step();
  std::chrono::microseconds Delay();
  bool Chance(int percent);
  void Post(std::size_t node, event e, std::chrono::microseconds after);
  void Execute(std::size_t node, effect& e);
  void SendTo(std::size_t node, const send_message& e);
  void OpenLink(std::size_t node, const endpoint& address);
  void CloseLink(link_id link);
  void Store(member& n, const store_batch& batch, std::size_t steps);
  void Observe(std::size_t node, const log_event& e);
  void ObserveVote(std::size_t node, const message& m);

  random_source random_;
  raft_limits limits_;
  steady_time now_{std::chrono::hours(1)};
  std::vector<member> nodes_;
  std::multimap<steady_time, queued> queue_;
  std::set<std::pair<std::size_t, std::size_t>> cut_;
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
