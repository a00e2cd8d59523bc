#ifndef RADISHROUTE_EXPERTS_ENGINE_WATCH_H_
#define RADISHROUTE_EXPERTS_ENGINE_WATCH_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/leader_session.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

struct engine_watch_limits {
  /// Entries choose engines by what is read.
  std::chrono::milliseconds interval{125};
  std::chrono::milliseconds choices_interval{250};
  /// While the leader changes the map of the group.
  std::chrono::milliseconds busy_interval{60};
  std::chrono::milliseconds busy_for{1000};
  /// An order whose result is not known may still be carried out for this time.
  std::chrono::milliseconds late_order{15000};
  /// An engine that is read in vain for this time is asked again.
  std::chrono::milliseconds read_timeout{500};
};

/// Sidecar's part: reads the engine beside it, reports to the leader, and gives the leader's orders
/// to the engine, one at a time.
class engine_watch {
 public:
  engine_watch(endpoint engine, std::vector<endpoint> controllers, engine_watch_limits limits = {})
      : engine_(std::move(engine)), session_(std::move(controllers)), limits_(limits) {}

  void Handle(const process_started& e, reduce_context& ctx);
  void Handle(const timer_expired& e, reduce_context& ctx);
  void Handle(const link_opened& e, reduce_context& ctx);
  void Handle(const link_closed& e, reduce_context& ctx);
  void Handle(const controllers_changed& e, reduce_context& ctx);
  void Handle(const drain_requested& e, reduce_context& ctx);
  void Handle(const engine_report_read& e, reduce_context& ctx);
  void Handle(const expert_usage_read& e, reduce_context& ctx);
  void Handle(const engine_command_done& e, reduce_context& ctx);
  void Handle(link_id link, const engine_status_reply& m, reduce_context& ctx);
  void Handle(link_id link, const engine_command& m, reduce_context& ctx);

 private:
  void Read(reduce_context& ctx);
  void GiveNext(reduce_context& ctx);
  void Report(const engine_report& report, reduce_context& ctx);

  endpoint engine_;
  leader_session session_;
  engine_watch_limits limits_;
  std::uint64_t sequence_ = 0;
  steady_time next_read_;
  steady_time busy_until_;
  /// Set while a read is under way.
  std::optional<steady_time> reading_since_;
  bool read_again_ = false;
  steady_time next_choices_;
  std::vector<std::int64_t> counted_;
  std::vector<std::int64_t> reported_;
  std::vector<std::int32_t> experts_;
  std::uint64_t experts_version_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t epoch_ = 0;
  bool experts_wanted_ = true;
  bool experts_fresh_ = false;
  std::uint64_t highest_term_ = 0;
  std::deque<engine_command> waiting_;
  std::optional<engine_command> current_;
  std::uint64_t last_command_ = 0;
  engine_order_result last_result_ = engine_order_result::kNone;
  steady_time uncertain_until_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_ENGINE_WATCH_H_
