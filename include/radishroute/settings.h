#ifndef RADISHROUTE_SETTINGS_H_
#define RADISHROUTE_SETTINGS_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/discovery_message.h"
#include "radishroute/group_settings.h"
#include "radishroute/log_event.h"
#include "radishroute/resource_limits.h"
#include "radishroute/types.h"

namespace radishroute {

/// One error in a settings file: where it is and what was expected there.
struct settings_error {
  /// Path of the key, for example "http.listen".
  std::string path;
  std::string expected;
};

struct log_settings {
  std::string file;
  log_level level = log_level::kInfo;
};

/// Settings common to all roles.
struct common_settings {
  std::string node;
  std::string zone;
  /// Shared by all processes of the system and checked on every link.
  std::string secret;
  log_settings log;
  std::chrono::milliseconds drain_timeout{30000};
  /// Name of the policy set, see docs/operators.md.
  std::string policy;
};

struct entry_settings {
  common_settings common;
  endpoint http_listen;
  endpoint admin_listen;
  /// Token that operators' requests must carry; if empty, all are refused.
  std::string admin_token;
  endpoint control_listen;
  std::string tls_certificate;
  std::string tls_key;
  std::uint32_t threads = 2;
  std::size_t max_body_bytes = std::size_t{1} << 20;
  std::size_t max_requests = 20000;
  /// Limit of the bytes buffered for one slow caller; more than the longest response.
  std::size_t max_buffered_bytes = std::size_t{6} << 20;
  /// Time limits for a caller: to send its whole body, and to accept any part of a response.
  std::chrono::milliseconds body_timeout{10000};
  std::chrono::milliseconds write_timeout{10000};
  /// Time for which a draining entry still accepts connections and refuses their requests, so that
  /// the upstream balancer learns of the drain from responses instead of lost connections.
  std::chrono::milliseconds drain_notice{500};
  std::vector<endpoint> peers;
  std::vector<endpoint> controllers;
  /// Sheet used until a controller provides a configuration; empty for none.
  std::string sheet;
};

struct agent_settings {
  common_settings common;
  endpoint traffic_listen;
  /// Address announced to entries if it differs from `traffic_listen`, for example behind NAT.
  endpoint traffic_advertise;
  endpoint admin_listen;
  /// Token that operators' requests must carry; if empty, all are refused.
  std::string admin_token;
  std::vector<endpoint> entries;
  std::vector<endpoint> controllers;
  endpoint engine;
  backend_kind kind = backend_kind::kEngine;
  std::vector<std::string> models;
  std::vector<std::string> adapters;
  std::string version;
  std::uint32_t concurrency = 16;
  /// Longest pause of a stream before its engine is considered stalled.
  std::chrono::milliseconds progress_timeout{2000};
  bool checks_fencing = false;
  /// An order without a response for this time is sent again.
  std::chrono::milliseconds order_timeout{120000};
  /// Longest time in which the engine may still execute an order whose connection was closed. No
  /// other order is sent in that time unless the engine checks fencing tokens.
  std::chrono::milliseconds order_settle{30000};
  group_membership group;
};

struct controller_settings {
  common_settings common;
  resource_limits limits;
  endpoint control_listen;
  /// Address at which replicas and entries reach this controller if it differs from
  /// `control_listen`.
  endpoint control_advertise;
  endpoint admin_listen;
  /// Token that operators' requests must carry.
  std::string admin_token;
  /// Data directory.
  std::string data;
  group_settings groups;
  /// Address of the API for operators' documents and for registrations; empty host for none.
  endpoint calls_listen;
  /// Controllers named in the settings; include this process at the first start of the system.
  std::vector<endpoint> known_controllers;
  /// True if the whole system starts for the first time; the known controllers form its Raft group.
  bool first_start = false;
  /// Number of voters in the Raft group; further replicas are learners until they replace one.
  std::uint32_t voters = 5;
  /// Availability zones that operators may evacuate; if empty, any name is accepted.
  std::vector<std::string> zones;
  /// A backend server that has not repeated its registration for this time is down.
  std::chrono::milliseconds registration_timeout{5000};
};

/// Settings of a process that forwards callers' HTTP requests to backend servers.
struct gateway_settings {
  common_settings common;
  resource_limits limits;
  endpoint http_listen;
  /// Address for readiness probes and metrics.
  endpoint probe_listen;
  std::vector<endpoint> controllers;
  std::size_t max_requests = 4000;
  /// Whether requests to engines may wait in the gateway for room instead of being refused at once.
  bool wait_for_room = false;
  /// Time for which a draining process still accepts requests.
  std::chrono::milliseconds drain_notice{2500};
  /// Retries per request to a service, over all processes, within `retry_window`.
  double retry_ratio = 0.2;
  std::chrono::milliseconds retry_window{10000};
  /// Further retries that one process may make beyond the ratio within the window.
  std::uint32_t retry_slack = 2;
  /// Learn the capacities of backend servers in services without an engine profile.
  bool learned_capacity = false;
};

/// Settings of a process that runs beside an engine of an expert-parallel group.
struct sidecar_settings {
  common_settings common;
  resource_limits limits;
  /// Address of the engine.
  endpoint engine;
  std::vector<endpoint> controllers;
};

/// Parses the settings of one role. Appends every error found to `errors`; the result is usable
/// only if there is none.
entry_settings ParseEntrySettings(std::string_view text, std::vector<settings_error>& errors);
agent_settings ParseAgentSettings(std::string_view text, std::vector<settings_error>& errors);
sidecar_settings ParseSidecarSettings(std::string_view text, std::vector<settings_error>& errors);
gateway_settings ParseGatewaySettings(std::string_view text, std::vector<settings_error>& errors);
controller_settings ParseControllerSettings(std::string_view text,
                                            std::vector<settings_error>& errors);

/// Value of the key "role"; empty if the text has none.
std::string SettingsRole(std::string_view text);

/// Parses "a.b.c.d:port".
bool ParseEndpoint(std::string_view text, endpoint& out);

}  // namespace radishroute

#endif  // RADISHROUTE_SETTINGS_H_
