#ifndef RADISHROUTE_RESOURCE_LIMITS_H_
#define RADISHROUTE_RESOURCE_LIMITS_H_

#include <cstddef>

namespace radishroute {

/// What one process may use. Zero: no budget.
struct resource_limits {
  /// Megabytes of 1,000,000 bytes.
  std::size_t memory_mb = 0;
  std::size_t max_descriptors = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RESOURCE_LIMITS_H_
