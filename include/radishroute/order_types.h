#ifndef RADISHROUTE_ORDER_TYPES_H_
#define RADISHROUTE_ORDER_TYPES_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace radishroute {

enum class order_kind : std::uint8_t { kLoadModel, kLoadAdapter, kSetVersion, kChangeRole };

inline constexpr std::size_t kOrderKindCount = 4;

/// Name of the kind in the engine API.
std::string_view ToString(order_kind kind);

/// Returns false if there is no such kind.
bool ParseOrderKind(std::string_view name, order_kind& out);

/// State of an order: pending, or how it ended. An ended order is never sent again.
enum class order_status : std::uint8_t {
  kPending,
  kDone,
  /// The agent or the engine has seen a higher token.
  kStaleToken,
  kWeightsUnavailable,
  /// The engine answered with a status of 400 to 499.
  kRejectedByEngine,
  /// The engine answered with another status.
  kEngineFailed,
  /// Too many orders were pending, so the order was never sent.
  kQueueFull,
};

inline constexpr std::size_t kOrderStatusCount = 7;

/// Stable identifier, used in responses to operators.
std::string_view ToString(order_status status);

/// Command: records an order for one backend server. Its token is the index of its log entry.
struct order_submission {
  /// Chosen by the operator; a resend carries the same one.
  std::string change_id;
  std::string author;
  std::string backend;
  order_kind kind = order_kind::kLoadModel;
  std::string name;
  /// Size of the weights; 0 if the engine fetches none.
  std::uint64_t bytes = 0;
  bool operator==(const order_submission&) const = default;
};

/// Command: ends a pending order.
struct order_completion {
  std::uint64_t token = 0;
  order_status status = order_status::kDone;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ORDER_TYPES_H_
