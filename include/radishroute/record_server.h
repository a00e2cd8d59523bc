#ifndef RADISHROUTE_RECORD_SERVER_H_
#define RADISHROUTE_RECORD_SERVER_H_

#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "radishroute/command.h"
#include "radishroute/event.h"
#include "radishroute/reduce_context.h"
#include "radishroute/state_machine.h"

namespace radishroute {

/// Interface of the replicated log for proposals. Propose returns no position if this process is
/// not the leader, and applies no entry before it returns, even in a group with a single voter.
template <class L>
concept proposal_log = requires(L log, command c, reduce_context& ctx) {
  { log.Propose(std::move(c), ctx) } -> std::same_as<std::optional<log_position>>;
};

/// Handles claims and outcomes on the leader: proposes them and replies once they are applied.
class record_server {
 public:
  /// Maximum number of held claims that wait for the holder's outcome.
  static constexpr std::size_t kMaxWatchers = 20000;
  static constexpr std::size_t kMaxProposals = 100000;

  template <proposal_log L>
  void OnClaim(link_id link, const claim_request& request, L& log, reduce_context& ctx) {
    if (proposals_.size() >= kMaxProposals) return;
    record_claim claim = request.claim;
    claim.at = ctx.wall;
    if (auto at = log.Propose(std::move(claim), ctx)) {
      proposals_[at->index] = {at->term, link, request.proposal};
    }
  }

  template <proposal_log L>
  void OnOutcome(link_id link, const outcome_request& request, L& log, reduce_context& ctx) {
    if (proposals_.size() >= kMaxProposals) return;
    if (auto at = log.Propose(request.outcome, ctx)) {
      proposals_[at->index] = {at->term, link, request.proposal};
    }
  }

  /// Must be called for every log entry, directly after it was applied.
  void OnApplied(const log_entry& entry, const apply_result& result, const record_table& records,
                 reduce_context& ctx);
  void OnClosed(link_id link);
  void StepDown();

 private:
  struct proposal {
    std::uint64_t term = 0;
    link_id link;
    std::uint64_t number = 0;
  };
  using record_key = std::pair<std::string, std::string>;

  void Reply(const proposal& from, const record_key& key, const claim_result& result,
             reduce_context& ctx);
  void NotifyWatchers(const record_key& key, const record_table& records, reduce_context& ctx);

  /// Proposals by log index.
  std::map<std::uint64_t, proposal> proposals_;
  std::multimap<record_key, proposal> watchers_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECORD_SERVER_H_
