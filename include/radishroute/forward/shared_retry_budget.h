#ifndef RADISHROUTE_FORWARD_SHARED_RETRY_BUDGET_H_
#define RADISHROUTE_FORWARD_SHARED_RETRY_BUDGET_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>

#include "radishroute/clock.h"
#include "radishroute/types.h"

namespace radishroute {

/// Limit on the retries of requests to one service, for all processes together.
struct retry_budget_limits {
  /// Retries per request, over all processes.
  double ratio = 0.2;
  std::chrono::milliseconds window{10000};
  /// Retries per window that this process may make beyond the ratio.
  double process_allowance = 2;
};

/// This process's share of the limit, in proportion to its own requests in the window. The shares
/// add up to the limit, so the processes need no coordination.
class shared_retry_budget {
 public:
  explicit shared_retry_budget(retry_budget_limits limits = {}) : limits_(limits) {}

  void OnRequest(std::string_view service, steady_time now);
  /// Returns whether one more retry is within the limit, and counts it if so.
  bool TakeRetry(std::string_view service, steady_time now);

 private:
  struct counts {
    std::deque<steady_time> requests;
    std::deque<steady_time> retries;
  };

  void Expire(counts& c, steady_time now) const;

  retry_budget_limits limits_;
  string_map<counts> services_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_SHARED_RETRY_BUDGET_H_
