#ifndef RADISHROUTE_FORWARD_COLD_BACKENDS_H_
#define RADISHROUTE_FORWARD_COLD_BACKENDS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/policy.h"
#include "radishroute/routing_table.h"

namespace radishroute {

/// How long the backend servers of a service are cold after a start, and what they tolerate then.
struct cold_profile {
  std::chrono::milliseconds duration{};
  /// Requests per second from all gateways together; zero if the service has no cold phase.
  double requests_per_second = 0;
};

/// A backend server that this process now treats as cold.
struct cold_backend {
  std::string backend;
  std::chrono::milliseconds remaining{};
  std::string_view source;
};

/// Limits the requests of this process to backend servers that are cold, so that the sum over all
/// processes stays within what a cold backend server tolerates. Each process sends at most one
/// request in its share of the rate, starting after a random part of that interval, which needs no
/// messages and holds for processes that are cut off or have just started.
class cold_backends {
 public:
  using profiles = string_map<cold_profile>;

  /// Sets what the current configuration says of each service.
  void SetProfiles(profiles by_service) { profiles_ = std::move(by_service); }
  /// Number of processes that send to the same backend servers; zero if it is unknown.
  void SetProcesses(std::uint32_t processes);

  /// Returns the backend servers that have become cold. One that is listed for the first time after
  /// the first table is taken as cold, since its registration may be late.
  std::vector<cold_backend> OnTable(const routing_table& table, steady_time now,
                                    random_source& random);
  /// All backend servers of the zone may have become cold while they got no requests.
  std::vector<cold_backend> OnZoneReturned(std::string_view zone, const routing_table& table,
                                           steady_time now, random_source& random);

  /// Whether this process may send a request to the backend server now.
  bool MaySend(std::string_view backend, steady_time now) const;
  void OnSent(std::string_view backend, steady_time now);
  /// Next time at which a request may be sent to a cold backend server of the service; nothing if
  /// none is cold.
  std::optional<steady_time> NextTurn(std::string_view service, steady_time now) const;

 private:
  struct state {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::string service;
    steady_time cold_until;
    steady_time next_turn;
  };

  std::chrono::nanoseconds Interval(const cold_profile& profile) const;
  void Mark(state& backend, const cold_profile& profile, std::chrono::milliseconds remaining,
            steady_time now, random_source& random) const;

  profiles profiles_;
  std::uint32_t processes_ = 0;
  bool has_table_ = false;
  string_map<state> backends_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_COLD_BACKENDS_H_
