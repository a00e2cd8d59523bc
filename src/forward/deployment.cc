#include "radishroute/forward/deployment.h"

#include <algorithm>
#include <array>
#include <set>
#include <unordered_set>
#include <utility>

#include "radishroute/error.h"

namespace radishroute {

namespace {

std::string RouteKey(std::string_view host, std::string_view prefix) {
  std::string key(host);
  key.append(" ").append(prefix);
  return key;
}

bool RouteIsValid(const route& r, const std::unordered_set<std::string_view>& services) {
  std::uint64_t weight = 0;
  for (const traffic_share& share : r.traffic_split) {
    if (!services.contains(share.service)) return false;
    weight += share.weight;
  }
  bool prefix_is_valid = !r.path_prefix.empty() && r.path_prefix.front() == '/' &&
                         r.path_prefix.back() == '/' &&
                         r.path_prefix.find(' ') == std::string::npos;
  return weight > 0 && r.timeout.count() > 0 && prefix_is_valid;
}

const std::vector<member_account>& MembersOf(const deployment& d) {
  static const std::vector<member_account> none;
  return d.members ? *d.members : none;
}

}  // namespace

std::string_view ToString(request_kind kind) {
  constexpr std::array<std::string_view, 3> kNames = {"idempotent", "non-idempotent", "streaming"};
  return kNames[static_cast<std::size_t>(kind)];
}

std::error_code Validate(const deployment& d) {
  std::unordered_set<std::string_view> services;
  for (const service& s : d.services) services.insert(s.name);
  std::set<std::pair<std::string_view, std::string_view>> host_prefixes;
  for (const route& r : d.routes) {
    if (!RouteIsValid(r, services)) return errc::kInvalidDeployment;
    if (!host_prefixes.emplace(r.host, r.path_prefix).second) return errc::kInvalidDeployment;
  }
  std::unordered_set<std::string_view> keys;
  for (const member_account& m : MembersOf(d)) {
    std::unordered_set<std::string_view> member_keys(m.keys.begin(), m.keys.end());
    for (std::string_view key : member_keys) {
      if (!keys.insert(key).second) return errc::kInvalidDeployment;
    }
  }
  return {};
}

route_index::route_index(deployment d) : deployment_(std::move(d)) {
  for (const route& r : deployment_.routes) routes_[RouteKey(r.host, r.path_prefix)] = &r;
  for (const service& s : deployment_.services) services_[s.name] = &s;
  for (const member_account& m : MembersOf(deployment_)) {
    for (const std::string& key : m.keys) {
      // A request without a key has an empty one.
      if (!key.empty()) members_[key] = &m;
    }
  }
  for (const route& r : deployment_.routes) {
    if (r.kind != request_kind::kStreaming) continue;
    for (const traffic_share& share : r.traffic_split) {
      std::vector<std::uint32_t>& known = stream_priorities_[share.service];
      auto at = std::lower_bound(known.begin(), known.end(), r.priority);
      if (at == known.end() || *at != r.priority) known.insert(at, r.priority);
    }
  }
}

const route* route_index::Find(std::string_view host, std::string_view path) const {
  std::string key = RouteKey(host, path);
  std::size_t first = host.size() + 1;
  // Every prefix ends with a slash, so only prefixes that end at a slash of the path can match.
  for (std::size_t end = key.rfind('/'); end != std::string::npos && end >= first;
       end = end == first ? std::string::npos : key.rfind('/', end - 1)) {
    auto it = routes_.find(std::string_view(key).substr(0, end + 1));
    if (it != routes_.end()) return it->second;
  }
  return nullptr;
}

const member_account* route_index::FindMember(std::string_view key) const {
  auto it = members_.find(key);
  return it == members_.end() ? nullptr : it->second;
}

const service* route_index::FindService(std::string_view name) const {
  auto it = services_.find(name);
  return it == services_.end() ? nullptr : it->second;
}

const std::vector<std::uint32_t>& route_index::StreamPriorities(std::string_view service) const {
  static const std::vector<std::uint32_t> none;
  auto it = stream_priorities_.find(service);
  return it == stream_priorities_.end() ? none : it->second;
}

}  // namespace radishroute
