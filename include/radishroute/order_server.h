#ifndef RADISHROUTE_ORDER_SERVER_H_
#define RADISHROUTE_ORDER_SERVER_H_

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "radishroute/command.h"
#include "radishroute/event.h"
#include "radishroute/order_table.h"
#include "radishroute/record_server.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Leader side of orders: sends the oldest pending order of each backend server to its agent and
/// proposes the completion that the agent reports.
class order_server {
 public:
  /// Answers a query, and repeats the oldest pending order of the backend server. `last_index` is
  /// the index of the last entry applied; every later order has a higher token.
  void OnQuery(link_id link, const fence_query& query, const order_table& orders,
               std::uint64_t last_index, reduce_context& ctx);

  template <proposal_log L>
  void OnReply(const order_reply& reply, const order_table& orders, L& log, reduce_context& ctx) {
    const order_record* record = orders.FindToken(reply.token);
    bool completes = record != nullptr && record->status == order_status::kPending &&
                     record->order.backend == reply.backend &&
                     reply.status != order_status::kPending;
    if (!completes || proposed_completions_.contains(reply.token)) return;
    if (log.Propose(order_completion{reply.token, reply.status}, ctx)) {
      proposed_completions_.insert(reply.token);
    }
  }

  /// Must be called for every log entry, directly after it was applied.
  void OnApplied(const log_entry& entry, const order_table& orders, reduce_context& ctx);
  void OnClosed(link_id link);
  void StepDown();

 private:
  struct agent_session {
    link_id link;
    std::uint64_t incarnation = 0;
  };

  void SendNext(const std::string& backend, const order_table& orders, reduce_context& ctx) const;

  /// Keyed by the name of the backend server.
  std::map<std::string, agent_session> agents_;
  /// Tokens whose completion has been proposed but not applied yet.
  std::set<std::uint64_t> proposed_completions_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ORDER_SERVER_H_
