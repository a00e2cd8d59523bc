#ifndef RADISHROUTE_GROUP_JOINER_H_
#define RADISHROUTE_GROUP_JOINER_H_

#include <chrono>
#include <map>
#include <optional>
#include <vector>

#include "radishroute/document_event.h"
#include "radishroute/link_event.h"
#include "radishroute/raft.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Asks the known controllers to add this process's replica to the consensus group, while it is not
/// a member or has seen no leader for `kLeaderTimeout`, as after its removal from the group.
class group_joiner {
 public:
  static constexpr std::chrono::milliseconds kRequestInterval{400};
  /// Longer than an election, so that no join requests are sent while a leader is being elected.
  static constexpr std::chrono::milliseconds kLeaderTimeout{2000};

  group_joiner(replica self, std::vector<endpoint> controllers);

  void Handle(const link_opened& opened);
  void Handle(const link_closed& closed);
  void Handle(const controllers_changed& changed);
  void OnLeaderHint(const endpoint& leader) { AddController(leader); }
  /// To be called after each event.
  void OnProgress(const raft_core& core, reduce_context& ctx);

 private:
  struct controller_link {
    std::optional<link_id> link;
    bool connecting = false;
  };

  void AddController(const endpoint& address);

  replica self_;
  std::map<endpoint, controller_link> controllers_;
  steady_time next_request_;
  steady_time leader_seen_at_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_GROUP_JOINER_H_
