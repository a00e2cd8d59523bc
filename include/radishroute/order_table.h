#ifndef RADISHROUTE_ORDER_TABLE_H_
#define RADISHROUTE_ORDER_TABLE_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishroute/order_types.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

struct order_limits {
  /// Maximum number of orders kept, ended ones included; the oldest ended ones are dropped first.
  /// Orders change with the daily sheet, so this holds several days of a fleet of 3,000 engines.
  std::size_t orders = 10000;
  /// Maximum number of pending orders of one backend server.
  std::size_t pending_per_backend = 16;
};

struct order_record {
  /// Fencing token: the index of the log entry of the submission.
  std::uint64_t token = 0;
  order_submission order;
  order_status status = order_status::kPending;
};

/// Fenced orders. Deterministic: the contents depend only on the commands applied.
class order_table {
 public:
  explicit order_table(order_limits limits = {}) : limits_(limits) {}

  /// Has no effect if the change id already has an order.
  void Apply(const order_submission& submission, std::uint64_t token, reduce_context& ctx);
  /// Has no effect unless the order is pending.
  void Apply(const order_completion& completion, reduce_context& ctx);

  /// Both return null if there is none.
  const order_record* FindChange(const std::string& change_id) const;
  const order_record* FindToken(std::uint64_t token) const;
  /// The pending order of a backend server with the lowest token, or null.
  const order_record* NextPending(const std::string& backend) const;
  /// All orders, keyed by token.
  const std::map<std::uint64_t, order_record>& Orders() const { return orders_; }
  const order_limits& Limits() const { return limits_; }

  std::vector<order_record> Save() const;
  /// Returns false if the tokens do not increase or a change id occurs twice; the table is then
  /// empty.
  bool Load(std::vector<order_record> orders);

 private:
  void Insert(order_record record);
  void Prune();

  order_limits limits_;
  std::map<std::uint64_t, order_record> orders_;
  std::unordered_map<std::string, std::uint64_t> token_by_change_id_;
  std::unordered_map<std::string, std::set<std::uint64_t>> pending_;
  /// Tokens of orders that have ended.
  std::set<std::uint64_t> ended_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ORDER_TABLE_H_
