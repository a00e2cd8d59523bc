#include "radishroute/quarantine.h"

#include <algorithm>

namespace radishroute {

namespace {

// At most one suspect runs on an engine at a time, so a second crash identifies its cause.
constexpr std::uint32_t kCrashesToQuarantine = 2;

// Crashes remembered per fingerprint. Includes those before it was last cleared, so that a delayed
// copy of an old report does not count again.
constexpr std::size_t kRememberedCrashes = 8;

}  // namespace

std::uint64_t CrashSource(std::string_view backend, std::uint64_t incarnation) {
  return StableHash(backend, incarnation);
}

bool quarantine::Charge(const crash_charge& charge, steady_time now) {
  steady_time expires = now - charge.age + limits_.retention;
  if (expires <= now) return false;
  auto [it, inserted] = suspects_.try_emplace(charge.content);
  suspect& record = it->second;
  if (record.open_crashes >= kCrashesToQuarantine) return false;
  for (const crash_key& counted : record.crashes) {
    if (counted.source != charge.source) continue;
    // An entry that lost the agent reports sequence 0. This may be the same event as a crash that
    // the agent reported to other entries just before it exited.
    if (counted.sequence == charge.sequence || counted.sequence == 0 || charge.sequence == 0) {
      return false;
    }
  }
  record.crashes.push_back({charge.source, charge.sequence});
  if (record.crashes.size() > kRememberedCrashes) record.crashes.erase(record.crashes.begin());
  ++record.open_crashes;
  if (!inserted) expiry_.erase({record.expires, charge.content});
  record.expires = std::max(record.expires, expires);
  expiry_.insert({record.expires, charge.content});
  while (suspects_.size() > limits_.max_fingerprints) {
    suspects_.erase(expiry_.begin()->second);
    expiry_.erase(expiry_.begin());
  }
  return true;
}

bool quarantine::Clear(fingerprint content) {
  auto it = suspects_.find(content);
  if (it == suspects_.end() || it->second.open_crashes == 0) return false;
  if (it->second.open_crashes >= kCrashesToQuarantine) return false;
  it->second.open_crashes = 0;
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
  crash_report added;
  for (const crash_charge& charge : report.charges) {
    if (Charge(charge, now)) added.charges.push_back(charge);
  }
  for (fingerprint content : report.cleared) {
    if (Clear(content)) added.cleared.push_back(content);
  }
  return added;
}

crash_status quarantine::CrashStatus(fingerprint content, steady_time now) const {
  auto it = suspects_.find(content);
  if (it == suspects_.end() || it->second.expires <= now || it->second.open_crashes == 0) {
    return crash_status::kClean;
  }
  return it->second.open_crashes >= kCrashesToQuarantine ? crash_status::kQuarantined
                                                         : crash_status::kSuspect;
}

crash_report quarantine::Snapshot(steady_time now) {
  Expire(now);
  crash_report report;
  for (const auto& [content, record] : suspects_) {
    auto age = limits_.retention -
               std::chrono::duration_cast<std::chrono::milliseconds>(record.expires - now);
    std::size_t first =
        record.crashes.size() - std::min<std::size_t>(record.open_crashes, record.crashes.size());
    for (std::size_t i = first; i < record.crashes.size(); ++i) {
      report.charges.push_back({content, record.crashes[i].source, record.crashes[i].sequence,
                                std::max<std::chrono::milliseconds>(age, {})});
    }
  }
  return report;
}

}  // namespace radishroute
