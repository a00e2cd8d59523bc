#include "radishroute/config_client.h"

#include <algorithm>
#include <utility>

#include "radishroute/compression.h"
#include "radishroute/error.h"
#include "radishroute/invariant.h"

namespace radishroute {

namespace {

// A third of the lease, so that a lease survives the loss of two renewals.
constexpr std::chrono::milliseconds kRenewInterval{1000};

// The clocks of two VMs differ in rate by at most 1%.
constexpr int kDriftDivisor = 100;

// A restarted entry polls its peers if no leader has answered within kLeaderTimeout (a lost leader
// is replaced within 2 s), and chooses among their replies after kPeerReplyTimeout.
constexpr std::chrono::milliseconds kLeaderTimeout{2500};
constexpr std::chrono::milliseconds kPeerReplyTimeout{500};

constexpr std::size_t kMaxRenewalsInFlight = 16;

}  // namespace

config_client::config_client(config_client_settings settings, directory& backends,
                             record_client_limits limits)
    : settings_(std::move(settings)),
      backends_(backends),
      session_(settings_.controllers),
      records_(limits) {}

void config_client::Handle(const process_started&, reduce_context& ctx) {
  if (!session_.HasControllers()) {
    // Without controllers, the sheet from the settings is the configuration.
    ready_ = true;
    lease_expires_at_ = steady_time::max();
    backends_.SetSheet(0, settings_.initial, ctx);
    return;
  }
  backends_.SetLease(lease_expires_at_, ctx);
  session_.Start(ctx);
  peer_fallback_at_ = ctx.now + kLeaderTimeout;
  ctx.Emit(schedule_wakeup{*peer_fallback_at_});
}

std::optional<link_id> config_client::ConfirmedLeader() const {
  return session_.Confirmed() ? session_.Link() : std::nullopt;
}

void config_client::Handle(const link_opened& opened, reduce_context& ctx) {
  if (session_.OnOpened(opened)) {
    renewals_.clear();
    Renew(ctx);
  }
  // The session's controllers may be peers, too.
  bool peer = std::find(settings_.peers.begin(), settings_.peers.end(), opened.dialed) !=
              settings_.peers.end();
  if (!peer || (!settings_.documents && opened.peer.zone != settings_.zone)) return;
  link_by_peer_[opened.dialed] = opened.link;
  if (peers_asked_ && !ready_) ctx.Emit(send_message{opened.link, version_query{next_sequence_++}});
}

void config_client::Handle(const link_closed& closed, reduce_context& ctx) {
  session_.OnClosed(closed, ctx);
  // A reply stays valid: sessions replace their links to a controller while there is no leader.
  std::erase_if(link_by_peer_, [&](const auto& item) { return item.second == closed.link; });
}

void config_client::Renew(reduce_context& ctx) {
  if (!session_.Link()) return;
  std::uint64_t sequence = next_sequence_++;
  renewals_[sequence] = ctx.now;
  if (renewals_.size() > kMaxRenewalsInFlight) renewals_.erase(renewals_.begin());
  next_renewal_ = ctx.now + kRenewInterval;
  ctx.Emit(send_message{
      *session_.Link(),
      lease_renew{sequence, settings_.node, settings_.zone, applied_, highest_known_version_,
                  evacuation_version_.value_or(0), accepts_patch_}});
  ctx.Emit(schedule_wakeup{next_renewal_});
}

void config_client::Handle(link_id link, const lease_grant& grant, reduce_context& ctx) {
  if (session_.Link() != link) return;
  auto renewal = renewals_.find(grant.sequence);
  if (renewal == renewals_.end()) return;
  steady_time sent = renewal->second;
  renewals_.erase(renewals_.begin(), std::next(renewal));
  if (!grant.granted) {
    session_.OnNotLeader(grant.leader_hint, ctx);
    return;
  }
  bool new_leader = !session_.Confirmed();
  session_.OnLeader(ctx);
  Handle(controllers_changed{grant.controllers}, ctx);
  ApplyEvacuations(grant.evacuations, ctx);
  highest_known_version_ = std::max(highest_known_version_, grant.version);
  lease_expires_at_ =
      std::max(lease_expires_at_, sent + grant.duration - grant.duration / kDriftDivisor);
  if (!ready_ && highest_known_version_ == 0) {
    backends_.SetSheet(0, settings_.initial, ctx);
    BecomeReady(ctx);
  }
  PublishLease(ctx);
  if (new_leader) records_.OnLeader(link, ctx);
}

void config_client::Handle(link_id link, const evacuation_notice& notice, reduce_context& ctx) {
  if (session_.Link() != link) return;
  ApplyEvacuations(notice, ctx);
  // The leader learns from the renewal which version is in force here.
  Renew(ctx);
}

// Notices may arrive late or repeated; the log index of the last change orders them.
void config_client::ApplyEvacuations(const evacuation_notice& notice, reduce_context& ctx) {
  if (evacuation_version_ && notice.version <= *evacuation_version_) return;
  evacuation_version_ = notice.version;
  std::string zones;
  for (const std::string& zone : notice.zones) zones.append(zones.empty() ? "" : ",").append(zone);
  if (notice.version > 0) {
    ctx.Emit(write_log{{event_code::kEvacuationsApplied,
                        log_level::kInfo,
                        {{"version", std::to_string(notice.version)}, {"zones", zones}}}});
  }
  ctx.Emit(publish_evacuations{notice});
}

void config_client::Handle(link_id, const fleet_load& load, reduce_context& ctx) {
  ctx.Emit(publish_fleet_load{std::make_shared<const fleet_load>(load)});
}

void config_client::PublishLease(reduce_context& ctx) {
  bool valid = LeaseValid(ctx.now) && ready_;
  backends_.SetLease(valid ? lease_expires_at_ : steady_time::min(), ctx);
  if (valid) ctx.Emit(schedule_wakeup{lease_expires_at_});
  if (valid == logged_lease_valid_) return;
  logged_lease_valid_ = valid;
  log_event entry;
  entry.code = valid ? event_code::kConfigLeaseGained : event_code::kConfigLeaseLost;
  entry.fields = {{"applied", std::to_string(applied_)},
                  {"heard", std::to_string(highest_known_version_)}};
  ctx.Emit(write_log{std::move(entry)});
}

void config_client::Handle(link_id link, const config_push& push, reduce_context& ctx) {
  if (session_.Link() != link) return;
  highest_known_version_ = std::max(highest_known_version_, push.version);
  // Version 0 means that nothing has been committed.
  if (push.version == 0) return;
  if (push.patch) {
    ApplyPatchedSheet(push, ctx);
  } else {
    Apply(push.version, push.sheet, ctx);
    accepts_patch_ = true;
  }
  PublishLease(ctx);
  Renew(ctx);
}

void config_client::ApplyPatchedSheet(const config_push& push, reduce_context& ctx) {
  if (push.version <= applied_) return;
  std::string base;
  std::string sheet;
  std::error_code error = push.patch->base_version == applied_
                              ? Decompress(sheet_, base)
                              : make_error_code(errc::kPatchMismatch);
  if (!error) error = ApplyPatch(base, push.patch->changes, sheet);
  // The renewal that follows asks for the whole document.
  accepts_patch_ = !error;
  if (error) {
    ctx.Emit(write_log{{event_code::kConfigPatchRejected,
                        log_level::kWarning,
                        {{"version", std::to_string(push.version)},
                         {"base", std::to_string(push.patch->base_version)},
                         {"applied", std::to_string(applied_)},
                         {"error", error.message()}}}});
    return;
  }
  Apply(push.version, sheet, ctx);
}

void config_client::Apply(std::uint64_t version, const std::string& sheet, reduce_context& ctx) {
  // An entry that already serves under an older version gains by any newer one.
  bool eligible = ready_ ? version > applied_ : version >= highest_known_version_;
  if (!eligible) return;
  highest_known_version_ = std::max(highest_known_version_, version);
  if (settings_.documents) {
    if (!CheckInvariant(version >= applied_, "configuration versions never decrease", ctx)) return;
    applied_ = version;
    sheet_ = sheet;
    ctx.Emit(publish_document{version, std::make_shared<const std::string>(sheet)});
    BecomeReady(ctx);
    return;
  }
  std::vector<sheet_error> errors;
  work_sheet parsed = ParseSheet(sheet, errors);
  log_event entry;
  entry.fields = {{"version", std::to_string(version)}};
  if (!errors.empty()) {
    // The leader validates sheets before proposing them. If it accepted this one, it runs a newer
    // release than this process.
    entry.code = event_code::kConfigRejected;
    entry.level = log_level::kError;
    ctx.Emit(write_log{std::move(entry)});
    return;
  }
  if (!CheckInvariant(version >= applied_, "configuration versions never decrease", ctx)) return;
  applied_ = version;
  sheet_ = sheet;
  entry.code = event_code::kConfigApplied;
  ctx.Emit(write_log{std::move(entry)});
  backends_.SetSheet(version, std::move(parsed), ctx);
  BecomeReady(ctx);
}

void config_client::BecomeReady(reduce_context&) {
  ready_ = true;
  peer_fallback_at_.reset();
  peer_configs_.clear();
}

void config_client::PollPeers(reduce_context& ctx) {
  peers_asked_ = true;
  peer_fallback_at_ = ctx.now + kPeerReplyTimeout;
  ctx.Emit(schedule_wakeup{*peer_fallback_at_});
  for (const endpoint& peer : settings_.peers) {
    auto it = link_by_peer_.find(peer);
    if (it == link_by_peer_.end()) {
      ctx.Emit(open_link{peer});
    } else {
      ctx.Emit(send_message{it->second, version_query{next_sequence_++}});
    }
  }
}

void config_client::Handle(link_id link, const version_query& query, reduce_context& ctx) {
  // A reply from an entry without a version could make its peer serve an outdated sheet.
  if (!ready_) return;
  ctx.Emit(send_message{link, version_reply{query.sequence, applied_, sheet_, settings_.zone}});
}

void config_client::Handle(link_id link, const version_reply& reply, reduce_context& ctx) {
  bool eligible = settings_.documents || reply.zone == settings_.zone;
  if (ready_ || !peers_asked_ || !eligible) return;
  highest_known_version_ = std::max(highest_known_version_, reply.version);
  peer_configs_[link] = {reply.version, reply.sheet, reply.evacuations};
  ctx.Emit(schedule_wakeup{ctx.now + kPeerReplyTimeout});
}

void config_client::AdoptPeerConfig(reduce_context& ctx) {
  auto newest = std::max_element(
      peer_configs_.begin(), peer_configs_.end(),
      [](const auto& a, const auto& b) { return a.second.version < b.second.version; });
  if (newest == peer_configs_.end() || newest->second.version < highest_known_version_) {
    PollPeers(ctx);
    return;
  }
  peer_config chosen = newest->second;
  for (const auto& [link, peer] : peer_configs_) ApplyEvacuations(peer.evacuations, ctx);
  if (chosen.version == 0) {
    backends_.SetSheet(0, settings_.initial, ctx);
    BecomeReady(ctx);
  } else {
    Apply(chosen.version, chosen.sheet, ctx);
  }
}

void config_client::Handle(const timer_expired&, reduce_context& ctx) {
  if (!session_.HasControllers()) return;
  session_.OnTimer(ctx);
  records_.OnTimer(ctx);
  if (session_.Link() && next_renewal_ <= ctx.now) Renew(ctx);
  if (session_.Link()) ctx.Emit(schedule_wakeup{next_renewal_});
  if (logged_lease_valid_ && !LeaseValid(ctx.now)) PublishLease(ctx);
  if (logged_lease_valid_) ctx.Emit(schedule_wakeup{lease_expires_at_});
  if (!peer_fallback_at_) return;
  if (*peer_fallback_at_ > ctx.now) {
    ctx.Emit(schedule_wakeup{*peer_fallback_at_});
  } else if (!peers_asked_) {
    PollPeers(ctx);
  } else {
    AdoptPeerConfig(ctx);
  }
}

void config_client::Handle(const controllers_changed& changed, reduce_context& ctx) {
  for (const endpoint& controller : changed.controllers) {
    session_.AddController(controller);
    backends_.AddController(controller, ctx);
  }
}

void config_client::Handle(const claim_submitted& submitted, reduce_context& ctx) {
  if (!session_.HasControllers()) {
    record_reply reply;
    reply.verdict = claim_verdict::kNoQuorum;
    ctx.Emit(deliver_claim_answer{{submitted.claim.dispatch, reply}});
    return;
  }
  records_.Submit(submitted, ConfirmedLeader(), ctx);
}

void config_client::Handle(const outcome_submitted& submitted, reduce_context& ctx) {
  records_.Submit(submitted, ConfirmedLeader(), ctx);
}

void config_client::Handle(link_id link, const record_reply& reply, reduce_context& ctx) {
  if (session_.Link() == link) records_.OnReply(reply, ctx);
}

void config_client::Handle(link_id link, const outcome_reply& reply, reduce_context& ctx) {
  if (session_.Link() == link) records_.OnReply(reply, ctx);
}

}  // namespace radishroute
