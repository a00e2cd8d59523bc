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

/// Limit on further attempts at a service that all processes keep to together.
struct retry_budget_limits {
  /// Further attempts per request, over all processes.
  double ratio = 0.2;
  std::chrono::milliseconds window{10000};
  /// Further attempts in a window beyond the ratio that this process may use alone.
  double own_slack = 2;
};

/// This process's part of the limit: a share of its own requests in the window. The sum over all
/// processes keeps the limit although none knows of the others.
class shared_retry_budget {
 public:
  explicit shared_retry_budget(retry_budget_limits limits = {}) : limits_(limits) {}

  void OnRequest(std::string_view service, steady_time now);
  /// Takes one further attempt if it is within the limit.
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
