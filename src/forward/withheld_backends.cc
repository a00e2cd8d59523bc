#include "radishroute/forward/withheld_backends.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

// A longer wait is taken for an error of the backend server; with this one it is asked again now
// and then.
constexpr std::chrono::milliseconds kMaxWait{60000};

// The directory forgets a backend server that has left after this time.
constexpr std::chrono::minutes kLeavingRetention{10};

}  // namespace

const announcement* withheld_backends::FindListed(std::string_view backend) const {
  if (table_ == nullptr) return nullptr;
  auto it = std::find_if(table_->backends.begin(), table_->backends.end(),
                         [&](const announcement& a) { return a.backend == backend; });
  return it == table_->backends.end() ? nullptr : &*it;
}

std::uint64_t withheld_backends::ListedIncarnation(std::string_view backend) const {
  const announcement* listed = FindListed(backend);
  return listed == nullptr ? 0 : listed->incarnation;
}

void withheld_backends::RemoveOutdated(marks& from, steady_time now) const {
  std::erase_if(from, [&](const auto& item) {
    const auto& [backend, m] = item;
    return m.until <= now || ListedIncarnation(backend) > m.incarnation;
  });
}

// A table may still list a backend server that is leaving, or list it again when a controller has
// missed its withdrawal.
void withheld_backends::OnTable(std::shared_ptr<const routing_table> table, steady_time now) {
  table_ = std::move(table);
  RemoveOutdated(leaving_, now);
  RemoveOutdated(waiting_, now);
}

bool withheld_backends::OnLeaving(const std::string& backend, steady_time now) {
  mark m{ListedIncarnation(backend), now + kLeavingRetention};
  return leaving_.insert_or_assign(backend, m).second;
}

std::chrono::milliseconds withheld_backends::OnRetryAfter(const std::string& backend,
                                                          std::chrono::milliseconds wait,
                                                          steady_time now) {
  wait = std::clamp(wait, std::chrono::milliseconds(0), kMaxWait);
  mark& m = waiting_[backend];
  m = {ListedIncarnation(backend), std::max(m.until, now + wait)};
  return wait;
}

bool withheld_backends::Contains(std::string_view backend, steady_time now) const {
  if (leaving_.find(backend) != leaving_.end()) return true;
  auto it = waiting_.find(backend);
  return it != waiting_.end() && it->second.until > now;
}

bool withheld_backends::HasLeft(std::string_view backend) const {
  return leaving_.find(backend) != leaving_.end() || FindListed(backend) == nullptr;
}

std::optional<steady_time> withheld_backends::NextReturn(std::string_view service,
                                                         steady_time now) const {
  if (table_ == nullptr) return std::nullopt;
  auto pool = table_->pools.find(service);
  if (pool == table_->pools.end()) return std::nullopt;
  std::optional<steady_time> earliest;
  for (const auto* indexes : {&pool->second.local, &pool->second.remote}) {
    for (std::uint32_t index : *indexes) {
      const std::string& backend = table_->backends[index].backend;
      if (leaving_.find(backend) != leaving_.end()) continue;
      auto it = waiting_.find(backend);
      if (it == waiting_.end() || it->second.until <= now) return std::nullopt;
      earliest = std::min(earliest.value_or(it->second.until), it->second.until);
    }
  }
  return earliest;
}

}  // namespace radishroute
