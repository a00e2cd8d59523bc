#ifndef RADISHROUTE_FORWARD_DEPLOYMENT_H_
#define RADISHROUTE_FORWARD_DEPLOYMENT_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/types.h"

namespace radishroute {

/// Decides how a request is handled if it is unknown whether a backend server has run it.
enum class request_kind : std::uint8_t {
  kIdempotent,
  kNonIdempotent,
  /// The response is a stream of events.
  kStreaming,
};

std::string_view ToString(request_kind kind);

/// Share of a route's traffic that goes to one service.
struct traffic_share {
  std::string service;
  std::uint32_t weight = 1;
};

/// Rules for requests to one host and path prefix.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  request_kind kind = request_kind::kNonIdempotent;
  /// Maximum time until the complete response.
  std::chrono::milliseconds timeout{};
  /// Target for the latency of the first byte of the response; zero for none.
  std::chrono::milliseconds target_latency{};
  /// Target for the longest gap between events of a stream; zero for none.
  std::chrono::milliseconds target_gap{};
  /// Priority among the routes; zero is the most urgent.
  std::uint32_t priority = 0;
  std::vector<traffic_share> traffic_split;
  /// Maximum number of backend servers that one request is sent to.
  std::uint32_t max_attempts = 1;
  /// Requests need no API key.
  bool is_public = false;
  /// An interrupted stream may be resumed at another backend server after its last event.
  bool resumable = false;
};

/// Performance of the engines of one service, as configured by the operator.
struct engine_profile {
  std::uint32_t slots = 1;
  std::uint64_t kv_capacity_tokens = 0;
  /// Token steps in one forward pass (one step of the engine's batch over all layers).
  std::uint32_t steps_per_pass = 1;
  /// Duration of a token step, and what each running request adds to it.
  std::chrono::microseconds step{};
  std::chrono::microseconds step_per_request{};
  /// Time that each running request adds to a token step per 1,000 tokens of its context.
  std::chrono::microseconds step_per_context{};
  double prompt_tokens_per_second = 0;
  /// Age of the state in an engine's report.
  std::chrono::microseconds report_lag{};
  /// Mean sizes of prompts and responses, in tokens.
  std::uint32_t mean_prompt_tokens = 0;
  std::uint32_t mean_answer_tokens = 0;
  /// Expert parallelism: number of layers with experts (zero without expert parallelism), experts
  /// per layer, and expert slots per layer and rank.
  std::uint32_t expert_sets = 0;
  std::uint32_t experts = 0;
  std::uint32_t expert_slots_per_rank = 0;
  std::uint32_t spare_expert_slots_per_rank = 0;
  /// Time in which a rank copies one expert; zero if unknown.
  std::chrono::microseconds expert_copy_time = {};
};

struct service {
  std::string name;
  std::string health_path;
  /// Connections that one backend server accepts from all callers together; zero for no limit.
  std::uint32_t max_connections = 0;
  std::optional<engine_profile> engine;
  /// Time after its start during traffic in which a backend server is cold, and the requests per
  /// second that it tolerates then from all gateways together; zero if it is never cold.
  std::chrono::milliseconds cold_duration = {};
  double cold_requests_per_second = 0;
};

/// Limits on the size of callers' requests and the time to receive them.
struct caller_limits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = std::size_t{4} << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct member_account {
  std::string name;
  std::vector<std::string> keys;
  /// Priority that replaces the one of the route.
  std::optional<std::uint32_t> priority;
};

/// A complete configuration of routes, services and members.
struct deployment {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  caller_limits bounds;
  /// Members whose API keys admit requests; an empty list admits none. Absent if the configuration
  /// requires no keys.
  std::optional<std::vector<member_account>> members;
};

/// Checks that a deployment is consistent: known services, one route per host and path prefix,
/// positive weights and timeouts, no API key shared by two members. Error: kInvalidDeployment.
std::error_code Validate(const deployment& d);

/// Immutable index of the routes, services and API keys of one deployment.
class route_index {
 public:
  explicit route_index(deployment d);
  route_index(const route_index&) = delete;
  route_index& operator=(const route_index&) = delete;

  /// Returns the route with this host and the longest path prefix that matches `path`, or null.
  const route* Find(std::string_view host, std::string_view path) const;
  /// Whether requests to routes that are not public need the API key of a member.
  bool RequiresKey() const { return deployment_.members.has_value(); }
  /// Returns the member with this API key, or null; null for an empty key.
  const member_account* FindMember(std::string_view key) const;
  const service* FindService(std::string_view name) const;
  /// Distinct priorities of the streaming routes that may lead to the service, the most urgent
  /// first.
  const std::vector<std::uint32_t>& StreamPriorities(std::string_view service) const;
  const deployment& Deployment() const { return deployment_; }
  std::uint64_t Version() const { return deployment_.version; }

 private:
  deployment deployment_;
  /// Key: host, a space, and the path prefix; neither contains a space.
  string_map<const route*> routes_;
  string_map<const member_account*> members_;
  string_map<const service*> services_;
  string_map<std::vector<std::uint32_t>> stream_priorities_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_DEPLOYMENT_H_
