// Measures how many steps a change of expert map stalls a group: step horizons against prepare and
// commit by all ranks, without faults, with one rank's agent silent, and with the leader lost.

#include <chrono>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <functional>
#include <map>
#include <vector>

#include "radishroute/expert_map.h"

namespace radishroute {
namespace {

using std::chrono::milliseconds;

constexpr std::uint32_t kRanks = 64;
constexpr milliseconds kStepTime{20};
constexpr milliseconds kOneWay{2};
constexpr milliseconds kCommit{5};
constexpr milliseconds kReportInterval{200};
constexpr milliseconds kLoadTime{2000};
constexpr milliseconds kOutage{2000};
constexpr milliseconds kChangeAt{5000};
constexpr milliseconds kEnd{30000};

enum class fault { kNone, kSilentRank, kLeaderLost };

/// Tasks at points of a manual time.
class timeline {
 public:
  void At(milliseconds at, std::function<void()> task) { tasks_.emplace(at, std::move(task)); }
  milliseconds Now() const { return now_; }

  void RunUntil(milliseconds end) {
    while (!tasks_.empty() && tasks_.begin()->first <= end) {
      auto next = tasks_.extract(tasks_.begin());
      now_ = next.key();
      next.mapped()();
    }
  }

 private:
  std::multimap<milliseconds, std::function<void()>> tasks_;
  milliseconds now_{0};
};

/// A window in which a part can neither send nor receive.
struct outage {
  milliseconds from = kEnd;
  bool Covers(milliseconds t) const { return t >= from && t < from + kOutage; }
};

struct run_result {
  std::uint64_t stalled_steps = 0;
  milliseconds change_time{0};
};

/// Step horizons with the project's own coordinator, record and ranks.
class horizon_run {
 public:
  horizon_run(fault f, milliseconds fault_at, horizon_settings horizon) : coordinator_(horizon) {
    (f == fault::kSilentRank ? rank_outage_ : leader_outage_).from =
        f == fault::kNone ? kEnd : fault_at;
    record_.Apply(create_group{kRanks, horizon.steps});
    for (rank_grants& rank : ranks_) rank.OnMapLoaded(1);
    step_grant first{record_.Ranges(), 0, 0};
    for (rank_grants& rank : ranks_) rank.Handle(first);
  }

  run_result Run() {
    for (std::uint32_t r = 0; r < kRanks; ++r) Report(r);
    timeline_.At(kStepTime, [this] { TryStep(); });
    timeline_.At(kChangeAt, [this] { Propose(coordinator_.ProposeMap(record_, 2)); });
    timeline_.RunUntil(kEnd);
    std::uint64_t possible = static_cast<std::uint64_t>(kEnd / kStepTime);
    return {possible - step_, changed_at_ - kChangeAt};
  }

 private:
  bool Cut(std::uint32_t rank) const {
    return leader_outage_.Covers(timeline_.Now()) ||
           (rank == 0 && rank_outage_.Covers(timeline_.Now()));
  }

  void Report(std::uint32_t r) {
    if (!Cut(r)) {
      rank_report report{r, 1, step_, ranks_[r].LastGrantedStep(), ranks_[r].LoadedMaps()};
      timeline_.At(timeline_.Now() + kOneWay, [this, r, report] { OnReport(r, report); });
    }
    timeline_.At(timeline_.Now() + kReportInterval, [this, r] { Report(r); });
  }

  void OnReport(std::uint32_t r, const rank_report& report) {
    if (Cut(r)) return;
    Propose(coordinator_.Handle(record_, report));
    step_grant grant = coordinator_.GrantFor(record_, report);
    timeline_.At(timeline_.Now() + kOneWay, [this, r, grant] { OnGrant(r, grant); });
  }

  void OnGrant(std::uint32_t r, const step_grant& grant) {
    if (Cut(r)) return;
    ranks_[r].Handle(grant);
    auto load = ranks_[r].MapToLoad();
    if (!load || loading_[r]) return;
    loading_[r] = true;
    timeline_.At(timeline_.Now() + kLoadTime, [this, r, v = *load] {
      ranks_[r].OnMapLoaded(v);
      loading_[r] = false;
    });
  }

  void Propose(std::optional<group_command> command) {
    if (!command) return;
    timeline_.At(timeline_.Now() + kCommit, [this, c = *command] {
      record_.Apply(c);
      coordinator_.OnCommandDone();
    });
  }

  void TryStep() {
    bool all = true;
    for (const rank_grants& rank : ranks_) all = all && rank.MapForStep(step_ + 1).has_value();
    if (all) {
      ++step_;
      if (ranks_[0].MapForStep(step_) == 2 && changed_at_ == milliseconds(0)) {
        changed_at_ = timeline_.Now();
      }
    }
    timeline_.At(timeline_.Now() + (all ? kStepTime : milliseconds(1)), [this] { TryStep(); });
  }

  timeline timeline_;
  outage rank_outage_;
  outage leader_outage_;
  group_record record_;
  map_coordinator coordinator_;
  std::vector<rank_grants> ranks_ = std::vector<rank_grants>(kRanks);
  std::map<std::uint32_t, bool> loading_;
  std::uint64_t step_ = 0;
  milliseconds changed_at_{0};
};

/// Prepare and commit by all ranks: a prepared rank waits at the next step until the decision.
class two_phase_run {
 public:
  two_phase_run(fault f, milliseconds fault_at) {
    (f == fault::kSilentRank ? rank_outage_ : leader_outage_).from =
        f == fault::kNone ? kEnd : fault_at;
  }

  run_result Run() {
    timeline_.At(kStepTime, [this] { TryStep(); });
    timeline_.At(kChangeAt + kLoadTime, [this] { SendPrepare(); });
    timeline_.RunUntil(kEnd);
    std::uint64_t possible = static_cast<std::uint64_t>(kEnd / kStepTime);
    return {possible - step_, changed_at_ - kChangeAt};
  }

 private:
  bool Cut(std::uint32_t rank) const {
    return leader_outage_.Covers(timeline_.Now()) ||
           (rank == 0 && rank_outage_.Covers(timeline_.Now()));
  }

  // Messages that are lost are sent again after 100 ms.
  void Send(std::uint32_t rank, std::function<void()> arrive) {
    if (Cut(rank)) {
      timeline_.At(timeline_.Now() + milliseconds(100),
                   [this, rank, arrive] { Send(rank, arrive); });
      return;
    }
    timeline_.At(timeline_.Now() + kOneWay, arrive);
  }

  void SendPrepare() {
    for (std::uint32_t r = 0; r < kRanks; ++r) {
      Send(r, [this, r] {
        ++paused_;
        Send(r, [this] { OnPrepared(); });
      });
    }
  }

  void OnPrepared() {
    if (++prepared_ < kRanks) return;
    timeline_.At(timeline_.Now() + kCommit, [this] {
      for (std::uint32_t r = 0; r < kRanks; ++r) Send(r, [this] { ++committed_; });
    });
  }

  void TryStep() {
    bool waiting = paused_ > 0 && committed_ < kRanks;
    if (!waiting) {
      ++step_;
      if (committed_ == kRanks && changed_at_ == milliseconds(0)) changed_at_ = timeline_.Now();
    }
    timeline_.At(timeline_.Now() + (waiting ? milliseconds(1) : kStepTime), [this] { TryStep(); });
  }

  timeline timeline_;
  outage rank_outage_;
  outage leader_outage_;
  std::uint32_t paused_ = 0;
  std::uint32_t prepared_ = 0;
  std::uint32_t committed_ = 0;
  std::uint64_t step_ = 0;
  milliseconds changed_at_{0};
};

void KeepWorse(run_result& worst, const run_result& result) {
  if (result.stalled_steps > worst.stalled_steps) worst.stalled_steps = result.stalled_steps;
  if (result.change_time > worst.change_time) worst.change_time = result.change_time;
}

template <class Run>
run_result Worst(Run run) {
  run_result worst;
  // The fault begins at each 50 ms around the change, and at each millisecond around the end of
  // loading, where prepare and commit is vulnerable; the worst case counts.
  for (milliseconds at = kChangeAt; at < kChangeAt + milliseconds(9000); at += milliseconds(50)) {
    KeepWorse(worst, run(at));
  }
  milliseconds loaded = kChangeAt + kLoadTime;
  for (milliseconds at = loaded - milliseconds(5); at < loaded + milliseconds(20); ++at) {
    KeepWorse(worst, run(at));
  }
  return worst;
}

void Compare(const char* name, fault f) {
  run_result horizon =
      Worst([&](milliseconds at) { return horizon_run(f, at, horizon_settings{}).Run(); });
  run_result two_phase = Worst([&](milliseconds at) { return two_phase_run(f, at).Run(); });
  std::printf(
      "%-12s horizon: %4llu steps stalled, new map after %5lld ms   "
      "prepare/commit: %4llu steps stalled, new map after %5lld ms\n",
      name, static_cast<unsigned long long>(horizon.stalled_steps),
      static_cast<long long>(horizon.change_time.count()),
      static_cast<unsigned long long>(two_phase.stalled_steps),
      static_cast<long long>(two_phase.change_time.count()));
}

}  // namespace
}  // namespace radishroute

int main() {
  using radishroute::fault;
  std::printf(
      "64 ranks, step 20 ms, one way 2 ms, commit 5 ms, load 2 s, outage 2 s; worst start\n");
  radishroute::Compare("no fault", fault::kNone);
  radishroute::Compare("silent rank", fault::kSilentRank);
  radishroute::Compare("leader lost", fault::kLeaderLost);
  return 0;
}
