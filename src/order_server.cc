#include "radishroute/order_server.h"

#include <utility>
#include <variant>

namespace radishroute {

void order_server::OnQuery(link_id link, const fence_query& query, const order_table& orders,
                           std::uint64_t last_index, reduce_context& ctx) {
  agent_session& session = agents_[query.backend];
  // A link of an earlier incarnation of the agent may still be open.
  if (query.agent_incarnation < session.incarnation) return;
  session = {link, query.agent_incarnation};
  const order_record* next = orders.NextPending(query.backend);
  fence_reply reply;
  reply.sequence = query.sequence;
  reply.agent_incarnation = query.agent_incarnation;
  reply.granted = true;
  reply.fence = next == nullptr ? last_index : next->token - 1;
  ctx.Emit(send_message{link, std::move(reply)});
  SendNext(query.backend, orders, ctx);
}

void order_server::SendNext(const std::string& backend, const order_table& orders,
                            reduce_context& ctx) const {
  auto agent = agents_.find(backend);
  const order_record* next = orders.NextPending(backend);
  if (agent == agents_.end() || next == nullptr) return;
  ctx.Emit(count{counter::kOrdersSent});
  ctx.Emit(send_message{agent->second.link, fenced_order{backend, next->token, next->order.kind,
                                                         next->order.name, next->order.bytes}});
}

void order_server::OnApplied(const log_entry& entry, const order_table& orders,
                             reduce_context& ctx) {
  if (std::holds_alternative<order_submission>(entry.body)) {
    const order_record* record = orders.FindToken(entry.index);
    if (record == nullptr) return;
    const std::string& backend = record->order.backend;
    ctx.Emit(write_log{{event_code::kOrderCommitted,
                        log_level::kInfo,
                        {{"backend", backend},
                         {"token", std::to_string(entry.index)},
                         {"order", std::string(ToString(record->order.kind))},
                         {"status", std::string(ToString(record->status))}}}});
    // If an earlier order is pending, it must end first.
    if (orders.NextPending(backend) == record) SendNext(backend, orders, ctx);
  } else if (const auto* completion = std::get_if<order_completion>(&entry.body)) {
    proposed_completions_.erase(completion->token);
    const order_record* record = orders.FindToken(completion->token);
    if (record == nullptr) return;
    ctx.Emit(write_log{{event_code::kOrderEnded,
                        log_level::kInfo,
                        {{"backend", record->order.backend},
                         {"token", std::to_string(completion->token)},
                         {"status", std::string(ToString(record->status))}}}});
    SendNext(record->order.backend, orders, ctx);
  }
}

void order_server::OnClosed(link_id link) {
  std::erase_if(agents_, [&](const auto& item) { return item.second.link == link; });
}

void order_server::StepDown() {
  agents_.clear();
  proposed_completions_.clear();
}

}  // namespace radishroute
