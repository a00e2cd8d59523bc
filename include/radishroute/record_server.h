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

/// The part of the replicated log that proposals need. Propose returns nothing if this process is
/// not the leader, and applies nothing before it returns, also in a group of one voter.
template <class L>
concept proposal_log = requires(L log, command c, reduce_context& ctx) {
  { log.Propose(std::move(c), ctx) } -> std::same_as<std::optional<log_position>>;
};

/// Leader's side of claims and outcomes: proposes them and answers once they are applied.
class record_server {
 public:
  /// Claims on held keys whose entries wait for the outcome, at most.
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

  /// To be called for every entry, directly after it was applied.
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

  void Answer(const proposal& from, const record_key& key, const claim_result& result,
              reduce_context& ctx);
  void NotifyWatchers(const record_key& key, const record_table& records, reduce_context& ctx);

  /// By log index.
  std::map<std::uint64_t, proposal> proposals_;
  std::multimap<record_key, proposal> watchers_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECORD_SERVER_H_
