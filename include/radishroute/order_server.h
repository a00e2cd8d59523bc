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

/// Leader's side of orders: sends the oldest pending order of each backend server to its agent and
/// proposes the end that the agent reports.
class order_server {
 public:
  /// Answers a query, and repeats the pending order of the backend server. `last_index` is the
  /// index of the last entry applied: no later order has a token up to it.
  void OnQuery(link_id link, const fence_query& query, const order_table& orders,
               std::uint64_t last_index, reduce_context& ctx);

  template <proposal_log L>
  void OnReply(const order_reply& reply, const order_table& orders, L& log, reduce_context& ctx) {
    const order_record* record = orders.FindToken(reply.token);
    bool ends = record != nullptr && record->status == order_status::kPending &&
                record->order.backend == reply.backend && reply.status != order_status::kPending;
    if (!ends || proposed_.contains(reply.token)) return;
    if (log.Propose(order_completion{reply.token, reply.status}, ctx)) {
      proposed_.insert(reply.token);
    }
  }

  /// To be called for every entry, directly after it was applied.
  void OnApplied(const log_entry& entry, const order_table& orders, reduce_context& ctx);
  void OnClosed(link_id link);
  void StepDown();

 private:
  struct agent_session {
    link_id link;
    std::uint64_t incarnation = 0;
  };

  void SendNext(const std::string& backend, const order_table& orders, reduce_context& ctx) const;

  /// By the name of the backend server.
  std::map<std::string, agent_session> agents_;
  /// Tokens whose completion is in the log and not applied yet.
  std::set<std::uint64_t> proposed_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ORDER_SERVER_H_
