#include "radishroute/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

#include "radishroute/policies.h"
#include "settings_reader.h"

namespace radishroute {

namespace {

void ReadPolicy(settings_reader& reader, std::string& policy, std::vector<settings_error>& errors) {
  policy = kPolicyNames.front();
  reader.Read("policy", policy, false);
  if (std::find(kPolicyNames.begin(), kPolicyNames.end(), policy) != kPolicyNames.end()) return;
  std::string expected = "one of:";
  for (std::string_view name : kPolicyNames) expected.append(" ").append(name);
  errors.push_back({"policy", expected});
}

}  // namespace

bool ParseEndpoint(std::string_view text, endpoint& out) {
  std::size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) return false;
  std::string host(text.substr(0, colon));
  std::string_view port_text = text.substr(colon + 1);
  std::uint16_t port = 0;
  auto [end, error] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
  if (error != std::errc() || end != port_text.data() + port_text.size() || port == 0) return false;
  in_addr address{};
  if (inet_pton(AF_INET, host.c_str(), &address) != 1) return false;
  out = {host, port};
  return true;
}

std::string SettingsRole(std::string_view text) {
  nlohmann::json root = nlohmann::json::parse(text, nullptr, false);
  if (!root.is_object() || !root.contains("role") || !root["role"].is_string()) return {};
  return root["role"].get<std::string>();
}

entry_settings ParseEntrySettings(std::string_view text, std::vector<settings_error>& errors) {
  entry_settings out;
  settings_reader reader(ParseSettingsText(text, errors), "", errors);
  ReadCommon(reader, out.common);
  ReadPolicy(reader, out.common.policy, errors);
  reader.Read("admin_listen", out.admin_listen, true);
  reader.Read("admin_token", out.admin_token, false);
  reader.Read("control_listen", out.control_listen, true);
  reader.ReadNumber("threads", out.threads, 1, 64);
  reader.Read("peers", out.peers, false);
  reader.Read("controllers", out.controllers, false);
  reader.Read("sheet", out.sheet, false);
  settings_reader http = reader.Child("http");
  http.Read("listen", out.http_listen, true);
  http.Read("tls_certificate", out.tls_certificate, false);
  http.Read("tls_key", out.tls_key, false);
  http.ReadNumber("max_body_bytes", out.max_body_bytes, 1024, 3U << 20);
  http.ReadNumber("max_requests", out.max_requests, 1, 1000000);
  http.ReadNumber("max_buffered_bytes", out.max_buffered_bytes, 64U << 10, 64U << 20);
  http.Read("body_timeout_ms", out.body_timeout, std::chrono::milliseconds(100),
            std::chrono::minutes(10));
  http.Read("write_timeout_ms", out.write_timeout, std::chrono::milliseconds(100),
            std::chrono::minutes(10));
  http.Read("drain_notice_ms", out.drain_notice, std::chrono::milliseconds(0),
            std::chrono::minutes(10));
  http.Finish();
  if (out.tls_certificate.empty() != out.tls_key.empty()) {
    errors.push_back({"http.tls_key", "both tls_certificate and tls_key, or neither"});
  }
  reader.Finish();
  return out;
}

agent_settings ParseAgentSettings(std::string_view text, std::vector<settings_error>& errors) {
  agent_settings out;
  settings_reader reader(ParseSettingsText(text, errors), "", errors);
  ReadCommon(reader, out.common);
  ReadPolicy(reader, out.common.policy, errors);
  reader.Read("traffic_listen", out.traffic_listen, true);
  out.traffic_advertise = out.traffic_listen;
  reader.Read("traffic_advertise", out.traffic_advertise, false);
  reader.Read("admin_listen", out.admin_listen, true);
  reader.Read("admin_token", out.admin_token, false);
  reader.Read("entries", out.entries, true);
  reader.Read("controllers", out.controllers, false);
  settings_reader backend = reader.Child("backend");
  backend.Read("address", out.engine, true);
  out.kind = static_cast<backend_kind>(backend.ReadChoice("kind", {"engine", "service"}, 0));
  backend.Read("models", out.models, true);
  backend.Read("adapters", out.adapters, false);
  backend.Read("version", out.version, false);
  backend.ReadNumber("concurrency", out.concurrency, 1, 100000);
  backend.Read("progress_timeout_ms", out.progress_timeout, std::chrono::milliseconds(100),
               std::chrono::minutes(10));
  backend.Read("checks_fencing", out.checks_fencing);
  backend.Read("order_timeout_ms", out.order_timeout, std::chrono::milliseconds(100),
               std::chrono::hours(1));
  backend.Read("order_settle_ms", out.order_settle, std::chrono::milliseconds(0),
               std::chrono::hours(1));
  backend.Finish();
  reader.Finish();
  return out;
}

controller_settings ParseControllerSettings(std::string_view text,
                                            std::vector<settings_error>& errors) {
  controller_settings out;
  settings_reader reader(ParseSettingsText(text, errors), "", errors);
  ReadCommon(reader, out.common);
  reader.Read("control_listen", out.control_listen, true);
  out.control_advertise = out.control_listen;
  reader.Read("control_advertise", out.control_advertise, false);
  reader.Read("admin_listen", out.admin_listen, true);
  reader.Read("admin_token", out.admin_token, true);
  if (out.admin_token.empty()) errors.push_back({"admin_token", "a string that is not empty"});
  reader.Read("data", out.data, true);
  reader.Finish();
  return out;
}

}  // namespace radishroute
