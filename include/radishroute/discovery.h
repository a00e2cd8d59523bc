#ifndef RADISHROUTE_DISCOVERY_H_
#define RADISHROUTE_DISCOVERY_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"
#include "radishroute/sheet.h"

namespace radishroute {

/// Directory of backend servers on an entry's control thread.
class directory {
 public:
  /// `initial` is in force until SetWork; a sheet without kinds means no configuration.
  directory(std::string zone, work_sheet initial);

  void Handle(const process_started& started, reduce_context& ctx);

  void Handle(link_id link, const announcement& record, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);

  /// Sets the sheet in force under a configuration version.
  void SetWork(std::uint64_t version, work_sheet sheet, reduce_context& ctx);

  /// Publishes the end of the configuration lease to the traffic threads.
  void SetLease(steady_time until, reduce_context& ctx);

  std::size_t Size() const { return records_.size(); }

 private:
  bool Accept(const announcement& record, reduce_context& ctx);
  void Publish(reduce_context& ctx);

  std::string zone_;
  std::map<std::string, announcement> records_;
  std::unordered_map<link_id, std::string> announced_on_;
  std::uint64_t config_version_ = 0;
  work_sheet sheet_;
  steady_time lease_until_ = steady_time::max();
  std::shared_ptr<const routing_table> published_;
};

/// Announces this process's backend server to the entries that its settings name.
class announcer {
 public:
  announcer(announcement self, std::vector<endpoint> entries);

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const drain_requested& drain, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);

 private:
  void Announce(reduce_context& ctx);

  announcement self_;
  std::vector<endpoint> entries_;
  std::vector<link_id> links_;
  std::vector<std::pair<steady_time, endpoint>> reconnects_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_DISCOVERY_H_
