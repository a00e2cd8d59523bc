#ifndef RADISHROUTE_ROUTING_H_
#define RADISHROUTE_ROUTING_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "radishroute/policy.h"

namespace radishroute {

/// Parameters of a `two_choice_router`.
struct routing_parameters {
  /// Other zones are considered if the load of the server chosen in the local zone reaches this
  /// percentage of its limit.
  std::uint32_t spill_percent = 100;
  /// How far the load of a prefix's preferred server may exceed the sampled mean load, in percent.
  std::uint32_t affinity_percent = 125;
};

inline constexpr routing_parameters kBalancedRouting{};
inline constexpr routing_parameters kUrgentRouting{75, 110};

/// Load of one backend server as known to an entry.
struct backend_load {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint32_t limit = 1;
  std::uint32_t in_flight = 0;
  /// Running and queued work in the last report, adjusted for work sent and finished since.
  std::int64_t reported_work = 0;
  std::optional<steady_time> reported_at;
  /// When this entry first saw the server; empty for servers of the first table.
  std::optional<steady_time> first_seen;
};

/// Consistent hashing of prompt prefixes to the servers of a pool. Each server has several points
/// on a ring, which is stored as equal slots, so that the cost of a lookup does not depend on the
/// number of servers.
class prefix_ring {
 public:
  /// Rebuilds the slots if the server names have changed since the last call.
  void Assign(const std::vector<std::uint32_t>& pool, const routing_table& table);
  /// Returns the server of the slot that is `probe` slots after the hash's own.
  std::optional<std::uint32_t> Lookup(std::uint64_t hash, std::size_t probe) const;

 private:
  std::uint64_t pool_hash_ = 0;
  std::vector<std::uint32_t> pool_;
  /// Positions in `pool_`.
  std::vector<std::uint32_t> slots_;
  unsigned shift_ = 0;
};

/// Chooses the less loaded of two random servers, local zone first, with bounded prefix affinity.
template <routing_parameters kParams>
class two_choice_router {
 public:
  void OnTable(const routing_table& table);
  std::optional<std::uint32_t> Choose(const routing_table& table, const route_query& query,
                                      steady_time now, random_source& random);
  void OnSent(std::uint32_t backend);
  void OnDone(std::uint32_t backend);
  void OnLoad(std::uint32_t backend, const load_report& load, steady_time now);

 private:
  struct candidate {
    std::uint32_t backend;
    double load;
  };

  std::optional<std::uint32_t> Sample(const std::vector<std::uint32_t>& pool,
                                      std::span<const std::uint32_t> excluded,
                                      std::optional<std::uint32_t> first_choice,
                                      random_source& random) const;
  std::optional<candidate> ChooseIn(const std::vector<std::uint32_t>& pool, const prefix_ring* ring,
                                    const route_query& query, steady_time now,
                                    random_source& random) const;
  std::optional<candidate> ChooseByPrefix(const prefix_ring& ring, const route_query& query,
                                          double bound, bool use_reports, steady_time now) const;
  bool HasFreshReport(std::uint32_t backend, steady_time now) const;
  double EstimateLoad(std::uint32_t backend, bool use_report, steady_time now) const;

  std::vector<backend_load> backends_;
  string_map<prefix_ring> rings_;
  /// Ratio of all entries' work on the reporting servers to this entry's own work there.
  double total_to_own_ratio_ = 1;
  double own_sum_ = 0;
  double total_sum_ = 0;
  bool has_table_ = false;
  /// `now` of the latest call with this parameter; OnTable has no such parameter.
  steady_time latest_time_{};
};

static_assert(routing_policy<two_choice_router<kBalancedRouting>>);

}  // namespace radishroute

#endif  // RADISHROUTE_ROUTING_H_
