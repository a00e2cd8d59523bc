#ifndef RADISHROUTE_EXECUTIONS_H_
#define RADISHROUTE_EXECUTIONS_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "radishroute/engine_health.h"
#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Limits of the executions on one agent.
struct execution_limits {
  std::uint32_t concurrency = 16;
  std::size_t max_answer_bytes = std::size_t{4} << 20;
  /// Answer bytes retained for all executions together, to resend when an entry reattaches.
  std::size_t max_total_answer_bytes = std::size_t{64} << 20;
  /// Maximum wait for the first byte of a stream, and between two chunks of it.
  std::chrono::milliseconds first_byte_timeout{10000};
  std::chrono::milliseconds progress_timeout{2000};
  std::size_t max_waiting_suspects = 64;
  /// A draining agent runs at least this long, to refuse dispatches already in transit to it.
  std::chrono::milliseconds drain_linger{1000};
  /// How long an execution whose link closed waits for its entry to reattach.
  std::chrono::milliseconds reattach_timeout{3000};
  /// How long the ID of a finished dispatch is kept, so that a duplicate does not run.
  std::chrono::minutes tombstone_retention{10};
  /// The same for non-idempotent dispatches. Exceeds the retention of idempotency records (24 h),
  /// since an agent without the tombstone would report that the dispatch never started.
  std::chrono::hours non_idempotent_tombstone_retention{25};
};

/// Queues, runs and tracks dispatches to one backend server. All work for the server passes through
/// it.
template <policy_set P>
class execution_table {
 public:
  /// `crash_source` identifies this incarnation of the agent in crash reports.
  execution_table(std::uint64_t incarnation, execution_limits limits,
                  std::uint64_t crash_source = 0);

  void Handle(const process_started& started, reduce_context& ctx);
  void Handle(const engine_probe_done& done, reduce_context& ctx);
  void Handle(const engine_answer_begin& begin, reduce_context& ctx);
  void Handle(const engine_answer_bytes& bytes, reduce_context& ctx);
  void Handle(const engine_answer_end& end, reduce_context& ctx);
  void Handle(const engine_call_failed& failed, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const drain_requested& drain, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);

  void Handle(link_id link, const dispatch_request& dispatch, reduce_context& ctx);
  void Handle(link_id link, const cancel_dispatch& cancel, reduce_context& ctx);
  void Handle(link_id link, const attach_dispatch& attach, reduce_context& ctx);
  void Handle(link_id link, const resolve_dispatch& resolve, reduce_context& ctx);
  void Handle(link_id link, const answer_ack& ack, reduce_context& ctx);

  std::size_t RunningCount() const { return running_; }
  std::size_t QueuedCount() const { return queue_.Size() + suspects_.size(); }
  std::size_t RetainedBytes() const { return retained_total_; }

 private:
  enum class execution_phase : std::uint8_t {
    kQueued,
    kRunning,
    /// The engine closed the connection; a probe has yet to show whether it crashed.
    kDisconnected,
    kFinished,
  };

  struct execution {
    dispatch_request request;
    std::optional<link_id> link;
    execution_phase phase = execution_phase::kQueued;
    steady_time deadline;
    /// When the execution is terminated; earlier than `deadline` while no link is attached.
    steady_time expires;
    steady_time arrival;
    steady_time started;
    steady_time last_progress;
    bool first_byte_received = false;
    std::uint32_t status = 0;
    std::string content_type;
    std::string retained;
    /// Offset in the answer of the first byte in `retained`.
    std::uint64_t retained_offset = 0;
  };

  enum class probe_result : std::uint8_t { kAnswered, kFailed, kTimedOut };

  load_report CurrentLoad() const;
  void StartQueued(reduce_context& ctx);
  void StartCall(const dispatch_id& id, execution& run, reduce_context& ctx);
  std::optional<refusal_reason> CheckDispatch(const dispatch_request& dispatch) const;
  void Enqueue(execution& run, reduce_context& ctx);
  void RemoveFromQueue(const dispatch_id& id);
  void SetExpiry(const dispatch_id& id, execution& run, steady_time expires);
  void StopRunning(const dispatch_id& id, execution& run, bool completed, reduce_context& ctx);
  void RefuseQueued(refusal_reason reason, reduce_context& ctx);
  void CheckProgress(reduce_context& ctx);
  void HandleProbeResult(probe_result result, reduce_context& ctx);
  void FailStalled(reduce_context& ctx);
  void ReportCrash(const std::vector<dispatch_id>& lost, reduce_context& ctx);
  void RefuseAll(const std::vector<refused_work>& refused, reduce_context& ctx);
  void Refuse(link_id link, const dispatch_id& id, refusal_reason reason, reduce_context& ctx,
              std::chrono::microseconds retry_after = {});
  void UpdateShares(const dispatch_request& dispatch);
  void Fail(const dispatch_id& id, dispatch_failure reason, reduce_context& ctx);
  void Finish(const dispatch_id& id, reduce_context& ctx);
  /// Removes the execution, if there is one, and remembers the final state of its ID.
  void RecordTombstone(const dispatch_id& id, dispatch_state state, reduce_context& ctx);
  void ExpireTombstones(steady_time now);
  void ScheduleNext(reduce_context& ctx);
  bool IsDrained(steady_time now) const;
  void StopIfDrained(reduce_context& ctx);

  struct tombstone {
    dispatch_state state = dispatch_state::kNeverStarted;
    steady_time expires;
  };

  std::uint64_t incarnation_;
  execution_limits limits_;
  std::uint64_t crash_source_;
  engine_health health_;
  typename P::queue_type queue_;
  /// Configuration version of the queue's shares; empty before the first dispatch.
  std::optional<std::uint64_t> shares_version_;
  std::uint32_t running_ = 0;
  std::unordered_map<dispatch_id, execution> executions_;
  std::set<std::pair<steady_time, dispatch_id>> expiries_;
  /// Suspects wait here instead of in `queue_`, since at most one runs at a time.
  std::deque<dispatch_id> suspects_;
  std::optional<dispatch_id> running_suspect_;
  /// Next progress check of each running stream; may be earlier than its timeout.
  std::set<std::pair<steady_time, dispatch_id>> progress_checks_;
  /// Dispatches running when the first call was disconnected, until a probe shows whether the
  /// engine crashed.
  std::vector<dispatch_id> crash_candidates_;
  std::uint32_t crash_count_ = 0;
  std::size_t retained_total_ = 0;
  std::unordered_map<dispatch_id, tombstone> tombstones_;
  std::set<std::pair<steady_time, dispatch_id>> tombstone_expiry_;
  std::optional<steady_time> drain_deadline_;
  steady_time drain_started_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXECUTIONS_H_
