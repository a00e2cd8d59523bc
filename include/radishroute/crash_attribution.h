#ifndef RADISHROUTE_CRASH_ATTRIBUTION_H_
#define RADISHROUTE_CRASH_ATTRIBUTION_H_

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/crash_evidence.h"

namespace radishroute {

struct crash_attribution_limits {
  /// Crashes since its last success that quarantine content which has never succeeded.
  std::uint32_t crashes = 2;
  /// The same for content that succeeded before; it may only have been beside the cause.
  std::uint32_t crashes_after_success = 4;
  /// Crashes of several backend servers within this time count as one: they may have a cause
  /// outside, such as a rack that lost power.
  std::chrono::milliseconds crash_interval{1000};
  /// How long observations are kept, and content stays quarantined after its last crash.
  std::chrono::milliseconds retention{std::chrono::minutes(10)};
  std::size_t max_contents = 16384;
  /// Observations of each kind in one message.
  std::size_t max_reported = 256;
};

/// Finds the content that crashes backend servers by elimination. All content of a request that had
/// hardly begun to be answered is charged with the crash; an answer to any request with the same
/// content clears it, since content that crashes backend servers is never answered. Observations
/// may be merged in any order and repeatedly.
class crash_attribution {
 public:
  explicit crash_attribution(crash_attribution_limits limits = {}) : limits_(limits) {}

  /// A request with this content was answered. Returns what other processes need to know of it.
  crash_evidence OnSuccess(const suspect_content& content, steady_time now);
  /// A backend server crashed as it began to answer a request with this content. Returns the
  /// evidence for other processes.
  crash_evidence OnCrash(const suspect_content& content, steady_time now);

  /// Merges evidence of another process and returns the part that was new.
  crash_evidence Merge(const crash_evidence& evidence, steady_time now);
  /// Successes known here that bear on the crashes in `evidence`.
  crash_evidence KnownSuccesses(const crash_evidence& evidence, steady_time now) const;

  /// Remaining time for which the content is quarantined; nothing if it is not.
  std::optional<std::chrono::milliseconds> QuarantinedFor(const suspect_content& content,
                                                          steady_time now) const;
  std::optional<std::chrono::milliseconds> QuarantinedFor(fingerprint content,
                                                          steady_time now) const;
  /// Whether all parts of the prompt have been answered in other requests, and the request itself
  /// has crashed no backend server.
  bool IsTrusted(const suspect_content& content, steady_time now) const;

  /// The evidence against content with open crashes, for a process that has just started.
  crash_evidence Snapshot(steady_time now) const;

  std::size_t Size() const { return records_.size(); }

 private:
  struct record {
    /// Oldest first, at least `crash_interval` apart.
    std::vector<steady_time> crashes;
    std::optional<steady_time> last_success;
    steady_time last_used;

    std::size_t OpenCrashes() const;
  };

  /// Position in the order in which records are dropped.
  struct use_key {
    /// Content with open crashes is dropped last, whatever else is observed meanwhile.
    bool has_open_crashes = false;
    steady_time last_used;
    fingerprint content;
    auto operator<=>(const use_key&) const = default;
  };

  static use_key KeyOf(fingerprint content, const record& r) {
    return {r.OpenCrashes() > 0, r.last_used, content};
  }
  void DropExpired(steady_time now);
  /// Calls `change` with the record of the content, which is created if needed.
  template <class Change>
  void Update(fingerprint content, steady_time now, Change change);
  bool AddCrash(fingerprint content, steady_time at, steady_time now);
  bool AddSuccess(fingerprint content, steady_time at, steady_time now);
  const record* Find(fingerprint content, steady_time now) const;

  crash_attribution_limits limits_;
  std::unordered_map<fingerprint, record> records_;
  std::set<use_key> by_use_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CRASH_ATTRIBUTION_H_
