#ifndef RADISHROUTE_RECORD_CLIENT_H_
#define RADISHROUTE_RECORD_CLIENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <variant>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

struct record_client_limits {
  /// Maximum number of claims and outcomes in progress; further claims are refused.
  std::size_t max_pending = 20000;
  /// Time-out of a claim without a reply. Longer than a leader election (under 2 s), so that the
  /// loss of a leader alone causes no refusals.
  std::chrono::milliseconds claim_timeout{3000};
  /// Time-out of an outcome, which is sent again to each new leader until then. After the time-out
  /// the claim stays open.
  std::chrono::milliseconds outcome_timeout{30000};
  /// A claim whose key is held waits this long for the holder's outcome.
  std::chrono::milliseconds held_timeout{60000};
};

/// Sends the claims and outcomes of all traffic threads of an entry to the leader.
class record_client {
 public:
  explicit record_client(record_client_limits limits = {}) : limits_(limits) {}

  void Submit(const claim_submitted& submitted, std::optional<link_id> leader, reduce_context& ctx);
  void Submit(const outcome_submitted& submitted, std::optional<link_id> leader,
              reduce_context& ctx);
  void OnReply(const record_reply& reply, reduce_context& ctx);
  void OnReply(const outcome_reply& reply, reduce_context& ctx);
  /// Sends every claim and outcome in progress to a newly confirmed leader.
  void OnLeader(link_id leader, reduce_context& ctx);
  void OnTimer(reduce_context& ctx);

  std::size_t Pending() const { return pending_.size(); }

 private:
  struct pending_proposal {
    std::variant<claim_request, outcome_request> request;
    dispatch_id waiter;
    steady_time deadline;
  };

  void Add(std::uint64_t proposal, pending_proposal item, std::optional<link_id> leader,
           reduce_context& ctx);
  static void Send(const pending_proposal& item, link_id leader, reduce_context& ctx);
  void Erase(std::uint64_t proposal);
  /// Notifies the waiter that its claim or outcome was not committed.
  void ReportNotCommitted(const pending_proposal& item, claim_verdict verdict, reduce_context& ctx);

  record_client_limits limits_;
  std::uint64_t next_proposal_ = 1;
  std::map<std::uint64_t, pending_proposal> pending_;
  std::set<std::pair<steady_time, std::uint64_t>> deadlines_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECORD_CLIENT_H_
