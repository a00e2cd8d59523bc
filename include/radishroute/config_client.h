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

/// What an entry needs to know of itself to hold a configuration lease.
struct config_client_settings {
  std::string node;
  std::string zone;
  std::vector<endpoint> controllers;
  /// Other entries; asked for their version while no leader answers.
  std::vector<endpoint> peers;
  /// Sheet in force as version 0, before the first configuration change.
  work_sheet initial;
  /// The configuration is a document that the traffic threads read, not a sheet.
  bool documents = false;
};

/// Control-thread side of an entry towards the controllers: configuration lease, configuration
/// document, claims and outcomes.
class config_client {
 public:
  /// `backends` must outlive this object.
  config_client(config_client_settings settings, directory& backends,
                record_client_limits limits = {});

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);
  void Handle(const controllers_changed& changed, reduce_context& ctx);
  void Handle(const claim_submitted& submitted, reduce_context& ctx);
  void Handle(const outcome_submitted& submitted, reduce_context& ctx);

  void Handle(link_id link, const fleet_load& load, reduce_context& ctx);
  void Handle(link_id link, const lease_grant& grant, reduce_context& ctx);
  void Handle(link_id link, const config_push& push, reduce_context& ctx);
  void Handle(link_id link, const record_reply& reply, reduce_context& ctx);
  void Handle(link_id link, const outcome_reply& reply, reduce_context& ctx);
  void Handle(link_id link, const version_query& query, reduce_context& ctx);
  void Handle(link_id link, const version_reply& reply, reduce_context& ctx);

  std::uint64_t AppliedVersion() const { return applied_; }
  /// True once this life knows a version that it may serve under.
  bool Ready() const { return ready_; }
  bool LeaseValid(steady_time now) const { return now < lease_until_ && applied_ >= heard_; }

 private:
  struct peer_answer {
    std::uint64_t version = 0;
    std::string sheet;
  };

  void Renew(reduce_context& ctx);
  void Apply(std::uint64_t version, const std::string& sheet, reduce_context& ctx);
  void BecomeReady(reduce_context& ctx);
  void PublishLease(reduce_context& ctx);
  void AskPeers(reduce_context& ctx);
  void AdoptFromPeers(reduce_context& ctx);
  std::optional<link_id> Leader() const;

  config_client_settings settings_;
  directory& backends_;
  leader_session session_;
  record_client records_;
  std::string sheet_;
  std::uint64_t applied_ = 0;
  /// Highest version heard of; versions below it are never applied.
  std::uint64_t heard_ = 0;
  bool ready_ = false;
  steady_time lease_until_ = steady_time::min();
  bool lease_logged_ = false;
  std::uint64_t next_sequence_ = 1;
  std::map<std::uint64_t, steady_time> renewals_;
  steady_time next_renewal_{};
  /// Time at which the peers' answers decide, while no leader has answered.
  std::optional<steady_time> peers_decide_at_;
  bool peers_asked_ = false;
  std::map<link_id, peer_answer> peer_answers_;
  std::map<endpoint, link_id> peer_links_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_CLIENT_H_
