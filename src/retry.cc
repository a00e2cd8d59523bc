#include "radishroute/retry.h"

#include <algorithm>

namespace radishroute {

namespace {

constexpr std::uint32_t kWholeRetry = 1000;

// Keyed by name and incarnation, since indexes change with each routing table.
std::uint64_t HintKey(const announcement& backend, std::string_view member, priority_class cls) {
  std::uint64_t seed = StableHash(backend.backend, backend.incarnation);
  return StableHash(member, seed + ClassIndex(cls));
}

}  // namespace

void retry_budget::OnFirstAttempt(std::string_view member, steady_time now) {
  std::uint32_t& budget = budgets_.Use(StableHash(member), kBurst, now);
  budget = std::min(budget + kEarned, kBurst);
}

bool retry_budget::TakeRetry(std::string_view member, steady_time now) {
  std::uint32_t& budget = budgets_.Use(StableHash(member), kBurst, now);
  if (budget < kWholeRetry) return false;
  budget -= kWholeRetry;
  return true;
}

void refusal_hints::OnRefused(const announcement& backend, std::string_view member,
                              priority_class cls, refusal_reason reason,
                              std::chrono::microseconds retry_after, steady_time now) {
  // Other refusals can meet a Member within its share.
  if (reason != refusal_reason::kOverMemberShare) return;
  auto lifetime = std::min<std::chrono::microseconds>(retry_after, kMaxLifetime);
  until_.Use(HintKey(backend, member, cls), now, now) = now + lifetime;
}

std::chrono::microseconds refusal_hints::Check(const announcement& backend, std::string_view member,
                                               priority_class cls, steady_time now) const {
  const steady_time* until = until_.Find(HintKey(backend, member, cls));
  if (until == nullptr || *until <= now) return {};
  return std::chrono::duration_cast<std::chrono::microseconds>(*until - now);
}

}  // namespace radishroute
