#ifndef RADISHROUTE_CRASH_RELAY_H_
#define RADISHROUTE_CRASH_RELAY_H_

#include <set>

#include "radishroute/crash_attribution.h"
#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Spreads crash evidence between entries through the controllers. An entry sends its evidence to
/// every controller that it reaches; each controller passes what is new on to the other entries.
/// A new link begins with the evidence against content with open crashes, so that neither a process
/// that has just started nor one that was cut off lacks it.
class crash_relay {
 public:
  explicit crash_relay(process_role role, crash_attribution_limits limits = {})
      : is_controller_(role == process_role::kController), known_(limits) {}

  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const crash_evidence_shared& shared, reduce_context& ctx);
  void Handle(link_id link, const crash_evidence& evidence, reduce_context& ctx);

 private:
  void Send(const crash_evidence& evidence, link_id except, reduce_context& ctx) const;

  bool is_controller_;
  crash_attribution known_;
  /// A controller's links to entries, or an entry's links to controllers.
  std::set<link_id> links_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CRASH_RELAY_H_
