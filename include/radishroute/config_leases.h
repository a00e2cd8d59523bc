#ifndef RADISHROUTE_CONFIG_LEASES_H_
#define RADISHROUTE_CONFIG_LEASES_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/config.h"
#include "radishroute/config_message.h"
#include "radishroute/config_patches.h"
#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Whether a version is in force in one availability zone.
struct zone_report {
  std::string zone;
  /// Entries with an unexpired lease, and those of them that have applied the version or a later
  /// one.
  std::uint32_t entries = 0;
  std::uint32_t applied = 0;
  bool in_force = false;
};

struct in_force_report {
  std::uint64_t version = 0;
  /// False while a new leader waits for the leases of its predecessor to expire.
  bool known = false;
  std::vector<zone_report> zones;
};

/// Version of the evacuations that an entry has applied, as of its latest renewal.
struct evacuation_report {
  std::string node;
  std::string zone;
  std::uint64_t version = 0;
};

/// Configuration leases granted by this controller while it is the leader.
class config_leases {
 public:
  /// Runs from the time the renewal was sent. With 3 s, a change is in force within the 8 s target
  /// even if a zone is lost, with time left for an election.
  static constexpr std::chrono::milliseconds kLeaseDuration{3000};
  /// Documents that are in transit to all entries together. Bounds the time that the leader's
  /// heartbeats and replies wait behind documents.
  static constexpr std::size_t kMaxBytesInTransit = std::size_t{1} << 20;
  /// A document that an entry has not applied after this time does not count towards that bound: it
  /// waits for a VM that is suspended or cut off.
  static constexpr std::chrono::milliseconds kStalledAfter{300};
  /// A document that an entry has not applied after this time is sent again.
  static constexpr std::chrono::milliseconds kPushTimeout{2000};
  /// Mean time between two pushes to an entry that serves, of which two may follow each other at
  /// once. Reading a document delays the requests at the entry; a quarter of the shortest bound
  /// that a deployment sets is left for this wait.
  static constexpr std::chrono::milliseconds kPushInterval{500};
  /// An entry that applies a version later than this after its commit is logged: half of the
  /// shortest bound that a deployment sets.
  static constexpr std::chrono::milliseconds kLateAfter{1000};
  /// Commits whose time is kept.
  static constexpr std::size_t kMaxCommitTimes = 256;

  void BecomeLeader(steady_time now);
  void StepDown();

  /// Answers a renewal with the addresses of `replicas`, and pushes the configuration to an entry
  /// that has not applied it.
  void OnRenew(link_id link, const lease_renew& renew, const config_document& config,
               const endpoint& leader_hint, reduce_context& ctx,
               const std::vector<replica>& replicas = {},
               const evacuation_notice& evacuations = {});
  /// Starts to push a newly committed version to the entries with an unexpired lease if this
  /// controller leads. Each entry has at most one document in transit and gets the latest version
  /// next, as a patch to the version that it has applied where that is smaller.
  void OnCommitted(const config_document& config, reduce_context& ctx);
  /// Tells all entries with an unexpired lease at once; later grants repeat it.
  void OnEvacuationsChanged(const evacuation_notice& evacuations, reduce_context& ctx) const;
  void OnClosed(link_id link);
  /// Pushes to entries whose turn has come.
  void OnTimer(const config_document& config, reduce_context& ctx);

  in_force_report Report(std::uint64_t version, steady_time now) const;
  /// Entries with an unexpired lease.
  std::vector<evacuation_report> EvacuationReport(steady_time now) const;

 private:
  struct lease {
    std::string zone;
    link_id link;
    steady_time expires_at;
    std::uint64_t applied = 0;
    std::uint64_t evacuation_version = 0;
    bool accepts_patch = false;
    /// Latest version sent on `link`; zero if none.
    std::uint64_t pushed = 0;
    std::size_t pushed_bytes = 0;
    bool pushed_patch = false;
    steady_time pushed_at;
    /// Time at which a further push keeps to `kPushInterval`.
    steady_time push_due_at;
    /// Times that an entry with a newer version was served before this one, since this one last
    /// applied a version.
    std::uint32_t passed_over = 0;

    /// Whether a document was sent that the entry may still apply.
    bool AwaitsPush(steady_time now) const {
      return pushed > applied && now - pushed_at < kPushTimeout;
    }
    /// Earliest time of the next push. An entry without any version must not wait.
    steady_time MayPushAt() const {
      return applied == 0 ? steady_time::min() : push_due_at - kPushInterval;
    }
    /// Whether the entry has been silent since the latest document was sent.
    bool LeftPushUnanswered() const {
      return pushed > applied && expires_at - kLeaseDuration <= pushed_at;
    }
  };

  /// Pushes of one version to the entries, until all of them have applied it.
  struct distribution {
    std::uint64_t version = 0;
    /// Time of the commit, or at a new leader the time at which an entry was found outdated.
    steady_time started_at;
    std::uint64_t pushes = 0;
    /// Those of the pushes that sent a patch.
    std::uint64_t patches = 0;
    std::uint64_t bytes = 0;
  };

  struct commit_time {
    std::uint64_t version = 0;
    steady_time at;
  };

  /// Logs an entry whose renewal shows that it applied a version late.
  void LogIfLate(const std::string& node, const lease& held, std::uint64_t applied,
                 reduce_context& ctx) const;
  void Push(lease& to, const config_document& config, const config_patch* patch,
            reduce_context& ctx);
  void PushToOutdated(const config_document& config, reduce_context& ctx);
  void LogIfDistributed(reduce_context& ctx);

  std::optional<steady_time> leader_since_;
  /// Keyed by the entry's node name.
  std::map<std::string, lease> leases_;
  config_patches patches_;
  /// Oldest first.
  std::deque<commit_time> commits_;
  /// Absent while every entry with a lease has the latest version.
  std::optional<distribution> distribution_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_LEASES_H_
