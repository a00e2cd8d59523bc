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

/// What may be done with a request whose outcome is unknown.
enum class request_kind : std::uint8_t {
  kIdempotent,
  kNonIdempotent,
  /// A stream of events.
  kStreaming,
};

std::string_view ToString(request_kind kind);

/// Part of a route's traffic that goes to one service.
struct traffic_share {
  std::string service;
  std::uint32_t weight = 1;
};

/// How requests of one host and path prefix are served.
struct route {
  std::string name;
  std::string host;
  std::string path_prefix;
  request_kind kind = request_kind::kNonIdempotent;
  /// Longest time that a caller is kept waiting for its whole response.
  std::chrono::milliseconds timeout{};
  /// Latency up to the first byte of the response that callers expect; zero for none.
  std::chrono::milliseconds target_latency{};
  /// Longest pause between events of a stream that callers expect; zero for none.
  std::chrono::milliseconds target_gap{};
  /// Rank among the routes; zero is the most urgent.
  std::uint32_t rank = 0;
  std::vector<traffic_share> split;
  /// Backend servers that one request may be sent to.
  std::uint32_t attempts = 1;
  /// Needs no key.
  bool is_public = false;
  /// A stream may go on at another backend server after its last event.
  bool resumable = false;
};

/// Performance of the engines of one service, as their operator states it.
struct engine_profile {
  std::uint32_t slots = 1;
  std::uint64_t kv_capacity_tokens = 0;
  /// Token steps that one pass executes.
  std::uint32_t steps_per_pass = 1;
  /// Duration of a step, and what each running request adds to it.
  std::chrono::microseconds step{};
  std::chrono::microseconds step_per_request{};
  /// Further addition per running request and 1,000 tokens of its context.
  std::chrono::microseconds step_per_context{};
  double prompt_tokens_per_second = 0;
  /// Age of the state that an engine reports.
  std::chrono::microseconds report_lag{};
  /// Mean sizes of requests, in tokens.
  std::uint32_t mean_prompt_tokens = 0;
  std::uint32_t mean_answer_tokens = 0;
  /// Expert parallelism; `expert_sets` is zero without it.
  std::uint32_t expert_sets = 0;
  std::uint32_t experts = 0;
  std::uint32_t expert_places = 0;
  std::uint32_t spare_places = 0;
};

struct service {
  std::string name;
  std::string health_path;
  /// Connections that one backend server accepts from all callers together; zero for no limit.
  std::uint32_t max_connections = 0;
  std::optional<engine_profile> engine;
};

/// What callers may send, and how long they may take.
struct caller_limits {
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = std::size_t{4} << 20;
  std::chrono::milliseconds header_timeout{3000};
  std::chrono::milliseconds idle_timeout{15000};
};

struct member_account {
  std::string name;
  std::vector<std::string> keys;
  /// Rank that replaces the one of the route.
  std::optional<std::uint32_t> rank;
};

/// A whole configuration of routes.
struct deployment {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  caller_limits bounds;
  /// Without members, no request needs a key.
  std::vector<member_account> members;
};

/// Whether a deployment contradicts itself: unknown services, equal places, no weight, no timeout,
/// shared keys. Error: kInvalidDeployment.
std::error_code Validate(const deployment& d);

/// Immutable lookup of routes and keys of one deployment.
class route_index {
 public:
  explicit route_index(deployment d);
  route_index(const route_index&) = delete;
  route_index& operator=(const route_index&) = delete;

  /// Route of the host with the longest prefix that begins the path; null if there is none.
  const route* Find(std::string_view host, std::string_view path) const;
  const member_account* FindMember(std::string_view key) const;
  const service* FindService(std::string_view name) const;
  const deployment& Deployment() const { return deployment_; }
  std::uint64_t Version() const { return deployment_.version; }

 private:
  deployment deployment_;
  /// Key: host, a space and the prefix; neither contains a space.
  string_map<const route*> routes_;
  string_map<const member_account*> members_;
  string_map<const service*> services_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_DEPLOYMENT_H_
