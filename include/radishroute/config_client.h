#ifndef RADISHROUTE_CONFIG_CLIENT_H_
#define RADISHROUTE_CONFIG_CLIENT_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/discovery.h"
#include "radishroute/leader_session.h"
#include "radishroute/record_client.h"

namespace radishroute {

/// Identity of an entry and the addresses that it needs to hold a configuration lease.
struct config_client_settings {
  std::string node;
  std::string zone;
  std::vector<endpoint> controllers;
  /// Other entries, queried for their version while no leader answers.
  std::vector<endpoint> peers;
  /// Sheet in force as version 0, before the first configuration change.
  work_sheet initial;
  /// True if the configuration is a document that the traffic threads read instead of a sheet.
  bool documents = false;
};

/// Client of the controllers on an entry's control thread: holds the configuration lease, applies
/// configuration versions, and submits claims and outcomes.
class config_client {
 public:
  /// `backends` must outlive this object.
  config_client(config_client_settings settings, directory& backends,
                record_client_limits limits = {});

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const link_progressed& progressed, reduce_context& ctx) {
    session_.OnProgress(progressed.link, ctx);
  }
  void Handle(const timer_expired& timer, reduce_context& ctx);
  void Handle(const controllers_changed& changed, reduce_context& ctx);
  void Handle(const claim_submitted& submitted, reduce_context& ctx);
  void Handle(const outcome_submitted& submitted, reduce_context& ctx);

  void Handle(link_id link, const fleet_load& load, reduce_context& ctx);
  void Handle(link_id link, const lease_grant& grant, reduce_context& ctx);
  void Handle(link_id link, const config_push& push, reduce_context& ctx);
  void Handle(link_id link, const evacuation_notice& notice, reduce_context& ctx);
  void Handle(link_id link, const record_reply& reply, reduce_context& ctx);
  void Handle(link_id link, const outcome_reply& reply, reduce_context& ctx);
  void Handle(link_id link, const version_query& query, reduce_context& ctx);
  void Handle(link_id link, const version_reply& reply, reduce_context& ctx);

  std::uint64_t AppliedVersion() const { return applied_; }
  /// True once this incarnation has a version that it may serve under.
  bool Ready() const { return ready_; }
  bool LeaseValid(steady_time now) const {
    return now < lease_expires_at_ && applied_ >= highest_known_version_;
  }

 private:
  struct peer_config {
    std::uint64_t version = 0;
    std::string sheet;
    evacuation_notice evacuations;
  };

  void Renew(reduce_context& ctx);
  void Apply(std::uint64_t version, const std::string& sheet, reduce_context& ctx);
  void ApplyPatchedSheet(const config_push& push, reduce_context& ctx);
  void BecomeReady(reduce_context& ctx);
  void ApplyEvacuations(const evacuation_notice& notice, reduce_context& ctx);
  void PublishLease(reduce_context& ctx);
  void PollPeers(reduce_context& ctx);
  void AdoptPeerConfig(reduce_context& ctx);
  std::optional<link_id> ConfirmedLeader() const;

  config_client_settings settings_;
  directory& backends_;
  leader_session session_;
  record_client records_;
  /// As it was received, or plain after a patch.
  std::string sheet_;
  /// False from a patch that could not be applied until a whole document has come.
  bool accepts_patch_ = true;
  std::uint64_t applied_ = 0;
  /// Highest version known to exist; an entry that does not serve yet applies no lower one.
  std::uint64_t highest_known_version_ = 0;
  bool ready_ = false;
  /// Absent until a leader, or a replica that answers instead of it, has told the evacuations.
  std::optional<std::uint64_t> evacuation_version_;
  steady_time lease_expires_at_ = steady_time::min();
  bool logged_lease_valid_ = false;
  std::uint64_t next_sequence_ = 1;
  /// Time at which each renewal without a response was sent, keyed by its sequence number.
  std::map<std::uint64_t, steady_time> renewals_;
  steady_time next_renewal_{};
  /// While no leader has answered: when to poll the peers, and after that, when to adopt the newest
  /// reply.
  std::optional<steady_time> peer_fallback_at_;
  bool peers_asked_ = false;
  std::map<link_id, peer_config> peer_configs_;
  std::map<endpoint, link_id> link_by_peer_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_CLIENT_H_
