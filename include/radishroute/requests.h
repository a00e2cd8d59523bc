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
  /// Additional attempts for dispatches that were lost before they reached an agent and therefore
  /// caused no load.
  std::uint32_t max_lost_dispatches = 3;
  /// Delay of the failure response for a request whose content is quarantined, so that the other
  /// entries receive the crash report before the caller can resend the request to them.
  std::chrono::milliseconds quarantined_failure_delay{200};
  /// A link to a backend server is closed after this time without requests in progress.
  std::chrono::milliseconds idle_link_timeout{10000};
  /// Maximum time for which an unreachable backend server is excluded from routing.
  std::chrono::milliseconds unreachable_delay{600};
  /// Maximum time that a request waits for the commit of an outcome.
  std::chrono::milliseconds outcome_timeout{1000};
  /// How long a resend waits for the outcome of the dispatch that holds its key before it queries
  /// the agent, and the interval between queries. The entry that owns the claim normally stores the
  /// outcome within a few milliseconds.
  std::chrono::milliseconds resolve_delay{1000};
  /// Maximum number of claims per request; a request claims its key again after each outcome that
  /// released the key.
  std::uint32_t max_claims = 6;
  /// After a drain request the shard refuses new requests for at least this long before it stops,
  /// so that callers on keep-alive connections receive a response instead of a closed connection.
  std::chrono::milliseconds drain_linger{1000};
  /// Longer answers are not stored. Must not exceed record_limits::max_answer_bytes.
  std::size_t max_stored_answer_bytes = std::size_t{64} << 10;
};

/// Callers' requests in progress on one traffic shard of an entry, from arrival to response.
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
    /// Another dispatch holds the key; waits for the outcome of that dispatch.
    kWaitingForHolder,
    /// Waits for the agent to report whether the dispatch that holds the key ran.
    kResolving,
    /// Waits for the commit of the holder's outcome, then claims the key again.
    kStoringHolderOutcome,
    /// The answer is complete; waits for the commit of the outcome.
    kStoringOutcome,
    /// Its own dispatch was refused; waits for the commit of the outcome "not run".
    kReleasingClaim,
    /// The failure response is delayed until other entries know that the content is quarantined.
    kFailureDelayed,
  };

  /// Additional state of a non-idempotent request.
  struct claim_state {
    bool granted = false;
    /// The last dispatch is recorded as not run, and no claim has been submitted since.
    bool released = false;
    std::uint32_t claim_count = 0;
    /// Identifies the dispatch that holds the key.
    record_reply held_reply;
    /// The holder's agent has reported that the dispatch finished.
    bool finished_reported = false;
    steady_time timer_due = steady_time::max();
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
    phase state = phase::kWaitingForLink;
    std::uint32_t attempt = 0;
    std::uint32_t backend = 0;
    /// The router counts the request as in flight at `backend`.
    bool counted_in_flight = false;
    std::string backend_name;
    std::uint64_t backend_incarnation = 0;
    endpoint backend_address;
    link_id link;
    std::uint64_t bytes_sent = 0;
    /// Offset from which the agent was last asked to resend the answer.
    std::optional<std::uint64_t> gap_offset;
    bool response_begun = false;
    std::uint32_t response_status = 0;
    /// An earlier attempt may have run, so the outcome must not be reported as "not run".
    bool may_have_run = false;
    /// The caller closed its connection; the dispatch continues so that its outcome is stored.
    bool abandoned = false;
    claim_state claim;
    /// Dispatches that were lost with a link before the agent received them.
    std::uint32_t lost_dispatches = 0;
    /// The one retry that is not charged to the retry budget has been used.
    bool free_retry_used = false;
    std::optional<steady_time> fail_at;
    dispatch_failure fail_reason = dispatch_failure::kNone;
    /// Indexes of the backend servers that were already chosen.
    std::vector<std::uint32_t> tried;
    refusal_reason last_refusal = refusal_reason::kNone;
    /// Retry delay from the last refusal.
    std::chrono::microseconds retry_after{};
  };

  struct backend_link {
    std::optional<link_id> link;
    std::uint64_t peer_incarnation = 0;
    bool opening = false;
    steady_time idle_since;
    /// Requests that wait for the link or were dispatched over it.
    std::set<request_id> users;
    /// Requests that will ask the agent about the holder of their key once the link is open.
    std::vector<request_id> resolving;
  };

  using link_map = std::map<endpoint, backend_link>;

  /// Returns the request that a message belongs to. Counts a stale message and returns null.
  entry_request* Find(link_id link, const dispatch_id& id, reduce_context& ctx);
  /// Lets the router choose a reachable backend server, preferably one that was not tried before.
  std::optional<std::uint32_t> SelectCandidate(entry_request& request, reduce_context& ctx);
  void AddToLink(entry_request& request, reduce_context& ctx);
  void RemoveFromLink(entry_request& request, reduce_context& ctx);
  void Attach(entry_request& request, link_id link, reduce_context& ctx);
  void RequestMissingBytes(entry_request& request, reduce_context& ctx);
  void HandleBackendLoss(typename link_map::iterator found, bool died, reduce_context& ctx);
  void HandleAttemptLoss(entry_request& request, dispatch_failure failure, bool died,
                         reduce_context& ctx);
  void UpdateUnreachableIndexes();
  void CloseIdleLinks(reduce_context& ctx);
  /// Ends the requests whose content became quarantined by `report`.
  void EndQuarantinedRequests(const crash_report& report, reduce_context& ctx);
  void ClearSuspicion(const entry_request& request, reduce_context& ctx);
  bool CanResume(const entry_request& request) const;
  std::uint32_t MaxAttempts(const entry_request& request) const;
  bool TakeRetry(entry_request& request, retry_reason reason, reduce_context& ctx);
  bool MayHaveRun(const entry_request& request) const;
  bool InFlight(const entry_request& request) const;
  void ResetNonStreamedAnswer(entry_request& request) const;
  std::optional<refusal_reason> Validate(const caller_request& request, entry_request& out,
                                         const reduce_context& ctx) const;
  void Route(entry_request& request, reduce_context& ctx);
  /// Chooses a backend server that is not expected to refuse the request immediately. If there is
  /// none, fails or refuses the request and returns null.
  const announcement* ChooseBackend(entry_request& request, reduce_context& ctx);
  void Connect(entry_request& request, reduce_context& ctx);
  void Claim(entry_request& request, reduce_context& ctx);
  void ClaimAgain(entry_request& request, reduce_context& ctx);
  void OnClaimGranted(entry_request& request, reduce_context& ctx);
  void WaitForHolder(entry_request& request, reduce_context& ctx);
  /// Asks the holder's agent whether the dispatch that holds the key ran.
  void QueryHolderAgent(entry_request& request, reduce_context& ctx);
  void SubmitHolderOutcome(entry_request& request, record_status status, reduce_context& ctx);
  void ReleaseClaim(entry_request& request, retry_reason retry, refusal_reason refusal,
                    reduce_context& ctx);
  void OnClaimReleased(entry_request& request, const outcome_answered& answered,
                       reduce_context& ctx);
  void SubmitOutcome(const entry_request& request, record_status status, reduce_context& ctx);
  void DeliverCollectedAnswer(entry_request& request, reduce_context& ctx);
  void RespondFromRecord(entry_request& request, const record_reply& reply, reduce_context& ctx);
  void CollectChunk(entry_request& request, const answer_chunk& chunk, reduce_context& ctx);
  /// Returns false if the request must be cancelled and erased.
  bool ContinueWithoutCaller(entry_request& request, reduce_context& ctx);
  /// Returns false, without effect, if the request is idempotent.
  bool ExpireNonIdempotent(entry_request& request, reduce_context& ctx);
  /// Returns false, without effect, if the request is idempotent.
  bool FailNonIdempotent(entry_request& request, dispatch_failure failure, reduce_context& ctx);
  void RunClaimTimers(reduce_context& ctx);
  void SetClaimTimer(entry_request& request, steady_time at);
  bool LinkHasOtherIncarnation(const entry_request& request) const;
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
  /// Unreachable addresses, with the time until which they are excluded from routing.
  std::map<endpoint, steady_time> unreachable_;
  /// Indexes of the backend servers at these addresses, cached for routing.
  std::vector<std::uint32_t> unreachable_backends_;
  quarantine quarantine_;
  typename P::routing_type router_;
  typename P::retry_type retries_;
  typename P::admission_type admission_;
  std::optional<steady_time> drain_deadline_;
  steady_time drain_started_;
  steady_time config_lease_until_ = steady_time::max();
  /// Next timeout or query of each request that waits for a record.
  std::set<std::pair<steady_time, request_id>> claim_timers_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_REQUESTS_H_
