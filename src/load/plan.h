#ifndef RADISHROUTE_LOAD_PLAN_H_
#define RADISHROUTE_LOAD_PLAN_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/settings.h"
#include "radishroute/types.h"

namespace radishroute {

/// Requests per second from `at` until the next step.
struct rate_step {
  std::chrono::milliseconds at{};
  double per_second = 0;
};

/// Additional requests for a while, of one Member if `member` is not empty.
struct load_flood {
  std::chrono::milliseconds at{};
  std::chrono::milliseconds duration{};
  double per_second = 0;
  std::string member;
};

/// An inclusive range from which a value is drawn uniformly.
struct value_range {
  std::uint32_t lowest = 0;
  std::uint32_t highest = 0;
};

struct load_kind {
  std::string name;
  priority_class cls = priority_class::kInteractive;
  /// Zero for none: every whole answer then is in time.
  std::chrono::milliseconds deadline{};
  std::vector<rate_step> rates;
  std::vector<load_flood> floods;
  std::string model;
  /// Name of a plain service; the kind then consists of calls with an Idempotency-Key.
  std::string service;
  value_range max_tokens{16, 16};
  value_range prompt_tokens{16, 16};
  /// Every prompt begins with one of this many prefixes, 0 for none.
  std::uint32_t prefixes = 0;
  std::uint32_t prefix_tokens = 0;
  /// Part of the requests that ask for a stream.
  double stream = 0.5;
  /// Service calls: wait before the call is sent again with the same key, to another entry.
  std::chrono::milliseconds resend_after{1000};
  std::uint32_t resends = 3;
  /// The caller gives up after this time.
  std::chrono::milliseconds timeout{60000};
};

struct load_member {
  std::string name;
  std::uint32_t weight = 1;
  /// Part of the requests, relative to the other Members' shares.
  double share = 1;
};

struct load_plan {
  std::uint64_t seed = 1;
  std::chrono::milliseconds duration{5000};
  bool poisson = true;
  std::vector<load_kind> kinds;
  std::vector<load_member> members;
};

/// Parses a plan, described in docs/load.md. A kind without class and deadline takes them from
/// the sheet; without Members the plan has those of the sheet. Appends every fault to `errors`.
load_plan ParseLoadPlan(std::string_view text, const std::optional<std::string>& sheet,
                        std::vector<settings_error>& errors);

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_PLAN_H_
