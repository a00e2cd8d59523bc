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
  /// Claims and outcomes in progress at most; further claims are refused.
  std::size_t max_pending = 20000;
  /// A claim without an answer is given up after this time. Longer than the election of a leader
  /// (under 2 s), so that a lost leader alone refuses nothing.
  std::chrono::milliseconds claim_wait{3000};
  /// An outcome is sent again until this time; the claim stays open after it.
  std::chrono::milliseconds outcome_wait{30000};
  /// A claim whose key is held waits this long for the holder's outcome.
  std::chrono::milliseconds held_wait{60000};
};

/// Carries claims and outcomes of all traffic threads of an entry to the leader.
class record_client {
 public:
  explicit record_client(record_client_limits limits = {}) : limits_(limits) {}

  void Submit(const claim_submitted& submitted, std::optional<link_id> leader, reduce_context& ctx);
  void Submit(const outcome_submitted& submitted, std::optional<link_id> leader,
              reduce_context& ctx);
  void OnReply(const record_reply& reply, reduce_context& ctx);
  void OnReply(const outcome_reply& reply, reduce_context& ctx);
  /// A leader is confirmed; everything unanswered is sent to it.
  void OnLeader(link_id leader, reduce_context& ctx);
  void OnTimer(reduce_context& ctx);

  std::size_t Pending() const { return pending_.size(); }

 private:
  struct pending {
    std::variant<claim_request, outcome_request> request;
    dispatch_id waiter;
    steady_time deadline;
  };

  void Add(std::uint64_t proposal, pending item, std::optional<link_id> leader,
           reduce_context& ctx);
  static void Send(const pending& item, link_id leader, reduce_context& ctx);
  void Erase(std::uint64_t proposal);
  void GiveUp(const pending& item, claim_verdict verdict, reduce_context& ctx);

  record_client_limits limits_;
  std::uint64_t next_proposal_ = 1;
  std::map<std::uint64_t, pending> pending_;
  std::set<std::pair<steady_time, std::uint64_t>> deadlines_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECORD_CLIENT_H_
