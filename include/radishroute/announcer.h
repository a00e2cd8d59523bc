#ifndef RADISHROUTE_ANNOUNCER_H_
#define RADISHROUTE_ANNOUNCER_H_

#include <cstdint>
#include <optional>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Announces this process's backend server to at most three home entries, chosen by rendezvous
/// hashing among the reachable entries of its settings.
class announcer {
 public:
  announcer(announcement self, const std::vector<endpoint>& entries);

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const drain_requested& drain, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);
  void Handle(const engine_status_changed& changed, reduce_context& ctx);
  void Handle(const crash_report_shared& shared, reduce_context& ctx);
  void Handle(const engine_order_finished& finished, reduce_context& ctx);

 private:
  struct entry_link {
    endpoint address;
    std::optional<link_id> link;
    bool opening = false;
    std::uint32_t failures = 0;
    steady_time retry_at;
  };

  entry_link* Find(const endpoint& address);
  void Announce(reduce_context& ctx);
  void MaintainLinks(reduce_context& ctx);
  void SetRetryTime(entry_link& entry, reduce_context& ctx) const;

  announcement self_;
  /// All entries of the settings, in this backend server's order of preference.
  std::vector<entry_link> entries_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ANNOUNCER_H_
