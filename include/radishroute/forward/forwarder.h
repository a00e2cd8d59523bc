#ifndef RADISHROUTE_FORWARD_FORWARDER_H_
#define RADISHROUTE_FORWARD_FORWARDER_H_

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "radishroute/crash_attribution.h"
#include "radishroute/event.h"
#include "radishroute/forward/admission.h"
#include "radishroute/forward/backend_selector.h"
#include "radishroute/forward/event_stream.h"
#include "radishroute/forward/forward_event.h"
#include "radishroute/forward/shared_retry_budget.h"
#include "radishroute/forward/wait_queue.h"
#include "radishroute/forward/withheld_backends.h"
#include "radishroute/held_memory.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

struct forwarder_settings {
  std::string zone;
  retry_budget_limits retries;
  std::size_t max_requests = 4000;
  /// Whether requests to engines may wait for room instead of being refused at once.
  bool wait_for_room = false;
  /// Requests that wait for room on a backend server; a further one is decided at once.
  std::size_t max_waiting = 200;
  /// Bodies of all requests in progress; a further one is refused.
  std::size_t max_request_bytes = std::size_t{32} << 20;
  /// Heads count as part of `max_request_bytes`; many small headers take more memory than a body.
  bool count_heads = false;
  /// Parts of responses of all requests that wait for their rest. Beyond it, the attempt with the
  /// most of them is given up.
  std::size_t max_response_bytes = std::size_t{24} << 20;
  /// Time for which a draining process still accepts requests, until the load balancer in front of
  /// it has noticed the drain.
  std::chrono::milliseconds drain_notice{2500};
  /// Time at the end of a drain that is left for writing the last answers.
  std::chrono::milliseconds drain_answer_time{200};
  /// Learn the capacities of backend servers in services without an engine profile.
  bool learned_capacity = false;
};

/// Lifecycle of callers' HTTP requests that are forwarded directly to backend servers. A request of
/// a non-idempotent route is retried only if no earlier attempt can have run it.
template <backend_selector Selector, forward_admission Admission>
class forwarder {
 public:
  explicit forwarder(forwarder_settings settings)
      : settings_(std::move(settings)),
        retries_(settings_.retries),
        waiting_(settings_.max_waiting) {}

  void Handle(const forward_received& e, reduce_context& ctx);
  void Handle(const forward_caller_closed& e, reduce_context& ctx);
  void Handle(const upstream_response_begin& e, reduce_context& ctx);
  void Handle(const upstream_response_bytes& e, reduce_context& ctx);
  void Handle(const upstream_response_end& e, reduce_context& ctx);
  void Handle(const upstream_call_failed& e, reduce_context& ctx);
  void Handle(const backend_probed& e, reduce_context& ctx);
  void Handle(const crash_evidence_shared& e, reduce_context& ctx);
  void Handle(const deployment_published& e, reduce_context& ctx);
  void Handle(const routing_table_published& e, reduce_context& ctx);
  void Handle(const evacuations_published& e, reduce_context& ctx);
  void Handle(const fleet_load_published& e, reduce_context& ctx);
  void Handle(const timer_expired& e, reduce_context& ctx);
  void Handle(const drain_requested& e, reduce_context& ctx);

  /// Whether this process should receive new callers.
  bool Ready() const { return routes_ != nullptr && directory_known_ && !draining_; }
  std::size_t Size() const { return requests_.size(); }

 private:
  /// Used until the leader has told the number.
  static constexpr std::uint32_t kAssumedEntries = 8;

  std::size_t RequestBytes(const forward_request& request) const {
    return request.body.size() + (settings_.count_heads ? HeldBytes(request.headers) : 0);
  }

  struct attempt {
    upstream_id id;
    std::string backend;
    endpoint address;
    steady_time sent;
    /// First byte of the response.
    std::optional<steady_time> begun = std::nullopt;
    bool not_run = false;
    bool wrong_backend = false;
    /// The response is a stream of events and no error.
    bool is_stream = false;
    std::uint64_t incarnation = 0;
    std::optional<reported_load> load = std::nullopt;
  };

  struct active_request {
    std::shared_ptr<const forward_request> request;
    /// Keeps `matched_route` valid after a newer deployment replaces this one.
    std::shared_ptr<const route_index> routes;
    const route* matched_route = nullptr;
    std::string service;
    std::string member;
    suspect_content content;
    std::uint32_t urgency = 5;
    steady_time received;
    steady_time deadline;
    std::optional<attempt> current;
    std::uint32_t attempts = 0;
    std::uint32_t connect_failures = 0;
    std::vector<std::string> tried_backends;
    /// Admission decision of the first attempt, and the expected load it was based on.
    admission_decision admission;
    double load = 0;
    /// When the request was sent after it had waited for room.
    std::optional<steady_time> left_queue;
    /// An attempt that has ended may have run the request.
    bool may_have_run = false;
    /// An answer to this request has proved that its content crashes no backend server.
    bool content_cleared = false;
    /// The response is forwarded event by event (`is_streaming`), or in pieces as it arrives
    /// (`is_passthrough`).
    bool is_streaming = false;
    bool is_passthrough = false;
    std::optional<steady_time> first_byte;
    event_stream_splitter events;
    /// Head and body of a response that is buffered until it is complete.
    backend_response response;
    std::string body;
    /// Bytes of the response that were counted in `response_bytes_`.
    std::size_t counted_bytes = 0;

    std::size_t BufferedBytes() const { return body.size() + events.PartialBytes(); }

    /// Whether the head of the response was sent to the caller.
    bool HasBegun() const { return is_streaming || is_passthrough; }
  };

  /// A request whose connection to a backend server was lost as it began to be answered.
  struct lost_request {
    exchange_id exchange;
    std::string id;
    suspect_content content;
  };

  using request_map = std::unordered_map<exchange_id, active_request>;

  /// Takes in what the response says about the backend server itself.
  void NoteBackendState(const attempt& current, const std::string& request,
                        const backend_response& response, reduce_context& ctx);
  void Refuse(const forward_request& request, unsigned status, refusal_reason reason,
              std::optional<std::chrono::milliseconds> retry_after, reduce_context& ctx);
  std::string PickService(const route& matched_route, random_source& random) const;
  /// Starts an attempt. Returns kNone, or the reason why no attempt was started.
  refusal_reason Send(active_request& active, reduce_context& ctx);
  /// Decides a first attempt. Returns kNone if the request may be sent now or waits.
  refusal_reason Admit(active_request& active, const selected_backend& chosen,
                       const engine_profile* engine, reduce_context& ctx);
  /// Offers room to the waiting requests, in their order.
  void ServeWaiting(reduce_context& ctx);
  /// Connections to one backend server of a service that this process may have.
  std::uint32_t MaxConnections(const service* target) const;
  bool IsCallerRetry(const active_request& active) const;
  /// Whether a request that arrives during a drain can be expected to end before the process does.
  bool EndsWithinDrain(const route& matched_route, steady_time deadline, steady_time now) const;
  std::chrono::milliseconds RetryAfter(const active_request& active, refusal_reason reason,
                                       reduce_context& ctx) const;
  bool Retry(active_request& active, retry_reason reason, reduce_context& ctx);
  bool MayRetry(const active_request& active) const;
  /// Retries a request whose response was broken, or ends it.
  void RetryAfterLoss(active_request& active, retry_reason reason, reduce_context& ctx);
  /// Whether the request of an attempt may be the cause if its backend server crashes.
  static bool MayBeCause(const attempt& current, steady_time now);
  /// Finds out whether the backend server has crashed; a request that may be retried waits for it.
  void ProbeAfterLoss(active_request& active, const attempt& lost, reduce_context& ctx);
  void OnBackendCrashed(const std::string& backend, const std::vector<lost_request>& lost,
                        reduce_context& ctx);
  void RecordSuccess(active_request& active, reduce_context& ctx);
  /// Logs content that became quarantined and ends requests that hold it.
  /// Gives the selector the backend servers outside evacuated availability zones.
  void PublishEligible(reduce_context& ctx);
  /// Tells what the configuration says of cold backend servers.
  void UpdateColdProfiles();
  static void LogCold(const std::vector<cold_backend>& marked, reduce_context& ctx);
  void EnforceQuarantine(const crash_evidence& evidence, reduce_context& ctx);
  void BeginStream(active_request& active, reduce_context& ctx);
  void PassThrough(active_request& active, reduce_context& ctx);
  void GiveUpAttempt(active_request& active, reduce_context& ctx);
  /// Counts what is buffered of the response, and bounds it over all requests.
  void CountBuffered(active_request& active, reduce_context& ctx);
  void SendBufferedResponse(active_request& active, reduce_context& ctx);
  void EndAttempt(active_request& active, attempt_result result, reduce_context& ctx);
  /// Tells the selector what the attempt says about its backend server's capacity.
  void LearnFrom(const active_request& active, attempt_result result, reduce_context& ctx);
  /// Tells the selector for which services capacities are learned.
  void UpdateLearnedServices();
  void FailRequest(active_request& active, refusal_reason reason, reduce_context& ctx);
  void Finish(active_request& active, std::string_view outcome, unsigned status,
              reduce_context& ctx);
  void ScheduleNext(reduce_context& ctx) const;
  /// Answers all requests in progress, at the end of a drain.
  void EndUnfinished(reduce_context& ctx);
  void CheckDrained(reduce_context& ctx);
  active_request* Find(upstream_id id);

  forwarder_settings settings_;
  Selector selector_;
  Admission admission_;
  withheld_backends withheld_;
  cold_backends cold_;
  /// Table with the backend servers of all zones.
  std::shared_ptr<const routing_table> table_;
  std::set<std::string> evacuated_zones_;
  shared_retry_budget retries_;
  std::shared_ptr<const route_index> routes_;
  bool directory_known_ = false;
  /// Processes that forward to the same backend servers, as the leader last counted them.
  std::uint32_t entries_ = kAssumedEntries;
  std::uint64_t next_attempt_id_ = 1;
  request_map requests_;
  wait_queue waiting_;
  /// Bodies of the requests in progress.
  std::size_t request_bytes_ = 0;
  std::size_t response_bytes_ = 0;
  std::unordered_map<upstream_id, exchange_id> exchange_by_attempt_;
  crash_attribution crashes_;
  /// Requests lost at each backend server that is being probed, by its id.
  std::unordered_map<std::string, std::vector<lost_request>> lost_requests_;
  std::set<std::pair<steady_time, std::uint64_t>> deadlines_;
  bool draining_ = false;
  /// Set once idle callers' connections are closed.
  bool idle_callers_closed_ = false;
  bool stop_requested_ = false;
  /// The deadline has passed, and the process ends whatever is in progress.
  bool stop_forced_ = false;
  /// A request was still in progress at the end of the drain.
  bool unfinished_at_stop_ = false;
  steady_time drain_notice_end_;
  steady_time drain_answer_at_;
  steady_time drain_deadline_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_FORWARDER_H_
