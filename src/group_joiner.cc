#include "radishroute/group_joiner.h"

#include <utility>

namespace radishroute {

group_joiner::group_joiner(replica self, std::vector<endpoint> controllers)
    : self_(std::move(self)) {
  self_.voting = false;
  for (const endpoint& address : controllers) AddController(address);
}

void group_joiner::AddController(const endpoint& address) {
  if (!address.host.empty() && address != self_.address) controllers_.try_emplace(address);
}

void group_joiner::Handle(const link_opened& opened) {
  auto it = controllers_.find(opened.dialed);
  if (it != controllers_.end()) it->second = {opened.link, false};
}

void group_joiner::Handle(const link_closed& closed) {
  auto it = controllers_.find(closed.dialed);
  if (it == controllers_.end()) return;
  if (closed.link.value == 0) it->second.connecting = false;
  if (it->second.link == closed.link) it->second.link.reset();
}

void group_joiner::Handle(const controllers_changed& changed) {
  for (const endpoint& address : changed.controllers) AddController(address);
}

void group_joiner::OnProgress(const raft_core& core, reduce_context& ctx) {
  bool is_member = FindReplica(core.Log().Replicas(), core.Self()) != nullptr;
  if (core.Leader() != voter_id{} || leader_seen_at_ == steady_time{}) leader_seen_at_ = ctx.now;
  bool joined = is_member && ctx.now - leader_seen_at_ < kLeaderTimeout;
  if (ctx.now < next_request_) return;
  next_request_ = ctx.now + kRequestInterval;
  ctx.Emit(schedule_wakeup{next_request_});
  if (joined || core.Failure()) return;
  replica candidate = self_;
  candidate.id = core.Self();
  for (auto& [address, link_state] : controllers_) {
    if (link_state.link) {
      ctx.Emit(send_message{*link_state.link, join_request{candidate}});
    } else if (!link_state.connecting) {
      link_state.connecting = true;
      ctx.Emit(open_link{address});
    }
  }
}

}  // namespace radishroute
