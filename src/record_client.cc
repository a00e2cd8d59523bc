#include "radishroute/record_client.h"

namespace radishroute {

void record_client::Submit(const claim_submitted& submitted, std::optional<link_id> leader,
                           reduce_context& ctx) {
  std::uint64_t proposal = next_proposal_++;
  pending_proposal item{claim_request{proposal, submitted.claim}, submitted.claim.dispatch,
                        ctx.now + limits_.claim_timeout};
  if (pending_.size() >= limits_.max_pending) {
    ReportNotCommitted(item, claim_verdict::kQueueFull, ctx);
    return;
  }
  Add(proposal, std::move(item), leader, ctx);
}

void record_client::Submit(const outcome_submitted& submitted, std::optional<link_id> leader,
                           reduce_context& ctx) {
  std::uint64_t proposal = next_proposal_++;
  pending_proposal item{outcome_request{proposal, submitted.outcome}, submitted.waiter,
                        ctx.now + limits_.outcome_timeout};
  // Outcomes complete claims, so their limit is twice that of claims.
  if (pending_.size() >= 2 * limits_.max_pending) {
    ReportNotCommitted(item, claim_verdict::kQueueFull, ctx);
    return;
  }
  Add(proposal, std::move(item), leader, ctx);
}

void record_client::Add(std::uint64_t proposal, pending_proposal item,
                        std::optional<link_id> leader, reduce_context& ctx) {
  deadlines_.insert({item.deadline, proposal});
  ctx.Emit(schedule_wakeup{item.deadline});
  if (leader) Send(item, *leader, ctx);
  pending_.emplace(proposal, std::move(item));
}

void record_client::Send(const pending_proposal& item, link_id leader, reduce_context& ctx) {
  std::visit([&](const auto& request) { ctx.Emit(send_message{leader, request}); }, item.request);
}

void record_client::OnLeader(link_id leader, reduce_context& ctx) {
  for (const auto& [proposal, item] : pending_) Send(item, leader, ctx);
}

void record_client::Erase(std::uint64_t proposal) {
  auto it = pending_.find(proposal);
  deadlines_.erase({it->second.deadline, proposal});
  pending_.erase(it);
}

void record_client::OnReply(const record_reply& reply, reduce_context& ctx) {
  auto it = pending_.find(reply.proposal);
  if (it == pending_.end() || !std::holds_alternative<claim_request>(it->second.request)) return;
  ctx.Emit(deliver_claim_answer{{it->second.waiter, reply}});
  if (reply.verdict != claim_verdict::kHeld) {
    Erase(reply.proposal);
    return;
  }
  deadlines_.erase({it->second.deadline, reply.proposal});
  it->second.deadline = ctx.now + limits_.held_timeout;
  deadlines_.insert({it->second.deadline, reply.proposal});
}

void record_client::OnReply(const outcome_reply& reply, reduce_context& ctx) {
  auto it = pending_.find(reply.proposal);
  if (it == pending_.end() || !std::holds_alternative<outcome_request>(it->second.request)) return;
  ctx.Emit(deliver_outcome_answer{{it->second.waiter, true, reply.verdict}});
  Erase(reply.proposal);
}

void record_client::ReportNotCommitted(const pending_proposal& item, claim_verdict verdict,
                                       reduce_context& ctx) {
  if (std::holds_alternative<outcome_request>(item.request)) {
    ctx.Emit(deliver_outcome_answer{{item.waiter, false, outcome_verdict::kNotHolder}});
    return;
  }
  record_reply reply;
  reply.verdict = verdict;
  ctx.Emit(deliver_claim_answer{{item.waiter, reply}});
}

void record_client::OnTimer(reduce_context& ctx) {
  while (!deadlines_.empty() && deadlines_.begin()->first <= ctx.now) {
    std::uint64_t proposal = deadlines_.begin()->second;
    ReportNotCommitted(pending_.at(proposal), claim_verdict::kNoQuorum, ctx);
    Erase(proposal);
  }
  if (!deadlines_.empty()) ctx.Emit(schedule_wakeup{deadlines_.begin()->first});
}

}  // namespace radishroute
