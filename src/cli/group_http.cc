#include "cli/group_http.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace radishroute {

namespace {

using nlohmann::json;

http_answer Error(unsigned status, const char* type) {
  return {status, json{{"error", type}}.dump()};
}

json ToJson(const group_status& g) {
  return {{"group", g.name},
          {"ranks", g.shape.ranks},
          {"experts", g.shape.experts},
          {"layers", g.shape.layers},
          {"map_in_force", g.map_in_force},
          {"proposed_map", g.proposed_map},
          {"steps_granted", g.steps_granted},
          {"step", g.step},
          {"skew", g.skew},
          {"pinned", g.pinned},
          {"changes", g.changes},
          {"bytes_moved", g.bytes_moved},
          {"changed_map", g.changed_map},
          {"reason", g.reason}};
}

}  // namespace

void AddGroups(const std::vector<group_status>& groups, std::string& status_body) {
  json status = json::parse(status_body, nullptr, false);
  if (!status.is_object()) return;
  json list = json::array();
  for (const group_status& group : groups) list.push_back(ToJson(group));
  status["groups"] = std::move(list);
  status_body = status.dump();
}

http_answer HandleGroupPin(const http_request& request, const group_table& groups,
                           const std::function<bool(group_pin)>& propose) {
  if (request.method != "POST") return Error(405, "method-not-allowed");
  json body = json::parse(request.body, nullptr, false);
  bool valid = body.is_object() && body.contains("group") && body["group"].is_string() &&
               body.contains("pinned") && body["pinned"].is_boolean();
  if (!valid) return Error(400, "malformed-request");
  group_pin pin{body["group"].get<std::string>(), body["pinned"].get<bool>()};
  const expert_group* group = groups.Find(pin.group);
  if (group == nullptr) return Error(404, "no-such-group");
  // A repeated request ends here once the first one is applied.
  if (group->pinned == pin.pinned) return {200, json{{"pinned", pin.pinned}}.dump()};
  if (!propose(std::move(pin))) return Error(421, "not-leader");
  return {202, json{{"state", "pending"}}.dump()};
}

}  // namespace radishroute
