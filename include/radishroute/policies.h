#ifndef RADISHROUTE_POLICIES_H_
#define RADISHROUTE_POLICIES_H_

#include <array>
#include <string_view>
#include <type_traits>

#include "radishroute/baseline.h"
#include "radishroute/retry.h"
#include "radishroute/routing.h"
#include "radishroute/scheduler.h"

// All policy sets. Each reducer template is instantiated for each of them at the end of its source
// file by RADISHROUTE_FOR_EACH_POLICY_SET.

namespace radishroute {

/// Favors fairness between Members; every class keeps its full floor.
struct balanced_policies {
  using queue_type = fair_queue<kBalancedQueue>;
  using routing_type = two_choice_router<kBalancedRouting>;
  using retry_type = retry_budget;
  using admission_type = refusal_hints;
};

/// Favors interactive latency: smaller floors while more urgent work waits, and earlier spilling
/// to other zones.
struct urgent_policies {
  using queue_type = fair_queue<kUrgentQueue>;
  using routing_type = two_choice_router<kUrgentRouting>;
  using retry_type = retry_budget;
  using admission_type = refusal_hints;
};

// `balanced` with one policy replaced by its baseline, for comparison.
struct balanced_fifo_policies : balanced_policies {
  using queue_type = fifo_queue;
};
struct balanced_round_robin_policies : balanced_policies {
  using routing_type = round_robin_router;
};
struct balanced_unlimited_retries_policies : balanced_policies {
  using retry_type = unlimited_retries;
};
struct balanced_no_hints_policies : balanced_policies {
  using admission_type = no_admission;
};

// One entry per policy set.
#define RADISHROUTE_FOR_EACH_POLICY_SET(apply)                             \
  apply(baseline_policies) apply(balanced_policies) apply(urgent_policies) \
      apply(balanced_fifo_policies) apply(balanced_round_robin_policies)   \
          apply(balanced_unlimited_retries_policies) apply(balanced_no_hints_policies)

/// Values of the settings key "policy"; the first is the default.
inline constexpr std::array<std::string_view, 7> kPolicyNames = {"balanced",
                                                                 "urgent",
                                                                 "baseline",
                                                                 "balanced-fifo",
                                                                 "balanced-round-robin",
                                                                 "balanced-unlimited-retries",
                                                                 "balanced-no-hints"};

/// Calls `visit` with a std::type_identity of the named policy set. The name must be valid, which
/// is checked when the settings are read.
template <class Visitor>
auto WithPolicySet(std::string_view name, Visitor&& visit) {
  if (name == "baseline") return visit(std::type_identity<baseline_policies>());
  if (name == "urgent") return visit(std::type_identity<urgent_policies>());
  if (name == "balanced-fifo") return visit(std::type_identity<balanced_fifo_policies>());
  if (name == "balanced-round-robin") {
    return visit(std::type_identity<balanced_round_robin_policies>());
  }
  if (name == "balanced-unlimited-retries") {
    return visit(std::type_identity<balanced_unlimited_retries_policies>());
  }
  if (name == "balanced-no-hints") return visit(std::type_identity<balanced_no_hints_policies>());
  return visit(std::type_identity<balanced_policies>());
}

}  // namespace radishroute

#endif  // RADISHROUTE_POLICIES_H_
