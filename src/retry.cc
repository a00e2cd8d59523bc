#include "radishroute/retry.h"

#include <algorithm>

namespace radishroute {

namespace {

constexpr std::uint32_t kRetryCost = 1000;

// Hashes the backend's name and incarnation, since its index changes with each routing table.
std::uint64_t HintHash(const announcement& backend, std::string_view member, priority_class cls) {
  std::uint64_t seed = StableHash(backend.backend, backend.incarnation);
  return StableHash(member, seed + ClassIndex(cls));
}

}  // namespace

void retry_budget::OnFirstAttempt(std::string_view member, steady_time now) {
  std::uint32_t& budget = budgets_.FindOrInsert(StableHash(member), kBucketCapacity, now);
  budget = std::min(budget + kTokensPerFirstAttempt, kBucketCapacity);
}

bool retry_budget::TakeRetry(std::string_view member, steady_time now) {
  std::uint32_t& budget = budgets_.FindOrInsert(StableHash(member), kBucketCapacity, now);
  if (budget < kRetryCost) return false;
  budget -= kRetryCost;
  return true;
}

void refusal_hints::OnRefused(const announcement& backend, std::string_view member,
                              priority_class cls, refusal_reason reason,
                              std::chrono::microseconds retry_after, steady_time now) {
  // Refusals for other reasons can also affect a Member that is within its share.
  if (reason != refusal_reason::kOverMemberShare) return;
  auto lifetime = std::min<std::chrono::microseconds>(retry_after, kMaxLifetime);
  until_.FindOrInsert(HintHash(backend, member, cls), now, now) = now + lifetime;
}

std::chrono::microseconds refusal_hints::Check(const announcement& backend, std::string_view member,
                                               priority_class cls, steady_time now) const {
  const steady_time* until = until_.Find(HintHash(backend, member, cls));
  if (until == nullptr || *until <= now) return {};
  return std::chrono::duration_cast<std::chrono::microseconds>(*until - now);
}

}  // namespace radishroute
