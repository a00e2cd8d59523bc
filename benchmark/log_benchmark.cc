// Measures a log group whose replicas run in this process, each with its own control thread,
// storage thread, links over loopback and data folder.
//   log_benchmark REPLICAS IN_FLIGHT COMMANDS FOLDER [COMMAND_BYTES]
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <condition_variable>
#include <filesystem>
#include <iostream>
#include <map>
#include <mutex>

#include "io/log_node.h"
#include "radishroute/policies.h"

namespace radishroute {

namespace {

using std::chrono::milliseconds;

class log_benchmark {
 public:
  log_benchmark(std::string folder, std::size_t replicas, std::size_t in_flight,
                std::size_t commands, std::size_t bytes)
      : folder_(std::move(folder)),
        replicas_(replicas),
        in_flight_(in_flight),
        commands_(commands),
        payload_(bytes, 'x') {}

  int Run() {
    for (std::size_t i = 0; i < replicas_; ++i) AddNode(i, i == 0);
    Leader().Start();
    for (std::size_t i = 1; i < replicas_; ++i) Join(i);
    // One more second for the last promotion to reach every replica.
    std::this_thread::sleep_for(std::chrono::seconds(1));
    Measure();
    Report();
    nodes_.clear();
    MeasureRestart();
    return 0;
  }

 private:
  using node_type = log_node<baseline_policies>;

  node_thread<baseline_policies>& Leader() { return nodes_[0]->Thread(); }

  replica Self(std::size_t i) const {
    // Ports from 31000 on lie below the range of ephemeral ports.
    return {{}, "a", {"127.0.0.1", static_cast<std::uint16_t>(31000 + i)}, true, {}};
  }

  void AddNode(std::size_t i, bool bootstrap) {
    hello self;
    self.process = {i + 1, 1};
    self.role = process_role::kController;
    auto node = std::make_unique<node_type>(
        self, node_type::handlers{[this](const proposal_finished& e) { OnFinished(e); }, nullptr});
    std::error_code error =
        node->Open(folder_ + "/replica-" + std::to_string(i), Self(i), Self(i).address, bootstrap);
    if (error) {
      std::cerr << error.message() << "\n";
      _exit(1);
    }
    nodes_.push_back(std::move(node));
  }

  void Join(std::size_t i) {
    nodes_[i]->Thread().Start();
    replica target = Self(i);
    target.id = nodes_[i]->Core().Self();
    // The leader may not be elected yet, or the change before may not be complete.
    for (int attempt = 0; attempt < 100; ++attempt) {
      std::unique_lock lock(mutex_);
      joined_.reset();
      Leader().Post(change_voters{{1}, voter_operation::kAdd, target, {}});
      changed_.wait(lock, [this] { return joined_.has_value(); });
      if (joined_ == proposal_status::kCommitted) break;
      lock.unlock();
      std::this_thread::sleep_for(milliseconds(100));
    }
    std::this_thread::sleep_for(milliseconds(500));
  }

  void Measure() {
    started_ = std::chrono::steady_clock::now();
    Leader().Loop().Post([this] {
      for (std::size_t i = 0; i < in_flight_; ++i) ProposeNext();
    });
    std::unique_lock lock(mutex_);
    changed_.wait(lock, [this] { return done_; });
    elapsed_ = std::chrono::steady_clock::now() - started_;
  }

  void ProposeNext() {
    if (proposed_ == commands_) return;
    proposal_id id{kFirstProposal + proposed_++};
    sent_[id] = std::chrono::steady_clock::now();
    Leader().Apply(propose_command{id, config_change{0, "change", "operator", payload_}});
  }

  void OnFinished(const proposal_finished& e) {
    if (e.id.value < kFirstProposal) {
      std::lock_guard lock(mutex_);
      joined_ = e.status;
      changed_.notify_all();
      return;
    }
    if (e.status != proposal_status::kCommitted) ++failed_;
    auto latency = std::chrono::steady_clock::now() - sent_.at(e.id);
    latencies_.push_back(std::chrono::duration_cast<std::chrono::microseconds>(latency));
    if (latencies_.size() == commands_) {
      std::lock_guard lock(mutex_);
      done_ = true;
      changed_.notify_all();
    } else {
      ProposeNext();
    }
  }

  void Report() {
    std::sort(latencies_.begin(), latencies_.end());
    double seconds = std::chrono::duration<double>(elapsed_).count();
    auto at = [&](double part) {
      return latencies_[static_cast<std::size_t>(part * (latencies_.size() - 1.0))].count();
    };
    std::cout << "replicas " << replicas_ << ", in flight " << in_flight_ << ", command bytes "
              << payload_.size() << ", commits " << latencies_.size() << ", failed " << failed_
              << ", commits/s " << static_cast<long>(latencies_.size() / seconds) << ", p50 us "
              << at(0.5) << ", p99 us " << at(0.99) << "\n";
  }

  void MeasureRestart() {
    std::size_t bytes = 0;
    std::string path = folder_ + "/replica-0";
    for (const auto& file : std::filesystem::directory_iterator(path)) bytes += file.file_size();
    auto before = std::chrono::steady_clock::now();
    log_storage storage(path);
    recovered_log recovered;
    raft_core core(0, {});
    std::error_code error = storage.Open(recovered);
    std::size_t entries = recovered.entries.size();
    if (!error) error = core.Load(std::move(recovered));
    auto took = std::chrono::steady_clock::now() - before;
    std::cout << "restart ms " << std::chrono::duration<double, std::milli>(took).count()
              << ", entries read " << entries << ", disk bytes " << bytes << ", result "
              << error.message() << "\n";
  }

  static constexpr std::uint64_t kFirstProposal = 1000;

  std::string folder_;
  std::size_t replicas_;
  std::size_t in_flight_;
  std::size_t commands_;
  std::string payload_;
  std::vector<std::unique_ptr<node_type>> nodes_;

  std::mutex mutex_;
  std::condition_variable changed_;
  std::optional<proposal_status> joined_;
  bool done_ = false;

  // Used on the leader's control thread only while the measurement runs.
  std::size_t proposed_ = 0;
  std::size_t failed_ = 0;
  std::map<proposal_id, steady_time> sent_;
  std::vector<std::chrono::microseconds> latencies_;
  steady_time started_;
  std::chrono::nanoseconds elapsed_{};
};

}  // namespace

}  // namespace radishroute

int main(int argc, char** argv) {
  if (argc < 5) {
    std::cerr << "usage: log_benchmark REPLICAS IN_FLIGHT COMMANDS FOLDER [COMMAND_BYTES]\n";
    return 2;
  }
  radishroute::ConfigureLogging("", radishroute::log_level::kWarning);
  radishroute::QuietLibwebsockets();
  auto number = [&](int i) { return std::strtoull(argv[i], nullptr, 10); };
  radishroute::log_benchmark run(argv[4], number(1), number(2), number(3),
                                 argc > 5 ? number(5) : 100);
  return run.Run();
}
