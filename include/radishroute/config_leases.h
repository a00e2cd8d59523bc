#ifndef RADISHROUTE_CONFIG_LEASES_H_
#define RADISHROUTE_CONFIG_LEASES_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/config.h"
#include "radishroute/config_message.h"
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

/// Configuration leases granted by this controller while it is the leader.
class config_leases {
 public:
  /// Runs from the time the renewal was sent. With 3 s, a change is in force within the 8 s target
  /// even if a zone is lost, with time left for an election.
  static constexpr std::chrono::milliseconds kLeaseDuration{3000};

  void BecomeLeader(steady_time now);
  void StepDown();

  /// Answers a renewal with the addresses of `replicas`, and pushes the configuration to an entry
  /// that has not applied it.
  void OnRenew(link_id link, const lease_renew& renew, const config_document& config,
               const endpoint& leader_hint, reduce_context& ctx,
               const std::vector<replica>& replicas = {});
  /// Pushes a newly committed version to every entry with an unexpired lease.
  void OnCommitted(const config_document& config, reduce_context& ctx);
  void OnClosed(link_id link);

  in_force_report Report(std::uint64_t version, steady_time now) const;

 private:
  struct lease {
    std::string zone;
    link_id link;
    steady_time expires_at;
    std::uint64_t applied = 0;
  };

  /// Pushes of one version to the entries, until all of them have applied it.
  struct distribution {
    std::uint64_t version = 0;
    steady_time committed_at;
    std::uint64_t pushes = 0;
    std::uint64_t bytes = 0;
  };

  void Push(link_id link, const config_document& config, reduce_context& ctx);
  void LogIfDistributed(reduce_context& ctx);

  std::optional<steady_time> leader_since_;
  /// Keyed by the entry's node name.
  std::map<std::string, lease> leases_;
  /// The latest version that was committed while this controller led.
  std::optional<distribution> distribution_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_LEASES_H_
