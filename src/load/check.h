#ifndef RADISHROUTE_LOAD_CHECK_H_
#define RADISHROUTE_LOAD_CHECK_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "load/record.h"

namespace radishroute {

enum class load_violation : std::uint8_t {
  kRanTwice,
  kRanAlthoughNotRun,
  kDoneWithoutRun,
  kWrongAnswer,
  kCutAnswer,
};

std::string_view ToString(load_violation violation);

struct violation_found {
  load_violation violation = load_violation::kRanTwice;
  /// Idempotency-Key, or the number of the request.
  std::string subject;
};

/// Compares what callers were told with what the services ran. `runs` counts by Idempotency-Key.
std::vector<violation_found> CheckRun(const std::vector<load_record>& records,
                                      const std::map<std::string, std::uint64_t>& runs);

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_CHECK_H_
