#include "radishroute/zone_evacuations.h"

namespace radishroute {

bool zone_evacuations::Apply(const zone_evacuation& order, std::uint64_t index) {
  bool changed = false;
  if (!order.evacuated) {
    changed = zones_.erase(order.zone) > 0;
  } else if (zones_.size() < kMaxZones) {
    changed = zones_.insert(order.zone).second;
  }
  if (changed) version_ = index;
  return changed;
}

bool zone_evacuations::Load(const evacuation_notice& saved) {
  if (saved.zones.size() > kMaxZones) return false;
  version_ = saved.version;
  zones_ = {saved.zones.begin(), saved.zones.end()};
  return true;
}

}  // namespace radishroute
