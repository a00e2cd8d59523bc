#include "radishroute/forward/shared_retry_budget.h"

#include <string>

namespace radishroute {

namespace {

// Share of the ratio that is used. The limit applies to the arrivals in any window, including one
// that is offset from this process's windows; a tenth is left for requests and retries in transit.
constexpr double kUsableShare = 0.9;

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
  double allowed = limits_.process_allowance +
                   limits_.ratio * kUsableShare * static_cast<double>(c.requests.size());
  if (static_cast<double>(c.retries.size()) + 1 > allowed) return false;
  c.retries.push_back(now);
  return true;
}

}  // namespace radishroute
