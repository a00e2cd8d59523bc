#include "radishroute/invariant.h"

#include <string>

namespace radishroute {

bool CheckInvariant(bool holds, std::string_view invariant, reduce_context& ctx) {
  if (holds) return true;
  log_event entry;
  entry.code = event_code::kInvariantViolated;
  entry.level = log_level::kError;
  entry.fields = {{"invariant", std::string(invariant)}};
  ctx.Emit(write_log{std::move(entry)});
  return false;
}

}  // namespace radishroute
