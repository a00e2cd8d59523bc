#ifndef RADISHROUTE_CONFIG_ADMIN_H_
#define RADISHROUTE_CONFIG_ADMIN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/config_leases.h"
#include "radishroute/sheet.h"
#include "radishroute/state_machine.h"

namespace radishroute {

enum class change_state : std::uint8_t {
  /// Proposed, or unknown to this replica so far; query again, or resend with the same change id.
  kPending,
  kCommitted,
  kConflict,
  kChangeIdReused,
};

/// State of a change, reported to the operator who sent it.
struct change_report {
  std::string change_id;
  change_state state = change_state::kPending;
  std::uint64_t version = 0;
  config_version winner;
  in_force_report in_force;
  bool InForceEverywhere() const;
};

/// Status of a controller, reported to operators.
struct status_report {
  config_version config;
  in_force_report in_force;
  std::uint64_t last_index = 0;
  std::size_t records = 0;
  std::vector<replica> replicas;
};

/// Whether `id` is a valid change id: 1 to 64 letters, digits, '.', '_' or '-'.
bool IsChangeId(const std::string& id);

/// Returns the errors for which a change must not be proposed; empty if it is valid.
std::vector<sheet_error> CheckChange(const config_change& change);

change_report ReportChange(const state_machine& state, const config_leases& leases,
                           const std::string& change_id, steady_time now);

status_report ReportStatus(const state_machine& state, const config_leases& leases,
                           steady_time now);

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_ADMIN_H_
