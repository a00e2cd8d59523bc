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

/// Limits of an agent.
struct execution_limits {
  std::uint32_t concurrency = 16;
  std::size_t max_answer_bytes = std::size_t{4} << 20;
  /// Bytes kept for all executions together, so that their entries can attach again.
  std::size_t max_total_answer_bytes = std::size_t{64} << 20;
  /// Longest wait for the first byte of a stream, and between two parts of it.
  std::chrono::milliseconds first_byte_timeout{10000};
  std::chrono::milliseconds progress_timeout{2000};
  std::size_t max_waiting_suspects = 64;
  /// A drained agent stays this long to refuse dispatches that are under way to it.
  std::chrono::milliseconds drain_linger{1000};
  /// How long an execution without a link waits for its entry to attach again.
  std::chrono::milliseconds detached_linger{3000};
  /// How long the id of a finished dispatch is remembered, so that a repeat does not run.
  std::chrono::minutes tombstone_retention{10};
  /// The same for non-idempotent dispatches: longer than idempotency records are kept (24 h), since
  /// an agent that forgot a finished dispatch would report that it never started.
  std::chrono::hours claimed_tombstone_retention{25};
};

/// Life of dispatches on one backend server. All work for the server passes through here.
template <policy_set P>
class execution_table {
 public:
  /// `source` identifies this life of the agent in crash reports.
  execution_table(std::uint64_t incarnation, execution_limits limits, std::uint64_t source = 0);

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

  std::size_t Running() const { return running_; }
  std::size_t Queued() const { return queue_.Size() + suspects_.size(); }
  std::size_t AnswerBytes() const { return produced_total_; }

 private:
  enum class phase : std::uint8_t {
    kQueued,
    kRunning,
    /// The engine closed the connection; whether it crashed is not known yet.
    kBroken,
    kFinished,
  };

  struct execution {
    dispatch_request request;
    std::optional<link_id> link;
    phase at = phase::kQueued;
    steady_time deadline;
    /// Earlier than `deadline` while no link is attached.
    steady_time expires;
    steady_time arrival;
    steady_time started;
    steady_time last_progress;
    bool begun = false;
    std::uint32_t status = 0;
    std::string content_type;
    std::string produced;
    /// Offset in the answer of the first byte in `produced`.
    std::uint64_t kept_from = 0;
  };

  enum class engine_verdict : std::uint8_t { kAnswers, kRefuses, kSilent };

  load_report Load() const;
  void Pump(reduce_context& ctx);
  void StartCall(const dispatch_id& id, execution& run, reduce_context& ctx);
  std::optional<refusal_reason> CheckDispatch(const dispatch_request& dispatch) const;
  void Enqueue(execution& run, reduce_context& ctx);
  void Unqueue(const dispatch_id& id);
  void SetExpiry(const dispatch_id& id, execution& run, steady_time expires);
  void StopRunning(const dispatch_id& id, execution& run, bool completed, reduce_context& ctx);
  void RefuseQueued(refusal_reason reason, reduce_context& ctx);
  void CheckProgress(reduce_context& ctx);
  void DecideCrash(engine_verdict verdict, reduce_context& ctx);
  void FailStalled(reduce_context& ctx);
  void ReportCrash(const std::vector<dispatch_id>& lost, reduce_context& ctx);
  void RejectAll(const std::vector<refused_work>& rejected, reduce_context& ctx);
  void Refuse(link_id link, const dispatch_id& id, refusal_reason reason, reduce_context& ctx,
              std::chrono::microseconds retry_after = {});
  void AdoptShares(const dispatch_request& dispatch);
  void Fail(const dispatch_id& id, dispatch_failure reason, reduce_context& ctx);
  void Finish(const dispatch_id& id, reduce_context& ctx);
  void Bury(const dispatch_id& id, dispatch_state state, reduce_context& ctx);
  void ExpireTombstones(steady_time now);
  void ScheduleNext(reduce_context& ctx);
  bool Drained(steady_time now) const;
  void StopIfDrained(reduce_context& ctx);

  struct tombstone {
    dispatch_state state = dispatch_state::kNeverStarted;
    steady_time expires;
  };

  std::uint64_t incarnation_;
  execution_limits limits_;
  std::uint64_t source_;
  engine_health health_;
  typename P::queue_type queue_;
  /// Configuration version of the shares in the queue; empty before the first dispatch.
  std::optional<std::uint64_t> shares_version_;
  std::uint32_t running_ = 0;
  std::unordered_map<dispatch_id, execution> executions_;
  std::set<std::pair<steady_time, dispatch_id>> deadlines_;
  /// Suspects wait here and not in the queue, since at most one runs at a time.
  std::deque<dispatch_id> suspects_;
  std::optional<dispatch_id> running_suspect_;
  /// Time of the next check for progress of a running stream; may be earlier than needed.
  std::set<std::pair<steady_time, dispatch_id>> progress_;
  /// Dispatches that ran when a call broke, until a probe shows whether the engine crashed.
  std::vector<dispatch_id> crash_batch_;
  std::uint32_t crashes_ = 0;
  std::size_t produced_total_ = 0;
  std::unordered_map<dispatch_id, tombstone> tombstones_;
  std::set<std::pair<steady_time, dispatch_id>> tombstone_expiry_;
  std::optional<steady_time> drain_deadline_;
  steady_time drain_started_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXECUTIONS_H_
