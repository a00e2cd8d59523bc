#ifndef RADISHROUTE_FORWARD_WITHHELD_BACKENDS_H_
#define RADISHROUTE_FORWARD_WITHHELD_BACKENDS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "radishroute/clock.h"
#include "radishroute/routing_table.h"

namespace radishroute {

/// Backend servers that have said in a response that they take no requests from this process: for
/// some time, or because they are leaving. They stay listed.
class withheld_backends {
 public:
  void OnTable(std::shared_ptr<const routing_table> table, steady_time now);
  /// Returns false if this was known.
  bool OnLeaving(const std::string& backend, steady_time now);
  /// Returns the time for which the backend server is withheld, which has an upper bound.
  std::chrono::milliseconds OnRetryAfter(const std::string& backend, std::chrono::milliseconds wait,
                                         steady_time now);

  bool Contains(std::string_view backend, steady_time now) const;
  /// Whether the backend server has said that it is leaving, or the table no longer lists it.
  bool HasLeft(std::string_view backend) const;
  /// Earliest time at which a backend server of the service takes requests again. Nothing if one
  /// takes them now, or if all are leaving.
  std::optional<steady_time> NextReturn(std::string_view service, steady_time now) const;

 private:
  struct mark {
    /// Incarnation that was listed at that time; a later one is a new backend server.
    std::uint64_t incarnation = 0;
    steady_time until;
  };
  using marks = string_map<mark>;

  const announcement* FindListed(std::string_view backend) const;
  std::uint64_t ListedIncarnation(std::string_view backend) const;
  void RemoveOutdated(marks& from, steady_time now) const;

  std::shared_ptr<const routing_table> table_;
  marks leaving_;
  marks waiting_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_WITHHELD_BACKENDS_H_
