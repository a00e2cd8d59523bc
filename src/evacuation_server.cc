#include "radishroute/evacuation_server.h"

#include <array>

namespace radishroute {

std::string_view ToString(evacuation_status status) {
  constexpr std::array<std::string_view, 4> kNames = {"accepted", "redirected", "unavailable",
                                                      "unknown-zone"};
  return kNames[static_cast<std::size_t>(status)];
}

void evacuation_server::Answer(exchange_id exchange, evacuation_status status,
                               const zone_evacuation& order, const endpoint& leader,
                               reduce_context& ctx) {
  ctx.Emit(write_log{{event_code::kEvacuationAnswered,
                      log_level::kInfo,
                      {{"zone", order.zone},
                       {"evacuated", order.evacuated ? "yes" : "no"},
                       {"status", std::string(ToString(status))},
                       {"leader", ToString(leader)}}}});
  ctx.Emit(evacuation_answered{exchange, status, order, leader});
}

bool evacuation_server::AnswerWithoutLog(const zone_evacuation_submitted& e, const raft_core& core,
                                         reduce_context& ctx) const {
  if (!zones_.empty() && zones_.find(e.order.zone) == zones_.end()) {
    Answer(e.exchange, evacuation_status::kUnknownZone, e.order, {}, ctx);
    return true;
  }
  if (core.Role() == raft_role::kLeader && !core.Failure()) return false;
  endpoint leader = core.LeaderAddress();
  auto status =
      leader.host.empty() ? evacuation_status::kUnavailable : evacuation_status::kRedirected;
  Answer(e.exchange, status, e.order, leader, ctx);
  return true;
}

void evacuation_server::OnProgress(const raft_core& core, reduce_context& ctx) {
  bool is_leader = core.Role() == raft_role::kLeader && !core.Failure();
  while (!pending_.empty()) {
    const auto& [index, pending] = *pending_.begin();
    if (is_leader && pending.term == core.Term() && index > core.AppliedIndex()) break;
    // Only this leader appends entries of its term, so the entry applied at `index` is the order.
    bool applied = pending.term == core.Term() && index <= core.AppliedIndex();
    if (applied) ctx.Emit(count{counter::kEvacuationsCommitted});
    Answer(pending.exchange,
           applied ? evacuation_status::kAccepted : evacuation_status::kUnavailable, pending.order,
           {}, ctx);
    pending_.erase(pending_.begin());
  }
}

}  // namespace radishroute
