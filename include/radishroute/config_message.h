#ifndef RADISHROUTE_CONFIG_MESSAGE_H_
#define RADISHROUTE_CONFIG_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "radishroute/types.h"

namespace radishroute {

/// Asks for a configuration lease and reports what the entry has.
struct lease_renew {
  std::uint64_t sequence = 0;
  std::string node;
  std::string zone;
  std::uint64_t applied_version = 0;
  /// Highest version that the entry has heard of.
  std::uint64_t heard_version = 0;
};

/// Answer to a renewal. Without a grant, `leader_hint` names the leader if it is known.
struct lease_grant {
  std::uint64_t sequence = 0;
  bool granted = false;
  endpoint leader_hint;
  /// Counted from the time the renewal was sent.
  std::chrono::microseconds duration{};
  /// Version in force; the entry must have applied it before it serves.
  std::uint64_t version = 0;
  /// All controllers that the leader knows.
  std::vector<endpoint> controllers = {};
};

/// A configuration document.
struct config_push {
  std::uint64_t version = 0;
  std::string author;
  std::string sheet;
};

/// Asks another entry for the configuration that it has.
struct version_query {
  std::uint64_t sequence = 0;
};

struct version_reply {
  std::uint64_t sequence = 0;
  std::uint64_t version = 0;
  std::string sheet;
  std::string zone;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_MESSAGE_H_
