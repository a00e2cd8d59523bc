#ifndef RADISHROUTE_REQUESTS_H_
#define RADISHROUTE_REQUESTS_H_

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/quarantine.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Limits of one traffic shard of an entry.
struct request_limits {
  std::size_t max_requests = 20000;
  std::uint32_t max_attempts = 3;
  /// Attempts beyond that for dispatches that were lost on the way and cost no server anything.
  std::uint32_t max_lost_dispatches = 3;
  /// A request that was quarantined while it ran is answered after this time, so that the other
  /// entries know of its crashes before its caller can resend it there.
  std::chrono::milliseconds quarantine_spread{200};
  /// A link to a backend server without requests in progress is closed after this time.
  std::chrono::milliseconds idle_link_timeout{10000};
  /// Longest time without new attempts after a link to a backend server could not be opened.
  std::chrono::milliseconds unreachable_delay{600};
  /// Longest wait of an answer for the commit of its outcome.
  std::chrono::milliseconds outcome_wait{1000};
  /// How long a resend waits for the owner of a claim before it asks the agent itself, and between
  /// two questions. The owner normally stores an outcome within a few milliseconds.
  std::chrono::milliseconds resolve_delay{1000};
  /// Claims of one request at most; each follows an outcome that freed the key.
  std::uint32_t max_claims = 6;
  /// Longer answers are not stored; not above record_limits::max_answer_bytes.
  std::size_t max_stored_answer_bytes = std::size_t{64} << 10;
};

/// Life of callers' requests on one traffic shard of an entry.
template <policy_set P>
class request_table {
 public:
  request_table(std::uint64_t origin, std::uint32_t shard, request_limits limits);

  void Handle(const caller_request& request, reduce_context& ctx);
  void Handle(const caller_closed& closed, reduce_context& ctx);
  void Handle(const routing_table_published& published, reduce_context& ctx);
  void Handle(const link_opened& opened, reduce_context& ctx);
  void Handle(const link_closed& closed, reduce_context& ctx);
  void Handle(const drain_requested& drain, reduce_context& ctx);
  void Handle(const timer_expired& timer, reduce_context& ctx);
  void Handle(const crash_report_shared& shared, reduce_context& ctx);
  void Handle(const claim_answered& answered, reduce_context& ctx);
  void Handle(const outcome_answered& answered, reduce_context& ctx);

  void Handle(link_id link, const answer_begin& begin, reduce_context& ctx);
  void Handle(link_id link, const answer_chunk& chunk, reduce_context& ctx);
  void Handle(link_id link, const answer_end& end, reduce_context& ctx);
  void Handle(link_id link, const dispatch_refused& refused, reduce_context& ctx);
  void Handle(link_id link, const dispatch_failed& failed, reduce_context& ctx);
  void Handle(link_id link, const crash_report& report, reduce_context& ctx);
  void Handle(link_id link, const resolve_reply& reply, reduce_context& ctx);

  std::size_t Size() const { return requests_.size(); }
  std::size_t Links() const { return links_.size(); }

 private:
  enum class phase : std::uint8_t {
    kWaitingForLink,
    kDispatched,
    kAnswering,
    /// Waits for the verdict on its claim.
    kClaiming,
    /// Another dispatch holds the key; waits for its outcome.
    kHeld,
    /// Asks the agent of the holder whether its dispatch ran.
    kResolving,
    /// Waits for the commit of the holder's outcome, to claim again.
    kSettling,
    /// The answer is complete; waits for the commit of its outcome.
    kStoring,
    /// Its own dispatch was refused; waits for the commit of that.
    kReleasing,
    /// Its failure is held back until other entries know that its content is quarantined.
    kFailing,
  };

  /// What a request that must not be repeated has beside the rest.
  struct claim_state {
    bool granted = false;
    /// Its dispatch is recorded as never run, and no new claim has been submitted since.
    bool released = false;
    std::uint32_t claims = 0;
    record_reply holder;
    bool finished_seen = false;
    steady_time step_at = steady_time::max();
    link_id answer_link;
    std::uint32_t status = 0;
    std::string content_type;
    std::string answer;
    std::uint64_t answer_length = 0;
    refusal_reason refusal = refusal_reason::kNone;
    retry_reason retry = retry_reason::kRefusedByBackend;
  };

  struct entry_request {
    request_id id;
    caller_request input;
    priority_class cls = priority_class::kInteractive;
    bool repeatable = true;
    std::uint32_t weight = 1;
    fingerprint content;
    steady_time arrival;
    steady_time deadline;
    phase at = phase::kWaitingForLink;
    std::uint32_t attempt = 0;
    std::uint32_t backend = 0;
    /// True while the router counts the request as in flight at `backend`.
    bool counted = false;
    std::string backend_name;
    std::uint64_t backend_incarnation = 0;
    endpoint backend_address;
    link_id link;
    std::uint64_t bytes_sent = 0;
    /// Offset at which the agent was last asked to repeat what was missing.
    std::optional<std::uint64_t> gap_at;
    bool response_begun = false;
    std::uint32_t response_status = 0;
    /// An earlier attempt may have run, so "not run" would be false.
    bool may_have_run = false;
    /// The caller closed its connection; the dispatch goes on, so that its outcome is stored.
    bool abandoned = false;
    claim_state claim;
    /// Dispatches that a broken link lost before the agent read them.
    std::uint32_t lost_dispatches = 0;
    /// It has had its one retry outside the budget, after the loss of a backend server.
    bool failed_over = false;
    std::optional<steady_time> fail_at;
    dispatch_failure fail_reason = dispatch_failure::kNone;
    std::vector<std::uint32_t> tried;
    refusal_reason last_refusal = refusal_reason::kNone;
    /// Advice of the last refusal.
    std::chrono::microseconds retry_after{};
  };

  struct backend_link {
    std::optional<link_id> link;
    std::uint64_t peer_incarnation = 0;
    bool opening = false;
    steady_time idle_since;
    /// Requests that wait for the link or are dispatched on it.
    std::set<request_id> users;
    /// Requests that wait to ask the agent about another dispatch.
    std::vector<request_id> resolving;
  };

  using link_map = std::map<endpoint, backend_link>;

  /// The request that a message belongs to; null, and counted, if the message is late.
  entry_request* Find(link_id link, const dispatch_id& id, reduce_context& ctx);
  std::optional<std::uint32_t> Choose(entry_request& request, reduce_context& ctx);
  void JoinLink(entry_request& request, reduce_context& ctx);
  void LeaveLink(entry_request& request, reduce_context& ctx);
  void Attach(entry_request& request, link_id link, reduce_context& ctx);
  void RequestMissing(entry_request& request, reduce_context& ctx);
  void LoseBackend(typename link_map::iterator found, bool died, reduce_context& ctx);
  void LoseAttempt(entry_request& request, dispatch_failure failure, bool died,
                   reduce_context& ctx);
  void IndexUnreachable();
  void CloseIdleLinks(reduce_context& ctx);
  void MergeCrashes(const crash_report& report, reduce_context& ctx);
  void ClearSuspicion(const entry_request& request, reduce_context& ctx);
  bool CanResume(const entry_request& request) const;
  std::uint32_t MaxAttempts(const entry_request& request) const;
  bool TakeRetry(entry_request& request, retry_reason reason, reduce_context& ctx);
  bool MayHaveRun(const entry_request& request) const;
  bool InFlight(const entry_request& request) const;
  void RestartPlainAnswer(entry_request& request) const;
  std::optional<refusal_reason> Validate(const caller_request& request, entry_request& out,
                                         const reduce_context& ctx) const;
  void Route(entry_request& request, reduce_context& ctx);
  /// Chooses a backend server that is not expected to refuse the request at once; null if the
  /// request was ended instead.
  const announcement* ChooseBackend(entry_request& request, reduce_context& ctx);
  void Connect(entry_request& request, reduce_context& ctx);
  void Claim(entry_request& request, reduce_context& ctx);
  void ClaimAgain(entry_request& request, reduce_context& ctx);
  void OnGranted(entry_request& request, reduce_context& ctx);
  void WaitForHolder(entry_request& request, reduce_context& ctx);
  void AskHolder(entry_request& request, reduce_context& ctx);
  void SettleHolder(entry_request& request, record_status status, reduce_context& ctx);
  void Release(entry_request& request, retry_reason retry, refusal_reason refusal,
               reduce_context& ctx);
  void OnReleased(entry_request& request, const outcome_answered& answered, reduce_context& ctx);
  void StoreOutcome(const entry_request& request, record_status status, reduce_context& ctx);
  void FinishStored(entry_request& request, reduce_context& ctx);
  void AnswerFromRecord(entry_request& request, const record_reply& reply, reduce_context& ctx);
  void CollectChunk(entry_request& request, const answer_chunk& chunk, reduce_context& ctx);
  bool CloseClaimed(entry_request& request, reduce_context& ctx);
  bool ExpireClaimed(entry_request& request, reduce_context& ctx);
  bool FailClaimed(entry_request& request, dispatch_failure failure, reduce_context& ctx);
  void RunSteps(reduce_context& ctx);
  void SetStep(entry_request& request, steady_time at);
  bool ReachesOtherLife(const entry_request& request) const;
  static run_outcome RefusalOutcome(const entry_request& request, refusal_reason reason);
  void Send(entry_request& request, link_id link, reduce_context& ctx);
  void Retry(entry_request& request, retry_reason reason, refusal_reason refusal,
             dispatch_failure failure, reduce_context& ctx);
  void Refuse(entry_request& request, refusal_reason reason, std::chrono::microseconds retry_after,
              reduce_context& ctx);
  void Fail(entry_request& request, dispatch_failure reason, reduce_context& ctx);
  void FailNow(entry_request& request, dispatch_failure reason, reduce_context& ctx);
  void CancelAtBackend(const entry_request& request, reduce_context& ctx);
  void Erase(const request_id& id, reduce_context& ctx);
  void StopIfDrained(reduce_context& ctx);
  void ScheduleNext(reduce_context& ctx);

  std::uint64_t origin_;
  std::uint64_t next_sequence_;
  request_limits limits_;
  std::shared_ptr<const routing_table> table_ = std::make_shared<routing_table>();
  std::unordered_map<request_id, entry_request> requests_;
  std::unordered_map<exchange_id, request_id> by_exchange_;
  std::set<std::pair<steady_time, request_id>> deadlines_;
  std::set<std::pair<steady_time, request_id>> delayed_failures_;
  link_map links_;
  /// Addresses that could not be reached, until they are tried again.
  std::map<endpoint, steady_time> unreachable_;
  /// Indexes of backend servers at these addresses, so that routing does not search for them.
  std::vector<std::uint32_t> unreachable_backends_;
  quarantine crashes_;
  typename P::routing_type router_;
  typename P::retry_type retries_;
  typename P::admission_type admission_;
  std::optional<steady_time> drain_deadline_;
  steady_time config_lease_until_ = steady_time::max();
  /// Next step of requests that wait for a record.
  std::set<std::pair<steady_time, request_id>> steps_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_REQUESTS_H_
