#include "radishroute/forward/wait_queue.h"

#include <algorithm>

namespace radishroute {

bool wait_queue::Add(exchange_id request, std::uint32_t urgency, steady_time decide_by) {
  auto known = entries_.find(request);
  if (known == entries_.end() && entries_.size() >= limit_) return false;
  if (known != entries_.end()) order_.erase(known->second);
  key position{urgency, decide_by, request};
  order_.insert(position);
  entries_.insert_or_assign(request, position);
  return true;
}

void wait_queue::Remove(exchange_id request) {
  auto it = entries_.find(request);
  if (it == entries_.end()) return;
  order_.erase(it->second);
  entries_.erase(it);
}

std::vector<exchange_id> wait_queue::InOrder() const {
  std::vector<exchange_id> requests;
  requests.reserve(order_.size());
  for (const key& position : order_) requests.push_back(std::get<exchange_id>(position));
  return requests;
}

std::optional<steady_time> wait_queue::NextDecision() const {
  std::optional<steady_time> earliest;
  for (const key& position : order_) {
    steady_time at = std::get<steady_time>(position);
    earliest = std::min(earliest.value_or(at), at);
  }
  return earliest;
}

}  // namespace radishroute
