#include "radishroute/settings.h"

#include <arpa/inet.h>

#include <algorithm>
#include <charconv>

#include "radishroute/expert_groups.h"
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

void ReadMembership(settings_reader reader, group_membership& out) {
  reader.Read("name", out.group, false);
  reader.ReadNumber("rank", out.rank, 0, 1023);
  reader.ReadNumber("ranks", out.shape.ranks, 1, 1024);
  reader.ReadNumber("experts", out.shape.experts, 1, 65000);
  reader.ReadNumber("layers", out.shape.layers, 1, 1024);
  reader.ReadNumber("slots_per_rank", out.shape.slots_per_rank, 1, 65000);
  reader.ReportUnknownKeys();
}

void ReadGroups(settings_reader reader, group_settings& out) {
  using std::chrono::milliseconds;
  out.policy = static_cast<placement_choice>(
      reader.ReadChoice("policy", {"incremental", "static", "greedy", "repack"}, 0));
  reader.ReadNumber("horizon_steps", out.horizon.steps, 2, 1000000);
  out.horizon.refill = out.horizon.steps / 2;
  reader.ReadNumber("refill_steps", out.horizon.refill, 1, 1000000);
  reader.ReadNumber("expert_bytes", out.cost.bytes_per_expert, 1, std::uint64_t{1} << 40);
  reader.ReadNumber("weight_bytes_per_second", out.cost.bytes_per_second, 1,
                    std::uint64_t{1} << 50);
  reader.ReadNumber("pay_back_steps", out.pay_back_steps, 1, std::uint64_t{1} << 40);
  reader.Read("half_life_ms", out.half_life, milliseconds(10), milliseconds(86400000));
  reader.ReportUnknownKeys();
}

// Settings name controllers by the addresses that operators use; all controllers have the same port
// for links.
std::vector<endpoint> ReadControllers(settings_reader& reader, std::uint16_t link_port) {
  std::vector<endpoint> controllers;
  reader.Read("controllers", controllers, false);
  for (endpoint& address : controllers) address.port = link_port;
  return controllers;
}

void ReadLimits(settings_reader& reader, resource_limits& out) {
  reader.ReadNumber("memory_mb", out.memory_mb, 1, 1000000);
  reader.ReadNumber("max_descriptors", out.max_descriptors, 1, 1000000);
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
  http.ReportUnknownKeys();
  if (out.tls_certificate.empty() != out.tls_key.empty()) {
    errors.push_back({"http.tls_key", "both tls_certificate and tls_key, or neither"});
  }
  reader.ReportUnknownKeys();
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
  backend.ReportUnknownKeys();
  ReadMembership(reader.Child("group"), out.group);
  if (!out.group.group.empty()) {
    if (!IsValidShape(out.group.shape) || out.group.rank >= out.group.shape.ranks) {
      errors.push_back({"group", "a rank below the number of ranks, and a slot for every expert"});
    }
    if (out.controllers.empty()) {
      errors.push_back({"controllers", "at least one address, which a rank needs"});
    }
  }
  reader.ReportUnknownKeys();
  return out;
}

controller_settings ParseControllerSettings(std::string_view text,
                                            std::vector<settings_error>& errors) {
  controller_settings out;
  settings_reader reader(ParseSettingsText(text, errors), "", errors);
  ReadCommon(reader, out.common);
  ReadLimits(reader, out.limits);
  reader.Read("control_listen", out.control_listen, true);
  out.control_advertise = out.control_listen;
  reader.Read("control_advertise", out.control_advertise, false);
  reader.Read("admin_listen", out.admin_listen, true);
  reader.Read("admin_token", out.admin_token, true);
  if (out.admin_token.empty()) errors.push_back({"admin_token", "a non-empty string"});
  reader.Read("data", out.data, true);
  ReadGroups(reader.Child("experts"), out.groups);
  settings_reader calls = reader.Child("calls");
  calls.Read("listen", out.calls_listen, false);
  out.known_controllers = ReadControllers(calls, out.control_listen.port);
  calls.Read("first_start", out.first_start);
  std::uint32_t losses = 2;
  calls.ReadNumber("tolerated_losses", losses, 0, 4);
  out.voters = 2 * losses + 1;
  calls.Read("zones", out.zones, false);
  calls.Read("registration_timeout_ms", out.registration_timeout, std::chrono::milliseconds(100),
             std::chrono::hours(1));
  calls.ReportUnknownKeys();
  reader.ReportUnknownKeys();
  return out;
}

sidecar_settings ParseSidecarSettings(std::string_view text, std::vector<settings_error>& errors) {
  sidecar_settings out;
  settings_reader reader(ParseSettingsText(text, errors), "", errors);
  ReadCommon(reader, out.common);
  ReadLimits(reader, out.limits);
  reader.Read("engine", out.engine, true);
  std::uint16_t link_port = 0;
  reader.ReadNumber("link_port", link_port, 1, 65535);
  out.controllers = ReadControllers(reader, link_port);
  if (out.controllers.empty()) errors.push_back({"controllers", "at least one address"});
  reader.ReportUnknownKeys();
  return out;
}

gateway_settings ParseGatewaySettings(std::string_view text, std::vector<settings_error>& errors) {
  gateway_settings out;
  settings_reader reader(ParseSettingsText(text, errors), "", errors);
  ReadCommon(reader, out.common);
  ReadLimits(reader, out.limits);
  settings_reader http = reader.Child("http");
  http.Read("listen", out.http_listen, true);
  http.Read("probe_listen", out.probe_listen, true);
  http.ReadNumber("max_requests", out.max_requests, 1, 1000000);
  http.Read("drain_notice_ms", out.drain_notice, std::chrono::milliseconds(0),
            std::chrono::minutes(10));
  http.ReportUnknownKeys();
  std::uint16_t link_port = 0;
  reader.ReadNumber("link_port", link_port, 1, 65535);
  out.controllers = ReadControllers(reader, link_port);
  if (out.controllers.empty()) errors.push_back({"controllers", "at least one address"});
  settings_reader retries = reader.Child("retries");
  retries.Read("ratio", out.retry_ratio, 0, 1);
  retries.Read("window_ms", out.retry_window, std::chrono::milliseconds(100),
               std::chrono::minutes(10));
  retries.ReadNumber("slack", out.retry_slack, 0, 100000);
  retries.ReportUnknownKeys();
  reader.Read("wait_for_room", out.wait_for_room);
  reader.Read("learned_capacity", out.learned_capacity);
  reader.ReportUnknownKeys();
  return out;
}

}  // namespace radishroute
