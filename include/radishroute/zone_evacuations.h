#ifndef RADISHROUTE_ZONE_EVACUATIONS_H_
#define RADISHROUTE_ZONE_EVACUATIONS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/command.h"

namespace radishroute {

/// Evacuated availability zones under a version, sent by a controller to entries.
struct evacuation_notice {
  /// Log index of the last change; zero if there has been none.
  std::uint64_t version = 0;
  std::vector<std::string> zones;
};

/// Replicated set of availability zones whose backend servers get no requests. The order of the
/// log decides between orders that cross.
class zone_evacuations {
 public:
  /// Bounds the state; a deployment has a few dozen zones at most.
  static constexpr std::size_t kMaxZones = 256;

  /// Applies an order at its log index. Returns false if it changes nothing or exceeds kMaxZones.
  bool Apply(const zone_evacuation& order, std::uint64_t index);
  bool Contains(std::string_view zone) const { return zones_.find(zone) != zones_.end(); }
  std::uint64_t Version() const { return version_; }

  evacuation_notice Save() const { return {version_, {zones_.begin(), zones_.end()}}; }
  /// Returns false, and stays empty, if the state exceeds kMaxZones.
  bool Load(const evacuation_notice& saved);

 private:
  std::uint64_t version_ = 0;
  std::set<std::string, std::less<>> zones_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ZONE_EVACUATIONS_H_
