#include "radishroute/config_leases.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishroute {

void config_leases::BecomeLeader(steady_time now) {
  leader_since_ = now;
  leases_.clear();
}

void config_leases::StepDown() {
  leader_since_.reset();
  leases_.clear();
  commits_.clear();
  distribution_.reset();
}

void config_leases::Push(lease& to, const config_document& config, const config_patch* patch,
                         reduce_context& ctx) {
  config_push push{config.Version(), config.Current().author, {}};
  if (patch != nullptr) {
    push.patch = *patch;
  } else {
    push.sheet = config.Sheet();
  }
  to.pushed = push.version;
  to.pushed_bytes = push.Bytes();
  to.pushed_patch = patch != nullptr;
  to.pushed_at = ctx.now;
  to.push_due_at = std::max(to.push_due_at, ctx.now) + kPushInterval;
  if (distribution_) {
    ++distribution_->pushes;
    if (to.pushed_patch) ++distribution_->patches;
    distribution_->bytes += to.pushed_bytes;
  }
  ctx.Emit(send_message{to.link, std::move(push)});
}

// An entry renews its lease once it has applied a version, which makes room for the next push.
void config_leases::PushToOutdated(const config_document& config, reduce_context& ctx) {
  std::size_t in_transit = 0;
  std::vector<lease*> outdated;
  std::optional<steady_time> next_turn;
  for (auto& [node, held] : leases_) {
    if (held.link.value == 0 || held.expires_at <= ctx.now) continue;
    if (held.AwaitsPush(ctx.now)) {
      if (ctx.now - held.pushed_at < kStalledAfter) in_transit += held.pushed_bytes;
    } else if (held.applied >= config.Version()) {
      continue;
    } else if (held.MayPushAt() > ctx.now) {
      next_turn = std::min(next_turn.value_or(held.MayPushAt()), held.MayPushAt());
    } else {
      outdated.push_back(&held);
    }
  }
  if (next_turn) ctx.Emit(schedule_wakeup{*next_turn});
  // An entry without any version must not serve yet. Of the others, the one with the oldest version
  // comes first, so that none waits for more than one round whatever the rate of changes; one that
  // has not answered its last document may be suspended or cut off and comes last. Among equals,
  // one that has renewed its lease recently is the least likely to be.
  auto rank = [](const lease* held) {
    return std::make_tuple(held->applied != 0, held->LeftPushUnanswered(), held->applied);
  };
  std::stable_sort(outdated.begin(), outdated.end(), [&](const lease* a, const lease* b) {
    return std::make_pair(rank(a), b->expires_at) < std::make_pair(rank(b), a->expires_at);
  });
  std::uint64_t newest_served = 0;
  bool full = false;
  for (lease* held : outdated) {
    const config_patch* patch = held->accepts_patch ? patches_.Find(held->applied) : nullptr;
    std::size_t bytes = patch != nullptr ? patch->changes.Bytes() : config.Sheet().size();
    full = full || (in_transit > 0 && in_transit + bytes > kMaxBytesInTransit);
    if (full) {
      if (held->applied < newest_served) ++held->passed_over;
      continue;
    }
    newest_served = std::max(newest_served, held->applied);
    in_transit += bytes;
    Push(*held, config, patch, ctx);
  }
}

void config_leases::LogIfLate(const std::string& node, const lease& held, std::uint64_t applied,
                              reduce_context& ctx) const {
  if (held.applied == 0 || applied <= held.applied) return;
  auto missed = std::find_if(commits_.begin(), commits_.end(),
                             [&](const commit_time& c) { return c.version > held.applied; });
  if (missed == commits_.end()) return;
  auto lag = std::chrono::duration_cast<std::chrono::milliseconds>(ctx.now - missed->at);
  if (lag < kLateAfter) return;
  ctx.Emit(count{counter::kConfigEntriesLate});
  ctx.Emit(write_log{{event_code::kConfigEntryLate,
                      log_level::kWarning,
                      {{"entry", node},
                       {"zone", held.zone},
                       {"version", std::to_string(missed->version)},
                       {"applied", std::to_string(applied)},
                       {"lag_ms", std::to_string(lag.count())},
                       {"passed_over", std::to_string(held.passed_over)}}}});
}

void config_leases::OnTimer(const config_document& config, reduce_context& ctx) {
  if (leader_since_ && distribution_) PushToOutdated(config, ctx);
}

void config_leases::LogIfDistributed(reduce_context& ctx) {
  if (!distribution_) return;
  std::size_t entries = 0;
  for (const auto& [node, held] : leases_) {
    if (held.expires_at <= ctx.now) continue;
    if (held.applied < distribution_->version) return;
    ++entries;
  }
  auto after =
      std::chrono::duration_cast<std::chrono::milliseconds>(ctx.now - distribution_->started_at);
  ctx.Emit(write_log{{event_code::kConfigDistributed,
                      log_level::kInfo,
                      {{"version", std::to_string(distribution_->version)},
                       {"entries", std::to_string(entries)},
                       {"pushes", std::to_string(distribution_->pushes)},
                       {"patches", std::to_string(distribution_->patches)},
                       {"bytes", std::to_string(distribution_->bytes)},
                       {"after_ms", std::to_string(after.count())}}}});
  distribution_.reset();
}

void config_leases::OnRenew(link_id link, const lease_renew& renew, const config_document& config,
                            const endpoint& leader_hint, reduce_context& ctx,
                            const std::vector<replica>& replicas,
                            const evacuation_notice& evacuations) {
  lease_grant grant;
  grant.sequence = renew.sequence;
  grant.leader_hint = leader_hint;
  // If the entry knows a higher version than this leader has applied, the leader has not caught up
  // with its own log.
  grant.granted = leader_since_.has_value() && renew.highest_known_version <= config.Version();
  if (grant.granted) {
    grant.duration = kLeaseDuration;
    grant.version = config.Version();
    grant.evacuations = evacuations;
    for (const replica& r : replicas) grant.controllers.push_back(r.address);
    lease& held = leases_[renew.node];
    held.zone = renew.zone;
    // A document that was in transit on another link is lost.
    if (held.link != link) held.pushed = 0;
    held.link = link;
    // Later than the expiry at the entry, which runs from the sending of the renewal and subtracts
    // the clock drift.
    held.expires_at = ctx.now + kLeaseDuration;
    LogIfLate(renew.node, held, renew.applied_version, ctx);
    if (renew.applied_version > held.applied) held.passed_over = 0;
    held.applied = renew.applied_version;
    held.evacuation_version = renew.evacuation_version;
    held.accepts_patch = renew.accepts_patch;
    // The entry could not apply the patch.
    if (held.pushed_patch && !held.accepts_patch) held.pushed = 0;
  }
  bool granted = grant.granted;
  ctx.Emit(send_message{link, std::move(grant)});
  if (!granted) return;
  if (renew.applied_version < config.Version() && !distribution_) {
    distribution_ = distribution{config.Version(), ctx.now};
  }
  if (!distribution_) return;
  patches_.Remember(config);
  PushToOutdated(config, ctx);
  LogIfDistributed(ctx);
}

void config_leases::OnCommitted(const config_document& config, reduce_context& ctx) {
  patches_.Remember(config);
  if (!leader_since_) return;
  commits_.push_back({config.Version(), ctx.now});
  if (commits_.size() > kMaxCommitTimes) commits_.pop_front();
  distribution_ = distribution{config.Version(), ctx.now};
  PushToOutdated(config, ctx);
}

void config_leases::OnEvacuationsChanged(const evacuation_notice& evacuations,
                                         reduce_context& ctx) const {
  if (!leader_since_) return;
  std::vector<link_id> links;
  for (const auto& [node, held] : leases_) {
    if (held.link.value != 0 && held.expires_at > ctx.now) links.push_back(held.link);
  }
  if (!links.empty()) ctx.Emit(broadcast_message{std::move(links), evacuations});
}

std::vector<evacuation_report> config_leases::EvacuationReport(steady_time now) const {
  std::vector<evacuation_report> report;
  for (const auto& [node, held] : leases_) {
    if (held.expires_at > now) report.push_back({node, held.zone, held.evacuation_version});
  }
  return report;
}

void config_leases::OnClosed(link_id link) {
  for (auto& [node, held] : leases_) {
    if (held.link == link) held.link = {};
  }
}

in_force_report config_leases::Report(std::uint64_t version, steady_time now) const {
  in_force_report report;
  report.version = version;
  if (!leader_since_) return report;
  // Entries with a lease from the previous leader are unknown until that lease has expired.
  report.known = now >= *leader_since_ + kLeaseDuration;
  std::map<std::string, zone_report> zones;
  for (const auto& [node, held] : leases_) {
    zone_report& zone = zones[held.zone];
    if (held.expires_at <= now) continue;
    ++zone.entries;
    if (held.applied >= version) ++zone.applied;
  }
  for (auto& [name, zone] : zones) {
    zone.zone = name;
    zone.in_force = report.known && zone.entries == zone.applied;
    report.zones.push_back(zone);
  }
  return report;
}

}  // namespace radishroute
