#ifndef RADISHROUTE_IDEMPOTENCY_KEY_H_
#define RADISHROUTE_IDEMPOTENCY_KEY_H_

#include <optional>
#include <string_view>

#include "radishroute/clock.h"

namespace radishroute {

/// Time in a UUID of version 7 (RFC 9562, section 5.7), to the millisecond; nothing if the text is
/// not such a UUID in its canonical form. Hexadecimal digits of either case are accepted.
std::optional<wall_time> ParseKeyTime(std::string_view key);

}  // namespace radishroute

#endif  // RADISHROUTE_IDEMPOTENCY_KEY_H_
