#ifndef RADISHROUTE_EXPERTS_MAP_SWITCH_H_
#define RADISHROUTE_EXPERTS_MAP_SWITCH_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/engine_message.h"
#include "radishroute/placement.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

struct map_switch_limits {
  /// The state of a rank is unknown if its last status is older than this.
  std::chrono::milliseconds max_status_age{1500};
  /// Time after which a command that no status acknowledges is sent again.
  std::chrono::milliseconds resend_after{120};
  /// A change that is not prepared within this time is abandoned; copying experts takes a fraction
  /// of a second.
  std::chrono::milliseconds prepare_timeout{4000};
  /// Time for which an order whose result is unknown may still be carried out: engines do so within
  /// 12 s.
  std::chrono::milliseconds max_order_delay{15000};
  /// Number of forward passes from the newest known pass to the pass at which the ranks switch
  /// maps.
  std::uint64_t initial_lead = 4;
  std::uint64_t max_lead = 64;
};

/// Changes the expert map of one running group, so that all ranks begin each forward pass with the
/// same map. A forward pass is one step of the group's batch over all layers.
///
/// First all ranks copy the new experts. Then one rank holds a pass a few steps ahead, which keeps
/// the whole group from beginning it. All ranks are armed to switch maps at that pass, and the pass
/// is released only after every rank has reported that it is armed. While the result of an order is
/// unknown the pass stays held, since a late order might still arm a rank.
///
/// Ranks compare maps by version only, so a version must never name two maps. An object belongs to
/// one term and must be kept until that term ends, also while the leader's lease has expired: it
/// numbers the versions and commands of its term.
class map_switch {
 public:
  enum class phase : std::uint8_t { kIdle, kPreparing, kHolding, kArming, kReleasing };

  /// `term` is the term in which this process leads.
  explicit map_switch(std::uint64_t term, map_switch_limits limits = {})
      : term_(term), limits_(limits) {}

  void OnStatus(link_id link, const engine_status& status, steady_time now);
  /// Sends the commands of the current phase.
  void Advance(reduce_context& ctx);
  /// Starts a change; ignored unless ReadyToChange() and HasVersions().
  void Begin(const group_shape& shape, const expert_placement& to, reduce_context& ctx);

  phase Phase() const { return phase_; }
  /// Whether all ranks have recently reported an open group, in the same epoch.
  bool AllRanksUp(steady_time now) const;
  /// Whether a rank has recently reported that the group makes no passes. A rank that does not
  /// report is not counted as down: its sidecar may have failed while its engine runs.
  bool AnyRankDown(steady_time now) const;
  /// Whether all ranks are up with the same map, and no change is in progress.
  bool ReadyToChange(steady_time now) const;
  /// Whether this term has versions left that no map has had.
  bool HasVersions() const;
  /// Whether it is unknown which experts a rank holds under its current map.
  bool NeedsExperts(std::uint32_t rank) const;
  std::uint64_t MapVersion() const;
  std::uint64_t NewestPass() const;
  /// Load of each engine that has reported recently.
  std::vector<fleet_engine_load> EngineLoads(steady_time now) const;
  std::uint64_t Epoch() const { return epoch_; }
  std::uint32_t Ranks() const { return static_cast<std::uint32_t>(ranks_.size()); }
  /// Placement that the ranks report for the current map; nullopt if a report is missing.
  std::optional<expert_placement> Placement(const group_shape& shape) const;

 private:
  struct rank_view {
    std::optional<link_id> link;
    /// Link that `link` has replaced; messages on it may still be in transit.
    std::optional<link_id> replaced_link;
    engine_status status;
    steady_time status_at;
    /// Experts that the rank last reported, and the version of their map.
    std::vector<std::int32_t> experts;
    std::uint64_t experts_version = 0;
    bool experts_known = false;
    /// Number of the command that no status has acknowledged yet; zero if there is none.
    std::uint64_t outstanding = 0;
    /// When the last command was sent, and its operation; unset if there was none.
    std::optional<steady_time> command_sent_at;
    engine_operation operation = engine_operation::kPrepare;
    steady_time uncertain_until;
    /// The engine has answered a command of this term, so it refuses those of earlier leaders.
    bool fenced = false;
  };

  void OnLinkChanged(rank_view& rank, link_id link, steady_time now) const;
  void Send(rank_view& rank, engine_command order, reduce_context& ctx);
  bool MaySend(const rank_view& rank, engine_operation operation, steady_time now) const;
  void EnterPhase(phase next, reduce_context& ctx);
  void ReleaseAbandonedHold(reduce_context& ctx);
  void Prepare(reduce_context& ctx);
  void Hold(reduce_context& ctx);
  void Arm(reduce_context& ctx);
  void Release(reduce_context& ctx);
  bool FenceAllRanks(reduce_context& ctx);
  std::uint64_t NextVersion() const;
  rank_view* HoldingRank();

  std::uint64_t term_;
  map_switch_limits limits_;
  phase phase_ = phase::kIdle;
  std::uint64_t epoch_ = 0;
  std::vector<rank_view> ranks_;
  std::uint64_t commands_sent_ = 0;
  std::uint64_t new_version_ = 0;
  std::uint64_t highest_version_ = 0;
  std::vector<std::int32_t> new_map_;
  std::uint32_t new_sets_ = 0;
  std::uint64_t switch_step_ = 0;
  std::uint64_t lead_passes_ = 0;
  std::size_t holder_index_ = 0;
  steady_time phase_entered_at_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_MAP_SWITCH_H_
