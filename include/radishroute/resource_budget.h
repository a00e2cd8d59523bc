#ifndef RADISHROUTE_RESOURCE_BUDGET_H_
#define RADISHROUTE_RESOURCE_BUDGET_H_

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/resource_limits.h"

namespace radishroute {

/// What a connection of a client uses.
enum class budget_account : std::uint8_t {
  /// One for each connection.
  kConnections,
  /// Bytes of heads, and of input that has not been parsed.
  kHeads,
  /// Bytes of bodies that are being read, announced ones in full.
  kBodies,
};

inline constexpr std::size_t kBudgetAccountCount = 3;

std::string_view ToString(budget_account account);

/// Highest total of each account, by `budget_account`. Zero: no limit.
using budget_limits = std::array<std::size_t, kBudgetAccountCount>;

/// Number of a connection; unique within one server.
using connection_number = std::uint64_t;

struct budget_eviction {
  connection_number connection = 0;
  /// What it held in the account.
  std::size_t held = 0;
};

struct budget_decision {
  bool granted = true;
  /// Connections to close, so that the use is granted.
  std::vector<budget_eviction> evicted;
};

/// Decides which use of memory and descriptors by clients is granted, and whose connection is
/// closed to make room. Evicts the connections with the slowest progress for what they hold; never
/// one whose request was forwarded.
class resource_budget {
 public:
  void SetLimits(const budget_limits& limits) { limits_ = limits; }
  /// Whether any account is limited.
  bool IsLimited() const;

  /// A connection was accepted. If it is not granted, it is not counted.
  budget_decision Open(connection_number connection, steady_time now);
  /// Sets what a connection holds in an account. If it is not granted, the former value is kept.
  budget_decision Hold(connection_number connection, budget_account account, std::size_t bytes,
                       steady_time now);
  /// Bytes were received; the first ones after a response begin the next request.
  void OnReceived(connection_number connection, std::size_t bytes, steady_time now);
  /// Its request is complete and may be forwarded; it is not evicted until it is answered.
  void OnForwarded(connection_number connection);
  void OnAnswered(connection_number connection, steady_time now);
  void Close(connection_number connection);

  std::size_t Total(budget_account account) const { return totals_[Index(account)]; }

 private:
  struct holder {
    std::array<std::size_t, kBudgetAccountCount> held{};
    /// Start of the request that is being read, or of the time without one.
    steady_time since;
    std::size_t received = 0;
    bool reading = false;
    bool forwarded = false;
    /// Has completed a request before.
    bool was_forwarded = false;
  };

  static constexpr std::size_t Index(budget_account account) {
    return static_cast<std::size_t>(account);
  }
  static double Slowness(const holder& h, budget_account account, steady_time now);
  /// Makes room for `more` in an account, which `connection` asks for.
  budget_decision MakeRoom(connection_number connection, budget_account account, std::size_t more,
                           steady_time now);
  bool TakeEviction(steady_time now);

  budget_limits limits_{};
  std::array<std::size_t, kBudgetAccountCount> totals_{};
  std::unordered_map<connection_number, holder> holders_;
  /// Evictions for descriptors since `window_start_`.
  steady_time window_start_;
  std::size_t window_evictions_ = 0;
};

/// Parts of a gateway's budgets. Zero: not limited by the settings.
struct gateway_shares {
  budget_limits callers{};
  budget_limits probes{};
  /// Bodies and heads of requests in progress.
  std::size_t request_bytes = 0;
  /// Parts of responses that wait for their rest.
  std::size_t response_bytes = 0;
  /// Responses that callers have not read yet.
  std::size_t unsent_bytes = 0;
  /// Connections to backend servers, and so requests in progress.
  std::size_t backend_connections = 0;
};

/// Parts of a controller's budgets.
struct controller_shares {
  budget_limits callers{};
  std::size_t unsent_bytes = 0;
};

gateway_shares DivideForGateway(const resource_limits& limits);
controller_shares DivideForController(const resource_limits& limits);

}  // namespace radishroute

#endif  // RADISHROUTE_RESOURCE_BUDGET_H_
