#ifndef RADISHROUTE_RANK_AGENT_H_
#define RADISHROUTE_RANK_AGENT_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/group_settings.h"
#include "radishroute/leader_session.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Agent's side of one rank: reports its progress to the leader and forwards grants and maps to it.
class rank_agent {
 public:
  rank_agent(group_membership membership, std::vector<endpoint> controllers)
      : membership_(std::move(membership)), session_(std::move(controllers)) {}

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const link_progressed& progressed, reduce_context& ctx) {
    session_.OnProgress(progressed.link, ctx);
  }
  void Handle(const timer_expired& timer, reduce_context& ctx);
  void Handle(const rank_call_finished& finished, reduce_context& ctx);
  void Handle(link_id link, const group_grant& grant, reduce_context& ctx);

 private:
  void CallRank(reduce_context& ctx);
  void Report(reduce_context& ctx);
  void CheckStepGranted(reduce_context& ctx);

  group_membership membership_;
  leader_session session_;
  rank_grants grants_;
  std::vector<step_range> ranges_;
  std::uint64_t droppable_through_ = 0;
  /// Placements of the maps that the rank may have to load.
  std::map<std::uint64_t, expert_placement> maps_;
  rank_progress progress_;
  bool beyond_grant_logged_ = false;
  std::uint64_t call_number_ = 0;
  steady_time next_call_{};
  std::uint64_t next_sequence_ = 1;
  steady_time next_report_{};
  /// Sequence number of the report with the newest counts, and the last window that the leader has
  /// acknowledged.
  std::uint64_t counts_sequence_ = 0;
  std::uint64_t acknowledged_window_ = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RANK_AGENT_H_
