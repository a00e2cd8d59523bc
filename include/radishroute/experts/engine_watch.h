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
  /// Interval between reads of the engine's state, on which entries base their choice of engines.
  std::chrono::milliseconds report_interval{125};
  std::chrono::milliseconds usage_interval{250};
  /// Interval between reads while the leader changes the group's map, and the time after a command
  /// for which such a change is assumed.
  std::chrono::milliseconds map_change_interval{60};
  std::chrono::milliseconds map_change_window{1000};
  /// Time for which an order whose result is unknown may still be carried out.
  std::chrono::milliseconds max_order_delay{15000};
  /// A read that the engine does not answer within this time is repeated.
  std::chrono::milliseconds read_timeout{500};
};

/// Sidecar's side of an expert-parallel group: reads the state of the local engine, reports it to
/// the leader, and sends the leader's orders to the engine, one at a time.
class engine_watch {
 public:
  engine_watch(endpoint engine, std::vector<endpoint> controllers, engine_watch_limits limits = {})
      : engine_(std::move(engine)), session_(std::move(controllers)), limits_(limits) {}

  void Handle(const process_started& e, reduce_context& ctx);
  void Handle(const timer_expired& e, reduce_context& ctx);
  void Handle(const link_opened& e, reduce_context& ctx);
  void Handle(const link_closed& e, reduce_context& ctx);
  void Handle(const link_progressed& e, reduce_context& ctx) { session_.OnProgress(e.link, ctx); }
  void Handle(const controllers_changed& e, reduce_context& ctx);
  void Handle(const drain_requested& e, reduce_context& ctx);
  void Handle(const engine_report_read& e, reduce_context& ctx);
  void Handle(const expert_usage_read& e, reduce_context& ctx);
  void Handle(const engine_command_done& e, reduce_context& ctx);
  void Handle(link_id link, const engine_status_reply& m, reduce_context& ctx);
  void Handle(link_id link, const engine_command& m, reduce_context& ctx);

 private:
  struct command_result {
    std::uint64_t number = 0;
    engine_order_result result = engine_order_result::kNone;
  };

  void Read(reduce_context& ctx);
  void SendNextCommand(reduce_context& ctx);
  void Report(const engine_report& report, reduce_context& ctx);

  endpoint engine_;
  leader_session session_;
  engine_watch_limits limits_;
  std::uint64_t sequence_ = 0;
  steady_time next_read_;
  steady_time map_change_until_;
  /// Set while a read is in progress.
  std::optional<steady_time> reading_since_;
  /// Another read was requested during that read.
  bool read_pending_ = false;
  steady_time next_usage_read_;
  std::vector<std::int64_t> counts_;
  std::vector<std::int64_t> reported_counts_;
  std::vector<std::int32_t> experts_;
  std::uint64_t experts_version_ = 0;
  std::uint64_t engine_started_ = 0;
  std::uint64_t epoch_ = 0;
  bool experts_wanted_ = true;
  bool experts_unsent_ = false;
  std::uint64_t highest_term_ = 0;
  std::deque<engine_command> queued_commands_;
  std::optional<engine_command> current_command_;
  command_result last_result_;
  /// Last result when the read in progress began: the engine's report may be older than the results
  /// that have come since.
  command_result result_at_read_;
  steady_time uncertain_until_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXPERTS_ENGINE_WATCH_H_
