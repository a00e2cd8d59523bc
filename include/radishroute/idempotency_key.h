#ifndef RADISHROUTE_IDEMPOTENCY_KEY_H_
#define RADISHROUTE_IDEMPOTENCY_KEY_H_

#include <optional>
#include <string_view>

#include "radishroute/clock.h"

namespace radishroute {

/// Returns the timestamp of a version 7 UUID (RFC 9562, section 5.7) in milliseconds, or nullopt if
/// the text is not such a UUID in canonical form. Accepts hexadecimal digits of either case.
std::optional<wall_time> ParseKeyTime(std::string_view key);

}  // namespace radishroute

#endif  // RADISHROUTE_IDEMPOTENCY_KEY_H_
