#ifndef RADISHROUTE_FORWARD_BACKEND_SELECTOR_H_
#define RADISHROUTE_FORWARD_BACKEND_SELECTOR_H_

#include <chrono>
#include <concepts>
#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/engine_message.h"
#include "radishroute/forward/forward_event.h"
#include "radishroute/policy.h"
#include "radishroute/routing_table.h"

namespace radishroute {

/// How an attempt at a backend server ended, as far as it says something about that server.
enum class attempt_verdict : std::uint8_t {
  kServed,
  /// It rejected the request because it was full.
  kFull,
  /// It failed the request by itself.
  kError,
  /// It could not be reached, or broke off.
  kBroken,
  /// Another backend server has its address.
  kReplaced,
  /// The caller left, or the request was withdrawn for another reason.
  kWithdrawn,
};

/// What a selector may look at.
struct selection_query {
  std::string_view service;
  std::uint32_t urgency = 5;
  /// Backend servers that this request has already tried.
  std::span<const std::string> excluded;
};

/// A chosen backend server and the load that it is expected to have with this request.
struct selection {
  std::string backend;
  endpoint address;
  double load = 0;
  std::uint32_t slots = 1;
};

/// Choice of a backend server of a service.
template <class S>
concept backend_selector = std::default_initializable<S> &&
    requires(S selector, const routing_table& table, const std::string& zone,
             const selection_query& query, const std::string& backend, const reported_load& load,
             const fleet_load& fleet, attempt_verdict verdict, random_source& random,
             steady_time now) {
  {selector.OnTable(table, zone)};
  { selector.Choose(query, now, random) } -> std::same_as<std::optional<selection>>;
  {selector.OnFleetLoad(fleet, now)};
  {selector.OnSent(backend, now)};
  {selector.OnLoad(backend, load, now)};
  {selector.OnDone(backend, verdict, now)};
};

/// Backend servers of one process's view, with what its own attempts tell of them.
struct backend_view {
  std::string id;
  endpoint address;
  std::uint32_t slots = 1;
  bool local = false;
  bool listed = true;
  /// Attempts of this process in progress.
  std::uint32_t in_flight = 0;
  /// Requests of other processes, by the last response.
  double others = 0;
  steady_time others_at;
  /// Attempts of this process that the last report cannot contain.
  std::uint32_t unreported = 0;
  /// Of these, the ones sent since that report.
  std::uint32_t sent_lately = 0;
  /// The last report came from the leader, which hears of all requests.
  bool reported_whole = false;
  std::uint32_t failures = 0;
  steady_time avoid_until;
};

/// Chooses the backend server with the least expected load. Load is the number of this process's
/// attempts plus what the last response told of others, which loses weight with its age.
class least_loaded_selector {
 public:
  void OnTable(const routing_table& table, const std::string& zone);
  std::optional<selection> Choose(const selection_query& query, steady_time now,
                                  random_source& random) const;
  void OnFleetLoad(const fleet_load& fleet, steady_time now);
  void OnSent(const std::string& backend, steady_time now);
  void OnLoad(const std::string& backend, const reported_load& load, steady_time now);
  void OnDone(const std::string& backend, attempt_verdict verdict, steady_time now);

 private:
  static double ExpectedLoad(const backend_view& b, steady_time now);

  string_map<backend_view> backends_;
  /// By service.
  string_map<std::vector<std::string>> pools_;
};

/// Each backend server in turn; for comparisons.
class round_robin_selector {
 public:
  void OnTable(const routing_table& table, const std::string& zone);
  std::optional<selection> Choose(const selection_query& query, steady_time now,
                                  random_source& random);
  void OnFleetLoad(const fleet_load&, steady_time) {}
  void OnSent(const std::string&, steady_time) {}
  void OnLoad(const std::string&, const reported_load&, steady_time) {}
  void OnDone(const std::string&, attempt_verdict, steady_time) {}

 private:
  struct pool {
    std::vector<selection> backends;
    std::size_t next = 0;
  };
  string_map<pool> pools_;
};

static_assert(backend_selector<least_loaded_selector>);
static_assert(backend_selector<round_robin_selector>);

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_BACKEND_SELECTOR_H_
