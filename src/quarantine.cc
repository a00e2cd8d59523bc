#include "radishroute/quarantine.h"

#include <algorithm>

namespace radishroute {

namespace {

// A second crash identifies a fingerprint, since at most one suspect runs on an engine at a time.
constexpr std::uint32_t kCrashesToQuarantine = 2;

// Crashes remembered for one fingerprint, including those before it was last cleared: a late copy
// of an old report must not charge it again.
constexpr std::size_t kRememberedCrashes = 8;

}  // namespace

std::uint64_t CrashSource(std::string_view backend, std::uint64_t incarnation) {
  return StableHash(backend, incarnation);
}

bool quarantine::Charge(const crash_charge& charge, steady_time now) {
  steady_time expires = now - charge.age + limits_.retention;
  if (expires <= now) return false;
  auto [it, first] = suspects_.try_emplace(charge.content);
  suspect& s = it->second;
  if (s.open >= kCrashesToQuarantine) return false;
  for (const crash_key& known : s.crashes) {
    if (known.source != charge.source) continue;
    // Sequence 0 is reported by entries that lost the agent. It may be the same event as a crash
    // that the agent reported to others just before it died.
    if (known.sequence == charge.sequence || known.sequence == 0 || charge.sequence == 0) {
      return false;
    }
  }
  s.crashes.push_back({charge.source, charge.sequence});
  if (s.crashes.size() > kRememberedCrashes) s.crashes.erase(s.crashes.begin());
  ++s.open;
  if (!first) expiry_.erase({s.expires, charge.content});
  s.expires = std::max(s.expires, expires);
  expiry_.insert({s.expires, charge.content});
  while (suspects_.size() > limits_.max_fingerprints) {
    suspects_.erase(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
  }
  return true;
}

bool quarantine::Clear(fingerprint content) {
  auto it = suspects_.find(content);
  if (it == suspects_.end() || it->second.open == 0) return false;
  if (it->second.open >= kCrashesToQuarantine) return false;
  it->second.open = 0;
  return true;
}

void quarantine::Expire(steady_time now) {
  while (!expiry_.empty() && expiry_.begin()->first <= now) {
    suspects_.erase(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
  }
}

crash_report quarantine::Merge(const crash_report& report, steady_time now) {
  Expire(now);
  crash_report fresh;
  for (const crash_charge& charge : report.charges) {
    if (Charge(charge, now)) fresh.charges.push_back(charge);
  }
  for (fingerprint content : report.cleared) {
    if (Clear(content)) fresh.cleared.push_back(content);
  }
  return fresh;
}

crash_status quarantine::CrashStatus(fingerprint content, steady_time now) const {
  auto it = suspects_.find(content);
  if (it == suspects_.end() || it->second.expires <= now || it->second.open == 0) {
    return crash_status::kClean;
  }
  return it->second.open >= kCrashesToQuarantine ? crash_status::kQuarantined
                                                 : crash_status::kSuspect;
}

crash_report quarantine::Snapshot(steady_time now) {
  Expire(now);
  crash_report report;
  for (const auto& [content, s] : suspects_) {
    auto age =
        limits_.retention - std::chrono::duration_cast<std::chrono::milliseconds>(s.expires - now);
    std::size_t first = s.crashes.size() - std::min<std::size_t>(s.open, s.crashes.size());
    for (std::size_t i = first; i < s.crashes.size(); ++i) {
      report.charges.push_back({content, s.crashes[i].source, s.crashes[i].sequence,
                                std::max<std::chrono::milliseconds>(age, {})});
    }
  }
  return report;
}

}  // namespace radishroute
