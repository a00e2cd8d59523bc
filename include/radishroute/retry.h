#ifndef RADISHROUTE_RETRY_H_
#define RADISHROUTE_RETRY_H_

#include <cstdint>
#include <string_view>

#include "radishroute/policy.h"
#include "radishroute/recent_table.h"

namespace radishroute {

/// Token bucket per Member: retries are a share of first attempts plus a small burst.
class retry_budget {
 public:
  /// Thousandths of a retry earned by each first attempt.
  static constexpr std::uint32_t kEarned = 100;
  static constexpr std::uint32_t kBurst = 5000;

  void OnFirstAttempt(std::string_view member, steady_time now);
  bool TakeRetry(std::string_view member, steady_time now);

 private:
  // Twice the 4,200 Members expected in two years; 320 KB per traffic thread.
  recent_table<std::uint32_t, 2048> budgets_;
};

static_assert(retry_policy<retry_budget>);

/// Short-lived memory of agents' refusals for Members over their share.
class refusal_hints {
 public:
  /// A Member whose queue drains is within its share again soon, so hints are shorter than the
  /// agent's own advice to callers.
  static constexpr std::chrono::milliseconds kMaxLifetime{200};

  void OnRefused(const announcement& backend, std::string_view member, priority_class cls,
                 refusal_reason reason, std::chrono::microseconds retry_after, steady_time now);
  std::chrono::microseconds Check(const announcement& backend, std::string_view member,
                                  priority_class cls, steady_time now) const;

 private:
  recent_table<steady_time, 1024> until_;
};

static_assert(admission_policy<refusal_hints>);

}  // namespace radishroute

#endif  // RADISHROUTE_RETRY_H_
