#include "radishroute/order_types.h"

#include <array>

namespace radishroute {

namespace {

constexpr std::array<std::string_view, kOrderKindCount> kKindNames = {"load_model", "load_adapter",
                                                                      "set_version", "change_role"};

}  // namespace

std::string_view ToString(order_kind kind) { return kKindNames[static_cast<std::size_t>(kind)]; }

bool ParseOrderKind(std::string_view name, order_kind& out) {
  for (std::size_t i = 0; i < kOrderKindCount; ++i) {
    if (kKindNames[i] != name) continue;
    out = static_cast<order_kind>(i);
    return true;
  }
  return false;
}

std::string_view ToString(order_status status) {
  constexpr std::array<std::string_view, kOrderStatusCount> kNames = {
      "pending",       "done",      "stale-token", "weights-unavailable", "rejected-by-engine",
      "engine-failed", "queue-full"};
  return kNames[static_cast<std::size_t>(status)];
}

}  // namespace radishroute
