#include "cli/order_http.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "radishroute/config_admin.h"

namespace radishroute {

namespace {

using nlohmann::json;

constexpr std::string_view kOrdersPath = "/v1/orders";

// Names are parts of log lines and of the output of `status`.
constexpr std::size_t kMaxNameBytes = 256;

json ToJson(const order_record& record) {
  return {{"change_id", record.order.change_id},
          {"author", record.order.author},
          {"backend", record.order.backend},
          {"order", ToString(record.order.kind)},
          {"name", record.order.name},
          {"bytes", record.order.bytes},
          {"token", record.token},
          {"state", ToString(record.status)}};
}

bool ReadText(const json& body, const char* key, std::string& out) {
  auto it = body.find(key);
  if (it == body.end() || !it->is_string()) return false;
  out = it->get<std::string>();
  return !out.empty() && out.size() <= kMaxNameBytes;
}

bool Parse(const std::string& text, order_submission& out) {
  json body = json::parse(text, nullptr, false);
  std::string kind;
  if (!body.is_object() || !ReadText(body, "order", kind) || !ParseOrderKind(kind, out.kind)) {
    return false;
  }
  if (body.contains("bytes")) {
    if (!body["bytes"].is_number_unsigned()) return false;
    out.bytes = body["bytes"].get<std::uint64_t>();
  }
  return ReadText(body, "change_id", out.change_id) && IsChangeId(out.change_id) &&
         ReadText(body, "author", out.author) && ReadText(body, "backend", out.backend) &&
         ReadText(body, "name", out.name);
}

http_answer Submit(const http_request& request, const order_http_backend& backend) {
  order_submission submission;
  if (!Parse(request.body, submission)) return ErrorAnswer(400, "malformed-request");
  if (!backend.is_leader()) return ErrorAnswer(421, "not-leader");
  const order_record* known = backend.orders->FindChange(submission.change_id);
  if (known != nullptr) {
    json report = ToJson(*known);
    if (known->order == submission) return {200, JsonText(report)};
    report["error"] = "change-id-reused";
    return {409, JsonText(report)};
  }
  if (!backend.propose(std::move(submission))) return ErrorAnswer(421, "not-leader");
  return {202, JsonText(json{{"state", "proposed"}})};
}

}  // namespace

std::optional<http_answer> HandleOrderHttp(const http_request& request,
                                           const order_http_backend& backend) {
  if (request.path != kOrdersPath) return std::nullopt;
  if (!Authorized(request, backend.token)) return ErrorAnswer(401, "unauthorized");
  if (request.method == "POST") return Submit(request, backend);
  if (request.method != "GET") return ErrorAnswer(405, "method-not-allowed");
  if (!backend.is_leader()) return ErrorAnswer(421, "not-leader");
  json orders = json::array();
  for (const auto& [token, record] : backend.orders->Orders()) orders.push_back(ToJson(record));
  return http_answer{200, JsonText(json{{"orders", orders}})};
}

}  // namespace radishroute
