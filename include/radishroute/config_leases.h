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
  /// Entries with an unexpired lease, and those of them that applied the version or a later one.
  std::uint32_t entries = 0;
  std::uint32_t applied = 0;
  bool in_force = false;
};

struct in_force_report {
  std::uint64_t version = 0;
  /// False while a new leader waits for the leases of its predecessor to end.
  bool known = false;
  std::vector<zone_report> zones;
};

/// Configuration leases that this process has granted as the leader.
class config_leases {
 public:
  /// Counted from the time the renewal was sent; 3 s lets a lost zone be in force within the 8 s
  /// target with time left for an election.
  static constexpr std::chrono::milliseconds kLease{3000};

  void BecomeLeader(steady_time now);
  void StepDown();

  /// Answers a renewal, names the replicas, and pushes the document to an entry that lacks it.
  void OnRenew(link_id link, const lease_renew& renew, const config_document& config,
               const endpoint& leader_hint, reduce_context& ctx,
               const std::vector<replica>& replicas = {});
  /// Pushes a version just committed to every entry.
  void OnCommitted(const config_document& config, reduce_context& ctx);
  void OnClosed(link_id link);

  in_force_report Report(std::uint64_t version, steady_time now) const;

 private:
  struct lease {
    std::string zone;
    link_id link;
    steady_time until;
    std::uint64_t applied = 0;
  };

  static void Push(link_id link, const config_document& config, reduce_context& ctx);

  std::optional<steady_time> leader_since_;
  /// By the entry's node name.
  std::map<std::string, lease> leases_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_LEASES_H_
