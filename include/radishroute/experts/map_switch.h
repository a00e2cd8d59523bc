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
  /// A rank whose last status is older is not known.
  std::chrono::milliseconds fresh{1500};
  /// A command without a status that answers it is sent again after this time.
  std::chrono::milliseconds repeat{120};
  /// Copies of experts take a fraction of a second; a change that is not prepared by then is given
  /// up.
  std::chrono::milliseconds prepare{4000};
  /// Passes between the newest known one and the one at which a switch takes place.
  std::uint64_t first_lead = 4;
  std::uint64_t longest_lead = 64;
};

/// Changes the expert map of one group while it runs, so that no pass begins under two maps.
///
/// All ranks copy the new experts. Then one rank holds a pass a little ahead, which keeps the whole
/// group from beginning it, all ranks are armed for that pass, and only when each has been seen
/// armed is it released. What is doubtful stays held until it is known: a rank that may still be
/// armed by a late order must not be passed by.
class map_switch {
 public:
  enum class phase : std::uint8_t { kWatching, kPreparing, kHolding, kArming, kReleasing };

  explicit map_switch(map_switch_limits limits = {}) : limits_(limits) {}

  void OnStatus(link_id link, const engine_status& status, steady_time now);
  /// Sends what the phase needs. `term` is that of the leader, which this process is.
  void Advance(std::uint64_t term, reduce_context& ctx);
  /// Starts a change; ignored unless the group is known and no change is under way.
  void Begin(const group_shape& shape, const expert_placement& to, std::uint64_t term,
             reduce_context& ctx);
  /// Forgets everything; another process may lead from now on.
  void Reset() { *this = map_switch(limits_); }

  phase Phase() const { return phase_; }
  /// All ranks have been heard lately in one epoch of an open group.
  bool Known(steady_time now) const;
  /// Some rank reports that the group makes no passes. A rank that is silent says nothing: its
  /// sidecar may be gone while its engine runs.
  bool Down(steady_time now) const;
  /// The group is known, at rest, and every rank has the same map.
  bool ReadyToChange(steady_time now) const;
  /// Whether the experts that a rank holds now are not known.
  bool NeedsExperts(std::uint32_t rank) const;
  std::uint64_t MapVersion() const;
  std::uint64_t NewestStep() const;
  /// Requests at each engine that was heard lately.
  std::vector<fleet_engine_load> Loads(steady_time now) const;
  std::uint64_t Epoch() const { return epoch_; }
  std::uint32_t Ranks() const { return static_cast<std::uint32_t>(ranks_.size()); }
  /// Experts by rank as the ranks report them for the map in force; nothing if one is missing.
  std::optional<expert_placement> Placement(const group_shape& shape) const;

 private:
  struct rank_view {
    std::optional<link_id> link;
    engine_status status;
    steady_time heard;
    /// Experts that the rank reported last, and under which map.
    std::vector<std::int32_t> experts;
    std::uint64_t experts_version = 0;
    bool experts_known = false;
    std::uint64_t outstanding = 0;
    steady_time sent;
    engine_operation operation = engine_operation::kPrepare;
    steady_time uncertain_until;
  };

  void Send(rank_view& rank, engine_command order, std::uint64_t term, reduce_context& ctx);
  bool MaySend(const rank_view& rank, engine_operation operation, steady_time now) const;
  void Enter(phase next, reduce_context& ctx);
  void Watch(std::uint64_t term, reduce_context& ctx);
  void Prepare(std::uint64_t term, reduce_context& ctx);
  void Hold(std::uint64_t term, reduce_context& ctx);
  void Arm(std::uint64_t term, reduce_context& ctx);
  void Release(std::uint64_t term, reduce_context& ctx);
  bool FenceAll(std::uint64_t term, reduce_context& ctx);
  rank_view* Holder();

  map_switch_limits limits_;
  phase phase_ = phase::kWatching;
  std::uint64_t epoch_ = 0;
  std::vector<rank_view> ranks_;
  std::uint64_t next_command_ = 1;
  std::uint64_t version_ = 0;
  std::uint64_t highest_version_ = 0;
  std::vector<std::int32_t> experts_;
  std::uint32_t sets_ = 0;
  std::uint64_t step_ = 0;
  std::uint64_t lead_ = 0;
  std::size_t holder_ = 0;
  steady_time entered_;
  /// Term under which every rank has answered an order, so that none takes an older leader's.
  std::uint64_t fenced_term_ = 0;
  std::vector<bool> fenced_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_MAP_SWITCH_H_
