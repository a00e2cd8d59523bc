#ifndef RADISHROUTE_TESTS_ENGINE_GROUP_WORLD_H_
#define RADISHROUTE_TESTS_ENGINE_GROUP_WORLD_H_

#include <array>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/experts/engine_groups.h"
#include "radishroute/experts/engine_watch.h"

namespace radishroute {

/// Engine of one rank that executes orders as the platform's page on engines says.
struct fake_rank {
  std::uint64_t map = 0;
  std::uint64_t prepared = 0;
  std::uint64_t highest = 0;
  std::uint64_t armed = 0;
  std::uint64_t armed_step = 0;
  std::uint64_t held_step = 0;
  std::uint64_t highest_token = 0;
  std::uint64_t started = 1;
  /// Refuses all prepare orders.
  bool refuses_maps = false;
  std::optional<std::pair<steady_time, std::uint64_t>> copying;
  /// Whole map by version.
  std::map<std::uint64_t, std::vector<std::int32_t>> contents;
  std::vector<std::int64_t> counts;
};

/// A leader's `engine_groups`, and for each rank of a group an `engine_watch` with a fake engine.
/// The test decides which orders the engines leave unanswered and carry out late, and interrupts
/// the leader, sidecars and engines. The network delivers in order, within one step.
class engine_group_world {
 public:
  static constexpr std::uint32_t kRanks = 3;
  static constexpr std::uint32_t kExperts = 18;
  static constexpr std::uint32_t kSlots = 9;
  static constexpr std::uint32_t kSpare = 2;
  static constexpr std::chrono::milliseconds kStep{20};
  static constexpr std::chrono::milliseconds kPass{60};
  static constexpr std::chrono::milliseconds kCopyTime{40};
  /// An engine's response that takes longer counts as lost.
  static constexpr std::chrono::milliseconds kCallTimeout{100};

  /// The orders with these numbers, counted from 1, get no response and are carried out after
  /// `late_by`, by each rank in turn one step later; if `late_by` is unset, they are lost.
  struct late_orders {
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    std::optional<std::chrono::milliseconds> late_by;
  };

  engine_group_world() : leader_(std::make_unique<engine_groups>()) {
    for (std::uint32_t r = 0; r < kRanks; ++r) {
      ranks_[r].counts.assign(kExperts, 0);
      ranks_[r].contents[0] = InitialMap();
      StartSidecar(r);
    }
    Publish();
  }

  void Run(std::chrono::milliseconds time) {
    for (steady_time end = clock_.Now() + time; clock_.Now() < end;) Step();
  }

  /// Runs until `orders` orders have been sent to engines since the start, or for `limit`.
  bool RunUntilOrder(std::uint64_t orders, std::chrono::milliseconds limit) {
    for (steady_time end = clock_.Now() + limit; clock_.Now() < end && orders_ < orders;) Step();
    return orders_ >= orders;
  }

  /// The leader's lease expires, and is renewed after `time` in the same term.
  void LoseLease(std::chrono::milliseconds time) { lease_lost_until_ = clock_.Now() + time; }
  /// The leader handles nothing for `time`; then its lease has expired until it is confirmed.
  void PauseLeader(std::chrono::milliseconds time) {
    paused_until_ = clock_.Now() + time;
    lease_lost_until_ = *paused_until_ + 2 * kStep;
  }
  /// Another process leads in the next term, or the same one after a restart.
  void ChangeLeader() {
    leader_ = std::make_unique<engine_groups>();
    ++term_;
    Publish();
    to_leader_.clear();
    for (std::uint32_t r = 0; r < kRanks; ++r) CloseLink(r);
  }
  void RestartSidecar(std::uint32_t rank) {
    CloseLink(rank);
    to_sidecar_[rank].clear();
    StartSidecar(rank);
  }
  /// The engine starts anew, and the group opens in a new epoch.
  void RestartEngine(std::uint32_t rank) {
    ++epoch_;
    std::uint64_t started = ranks_[rank].started + 1;
    for (fake_rank& r : ranks_) {
      fake_rank opened;
      opened.highest_token = r.highest_token;
      opened.started = r.started;
      opened.counts = r.counts;
      opened.contents[0] = InitialMap();
      r = std::move(opened);
    }
    ranks_[rank].highest_token = 0;
    ranks_[rank].started = started;
    ranks_[rank].counts.assign(kExperts, 0);
  }
  /// From now on, prepare orders get no effect.
  void RefuseMaps() {
    for (fake_rank& r : ranks_) r.refuses_maps = true;
  }

  void SetLate(const late_orders& late) { late_ = late; }
  std::uint64_t Orders() const { return orders_; }
  std::uint64_t Changes() const { return changes_; }
  std::uint64_t Pass() const { return step_; }
  steady_time Now() const { return clock_.Now(); }
  /// First rule that was broken; empty if none.
  const std::string& Failure() const { return failure_; }
  /// Load reports that the leader has sent, as (term, sequence).
  const std::vector<std::pair<std::uint64_t, std::uint64_t>>& Loads() const { return loads_; }

 private:
  struct late_order {
    steady_time at;
    std::uint32_t rank;
    engine_command order;
  };

  /// A status in transit to the leader.
  struct sent_status {
    link_id link;
    engine_status status;
  };

  /// A message in transit to a sidecar.
  struct sent_message {
    link_id link;
    message body;
  };

  static std::vector<std::int32_t> InitialMap() {
    std::vector<std::int32_t> map(kRanks * kSlots, -1);
    for (std::uint32_t e = 0; e < kExperts; ++e) {
      map[e % kRanks * kSlots + e / kRanks] = static_cast<std::int32_t>(e);
    }
    return map;
  }

  std::vector<std::int32_t> Held(const fake_rank& rank, std::uint32_t r) const {
    const std::vector<std::int32_t>& map = rank.contents.at(rank.map);
    auto begin = map.begin() + static_cast<std::ptrdiff_t>(r * kSlots);
    return {begin, begin + kSlots};
  }

  template <class Handle>
  effect_list Reduce(Handle&& handle) {
    effect_list effects;
    reduce_context ctx{clock_.Now(), clock_.WallNow(), random_, effects};
    handle(ctx);
    return effects;
  }

  void Fail(std::string what) {
    if (failure_.empty()) failure_ = std::move(what);
  }

  void Publish() {
    deployment d;
    d.version = 1;
    engine_profile profile;
    profile.expert_sets = 1;
    profile.experts = kExperts;
    profile.expert_slots_per_rank = kSlots;
    profile.spare_expert_slots_per_rank = kSpare;
    profile.expert_copy_time = kCopyTime;
    d.services = {{"s", {}, 0, profile}};
    leader_->OnDeployment(route_index(d));
    (void)Reduce([&](reduce_context&) {
      leader_->Handle(link_opened{{900}, {1, {9, 9}, process_role::kEntry, "gw", "", ""}, {}});
    });
  }

  leadership Role() const { return {clock_.Now() >= lease_lost_until_, term_, controller_}; }

  void Step() {
    clock_.Advance(kStep);
    DeliverLate();
    for (std::uint32_t r = 0; r < kRanks; ++r) {
      ToWatch(r, [&](engine_watch& w, reduce_context& ctx) { w.Handle(timer_expired{}, ctx); });
    }
    RunLeader();
    for (std::uint32_t r = 0; r < kRanks; ++r) {
      for (auto inbox = std::exchange(to_sidecar_[r], {}); const sent_message& sent : inbox) {
        if (sent.link != links_[r]) continue;
        ToWatch(r, [&](engine_watch& w, reduce_context& ctx) {
          if (const auto* m = std::get_if<engine_status_reply>(&sent.body)) {
            w.Handle(sent.link, *m, ctx);
          }
          if (const auto* m = std::get_if<engine_command>(&sent.body)) w.Handle(sent.link, *m, ctx);
        });
      }
      CheckTimeout(r);
    }
    if (clock_.Now() >= next_pass_) BeginPass();
  }

  void RunLeader() {
    if (paused_until_ && clock_.Now() < *paused_until_) return;
    paused_until_.reset();
    for (auto inbox = std::exchange(to_leader_, {}); const sent_status& sent : inbox) {
      FromLeader(
          Reduce([&](auto& ctx) { leader_->OnStatus(sent.link, sent.status, Role(), ctx); }));
    }
    FromLeader(Reduce([&](auto& ctx) { leader_->OnProgress(Role(), ctx); }));
  }

  void FromLeader(const effect_list& effects) {
    for (const effect& one : effects) {
      if (const auto* sent = std::get_if<send_message>(&one)) {
        for (std::uint32_t r = 0; r < kRanks; ++r) {
          if (links_[r] == sent->link) to_sidecar_[r].push_back({sent->link, sent->body});
        }
        if (const auto* c = std::get_if<engine_command>(&sent->body)) OnCommandSent(*c);
      }
      if (const auto* sent = std::get_if<broadcast_message>(&one)) {
        const auto* load = std::get_if<fleet_load>(&sent->body);
        if (load != nullptr) loads_.emplace_back(load->term, load->sequence);
      }
    }
  }

  // A version must name one map, whichever leader sends it.
  void OnCommandSent(const engine_command& c) {
    if (c.operation != engine_operation::kPrepare) return;
    auto [it, added] = sent_maps_.try_emplace({c.epoch, c.map_version}, c.experts);
    if (!added && it->second != c.experts) Fail("a version is sent with two maps");
  }

  template <class Call>
  void ToWatch(std::uint32_t r, Call&& call) {
    FromWatch(r, Reduce([&](auto& ctx) { call(*watches_[r], ctx); }));
  }

  void StartSidecar(std::uint32_t r) {
    watches_[r].emplace(endpoint{"10.0.0.1", static_cast<std::uint16_t>(80 + r)},
                        std::vector<endpoint>{controller_});
    in_flight_[r].reset();
    ToWatch(r, [&](engine_watch& w, auto& ctx) { w.Handle(process_started{}, ctx); });
  }

  void CloseLink(std::uint32_t r) {
    if (links_[r].value == 0) return;
    link_id closed = std::exchange(links_[r], {});
    ToWatch(r, [&](engine_watch& w, auto& ctx) {
      w.Handle(link_closed{closed, controller_, {}}, ctx);
    });
  }

  void FromWatch(std::uint32_t r, const effect_list& effects) {
    for (const effect& one : effects) {
      if (std::holds_alternative<open_link>(one)) {
        links_[r] = {next_link_++};
        ToWatch(r, [&](engine_watch& w, auto& ctx) {
          w.Handle(link_opened{links_[r], {}, controller_}, ctx);
        });
      } else if (const auto* closed = std::get_if<close_link>(&one)) {
        if (links_[r] == closed->link) links_[r] = {};
      } else if (const auto* sent = std::get_if<send_message>(&one)) {
        const auto* status = std::get_if<engine_status>(&sent->body);
        if (status != nullptr) to_leader_.push_back({sent->link, *status});
      } else if (const auto* usage = std::get_if<read_expert_usage>(&one)) {
        ReadUsage(r, usage->with_experts);
      } else if (std::holds_alternative<read_engine_report>(one)) {
        engine_report_read read{Report(r)};
        ToWatch(r, [&](engine_watch& w, auto& ctx) { w.Handle(read, ctx); });
      } else if (const auto* order = std::get_if<send_engine_command>(&one)) {
        OnOrder(r, order->command);
      }
    }
  }

  void ReadUsage(std::uint32_t r, bool with_experts) {
    expert_usage usage;
    usage.counts = ranks_[r].counts;
    if (with_experts) {
      usage.experts = Held(ranks_[r], r);
      usage.experts_version = ranks_[r].map;
    }
    ToWatch(r, [&](engine_watch& w, auto& ctx) { w.Handle(expert_usage_read{usage}, ctx); });
  }

  engine_report Report(std::uint32_t r) {
    fake_rank& rank = ranks_[r];
    FinishCopy(rank);
    engine_report out;
    out.group = "g";
    out.epoch = epoch_;
    out.rank = r;
    out.ranks = kRanks;
    out.open = true;
    out.step = step_;
    out.map_version = rank.map;
    out.prepared_version = rank.prepared;
    out.armed_version = rank.armed;
    out.armed_step = rank.armed_step;
    out.held_step = rank.held_step;
    out.running = 2;
    out.started = rank.started;
    return out;
  }

  void OnOrder(std::uint32_t r, const engine_command& order) {
    ++orders_;
    in_flight_[r] = {order.number, clock_.Now()};
    if (orders_ >= late_.first && orders_ <= late_.last) {
      if (late_.late_by)
        late_queue_.push_back({clock_.Now() + *late_.late_by + r * kStep, r, order});
      return;
    }
    Finish(r, order.number, Execute(r, order));
  }

  void CheckTimeout(std::uint32_t r) {
    if (!in_flight_[r] || clock_.Now() - in_flight_[r]->second < kCallTimeout) return;
    Finish(r, in_flight_[r]->first, engine_order_result::kUnknown);
  }

  void Finish(std::uint32_t r, std::uint64_t number, engine_order_result result) {
    in_flight_[r].reset();
    ToWatch(r, [&](engine_watch& w, auto& ctx) {
      w.Handle(engine_command_done{number, result}, ctx);
    });
  }

  void DeliverLate() {
    for (auto queue = std::exchange(late_queue_, {}); const late_order& late : queue) {
      if (late.at > clock_.Now()) {
        late_queue_.push_back(late);
      } else {
        (void)Execute(late.rank, late.order);
      }
    }
  }

  static void FinishCopy(fake_rank& rank, steady_time now) {
    if (!rank.copying || rank.copying->first > now) return;
    rank.prepared = rank.copying->second;
    rank.copying.reset();
  }
  void FinishCopy(fake_rank& rank) { FinishCopy(rank, clock_.Now()); }

  engine_order_result Execute(std::uint32_t r, const engine_command& c) {
    fake_rank& rank = ranks_[r];
    FinishCopy(rank);
    if (c.epoch != epoch_) return engine_order_result::kConflict;
    if (c.term < rank.highest_token) return engine_order_result::kFenced;
    rank.highest_token = c.term;
    switch (c.operation) {
      case engine_operation::kPrepare:
        return Prepare(rank, c);
      case engine_operation::kArm:
        if (rank.armed == c.map_version && rank.armed_step == c.step) break;
        if (rank.prepared != c.map_version || c.step <= step_)
          return engine_order_result::kConflict;
        rank.armed = c.map_version;
        rank.armed_step = c.step;
        break;
      case engine_operation::kDisarm:
        if (rank.map == c.map_version) return engine_order_result::kConflict;
        if (rank.armed == c.map_version) rank.armed = rank.armed_step = 0;
        break;
      case engine_operation::kHold:
        if (c.step <= step_ || (rank.held_step != 0 && rank.held_step != c.step)) {
          return engine_order_result::kConflict;
        }
        rank.held_step = c.step;
        break;
      case engine_operation::kRelease:
        if (rank.held_step != c.step) return engine_order_result::kConflict;
        rank.held_step = 0;
        break;
    }
    return engine_order_result::kAccepted;
  }

  engine_order_result Prepare(fake_rank& rank, const engine_command& c) {
    if (c.map_version <= rank.highest || rank.armed != 0 || rank.refuses_maps) {
      return engine_order_result::kConflict;
    }
    rank.highest = c.map_version;
    rank.contents[c.map_version] = c.experts;
    rank.copying = {clock_.Now() + kCopyTime, c.map_version};
    return engine_order_result::kAccepted;
  }

  void BeginPass() {
    next_pass_ = clock_.Now() + kPass;
    for (const fake_rank& r : ranks_) {
      if (r.held_step == step_ + 1) return;
    }
    ++step_;
    for (fake_rank& r : ranks_) {
      if (r.armed == 0 || r.armed_step != step_) continue;
      r.map = r.armed;
      r.armed = r.armed_step = r.prepared = 0;
      if (&r == &ranks_.front()) ++changes_;
    }
    const fake_rank& first = ranks_.front();
    for (fake_rank& r : ranks_) {
      if (r.map != first.map) Fail("a pass begins with two versions");
      if (r.contents.at(r.map) != first.contents.at(first.map)) {
        Fail("a pass begins with two maps under one version");
      }
      // Every two seconds other experts are in demand.
      auto hot =
          static_cast<std::uint64_t>(clock_.Now().time_since_epoch() / std::chrono::seconds(2)) *
          5 % kExperts;
      for (std::uint64_t e = 0; e < kExperts; ++e) {
        r.counts[e] += e == hot || e == (hot + kRanks) % kExperts ? 400 : 20;
      }
    }
  }

  endpoint controller_{"10.0.0.9", 9000};
  manual_clock clock_;
  random_source random_{1};
  std::unique_ptr<engine_groups> leader_;
  std::uint64_t term_ = 1;
  steady_time lease_lost_until_{};
  std::optional<steady_time> paused_until_;
  std::deque<sent_status> to_leader_;
  std::array<std::deque<sent_message>, kRanks> to_sidecar_;
  std::array<std::optional<engine_watch>, kRanks> watches_;
  std::array<link_id, kRanks> links_{};
  std::uint64_t next_link_ = 1;
  std::array<fake_rank, kRanks> ranks_;
  std::array<std::optional<std::pair<std::uint64_t, steady_time>>, kRanks> in_flight_;
  late_orders late_;
  std::vector<late_order> late_queue_;
  std::map<std::pair<std::uint64_t, std::uint64_t>, std::vector<std::int32_t>> sent_maps_;
  std::vector<std::pair<std::uint64_t, std::uint64_t>> loads_;
  std::uint64_t epoch_ = 1;
  std::uint64_t step_ = 10;
  steady_time next_pass_{};
  std::uint64_t orders_ = 0;
  std::uint64_t changes_ = 0;
  std::string failure_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_ENGINE_GROUP_WORLD_H_
