#ifndef RADISHROUTE_IO_LOG_NODE_H_
#define RADISHROUTE_IO_LOG_NODE_H_

#include <algorithm>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "io/node_thread.h"
#include "io/plan_thread.h"
#include "io/storage.h"

namespace radishroute {

/// How a replica with an empty data folder comes to its group.
struct group_formation {
  /// The whole system starts for the first time: the founders form a group, which each of them
  /// knows from this list alone.
  bool first_start = false;
  std::vector<endpoint> founders;
};

/// Identity of a founder, the same on every process.
inline voter_id FounderId(const endpoint& address) {
  return {StableHash(ToString(address), StableHash("founder")) | 1};
}

/// A replica of the log: the control thread with its links, and the storage thread.
template <policy_set P, class Adapter = no_adapter>
class log_node {
 public:
  struct handlers {
    /// Both are called on the control thread.
    std::function<void(const proposal_finished&)> on_proposal;
    std::function<void(bool all_finished)> on_stop;
    std::function<void(const publish_document&)> on_document = {};
  };

  log_node(hello self, handlers on)
      : on_(std::move(on)),
        thread_(std::make_unique<node_thread<P, Adapter>>(std::move(self), Hooks())) {}

  ~log_node() {
    thread_->Join();
    // Its completions would be posted to the loop, which must still exist.
    storage_.reset();
    plans_.reset();
  }

  /// Opens the data folder; with `bootstrap`, an empty one becomes a group of one voter.
  std::error_code Open(const std::string& folder, const replica& self, const endpoint& listen,
                       bool bootstrap, raft_limits limits = {}, const group_formation& group = {}) {
    bool founder = group.first_start && std::find(group.founders.begin(), group.founders.end(),
                                                  self.address) != group.founders.end();
    std::optional<voter_id> identity;
    if (founder) identity = FounderId(self.address);
    auto storage = std::make_unique<log_storage>(folder, log_storage::kSegmentBytes, identity);
    recovered_log recovered;
    if (auto error = storage->Open(recovered)) return error;
    LogOpened(*storage, recovered);
    bool no_log = recovered.entries.empty() && !recovered.snapshot;
    if (bootstrap && !(no_log && recovered.term == 0)) return errc::kFolderInUse;
    if (bootstrap) {
      replica first = self;
      first.id = recovered.self;
      if (auto error = Bootstrap(*storage, {first}, recovered)) return error;
    }
    // A first batch of which a full disk took only a part leaves its term without its entry.
    if (founder && no_log && recovered.term <= 1 && recovered.voted_for == voter_id{}) {
      std::vector<replica> founders;
      for (const endpoint& address : group.founders) {
        founders.push_back({FounderId(address), {}, address, true, {}});
      }
      if (auto error = Bootstrap(*storage, founders, recovered)) return error;
    }
    auto& log = thread_->State().control.log;
    log.emplace(0, limits);
    if (auto error = log->Load(std::move(recovered))) return error;
    storage_ = std::make_unique<storage_thread>(
        std::move(storage), [this](log_stored done) { thread_->PostCompletion(done); });
    plans_ = std::make_unique<plan_thread>(
        [this](placement_planned done) { thread_->PostCompletion(std::move(done)); });
    return thread_->Links().Listen(listen);
  }

  node_thread<P, Adapter>& Thread() { return *thread_; }
  const raft_core& Core() { return thread_->State().control.log->Core(); }

 private:
  node_hooks Hooks() {
    node_hooks hooks;
    hooks.on_stop = [this](bool finished) {
      if (on_.on_stop) on_.on_stop(finished);
    };
    hooks.on_proposal = [this](const proposal_finished& e) {
      if (on_.on_proposal) on_.on_proposal(e);
    };
    hooks.on_document = [this](const publish_document& d) {
      if (on_.on_document) on_.on_document(d);
    };
    hooks.on_store = [this](std::shared_ptr<const store_batch> batch) {
      log_stored refused{batch->log_group, batch->sequence, errc::kSyncFailed};
      if (!storage_->Post(std::move(batch))) thread_->Apply(refused);
    };
    hooks.on_plan = [this](std::shared_ptr<const plan_request> request) {
      // A group has one plan under way, so a full queue means more groups than the table holds.
      if (!plans_->Post(std::move(request))) CountMetric(counter::kEventQueueFull);
    };
    return hooks;
  }

  static std::error_code Bootstrap(log_storage& storage, const std::vector<replica>& replicas,
                                   recovered_log& recovered) {
    store_batch first;
    first.write_vote = true;
    first.term = 1;
    first.entries = {{1, 1, replica_change{replicas}}};
    if (auto error = storage.Write(first)) return error;
    recovered.term = 1;
    recovered.entries = first.entries;
    return {};
  }

  static void LogOpened(const log_storage& storage, const recovered_log& recovered) {
    std::string voter = std::to_string(recovered.self.value);
    if (storage.Created()) {
      WriteLog({event_code::kVoterCreated, log_level::kInfo, {{"voter", voter}}});
    }
    if (storage.TruncatedBytes() > 0) {
      WriteLog({event_code::kLogTailTruncated,
                log_level::kWarning,
                {{"voter", voter}, {"bytes", std::to_string(storage.TruncatedBytes())}}});
    }
  }

  handlers on_;
  std::unique_ptr<node_thread<P, Adapter>> thread_;
  std::unique_ptr<storage_thread> storage_;
  std::unique_ptr<plan_thread> plans_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_LOG_NODE_H_
