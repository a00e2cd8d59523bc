#ifndef RADISHROUTE_QUARANTINE_H_
#define RADISHROUTE_QUARANTINE_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/failure_message.h"

namespace radishroute {

/// Identifies one incarnation of a backend server's agent in crash charges.
std::uint64_t CrashSource(std::string_view backend, std::uint64_t incarnation);

enum class crash_status : std::uint8_t { kClean, kSuspect, kQuarantined };

struct quarantine_limits {
  std::size_t max_fingerprints = 8192;
  /// How long a fingerprint stays suspect or quarantined after its last crash.
  std::chrono::minutes retention{10};
};

/// Tracks fingerprints that were in flight when backend servers crashed. Merging is idempotent and
/// independent of the order of reports, so a report may arrive repeatedly and over several paths.
class quarantine {
 public:
  explicit quarantine(quarantine_limits limits = {}) : limits_(limits) {}

  /// Merges a report and returns the part that was new, for forwarding.
  crash_report Merge(const crash_report& report, steady_time now);

  crash_status CrashStatus(fingerprint content, steady_time now) const;

  /// Returns all open crashes, to initialize a peer that has just started.
  crash_report Snapshot(steady_time now);

  std::size_t Size() const { return suspects_.size(); }

 private:
  struct crash_key {
    std::uint64_t source = 0;
    std::uint32_t sequence = 0;
  };

  struct suspect {
    std::vector<crash_key> crashes;
    /// Crashes since the fingerprint was last cleared.
    std::uint32_t open_crashes = 0;
    steady_time expires;
  };

  bool Charge(const crash_charge& charge, steady_time now);
  bool Clear(fingerprint content);
  void Expire(steady_time now);

  quarantine_limits limits_;
  std::unordered_map<fingerprint, suspect> suspects_;
  std::set<std::pair<steady_time, fingerprint>> expiry_;
};

inline bool Empty(const crash_report& report) {
  return report.charges.empty() && report.cleared.empty();
}

}  // namespace radishroute

#endif  // RADISHROUTE_QUARANTINE_H_
