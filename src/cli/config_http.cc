#include "cli/config_http.h"

#include <array>
#include <nlohmann/json.hpp>
#include <utility>

#include "cli/group_http.h"

namespace radishroute {

namespace {

using nlohmann::json;

constexpr std::string_view kChanges = "/v1/config/changes";
constexpr std::string_view kStatus = "/v1/status";

json ToJson(const config_version& v) {
  return {{"version", v.version}, {"change_id", v.change_id}, {"author", v.author}};
}

json ToJson(const in_force_report& report) {
  json zones = json::array();
  for (const zone_report& zone : report.zones) {
    zones.push_back({{"zone", zone.zone},
                     {"entries", zone.entries},
                     {"applied", zone.applied},
                     {"in_force", zone.in_force}});
  }
  return {{"version", report.version}, {"known", report.known}, {"zones", zones}};
}

json ToJson(const change_report& report) {
  constexpr std::array<const char*, 4> kStates = {"pending", "committed", "conflict",
                                                  "change-id-reused"};
  return {{"change_id", report.change_id},
          {"state", kStates[static_cast<std::size_t>(report.state)]},
          {"version", report.version},
          {"winner", ToJson(report.winner)},
          {"in_force", ToJson(report.in_force)},
          {"in_force_everywhere", report.InForceEverywhere()}};
}

json ToJson(const status_report& report) {
  json replicas = json::array();
  for (const replica& r : report.replicas) {
    replicas.push_back({{"id", std::to_string(r.id.value)},
                        {"zone", r.zone},
                        {"address", ToString(r.address)},
                        {"voting", r.voting}});
  }
  return {{"config", ToJson(report.config)},
          {"in_force", ToJson(report.in_force)},
          {"last_index", report.last_index},
          {"records", report.records},
          {"replicas", replicas}};
}

// Evacuated availability zones, and the entries by the version of them that they have in force.
json EvacuationsToJson(const config_http_backend& backend, steady_time now) {
  evacuation_notice evacuations = backend.state->Evacuations().Save();
  json entries = json::array();
  for (const evacuation_report& entry : backend.leases->EvacuationReport(now)) {
    entries.push_back({{"node", entry.node},
                       {"zone", entry.zone},
                       {"in_force", entry.version >= evacuations.version}});
  }
  return {{"version", evacuations.version}, {"zones", evacuations.zones}, {"entries", entries}};
}

http_answer Submit(const http_request& request, const config_http_backend& backend) {
  json body = json::parse(request.body, nullptr, false);
  bool valid = body.is_object() && body.contains("base_version") &&
               body["base_version"].is_number_unsigned();
  for (const char* key : {"change_id", "author", "sheet"}) {
    valid = valid && body.contains(key) && body[key].is_string();
  }
  if (!valid) return ErrorAnswer(400, "malformed-request");
  config_change change{body["base_version"].get<std::uint64_t>(),
                       body["change_id"].get<std::string>(), body["author"].get<std::string>(),
                       body["sheet"].get<std::string>()};
  json faults = json::array();
  for (const sheet_error& e : CheckChange(change)) {
    faults.push_back({{"row", e.row}, {"column", e.column}, {"expected", e.expected}});
  }
  if (!faults.empty()) {
    return {422, JsonText(json{{"error", "sheet-invalid"}, {"faults", faults}})};
  }
  if (!backend.propose(std::move(change))) return ErrorAnswer(421, "not-leader");
  return {202, JsonText(json{{"state", "pending"}})};
}

}  // namespace

std::optional<http_answer> HandleConfigHttp(const http_request& request,
                                            const config_http_backend& backend, steady_time now) {
  bool change = request.path.starts_with(kChanges);
  if (!change && request.path != kStatus) return std::nullopt;
  if (!Authorized(request, backend.token)) return ErrorAnswer(401, "unauthorized");
  if (request.method == "POST" && request.path == kChanges) return Submit(request, backend);
  if (request.method != "GET") return ErrorAnswer(405, "method-not-allowed");
  // Only the leader knows leases; a former leader may not have learned of a change yet.
  if (!backend.is_leader()) return ErrorAnswer(421, "not-leader");
  if (!change) {
    json status = ToJson(ReportStatus(*backend.state, *backend.leases, now));
    status["evacuations"] = EvacuationsToJson(backend, now);
    if (backend.groups != nullptr) {
      status["groups"] = GroupsToJson(backend.groups->Report(backend.state->Groups()));
    }
    return http_answer{200, JsonText(status)};
  }
  if (request.path.size() <= kChanges.size() + 1) return ErrorAnswer(404, "no-such-change");
  std::string id = request.path.substr(kChanges.size() + 1);
  return http_answer{200, JsonText(ToJson(ReportChange(*backend.state, *backend.leases, id, now)))};
}

}  // namespace radishroute
