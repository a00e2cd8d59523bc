#ifndef RADISHROUTE_CONTROLLER_LOG_H_
#define RADISHROUTE_CONTROLLER_LOG_H_

#include <optional>
#include <string>
#include <string_view>
#include <system_error>
#include <type_traits>
#include <utility>
#include <variant>
#include <vector>

#include "radishroute/config_leases.h"
#include "radishroute/document_server.h"
#include "radishroute/evacuation_server.h"
#include "radishroute/experts/engine_groups.h"
#include "radishroute/group_joiner.h"
#include "radishroute/group_server.h"
#include "radishroute/order_server.h"
#include "radishroute/raft.h"
#include "radishroute/record_server.h"
#include "radishroute/state_machine.h"

namespace radishroute {

/// A controller's replicated state, and the modules that send the results of applied entries.
template <state_codec Codec>
class controller_state {
 public:
  void Apply(const log_entry& entry, reduce_context& ctx) {
    std::uint64_t version = state_.Config().Version();
    std::uint64_t evacuations = state_.Evacuations().Version();
    apply_result result = state_.Apply(entry, ctx);
    records_.OnApplied(entry, result, state_.Records(), ctx);
    orders_.OnApplied(entry, state_.Orders(), ctx);
    groups_.OnApplied(entry, result, state_.Groups(), ctx);
    if (state_.Config().Version() != version) {
      leases_.OnCommitted(state_.Config(), ctx);
      PublishDocument(ctx);
    }
    if (state_.Evacuations().Version() != evacuations) OnEvacuationsChanged(entry, ctx);
  }

  std::string Snapshot() const { return state_.Snapshot(); }
  std::error_code Restore(std::string_view bytes) { return state_.Restore(bytes); }

  /// Publishes the configuration document within this process.
  void PublishDocument(reduce_context& ctx) const {
    auto text = std::make_shared<const std::string>(state_.Config().Sheet());
    ctx.Emit(publish_document{state_.Config().Version(), std::move(text)});
  }

  const state_machine& State() const { return state_; }
  record_server& Records() { return records_; }
  order_server& Orders() { return orders_; }
  config_leases& Leases() { return leases_; }
  const config_leases& Leases() const { return leases_; }
  group_server& Groups() { return groups_; }
  const group_server& Groups() const { return groups_; }

 private:
  void OnEvacuationsChanged(const log_entry& entry, reduce_context& ctx) {
    leases_.OnEvacuationsChanged(state_.Evacuations().Save(), ctx);
    const auto* order = std::get_if<zone_evacuation>(&entry.body);
    if (order == nullptr) return;
    ctx.Emit(write_log{{event_code::kEvacuationsChanged,
                        log_level::kInfo,
                        {{"zone", order->zone},
                         {"evacuated", order->evacuated ? "yes" : "no"},
                         {"version", std::to_string(entry.index)}}}});
  }

  replicated_state<Codec> state_;
  record_server records_;
  order_server orders_;
  config_leases leases_;
  group_server groups_;
};

/// A controller's replica of the log; while it leads, it serves requests from entry VMs and agents.
template <state_codec Codec>
class controller_log {
 public:
  explicit controller_log(std::uint32_t log_group, raft_limits limits = {})
      : log_(log_group, limits) {}

  /// Loads the content of a data folder. Errors: kLogCorrupt, kSnapshotCorrupt.
  std::error_code Load(recovered_log recovered) { return log_.Load(std::move(recovered)); }

  template <class Event>
  requires requires(replicated_log<controller_state<Codec>> log, const Event& e,
                    reduce_context& ctx) {
    log.Handle(e, ctx);
  }
  void Handle(const Event& e, reduce_context& ctx) {
    log_.Handle(e, ctx);
    if constexpr (std::is_same_v<Event, process_started>) {
      // Publishes the document that was loaded from disk.
      if (State().Config().Version() > 0) log_.Machine().PublishDocument(ctx);
    }
    if constexpr (std::is_same_v<Event, timer_expired>) {
      if (serving_) log_.Machine().Leases().OnTimer(State().Config(), ctx);
    }
    if constexpr (std::is_same_v<Event, link_closed>) {
      log_.Machine().Records().OnClosed(e.link);
      log_.Machine().Orders().OnClosed(e.link);
      log_.Machine().Leases().OnClosed(e.link);
    }
    if constexpr (requires { engines_.Handle(e); }) engines_.Handle(e);
    if constexpr (requires(group_joiner joiner) { joiner.Handle(e); }) {
      if (joiner_) joiner_->Handle(e);
    }
    UpdateRole(ctx);
  }

  template <class Message>
  requires requires(replicated_log<controller_state<Codec>> log, link_id link, const Message& m,
                    reduce_context& ctx) {
    log.Handle(link, m, ctx);
  }
  void Handle(link_id link, const Message& m, reduce_context& ctx) {
    log_.Handle(link, m, ctx);
    UpdateRole(ctx);
  }

  void Handle(link_id, const join_reply& m, reduce_context&) {
    if (joiner_) joiner_->OnLeaderHint(m.leader_hint);
  }

  void Handle(link_id link, const engine_status& m, reduce_context& ctx) {
    engines_.OnStatus(link, m, Leadership(ctx.now), ctx);
  }

  void Handle(link_id link, const fleet_load& m, reduce_context& ctx) {
    engines_.OnRelayedLoad(link, m, ctx);
  }

  void Handle(const deployment_published& e, reduce_context&) { engines_.OnDeployment(*e.routes); }

  void Handle(const controllers_changed& e, reduce_context&) {
    if (joiner_) joiner_->Handle(e);
  }

  void Handle(const document_submitted& e, reduce_context& ctx) {
    documents_.OnSubmitted(e, State().Config(), log_, ctx);
    UpdateRole(ctx);
  }

  void Handle(const zone_evacuation_submitted& e, reduce_context& ctx) {
    evacuations_.OnSubmitted(e, log_, ctx);
    UpdateRole(ctx);
  }

  void Handle(const document_requested& e, reduce_context& ctx) {
    documents_.OnRequested(e, log_, ctx);
    UpdateRole(ctx);
  }

  // An entry VM that starts while no leader responds uses the configuration of the nearest
  // controller, so every replica replies.
  void Handle(link_id link, const version_query& m, reduce_context& ctx) {
    const config_document& config = State().Config();
    ctx.Emit(send_message{
        link, version_reply{
                  m.sequence, config.Version(), config.Sheet(), {}, State().Evacuations().Save()}});
  }

  void Handle(link_id link, const claim_request& m, reduce_context& ctx) {
    if (serving_) log_.Machine().Records().OnClaim(link, m, log_, ctx);
  }

  void Handle(link_id link, const outcome_request& m, reduce_context& ctx) {
    if (serving_) log_.Machine().Records().OnOutcome(link, m, log_, ctx);
  }

  void Handle(link_id link, const group_report& m, reduce_context& ctx) {
    // Only a leader that has applied all committed entries knows every granted step.
    if (!serving_ || !Core().IsReadyLeader(ctx.now)) {
      group_grant refused;
      refused.sequence = m.sequence;
      refused.group = m.group;
      refused.leader_hint = Core().LeaderAddress();
      ctx.Emit(send_message{link, std::move(refused)});
      return;
    }
    log_.Machine().Groups().OnReport(link, m, State().Groups(), log_, ctx);
  }

  void Handle(const placement_planned& e, reduce_context& ctx) {
    if (!serving_) return;
    log_.Machine().Groups().OnPlanned(*e.result, State().Groups(), log_, ctx);
  }

  void Handle(link_id link, const lease_renew& m, reduce_context& ctx) {
    // A leader whose own lease has expired may have been replaced, so it must not grant leases on
    // a version.
    if (!Core().IsReadyLeader(ctx.now)) {
      lease_grant refused;
      refused.sequence = m.sequence;
      refused.leader_hint = Core().LeaderAddress();
      ctx.Emit(send_message{link, std::move(refused)});
      return;
    }
    log_.Machine().Leases().OnRenew(link, m, State().Config(), Core().LeaderAddress(), ctx,
                                    Core().Log().Replicas(), State().Evacuations().Save());
  }

  void Handle(link_id link, const fence_query& m, reduce_context& ctx) {
    // Without the lease, orders sent by another leader could be missing from the reply.
    if (!serving_ || !Core().IsReadyLeader(ctx.now)) {
      fence_reply refused;
      refused.sequence = m.sequence;
      refused.agent_incarnation = m.agent_incarnation;
      refused.leader_hint = Core().LeaderAddress();
      ctx.Emit(send_message{link, std::move(refused)});
      return;
    }
    log_.Machine().Orders().OnQuery(link, m, State().Orders(), State().LastIndex(), ctx);
  }

  void Handle(link_id, const order_reply& m, reduce_context& ctx) {
    if (serving_) log_.Machine().Orders().OnReply(m, State().Orders(), log_, ctx);
  }

  const raft_core& Core() const { return log_.Core(); }
  const state_machine& State() const { return log_.Machine().State(); }
  const config_leases& Leases() const { return log_.Machine().Leases(); }
  const group_server& Groups() const { return log_.Machine().Groups(); }
  /// Must be called before the first event.
  void ConfigureGroups(const group_settings& settings) {
    log_.Machine().Groups() = group_server(settings);
  }

  /// Sets the availability zones that evacuation orders may name; must be called before the first
  /// event.
  void SetKnownZones(std::vector<std::string> zones) { evacuations_.SetZones(std::move(zones)); }

  /// Sets the availability zone of this process; must be called before the first event.
  void SetZone(std::string zone) { engines_.SetZone(std::move(zone)); }

  /// For a replica that joins its group by itself; must be called before the first event.
  void SetGroupJoiner(group_joiner joiner) { joiner_.emplace(std::move(joiner)); }

 private:
  leadership Leadership(steady_time now) const {
    return {Core().IsReadyLeader(now), Core().Term(), Core().LeaderAddress()};
  }

  void UpdateRole(reduce_context& ctx) {
    documents_.OnProgress(Core(), State().Config(), ctx);
    evacuations_.OnProgress(Core(), ctx);
    if (joiner_) joiner_->OnProgress(Core(), ctx);
    engines_.OnProgress(Leadership(ctx.now), ctx);
    bool is_leader = Core().Role() == raft_role::kLeader && !Core().Failure();
    if (serving_ && (!is_leader || Core().Term() != serving_term_)) {
      log_.Machine().Records().StepDown();
      log_.Machine().Orders().StepDown();
      log_.Machine().Leases().StepDown();
      log_.Machine().Groups().StepDown();
      serving_ = false;
    }
    if (!serving_ && Core().IsReadyLeader(ctx.now)) {
      log_.Machine().Leases().BecomeLeader(ctx.now);
      log_.Machine().Groups().BecomeLeader();
      serving_ = true;
      serving_term_ = Core().Term();
    }
  }

  replicated_log<controller_state<Codec>> log_;
  document_server documents_;
  evacuation_server evacuations_;
  engine_groups engines_;
  std::optional<group_joiner> joiner_;
  bool serving_ = false;
  std::uint64_t serving_term_ = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONTROLLER_LOG_H_
