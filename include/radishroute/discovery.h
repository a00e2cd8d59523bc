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
  /// How long an agent that lost its link may take to announce itself again.
  std::chrono::milliseconds reconnect_grace{1000};
  /// Records expire if their entry gives no sign of life for this time, or longer with many peers.
  std::chrono::milliseconds home_timeout{30000};
  std::chrono::milliseconds home_timeout_per_peer{250};
  std::chrono::minutes tombstone_retention{10};
  std::size_t max_records = 16384;
  /// Backend servers register themselves at controllers. Changes then go from the controller that
  /// heard them to all others and to every entry, and not by gossip.
  bool registered = false;
  /// Controllers: a backend server that has not repeated its registration for this time is down.
  std::chrono::milliseconds registration_timeout{5000};
  /// Period in which controllers tell each other which registrations were repeated.
  std::chrono::milliseconds registration_exchange{1000};
};

/// Directory of backend servers on an entry's control thread, kept the same on all entries by
/// gossip of changes and a periodic comparison. Also spreads crash reports.
class directory {
 public:
  static constexpr std::size_t kBuckets = 64;

  /// `initial` is in force until SetWork; a sheet without kinds means no configuration.
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
  void SetWork(std::uint64_t version, work_sheet sheet, reduce_context& ctx);

  /// Adds a controller to which a link is kept open.
  void AddController(const endpoint& address, reduce_context& ctx);

  /// Publishes the end of the configuration lease to the traffic threads.
  void SetLease(steady_time until, reduce_context& ctx);

  std::size_t Size() const { return records_.size(); }
  /// Status as this entry routes by it; kDown if there is no record or its entry is lost.
  backend_status Status(const std::string& backend) const;

 private:
  struct lost_agent {
    steady_time claim_at;
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
  };

  struct life_sign {
    std::uint64_t value = 0;
    steady_time advanced;
  };

  // discovery_registration.cc
  struct registration {
    std::uint64_t sequence = 0;
    steady_time heard;
    bool heard_here = false;
  };
  struct registered_link {
    bool to_controller = false;
  };

  bool Registered() const { return limits_.registered; }
  void OnRegisteredLink(const link_opened& opened, reduce_context& ctx);
  bool AcceptRegistration(const announcement& record, bool heard_here, reduce_context& ctx);
  bool ClaimAddress(const announcement& record, directory_delta& changes, reduce_context& ctx);
  void OnRegisteredDelta(link_id link, const directory_delta& delta, reduce_context& ctx);
  void SendToAll(const directory_delta& delta, bool controllers_only, reduce_context& ctx);
  void ExchangeRegistrations(reduce_context& ctx);
  void ExpireRegistrations(reduce_context& ctx);

  bool Accept(const announcement& record, reduce_context& ctx);
  void Store(const announcement& record, reduce_context& ctx);
  bool Heard(const std::string& backend) const;
  bool Routable(const announcement& record) const;
  void SpreadRecords(directory_delta delta, reduce_context& ctx);
  void SpreadCrashes(const crash_report& report, reduce_context& ctx);
  void ClaimLostAgents(reduce_context& ctx);
  void ExpireTombstones(reduce_context& ctx);
  void UpdateLostHomes(reduce_context& ctx);
  void ExchangeDigest(reduce_context& ctx);
  directory_digest Digest(bool reply) const;
  entry_heartbeats NewestBeats() const;
  void Publish(reduce_context& ctx);
  void ScheduleNext(reduce_context& ctx) const;

  process_id self_;
  std::string zone_;
  directory_limits limits_;
  peer_links peers_;
  std::unordered_map<link_id, registered_link> registered_links_;
  std::map<std::string, registration> registrations_;
  steady_time next_exchange_;
  bool is_controller_ = false;
  std::map<std::string, announcement> records_;
  std::array<std::uint64_t, kBuckets> bucket_hashes_{};
  std::uint64_t up_count_ = 0;
  std::unordered_map<link_id, std::string> announced_on_;
  std::map<std::string, lost_agent> lost_agents_;
  std::map<std::string, steady_time> tombstones_;
  std::unordered_map<std::uint64_t, life_sign> beats_;
  std::set<std::uint64_t> lost_homes_;
  steady_time next_digest_;
  bool pull_pending_ = false;
  quarantine crashes_;
  std::uint64_t config_version_ = 0;
  work_sheet sheet_;
  steady_time lease_until_ = steady_time::max();
  std::shared_ptr<const routing_table> published_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_DISCOVERY_H_
