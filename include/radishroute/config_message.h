#ifndef RADISHROUTE_CONFIG_MESSAGE_H_
#define RADISHROUTE_CONFIG_MESSAGE_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/text_patch.h"
#include "radishroute/types.h"
#include "radishroute/zone_evacuations.h"

namespace radishroute {

/// Requests a configuration lease and reports the versions that the entry knows.
struct lease_renew {
  std::uint64_t sequence = 0;
  std::string node;
  std::string zone;
  std::uint64_t applied_version = 0;
  /// Highest version that the entry knows to exist, applied or not.
  std::uint64_t highest_known_version = 0;
  /// Version of the evacuations that the entry has applied.
  std::uint64_t evacuation_version = 0;
  /// Whether the entry takes a patch to `applied_version`; false after one could not be applied.
  bool accepts_patch = false;
};

/// Response to a renewal. If not granted, `leader_hint` names the leader if it is known.
struct lease_grant {
  std::uint64_t sequence = 0;
  bool granted = false;
  endpoint leader_hint;
  /// Runs from the time the renewal was sent.
  std::chrono::microseconds duration{};
  /// Current version; the entry must apply it before it serves.
  std::uint64_t version = 0;
  /// All controllers that the leader knows.
  std::vector<endpoint> controllers = {};
  evacuation_notice evacuations = {};
};

/// Change from one version of the configuration document to a later one.
struct config_patch {
  std::uint64_t base_version = 0;
  text_patch changes;
};

/// Sends the current configuration to an entry, as a whole or as a patch.
struct config_push {
  std::uint64_t version = 0;
  std::string author;
  /// Empty if there is a patch.
  std::string sheet;
  std::optional<config_patch> patch = {};

  std::size_t Bytes() const { return patch ? patch->changes.Bytes() : sheet.size(); }
};

/// Asks another entry for its configuration.
struct version_query {
  std::uint64_t sequence = 0;
};

struct version_reply {
  std::uint64_t sequence = 0;
  std::uint64_t version = 0;
  std::string sheet;
  std::string zone;
  evacuation_notice evacuations = {};
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_MESSAGE_H_
