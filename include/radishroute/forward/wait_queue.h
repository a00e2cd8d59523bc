#ifndef RADISHROUTE_FORWARD_WAIT_QUEUE_H_
#define RADISHROUTE_FORWARD_WAIT_QUEUE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/types.h"

namespace radishroute {

/// Requests that wait in this process for room on a backend server: the most urgent first, and of
/// equal ones the one that must be decided first.
class wait_queue {
 public:
  explicit wait_queue(std::size_t limit) : limit_(limit) {}

  /// Returns false if the queue is full and does not contain the request.
  bool Add(exchange_id request, std::uint32_t urgency, steady_time decide_by);
  void Remove(exchange_id request);
  bool Contains(exchange_id request) const { return entries_.contains(request); }

  /// All requests in the order in which they are offered room.
  std::vector<exchange_id> InOrder() const;
  /// Earliest time at which a request must be decided.
  std::optional<steady_time> NextDecision() const;
  std::size_t Size() const { return entries_.size(); }

 private:
  using key = std::tuple<std::uint32_t, steady_time, exchange_id>;

  std::size_t limit_;
  std::set<key> order_;
  std::map<exchange_id, key> entries_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_WAIT_QUEUE_H_
