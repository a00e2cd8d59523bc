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
  if (closed.link.value == 0) it->second.opening = false;
  if (it->second.link == closed.link) it->second.link.reset();
}

void group_joiner::Handle(const controllers_changed& changed) {
  for (const endpoint& address : changed.controllers) AddController(address);
}

void group_joiner::OnProgress(const raft_core& core, reduce_context& ctx) {
  bool member = FindReplica(core.Log().Replicas(), core.Self()) != nullptr;
  if (core.Leader() != voter_id{} || leader_seen_ == steady_time{}) leader_seen_ = ctx.now;
  bool joined = member && ctx.now - leader_seen_ < kLeaderless;
  if (ctx.now < next_) return;
  next_ = ctx.now + kInterval;
  ctx.Emit(schedule_wakeup{next_});
  if (joined || core.Failure()) return;
  replica candidate = self_;
  candidate.id = core.Self();
  for (auto& [address, known] : controllers_) {
    if (known.link) {
      ctx.Emit(send_message{*known.link, join_request{candidate}});
    } else if (!known.opening) {
      known.opening = true;
      ctx.Emit(open_link{address});
    }
  }
}

}  // namespace radishroute
