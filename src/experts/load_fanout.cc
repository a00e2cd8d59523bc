#include "radishroute/experts/load_fanout.h"

#include <algorithm>
#include <utility>

namespace radishroute {

void load_fanout::Handle(const link_opened& opened) {
  const std::string& zone = opened.peer.zone;
  if (opened.peer.role == process_role::kEntry) entries_[zone].push_back(opened.link);
  if (opened.peer.role == process_role::kController) controllers_[zone].push_back(opened.link);
}

void load_fanout::Handle(const link_closed& closed) {
  for (links_by_zone* links : {&entries_, &controllers_}) {
    for (auto& [zone, in_zone] : *links) std::erase(in_zone, closed.link);
    std::erase_if(*links, [](const auto& item) { return item.second.empty(); });
  }
}

std::chrono::milliseconds load_fanout::PeriodFor(std::size_t receivers) const {
  auto slowdown = 1 + receivers / limits_.receivers_per_period;
  return limits_.period * static_cast<int>(slowdown);
}

std::size_t load_fanout::EntryCount() const {
  std::size_t entries = 0;
  for (const auto& [zone, links] : entries_) entries += links.size();
  return entries;
}

// The work of one sender for all entries grows with their number, and the age of the loads with
// it. A relay may not reach an entry of its zone, so now and then all entries get the loads
// directly, with a period for twice their number.
std::vector<link_id> load_fanout::Receivers(steady_time now) {
  if (now < next_) return {};
  std::vector<link_id> receivers;
  for (const auto& [zone, links] : controllers_) {
    if (zone != zone_) receivers.push_back(links.front());
  }
  std::vector<link_id> relayed;
  for (const auto& [zone, links] : entries_) {
    bool has_relay = zone != zone_ && controllers_.contains(zone);
    auto& to = has_relay ? relayed : receivers;
    to.insert(to.end(), links.begin(), links.end());
  }
  next_ = now + PeriodFor(receivers.size());
  if (now < next_to_all_) return receivers;
  next_to_all_ = now + PeriodFor(2 * EntryCount());
  receivers.insert(receivers.end(), relayed.begin(), relayed.end());
  return receivers;
}

std::vector<link_id> load_fanout::RelayReceivers(link_id from) const {
  bool is_controller = std::any_of(controllers_.begin(), controllers_.end(), [&](const auto& item) {
    return std::find(item.second.begin(), item.second.end(), from) != item.second.end();
  });
  auto own = entries_.find(zone_);
  return is_controller && own != entries_.end() ? own->second : std::vector<link_id>();
}

}  // namespace radishroute
