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

/// Asks the controllers that a process was told of to add its replica to their group, while it is
/// in none or its group has gone on without it.
class group_joiner {
 public:
  static constexpr std::chrono::milliseconds kInterval{400};
  /// Longer than an election takes, so that a group between two leaders is not bothered.
  static constexpr std::chrono::milliseconds kLeaderless{2000};

  group_joiner(replica self, std::vector<endpoint> controllers);

  void Handle(const link_opened& opened);
  void Handle(const link_closed& closed);
  void Handle(const controllers_changed& changed);
  void OnLeaderHint(const endpoint& leader) { AddController(leader); }
  /// To be called after each event.
  void OnProgress(const raft_core& core, reduce_context& ctx);

 private:
  struct contact {
    std::optional<link_id> link;
    bool opening = false;
  };

  void AddController(const endpoint& address);

  replica self_;
  std::map<endpoint, contact> controllers_;
  steady_time next_;
  steady_time leader_seen_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_GROUP_JOINER_H_
