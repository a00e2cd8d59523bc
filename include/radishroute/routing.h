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

/// Constants of a `two_choice_router`.
struct routing_rules {
  /// Other zones are considered when the local choice has this load, in percent of its limit.
  std::uint32_t spill_percent = 100;
  /// A prefix's preferred server may exceed the sampled mean load by this much, in percent.
  std::uint32_t affinity_percent = 125;
};

inline constexpr routing_rules kBalancedRouting{};
inline constexpr routing_rules kUrgentRouting{75, 110};

/// What an entry knows of one backend server's load.
struct backend_load {
  std::string name;
  std::uint64_t incarnation = 0;
  std::uint32_t limit = 1;
  std::uint32_t in_flight = 0;
  /// Running and queued work in the last report, corrected by what was sent and done since.
  std::int64_t reported = 0;
  std::optional<steady_time> reported_at;
  /// When this entry first saw the server; empty for servers of the first table.
  std::optional<steady_time> up_since;
};

/// Servers of one pool by the hash of a prompt prefix. Each server has several points on a ring;
/// the ring is stored as equal slots, so that a lookup does not depend on the number of servers.
class prefix_ring {
 public:
  /// Rebuilds the slots if the names differ from those of the last call.
  void Assign(const std::vector<std::uint32_t>& members, const routing_table& table);
  /// The server of the slot that is `step` slots after the hash's own.
  std::optional<std::uint32_t> At(std::uint64_t hash, std::size_t step) const;

 private:
  std::uint64_t names_ = 0;
  std::vector<std::uint32_t> members_;
  /// Positions in `members_`.
  std::vector<std::uint32_t> slots_;
  unsigned shift_ = 0;
};

/// Two random choices by load, nearest zone first, with bounded prefix affinity.
template <routing_rules kRules>
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
                                      std::optional<std::uint32_t> taken,
                                      random_source& random) const;
  std::optional<candidate> ChooseIn(const std::vector<std::uint32_t>& pool, const prefix_ring* ring,
                                    const route_query& query, steady_time now,
                                    random_source& random) const;
  std::optional<candidate> Preferred(const prefix_ring& ring, const route_query& query,
                                     double bound, bool use_reports, steady_time now) const;
  bool Fresh(std::uint32_t backend, steady_time now) const;
  double Load(std::uint32_t backend, bool use_report, steady_time now) const;

  std::vector<backend_load> backends_;
  string_map<prefix_ring> rings_;
  /// All entries' work on the reporting servers for each request of this entry's own there.
  double total_per_own_ = 1;
  double own_sum_ = 0;
  double total_sum_ = 0;
  bool has_table_ = false;
  /// Time of the latest call that carried one; OnTable carries none.
  steady_time latest_{};
};

static_assert(routing_policy<two_choice_router<kBalancedRouting>>);

}  // namespace radishroute

#endif  // RADISHROUTE_ROUTING_H_
