#include "radishroute/invariant.h"

#include <string>

namespace radishroute {

bool CheckInvariant(bool holds, std::string_view what, reduce_context& ctx) {
  if (holds) return true;
  log_event event;
  event.code = event_code::kInvariantViolated;
  event.level = log_level::kError;
  event.fields = {{"invariant", std::string(what)}};
  ctx.Emit(write_log{std::move(event)});
  return false;
}

}  // namespace radishroute
