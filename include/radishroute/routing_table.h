#ifndef RADISHROUTE_ROUTING_TABLE_H_
#define RADISHROUTE_ROUTING_TABLE_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishroute/discovery_message.h"
#include "radishroute/types.h"

namespace radishroute {

/// A kind of work, as defined in the planners' sheet.
struct work_kind {
  std::string name;
  priority_class cls = priority_class::kInteractive;
  std::chrono::microseconds deadline{};
  std::uint32_t worth = 1;
  bool repeatable = true;
};

/// A Member, as defined in the planners' sheet.
struct member_config {
  std::string name;
  std::uint32_t weight = 1;
};

/// Backend servers of one model or service: those in the local zone and those in other zones.
struct backend_pool {
  std::vector<std::uint32_t> local;
  std::vector<std::uint32_t> remote;
};

/// Immutable snapshot of backend servers and configuration, used by traffic threads for routing.
struct routing_table {
  std::uint64_t config_version = 0;
  bool has_configuration = false;
  /// False while an entry that has just started waits for the directory of another entry.
  bool directory_known = false;
  std::vector<announcement> backends;
  /// By model or service name; values index `backends`.
  string_map<backend_pool> pools;
  std::unordered_map<std::string, work_kind> kinds;
  std::unordered_map<std::string, member_config> members;
  /// Guaranteed shares, sent to agents on each dispatch.
  class_shares floor_percent{};
};

}  // namespace radishroute

#endif  // RADISHROUTE_ROUTING_TABLE_H_
