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

#include "radishroute/event.h"
#include "radishroute/forward/admission.h"
#include "radishroute/forward/backend_selector.h"
#include "radishroute/forward/event_stream.h"
#include "radishroute/forward/forward_event.h"
#include "radishroute/forward/shared_retry_budget.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

struct forwarder_settings {
  std::string zone;
  retry_budget_limits retries;
  std::size_t max_requests = 4000;
  /// A draining process accepts requests for this long, until the balancer before it has noticed.
  std::chrono::milliseconds drain_notice{2500};
};

/// Lifecycle of callers' HTTP requests that go to backend servers directly. A request is sent
/// again only where that cannot run it twice.
template <backend_selector Selector, forward_admission Admission>
class forwarder {
 public:
  explicit forwarder(forwarder_settings settings)
      : settings_(std::move(settings)), retries_(settings_.retries) {}

  void Handle(const forward_received& e, reduce_context& ctx);
  void Handle(const forward_caller_closed& e, reduce_context& ctx);
  void Handle(const upstream_response_begin& e, reduce_context& ctx);
  void Handle(const upstream_response_bytes& e, reduce_context& ctx);
  void Handle(const upstream_response_end& e, reduce_context& ctx);
  void Handle(const upstream_call_failed& e, reduce_context& ctx);
  void Handle(const deployment_published& e, reduce_context& ctx);
  void Handle(const routing_table_published& e, reduce_context& ctx);
  void Handle(const fleet_load_published& e, reduce_context& ctx);
  void Handle(const timer_expired& e, reduce_context& ctx);
  void Handle(const drain_requested& e, reduce_context& ctx);

  /// Whether new callers should come here.
  bool Ready() const { return routes_ != nullptr && directory_known_ && !draining_; }
  std::size_t Size() const { return requests_.size(); }

 private:
  struct attempt {
    upstream_id id;
    std::string backend;
    steady_time sent;
    bool not_run = false;
    bool wrong_backend = false;
  };

  struct forwarded {
    std::shared_ptr<const forward_request> request;
    /// Keeps the route alive while a newer deployment replaces it.
    std::shared_ptr<const route_index> routes;
    const route* via = nullptr;
    std::string service;
    std::string member;
    std::uint32_t urgency = 5;
    steady_time received;
    steady_time give_up_at;
    std::optional<attempt> current;
    std::uint32_t attempts = 0;
    std::uint32_t connect_failures = 0;
    std::vector<std::string> tried;
    /// Admission of the first attempt, and the load that it expected there.
    admission_decision decided_by;
    double load = 0;
    /// An ended attempt may have run the request.
    bool may_have_run = false;
    /// The response is passed on by whole events, or as it comes.
    bool streams = false;
    bool passes_through = false;
    std::optional<steady_time> first_byte;
    event_stream events;
    /// A response that is held until it is whole.
    backend_response answer;
    std::string body;

    /// The caller has the head of the response.
    bool Begun() const { return streams || passes_through; }
  };

  using request_map = std::unordered_map<exchange_id, forwarded>;

  void Reject(const forward_request& request, unsigned status, refusal_reason reason,
              std::optional<std::chrono::milliseconds> retry_after, reduce_context& ctx);
  std::string PickService(const route& via, random_source& random) const;
  /// Whether a request was sent, and why not.
  refusal_reason Send(forwarded& f, reduce_context& ctx);
  bool CameBack(const forwarded& f) const;
  std::chrono::milliseconds RetryAfter(const forwarded& f, refusal_reason reason,
                                       reduce_context& ctx) const;
  bool SendAgain(forwarded& f, retry_reason reason, reduce_context& ctx);
  bool MayRepeat(const forwarded& f) const;
  void BeginStream(forwarded& f, reduce_context& ctx);
  void PassThrough(forwarded& f, reduce_context& ctx);
  void Deliver(forwarded& f, reduce_context& ctx);
  void EndAttempt(forwarded& f, attempt_verdict verdict, reduce_context& ctx);
  void GiveUp(forwarded& f, refusal_reason reason, reduce_context& ctx);
  void Finish(forwarded& f, std::string_view outcome, unsigned status, reduce_context& ctx);
  void ScheduleNext(reduce_context& ctx) const;
  void CheckDrained(reduce_context& ctx);
  forwarded* Find(upstream_id id);

  forwarder_settings settings_;
  Selector selector_;
  Admission admission_;
  shared_retry_budget retries_;
  std::shared_ptr<const route_index> routes_;
  bool directory_known_ = false;
  std::uint64_t next_attempt_ = 1;
  request_map requests_;
  std::unordered_map<upstream_id, exchange_id> attempts_;
  std::set<std::pair<steady_time, std::uint64_t>> give_up_;
  bool draining_ = false;
  /// Set once no more callers are let in.
  bool closed_ = false;
  bool stopped_ = false;
  steady_time drained_from_;
  steady_time drain_deadline_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_FORWARDER_H_
