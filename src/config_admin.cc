#include "radishroute/config_admin.h"

#include <algorithm>
#include <string_view>

namespace radishroute {

// A change id appears as a segment of a URL path.
bool IsChangeId(const std::string& id) {
  constexpr std::string_view kAllowed =
      "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
  return !id.empty() && id.size() <= 64 && id.find_first_not_of(kAllowed) == std::string::npos;
}

namespace {

// A new leader has no leases from a zone that it cannot reach. Such a zone is added from the list
// of replicas, so that an operator sees that it is cut off.
in_force_report ReportInForce(const state_machine& state, const config_leases& leases,
                              std::uint64_t version, steady_time now) {
  in_force_report report = leases.Report(version, now);
  for (const replica& r : state.Replicas()) {
    bool listed = std::any_of(report.zones.begin(), report.zones.end(),
                              [&](const zone_report& zone) { return zone.zone == r.zone; });
    if (!listed) report.zones.push_back({r.zone, 0, 0, report.known});
  }
  return report;
}

}  // namespace

bool change_report::InForceEverywhere() const {
  bool any_entry = std::any_of(in_force.zones.begin(), in_force.zones.end(),
                               [](const zone_report& zone) { return zone.entries > 0; });
  return state == change_state::kCommitted && in_force.known && any_entry &&
         std::all_of(in_force.zones.begin(), in_force.zones.end(),
                     [](const zone_report& zone) { return zone.in_force; });
}

std::vector<sheet_error> CheckChange(const config_change& change) {
  std::vector<sheet_error> errors;
  if (!IsChangeId(change.change_id)) {
    errors.push_back({0, "change_id", "1 to 64 letters, digits, '.', '_' or '-'"});
  }
  ParseSheet(change.sheet, errors);
  return errors;
}

change_report ReportChange(const state_machine& state, const config_leases& leases,
                           const std::string& change_id, steady_time now) {
  change_report report;
  report.change_id = change_id;
  const change_result* result = state.Config().FindChange(change_id);
  if (result == nullptr) return report;
  report.version = result->version;
  report.winner = result->winner;
  switch (result->verdict) {
    case change_verdict::kCommitted:
      report.state = change_state::kCommitted;
      report.in_force = ReportInForce(state, leases, result->version, now);
      break;
    case change_verdict::kVersionConflict:
      report.state = change_state::kConflict;
      break;
    case change_verdict::kChangeIdReused:
    case change_verdict::kMissingChangeId:
      report.state = change_state::kChangeIdReused;
      break;
  }
  return report;
}

status_report ReportStatus(const state_machine& state, const config_leases& leases,
                           steady_time now) {
  return {state.Config().Current(), ReportInForce(state, leases, state.Config().Version(), now),
          state.LastIndex(), state.Records().Size(), state.Replicas()};
}

}  // namespace radishroute
