#ifndef RADISHROUTE_DISCOVERY_H_
#define RADISHROUTE_DISCOVERY_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/peer_links.h"
#include "radishroute/quarantine.h"
#include "radishroute/reduce_context.h"
#include "radishroute/sheet.h"

namespace radishroute {

struct directory_limits {
  /// Period of the digest exchange with one random peer.
  std::chrono::milliseconds digest_interval{1000};
  /// Time for an agent whose link was lost to announce itself again before it is declared down.
  std::chrono::milliseconds reconnect_grace{1000};
  /// Records expire if their home entry's heartbeat does not advance for this time, or for
  /// `home_timeout_per_peer` times the number of peers if that is longer.
  std::chrono::milliseconds home_timeout{30000};
  std::chrono::milliseconds home_timeout_per_peer{250};
  std::chrono::minutes tombstone_retention{10};
  std::size_t max_records = 16384;
  /// Backend servers register at controllers. The controller that receives a change pushes it to
  /// all other controllers and to every entry, and there is no gossip.
  bool use_registration = false;
  /// Controllers declare a backend server down if its registration is not repeated for this time.
  std::chrono::milliseconds registration_timeout{5000};
  /// Period at which controllers tell each other which registrations were repeated.
  std::chrono::milliseconds registration_exchange{1000};
  /// A registration is rejected if its backend server started later than this from now, by the
  /// time of day.
  std::chrono::minutes max_clock_difference{10};
  /// Registrations that a backend server can have sent: this many, and one for each interval since
  /// its start.
  std::uint64_t registration_allowance = 10000;
  std::chrono::milliseconds min_registration_interval{100};
};

/// Directory of backend servers on an entry's control thread. Entries gossip changes and reconcile
/// their directories by periodic anti-entropy. Also gossips crash reports.
class directory {
 public:
  static constexpr std::size_t kBuckets = 64;

  /// `initial` is in force until SetSheet; a sheet without kinds means no configuration.
  directory(process_id self, std::string zone, work_sheet initial, std::vector<endpoint> peers = {},
            directory_limits limits = {}, process_role role = process_role::kEntry);

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);
  void Handle(const crash_report_shared& shared, reduce_context& ctx);
  void Handle(const backend_registered& registered, reduce_context& ctx);
  void Handle(const backend_withdrawn& withdrawn, reduce_context& ctx);

  void Handle(link_id link, const announcement& record, reduce_context& ctx);
  void Handle(link_id link, const directory_delta& delta, reduce_context& ctx);
  void Handle(link_id link, const directory_digest& digest, reduce_context& ctx);
  void Handle(link_id link, const directory_pull& pull, reduce_context& ctx);
  void Handle(link_id link, const entry_heartbeats& beats, reduce_context& ctx);
  void Handle(link_id link, const crash_report& report, reduce_context& ctx);

  /// Sets the sheet in force under a configuration version.
  void SetSheet(std::uint64_t version, work_sheet sheet, reduce_context& ctx);

  /// Adds a controller and keeps a link to it open.
  void AddController(const endpoint& address, reduce_context& ctx);

  /// Publishes the expiry of the configuration lease to the traffic threads.
  void SetLease(steady_time expires_at, reduce_context& ctx);

  std::size_t Size() const { return records_.size(); }
  /// Status used for routing; kDown if there is no record or its home entry is lost.
  backend_status Status(const std::string& backend) const;

 private:
  struct lost_agent {
    steady_time declare_down_at;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  struct heartbeat_state {
    std::uint64_t value = 0;
    steady_time last_advanced;
  };

  // Registration at controllers; implemented in discovery_registration.cc.
  struct registration {
    std::uint64_t sequence = 0;
    steady_time last_received;
    bool received_directly = false;
  };
  struct push_link {
    bool to_controller = false;
  };

  bool UsesRegistration() const { return limits_.use_registration; }
  bool IsPlausible(const announcement& record, wall_time wall) const;
  bool KeepsIdentity(const announcement& record) const;
  void OnPushLinkOpened(const link_opened& opened, reduce_context& ctx);
  bool AcceptRegistration(const announcement& record, bool received_directly, reduce_context& ctx);
  bool ResolveAddressConflict(const announcement& record, directory_delta& changes,
                              reduce_context& ctx);
  void OnPushedDelta(link_id link, const directory_delta& delta, reduce_context& ctx);
  void SendToAll(const directory_delta& delta, bool controllers_only, reduce_context& ctx);
  void SendToEntries(const directory_delta& delta, reduce_context& ctx) const;
  void ExchangeRegistrations(reduce_context& ctx);
  void ExpireRegistrations(reduce_context& ctx);

  bool Accept(const announcement& record, reduce_context& ctx);
  void Store(const announcement& record, reduce_context& ctx);
  bool HasAnnouncingLink(const std::string& backend) const;
  bool Routable(const announcement& record) const;
  void GossipRecords(directory_delta delta, reduce_context& ctx);
  void GossipCrashes(const crash_report& report, reduce_context& ctx);
  void DeclareLostAgentsDown(reduce_context& ctx);
  void ExpireTombstones(reduce_context& ctx);
  void UpdateLostHomeEntries(reduce_context& ctx);
  void SendDigest(reduce_context& ctx);
  directory_digest Digest(bool reply) const;
  entry_heartbeats NewestHeartbeats() const;
  void PublishRoutingTable(reduce_context& ctx);
  void ScheduleNext(reduce_context& ctx) const;

  process_id self_;
  std::string zone_;
  directory_limits limits_;
  peer_links peers_;
  std::unordered_map<link_id, push_link> push_links_;
  std::map<std::string, registration> registrations_;
  steady_time next_registration_exchange_;
  bool is_controller_ = false;
  std::map<std::string, announcement> records_;
  std::array<std::uint64_t, kBuckets> bucket_hashes_{};
  std::uint64_t up_count_ = 0;
  std::unordered_map<link_id, std::string> backend_by_link_;
  std::map<std::string, lost_agent> lost_agents_;
  std::map<std::string, steady_time> tombstones_;
  std::unordered_map<std::uint64_t, heartbeat_state> heartbeats_;
  std::set<std::uint64_t> lost_home_entries_;
  steady_time next_digest_;
  bool pull_pending_ = false;
  quarantine quarantine_;
  std::uint64_t config_version_ = 0;
  work_sheet sheet_;
  steady_time lease_expires_at_ = steady_time::max();
  std::shared_ptr<const routing_table> published_table_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_DISCOVERY_H_
