#ifndef RADISHROUTE_REQUESTS_H_
#define RADISHROUTE_REQUESTS_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "radishroute/event.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Limits of one traffic shard of an entry.
struct request_limits {
  std::size_t max_requests = 20000;
  std::uint32_t max_attempts = 3;
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

  void Handle(link_id link, const answer_begin& begin, reduce_context& ctx);
  void Handle(link_id link, const answer_chunk& chunk, reduce_context& ctx);
  void Handle(link_id link, const answer_end& end, reduce_context& ctx);
  void Handle(link_id link, const dispatch_refused& refused, reduce_context& ctx);
  void Handle(link_id link, const dispatch_failed& failed, reduce_context& ctx);

  std::size_t Size() const { return requests_.size(); }

 private:
  enum class phase : std::uint8_t { kWaitingForLink, kDispatched, kAnswering };

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
    /// True once an attempt ended in any way other than a refusal.
    bool may_have_run = false;
    std::string backend_name;
    std::uint64_t backend_incarnation = 0;
    endpoint backend_address;
    std::uint64_t bytes_sent = 0;
    bool response_begun = false;
    std::vector<std::uint32_t> tried;
    refusal_reason last_refusal = refusal_reason::kNone;
    /// Advice of the last refusal.
    std::chrono::microseconds retry_after{};
  };

  struct backend_link {
    std::optional<link_id> link;
    std::vector<request_id> waiting;
  };

  entry_request* Find(const dispatch_id& id, reduce_context& ctx);
  std::optional<refusal_reason> Validate(const caller_request& request, entry_request& out,
                                         const reduce_context& ctx) const;
  void Route(entry_request& request, reduce_context& ctx);
  /// Chooses a backend server that is not expected to refuse the request at once; null if the
  /// request was ended instead.
  const announcement* ChooseBackend(entry_request& request, reduce_context& ctx);
  void Send(entry_request& request, link_id link, reduce_context& ctx);
  void Retry(entry_request& request, retry_reason reason, refusal_reason refusal,
             dispatch_failure failure, reduce_context& ctx);
  void Refuse(entry_request& request, refusal_reason reason, std::chrono::microseconds retry_after,
              reduce_context& ctx);
  void Fail(entry_request& request, dispatch_failure reason, reduce_context& ctx);
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
  std::unordered_map<std::string, backend_link> links_;
  typename P::routing_type router_;
  typename P::retry_type retries_;
  typename P::admission_type admission_;
  std::optional<steady_time> drain_deadline_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_REQUESTS_H_
