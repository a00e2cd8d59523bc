#include "radishroute/forward/shared_retry_budget.h"

#include <string>

namespace radishroute {

namespace {

// The limit counts arrivals in any window, also in one that begins between two of this process's
// windows; a tenth is left for requests and attempts on their way.
constexpr double kUsedShare = 0.9;

}  // namespace

void shared_retry_budget::Expire(counts& c, steady_time now) const {
  while (!c.requests.empty() && c.requests.front() + limits_.window < now) c.requests.pop_front();
  while (!c.retries.empty() && c.retries.front() + limits_.window < now) c.retries.pop_front();
}

void shared_retry_budget::OnRequest(std::string_view service, steady_time now) {
  auto it = services_.find(service);
  if (it == services_.end()) it = services_.emplace(std::string(service), counts{}).first;
  it->second.requests.push_back(now);
  Expire(it->second, now);
}

bool shared_retry_budget::TakeRetry(std::string_view service, steady_time now) {
  auto it = services_.find(service);
  if (it == services_.end()) return false;
  counts& c = it->second;
  Expire(c, now);
  double allowed =
      limits_.own_slack + limits_.ratio * kUsedShare * static_cast<double>(c.requests.size());
  if (static_cast<double>(c.retries.size()) + 1 > allowed) return false;
  c.retries.push_back(now);
  return true;
}

}  // namespace radishroute
