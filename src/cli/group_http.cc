#include "cli/group_http.h"

#include <nlohmann/json.hpp>
#include <utility>

namespace radishroute {

namespace {

using nlohmann::json;

constexpr std::string_view kGroupsPath = "/v1/groups";

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

http_answer Pin(const http_request& request, const group_http_backend& backend) {
  json body = json::parse(request.body, nullptr, false);
  bool valid = body.is_object() && body.contains("group") && body["group"].is_string() &&
               body.contains("pinned") && body["pinned"].is_boolean();
  if (!valid) return ErrorAnswer(400, "malformed-request");
  group_pin pin{body["group"].get<std::string>(), body["pinned"].get<bool>()};
  const expert_group* group = backend.groups->Find(pin.group);
  if (group == nullptr) return ErrorAnswer(404, "no-such-group");
  // A repeated request ends here once the first one is applied.
  if (group->pinned == pin.pinned) return {200, JsonText(json{{"pinned", pin.pinned}})};
  if (!backend.propose(std::move(pin))) return ErrorAnswer(421, "not-leader");
  return {202, JsonText(json{{"state", "pending"}})};
}

}  // namespace

json GroupsToJson(const std::vector<group_status>& groups) {
  json list = json::array();
  for (const group_status& group : groups) list.push_back(ToJson(group));
  return list;
}

std::optional<http_answer> HandleGroupHttp(const http_request& request,
                                           const group_http_backend& backend) {
  if (request.path != kGroupsPath) return std::nullopt;
  if (!Authorized(request, backend.token)) return ErrorAnswer(401, "unauthorized");
  if (!backend.is_leader()) return ErrorAnswer(421, "not-leader");
  if (request.method != "POST") return ErrorAnswer(405, "method-not-allowed");
  return Pin(request, backend);
}

}  // namespace radishroute
