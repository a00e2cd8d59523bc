#include "radishroute/forward/group_loads.h"

#include <utility>

namespace radishroute {

namespace {

// The leader sends load reports several times a second; an older report says little about queues.
constexpr std::chrono::milliseconds kMaxLoadAge{1000};

// A group that no leader has reported for this time is gone. It is several elections long.
constexpr std::chrono::seconds kRetention{10};

bool IsOutdated(const fleet_load& update, const group_load& known, steady_time now) {
  if (update.term == 0 || !known.IsFresh(now)) return false;
  if (update.term != known.report->term) return update.term < known.report->term;
  return update.sequence <= known.report->sequence;
}

}  // namespace

bool group_load::IsFresh(steady_time now) const {
  return report != nullptr && now - received <= kMaxLoadAge;
}

bool group_loads::OnFleetLoad(std::shared_ptr<const fleet_load> load, steady_time now) {
  auto known = groups_.find(load->group);
  if (known != groups_.end() && IsOutdated(*load, known->second, now)) return false;
  for (auto it = groups_.begin(); it != groups_.end();) {
    auto next = std::next(it);
    if (now - it->second.received > kRetention) Forget(it->first);
    it = next;
  }
  double running = 0;
  for (const fleet_engine_load& e : load->engines) {
    running += e.running;
    auto [entry, added] = group_by_engine_.try_emplace(e.address, load->group);
    if (!added && entry->second != load->group) entry->second = load->group;
  }
  if (!load->engines.empty()) running /= static_cast<double>(load->engines.size());
  group_load& group = groups_[load->group];
  group = {std::move(load), now, running};
  return true;
}

void group_loads::Forget(const std::string& group) {
  std::string name = group;
  groups_.erase(name);
  std::erase_if(group_by_engine_, [&](const auto& item) { return item.second == name; });
}

const group_load* group_loads::Find(const endpoint& engine) const {
  auto it = group_by_engine_.find(engine);
  if (it == group_by_engine_.end()) {
    // Deployments with one group need no list of its engines.
    return groups_.size() == 1 ? &groups_.begin()->second : nullptr;
  }
  auto group = groups_.find(it->second);
  return group == groups_.end() ? nullptr : &group->second;
}

}  // namespace radishroute
