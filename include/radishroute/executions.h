#ifndef RADISHROUTE_EXECUTIONS_H_
#define RADISHROUTE_EXECUTIONS_H_

#include <chrono>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Limits of an agent.
struct execution_limits {
  std::uint32_t concurrency = 16;
  std::size_t max_answer_bytes = std::size_t{4} << 20;
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
  execution_table(std::uint64_t incarnation, execution_limits limits);

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
  std::size_t Queued() const { return queue_.Size(); }

 private:
  enum class phase : std::uint8_t { kQueued, kRunning, kFinished };

  struct execution {
    dispatch_request request;
    std::optional<link_id> link;
    phase at = phase::kQueued;
    steady_time deadline;
    steady_time started;
    steady_time detached;
    std::uint32_t status = 0;
    std::string content_type;
    std::string produced;
  };

  load_report Load() const;
  void Pump(reduce_context& ctx);
  void RejectAll(const std::vector<rejected_work>& rejected, reduce_context& ctx);
  void Refuse(link_id link, const dispatch_id& id, refusal_reason reason, reduce_context& ctx);
  void Fail(const dispatch_id& id, dispatch_failure reason, reduce_context& ctx);
  void Finish(const dispatch_id& id, reduce_context& ctx);
  void Bury(const dispatch_id& id, dispatch_state state, reduce_context& ctx);
  void ExpireTombstones(steady_time now);
  void ScheduleNext(reduce_context& ctx);
  void StopIfDrained(reduce_context& ctx);

  struct tombstone {
    dispatch_state state = dispatch_state::kNeverStarted;
    steady_time expires;
  };

  std::uint64_t incarnation_;
  execution_limits limits_;
  typename P::queue_type queue_;
  std::uint32_t running_ = 0;
  std::unordered_map<dispatch_id, execution> executions_;
  std::set<std::pair<steady_time, dispatch_id>> deadlines_;
  std::unordered_map<dispatch_id, tombstone> tombstones_;
  std::set<std::pair<steady_time, dispatch_id>> tombstone_expiry_;
  std::optional<steady_time> drain_deadline_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_EXECUTIONS_H_
