#ifndef RADISHROUTE_BASELINE_H_
#define RADISHROUTE_BASELINE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <string_view>
#include <vector>

#include "radishroute/policy.h"

namespace radishroute {

/// First in, first out, limited only in length. Baseline for measurements.
class fifo_queue {
 public:
  static constexpr std::size_t kCapacity = 4096;

  void Push(queued_work work, steady_time now, std::vector<refused_work>& refused);
  std::optional<queued_work> Pop(steady_time now, std::vector<refused_work>& refused);
  bool Erase(const dispatch_id& id);
  void OnFinished(const finished_work& finished, steady_time now);
  void SetConcurrency(std::uint32_t concurrency) { concurrency_ = concurrency; }
  void SetFloors(const class_shares&) {}
  std::size_t Size() const { return work_.size(); }
  std::chrono::microseconds ExpectedWait(priority_class cls) const;

 private:
  std::deque<queued_work> work_;
  std::uint32_t concurrency_ = 1;
  std::chrono::microseconds mean_service_{};
};

/// Chooses the backend servers of a pool in turn. Baseline for measurements.
class round_robin_router {
 public:
  void OnTable(const routing_table&) {}
  std::optional<std::uint32_t> Choose(const routing_table& table, const route_query& query,
                                      steady_time now, random_source& random);
  void OnSent(std::uint32_t) {}
  void OnDone(std::uint32_t) {}
  void OnLoad(std::uint32_t, const load_report&, steady_time) {}

 private:
  std::uint64_t next_ = 0;
};

/// Grants every retry. Baseline for measurements.
class unlimited_retries {
 public:
  void OnFirstAttempt(std::string_view, steady_time) {}
  bool TakeRetry(std::string_view, steady_time) { return true; }
};

/// Sends every request to its backend server. Baseline for measurements.
class no_admission {
 public:
  void OnRefused(const announcement&, std::string_view, priority_class, refusal_reason,
                 std::chrono::microseconds, steady_time) {}
  std::chrono::microseconds Check(const announcement&, std::string_view, priority_class,
                                  steady_time) const {
    return {};
  }
};

struct baseline_policies {
  using queue_type = fifo_queue;
  using routing_type = round_robin_router;
  using retry_type = unlimited_retries;
  using admission_type = no_admission;
};

static_assert(policy_set<baseline_policies>);

}  // namespace radishroute

#endif  // RADISHROUTE_BASELINE_H_
