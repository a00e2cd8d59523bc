#ifndef RADISHROUTE_RETRY_H_
#define RADISHROUTE_RETRY_H_

#include <cstdint>
#include <string_view>

#include "radishroute/policy.h"
#include "radishroute/recent_table.h"

namespace radishroute {

/// Token bucket per Member that limits retries to a share of the first attempts plus a small burst.
class retry_budget {
 public:
  /// Tokens that a first attempt adds, and capacity of the bucket. A retry takes 1000 tokens.
  static constexpr std::uint32_t kTokensPerFirstAttempt = 100;
  static constexpr std::uint32_t kBucketCapacity = 5000;

  void OnFirstAttempt(std::string_view member, steady_time now);
  bool TakeRetry(std::string_view member, steady_time now);

 private:
  // Room for twice the 4,200 Members expected in two years; 320 KB per traffic thread.
  recent_table<std::uint32_t, 2048> budgets_;
};

static_assert(retry_policy<retry_budget>);

/// Short-lived cache of agents' refusals of Members that are over their share.
class refusal_hints {
 public:
  /// A Member whose queue drains is soon within its share again, so hints expire earlier than the
  /// retry delay that the agent gives to callers.
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
