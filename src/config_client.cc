#include "radishroute/config_client.h"

#include <algorithm>
#include <utility>

#include "radishroute/invariant.h"

namespace radishroute {

namespace {

// A third of the lease, so that two renewals may be lost.
constexpr std::chrono::milliseconds kRenewInterval{1000};

// Bound on the difference in rate between the clocks of two VMs: 1%.
constexpr int kDriftDivisor = 100;

// A restarted entry asks its peers once no leader has answered for this long (leader loss alone is
// over within 2 s), and decides on their answers after the second time.
constexpr std::chrono::milliseconds kLeaderWait{2500};
constexpr std::chrono::milliseconds kPeerWait{500};

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
    lease_until_ = steady_time::max();
    backends_.SetWork(0, settings_.initial, ctx);
    return;
  }
  backends_.SetLease(lease_until_, ctx);
  session_.Start(ctx);
  peers_decide_at_ = ctx.now + kLeaderWait;
  ctx.Emit(schedule_wakeup{*peers_decide_at_});
}

std::optional<link_id> config_client::Leader() const {
  return session_.Confirmed() ? session_.Link() : std::nullopt;
}

void config_client::Handle(const link_opened& opened, reduce_context& ctx) {
  if (session_.OnOpened(opened)) {
    renewals_.clear();
    Renew(ctx);
    return;
  }
  bool peer = std::find(settings_.peers.begin(), settings_.peers.end(), opened.dialed) !=
              settings_.peers.end();
  if (!peer || (!settings_.documents && opened.peer.zone != settings_.zone)) return;
  peer_links_[opened.dialed] = opened.link;
  if (peers_asked_ && !ready_) ctx.Emit(send_message{opened.link, version_query{next_sequence_++}});
}

void config_client::Handle(const link_closed& closed, reduce_context& ctx) {
  session_.OnClosed(closed, ctx);
  std::erase_if(peer_links_, [&](const auto& item) { return item.second == closed.link; });
  peer_answers_.erase(closed.link);
}

void config_client::Renew(reduce_context& ctx) {
  if (!session_.Link()) return;
  std::uint64_t sequence = next_sequence_++;
  renewals_[sequence] = ctx.now;
  if (renewals_.size() > kMaxRenewalsInFlight) renewals_.erase(renewals_.begin());
  next_renewal_ = ctx.now + kRenewInterval;
  ctx.Emit(send_message{*session_.Link(),
                        lease_renew{sequence, settings_.node, settings_.zone, applied_, heard_}});
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
  bool first = !session_.Confirmed();
  session_.OnLeader(ctx);
  Handle(controllers_changed{grant.controllers}, ctx);
  heard_ = std::max(heard_, grant.version);
  lease_until_ = std::max(lease_until_, sent + grant.duration - grant.duration / kDriftDivisor);
  if (!ready_ && heard_ == 0) {
    backends_.SetWork(0, settings_.initial, ctx);
    BecomeReady(ctx);
  }
  PublishLease(ctx);
  if (first) records_.OnLeader(link, ctx);
}

void config_client::Handle(link_id, const fleet_load& load, reduce_context& ctx) {
  ctx.Emit(publish_fleet_load{std::make_shared<const fleet_load>(load)});
}

void config_client::PublishLease(reduce_context& ctx) {
  bool valid = LeaseValid(ctx.now) && ready_;
  backends_.SetLease(valid ? lease_until_ : steady_time::min(), ctx);
  if (valid) ctx.Emit(schedule_wakeup{lease_until_});
  if (valid == lease_logged_) return;
  lease_logged_ = valid;
  log_event entry;
  entry.code = valid ? event_code::kConfigLeaseGained : event_code::kConfigLeaseLost;
  entry.fields = {{"applied", std::to_string(applied_)}, {"heard", std::to_string(heard_)}};
  ctx.Emit(write_log{std::move(entry)});
}

void config_client::Handle(link_id link, const config_push& push, reduce_context& ctx) {
  if (session_.Link() != link) return;
  heard_ = std::max(heard_, push.version);
  // Zero is no committed version.
  if (push.version == 0) return;
  Apply(push.version, push.sheet, ctx);
  PublishLease(ctx);
  Renew(ctx);
}

void config_client::Apply(std::uint64_t version, const std::string& sheet, reduce_context& ctx) {
  if (version < heard_ || (ready_ && version <= applied_)) return;
  if (settings_.documents) {
    if (!CheckInvariant(version >= applied_, "configuration versions never go back", ctx)) return;
    applied_ = heard_ = version;
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
    // The leader checks sheets before they are proposed, so its program is newer than this one.
    entry.code = event_code::kConfigRejected;
    entry.level = log_level::kError;
    ctx.Emit(write_log{std::move(entry)});
    return;
  }
  if (!CheckInvariant(version >= applied_, "configuration versions never go back", ctx)) return;
  applied_ = version;
  heard_ = version;
  sheet_ = sheet;
  entry.code = event_code::kConfigApplied;
  ctx.Emit(write_log{std::move(entry)});
  backends_.SetWork(version, std::move(parsed), ctx);
  BecomeReady(ctx);
}

void config_client::BecomeReady(reduce_context&) {
  ready_ = true;
  peers_decide_at_.reset();
  peer_answers_.clear();
}

void config_client::AskPeers(reduce_context& ctx) {
  peers_asked_ = true;
  peers_decide_at_ = ctx.now + kPeerWait;
  ctx.Emit(schedule_wakeup{*peers_decide_at_});
  for (const endpoint& peer : settings_.peers) {
    auto it = peer_links_.find(peer);
    if (it == peer_links_.end()) {
      ctx.Emit(open_link{peer});
    } else {
      ctx.Emit(send_message{it->second, version_query{next_sequence_++}});
    }
  }
}

void config_client::Handle(link_id link, const version_query& query, reduce_context& ctx) {
  // An entry that has no version itself would make another one serve an outdated sheet.
  if (!ready_) return;
  ctx.Emit(send_message{link, version_reply{query.sequence, applied_, sheet_, settings_.zone}});
}

void config_client::Handle(link_id link, const version_reply& reply, reduce_context& ctx) {
  bool trusted = settings_.documents || reply.zone == settings_.zone;
  if (ready_ || !peers_asked_ || !trusted) return;
  heard_ = std::max(heard_, reply.version);
  peer_answers_[link] = {reply.version, reply.sheet};
  ctx.Emit(schedule_wakeup{ctx.now + kPeerWait});
}

void config_client::AdoptFromPeers(reduce_context& ctx) {
  auto best = std::max_element(
      peer_answers_.begin(), peer_answers_.end(),
      [](const auto& a, const auto& b) { return a.second.version < b.second.version; });
  if (best == peer_answers_.end() || best->second.version < heard_) {
    AskPeers(ctx);
    return;
  }
  peer_answer chosen = best->second;
  if (chosen.version == 0) {
    backends_.SetWork(0, settings_.initial, ctx);
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
  if (lease_logged_ && !LeaseValid(ctx.now)) PublishLease(ctx);
  if (lease_logged_) ctx.Emit(schedule_wakeup{lease_until_});
  if (!peers_decide_at_) return;
  if (*peers_decide_at_ > ctx.now) {
    ctx.Emit(schedule_wakeup{*peers_decide_at_});
  } else if (!peers_asked_) {
    AskPeers(ctx);
  } else {
    AdoptFromPeers(ctx);
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
  records_.Submit(submitted, Leader(), ctx);
}

void config_client::Handle(const outcome_submitted& submitted, reduce_context& ctx) {
  records_.Submit(submitted, Leader(), ctx);
}

void config_client::Handle(link_id link, const record_reply& reply, reduce_context& ctx) {
  if (session_.Link() == link) records_.OnReply(reply, ctx);
}

void config_client::Handle(link_id link, const outcome_reply& reply, reduce_context& ctx) {
  if (session_.Link() == link) records_.OnReply(reply, ctx);
}

}  // namespace radishroute
