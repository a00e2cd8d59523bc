#ifndef RADISHROUTE_PEER_LINKS_H_
#define RADISHROUTE_PEER_LINKS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Links to other processes, either opened on demand and closed when idle, or kept open.
class peer_links {
 public:
  explicit peer_links(std::vector<endpoint> peers, bool keep_open = false);

  /// Adds a peer unless it is present.
  void Add(const endpoint& address);
  /// Opens a link to each peer that has none, after its retry delay.
  void OpenAll(reduce_context& ctx);

  void Handle(const link_opened& opened, reduce_context& ctx);
  /// Returns true if the link could not be opened.
  bool Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);

  /// Sends `m` to at most `fan_out` random peers that are not known to be unreachable.
  void SendToRandom(const message& m, std::size_t fan_out, reduce_context& ctx);

  std::size_t Size() const { return peers_.size(); }

 private:
  struct peer {
    endpoint address;
    std::optional<link_id> link;
    bool opening = false;
    steady_time last_used;
    steady_time retry_at;
    std::vector<message> outbox;
  };

  peer* Find(const endpoint& address);
  void Send(peer& p, const message& m, reduce_context& ctx);

  bool keep_open_ = false;
  std::vector<peer> peers_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_PEER_LINKS_H_
