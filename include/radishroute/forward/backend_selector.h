#ifndef RADISHROUTE_FORWARD_BACKEND_SELECTOR_H_
#define RADISHROUTE_FORWARD_BACKEND_SELECTOR_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/engine_message.h"
#include "radishroute/forward/cold_backends.h"
#include "radishroute/forward/forward_event.h"
#include "radishroute/forward/learned_limits.h"
#include "radishroute/forward/withheld_backends.h"
#include "radishroute/policy.h"
#include "radishroute/routing_table.h"

namespace radishroute {

/// Result of an attempt, as far as it concerns the state of the backend server.
enum class attempt_result : std::uint8_t {
  kServed,
  /// The backend server refused the request because it was full.
  kFull,
  /// The backend server responded with an error.
  kServerError,
  /// The connection could not be established, or was lost before the end of the response.
  kConnectionFailed,
  /// A different backend server now has this address.
  kWrongBackend,
  /// The attempt was cancelled, for example because the caller disconnected.
  kCancelled,
};

/// Input of the selection of a backend server for one request.
struct selection_query {
  std::string_view service;
  std::uint32_t urgency = 5;
  /// Backend servers that this request was already sent to.
  std::span<const std::string> excluded;
  /// Backend servers that get no requests now.
  const withheld_backends& withheld;
  /// Attempts of this process that one backend server may have in progress; zero for no limit.
  std::uint32_t max_in_flight = 0;
  /// Limits the requests to cold backend servers; null for no limit.
  const cold_backends* cold = nullptr;
};

/// Whether the backend server may be selected.
bool IsEligible(const selection_query& query, const std::string& backend, steady_time now);

/// A selected backend server and its expected load, including this request.
struct selected_backend {
  std::string backend;
  endpoint address;
  double load = 0;
  /// Requests that it handles at once: its slots, or the learned limit.
  std::uint32_t slots = 1;
  std::uint64_t incarnation = 0;
};

/// An attempt that has ended, as far as it concerns the capacity of its backend server.
struct finished_attempt {
  std::string_view backend;
  /// Incarnation that the attempt was sent to.
  std::uint64_t incarnation = 0;
  std::string_view route;
  /// Until the first byte of a stream, else until the end of the response.
  std::chrono::nanoseconds latency{};
  std::optional<reported_load> load;
  attempt_result result = attempt_result::kServed;
};

/// A considerable change of a learned capacity.
struct capacity_change {
  /// Requests handled at once, times the relative speed.
  double before = 0;
  double after = 0;
  capacity_evidence evidence = capacity_evidence::kNone;
  /// Time since the previous change of this incarnation; zero for the first.
  std::chrono::milliseconds age{};
  /// False if too many changes were logged recently.
  bool logged = true;
};

/// Names of services whose backend servers' capacities are learned.
using service_set = std::set<std::string, std::less<>>;

/// Policy that selects a backend server of a service.
template <class S>
concept backend_selector = std::default_initializable<S> &&
    requires(S selector, const routing_table& table, const std::string& zone,
             const selection_query& query, const std::string& backend, const reported_load& load,
             const fleet_load& fleet, attempt_result result, const finished_attempt& finished,
             service_set services, random_source& random, steady_time now) {
  {selector.LearnCapacity(services)};
  {selector.OnTable(table, zone)};
  { selector.Choose(query, now, random) } -> std::same_as<std::optional<selected_backend>>;
  {selector.OnFleetLoad(fleet, now)};
  {selector.OnSent(backend, now)};
  {selector.OnLoad(backend, load, now)};
  { selector.OnFinished(finished, now) } -> std::same_as<std::optional<capacity_change>>;
  {selector.OnDone(backend, result, now)};
};

/// State of one backend server as this process sees it, from the routing table, load reports and
/// the results of its own attempts.
struct backend_state {
  std::string id;
  endpoint address;
  std::uint32_t slots = 1;
  bool local = false;
  bool listed = true;
  /// Attempts of this process in progress.
  std::uint32_t in_flight = 0;
  /// Running and waiting requests according to the last report: those of all processes if
  /// `report_is_total`, else those of other processes only.
  double reported = 0;
  steady_time reported_at;
  /// Attempts of this process that the last report cannot include.
  std::uint32_t unreported = 0;
  /// Number of these attempts that were sent after that report arrived.
  std::uint32_t sent_since_report = 0;
  /// The last report came from the leader, which counts the requests of all processes.
  bool report_is_total = false;
  /// According to the last report, the group of this engine makes no forward passes.
  bool group_down = false;
  std::uint32_t failures = 0;
  steady_time avoid_until;
};

/// Selects the backend server with the least expected load. A recent report of the leader gives the
/// total load. Otherwise the load is the number of this process's attempts plus the requests of
/// other processes that the last response reported, discounted by the age of that report. In
/// services with learned capacity, `Capacity` weights the load by the speed and the limit.
template <capacity_policy Capacity>
class basic_least_loaded_selector {
 public:
  /// Replaces the services with learned capacity; none at the start.
  void LearnCapacity(service_set services);
  void OnTable(const routing_table& table, const std::string& zone);
  std::optional<selected_backend> Choose(const selection_query& query, steady_time now,
                                         random_source& random) const;
  void OnFleetLoad(const fleet_load& fleet, steady_time now);
  void OnSent(const std::string& backend, steady_time now);
  void OnLoad(const std::string& backend, const reported_load& load, steady_time now);
  /// To be called before `OnDone` of the same attempt.
  std::optional<capacity_change> OnFinished(const finished_attempt& finished, steady_time now);
  void OnDone(const std::string& backend, attempt_result result, steady_time now);

 private:
  struct server_state : backend_state {
    std::string service;
    std::uint64_t incarnation = 0;
    /// Mean load of the service's backend servers; null if no capacity is learned.
    decayed_mean* service_load = nullptr;
    typename Capacity::server capacity;
    /// Capacity at the last reported change, and its time.
    double reported_capacity = 0;
    std::optional<steady_time> changed_at;
  };
  using candidate_list = std::vector<const server_state*>;

  double ExpectedLoad(const server_state& b, steady_time now) const;
  static bool MayGet(const selection_query& query, const backend_state& b, steady_time now);
  decayed_mean* FindServiceLoad(std::string_view service);
  double Limit(const server_state& b, steady_time now) const;
  /// Load used for comparisons; `random` breaks ties.
  double Score(const server_state& b, steady_time now, random_source& random) const;
  const server_state* LeastLoaded(const candidate_list& candidates, steady_time now,
                                  random_source& random) const;
  std::optional<capacity_change> NoteChange(server_state& b, capacity_evidence evidence,
                                            steady_time now);
  /// Some eligible backend servers at random; fewer than asked if the pool has few of them.
  static candidate_list Sample(const candidate_list& from, const selection_query& query,
                               steady_time now, random_source& random);

  Capacity capacity_;
  /// By service with learned capacity.
  string_map<decayed_mean> service_loads_;
  /// Start of the current second of logged changes, and their number.
  steady_time changes_since_;
  std::uint32_t changes_logged_ = 0;
  string_map<server_state> backends_;
  /// Backend servers by service; they point into `backends_`.
  string_map<candidate_list> pools_;
  /// Listed backend servers by address; one that has left may share it with its successor.
  std::multimap<endpoint, server_state*> by_address_;
};

using least_loaded_selector = basic_least_loaded_selector<gradient_limits>;

/// Selects the backend servers in turn. Baseline for comparisons.
class round_robin_selector {
 public:
  void LearnCapacity(const service_set&) {}
  void OnTable(const routing_table& table, const std::string& zone);
  std::optional<selected_backend> Choose(const selection_query& query, steady_time now,
                                         random_source& random);
  void OnFleetLoad(const fleet_load&, steady_time) {}
  void OnSent(const std::string&, steady_time) {}
  void OnLoad(const std::string&, const reported_load&, steady_time) {}
  std::optional<capacity_change> OnFinished(const finished_attempt&, steady_time) { return {}; }
  void OnDone(const std::string&, attempt_result, steady_time) {}

 private:
  struct pool {
    std::vector<selected_backend> backends;
    std::size_t next = 0;
  };
  string_map<pool> pools_;
};

static_assert(backend_selector<least_loaded_selector>);
static_assert(backend_selector<round_robin_selector>);

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_BACKEND_SELECTOR_H_
