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
  /// Orders kept, ended ones included; the oldest that ended are dropped first. Orders change with
  /// the daily sheet, so this holds several days of a fleet of 3,000 engines.
  std::size_t orders = 10000;
  /// Pending orders of one backend server.
  std::size_t pending_per_backend = 16;
};

struct order_record {
  /// Fencing token: the index of the log entry of the submission.
  std::uint64_t token = 0;
  order_submission order;
  order_status status = order_status::kPending;
};

/// Fenced orders. Deterministic: depends on the commands applied and nothing else.
class order_table {
 public:
  explicit order_table(order_limits limits = {}) : limits_(limits) {}

  /// A change id that is known already changes nothing.
  void Apply(const order_submission& submission, std::uint64_t token, reduce_context& ctx);
  /// Changes nothing unless the order is pending.
  void Apply(const order_completion& completion, reduce_context& ctx);

  /// Both are null if there is none.
  const order_record* FindChange(const std::string& change_id) const;
  const order_record* FindToken(std::uint64_t token) const;
  /// The pending order of a backend server with the lowest token, or null.
  const order_record* Next(const std::string& backend) const;
  /// All orders by token.
  const std::map<std::uint64_t, order_record>& Orders() const { return orders_; }
  const order_limits& Limits() const { return limits_; }

  std::vector<order_record> Save() const;
  /// False if tokens do not grow or a change id occurs twice; the table is then empty.
  bool Load(std::vector<order_record> orders);

 private:
  void Insert(order_record record);
  void Prune();

  order_limits limits_;
  std::map<std::uint64_t, order_record> orders_;
  std::unordered_map<std::string, std::uint64_t> by_change_;
  std::unordered_map<std::string, std::set<std::uint64_t>> pending_;
  /// Tokens of orders that have ended.
  std::set<std::uint64_t> ended_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ORDER_TABLE_H_
