#ifndef RADISHROUTE_LOAD_GENERATOR_H_
#define RADISHROUTE_LOAD_GENERATOR_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "io/http_server.h"
#include "load/plan.h"
#include "load/record.h"
#include "load/schedule.h"
#include "radishroute/clock.h"

namespace radishroute {

/// `wall` dates the Idempotency-Keys.
struct load_started {
  wall_time wall;
};

struct load_timer_expired {};

struct call_began {
  std::uint64_t call = 0;
  unsigned status = 0;
  std::string content_type;
};

struct call_bytes {
  std::uint64_t call = 0;
  std::string bytes;
};

struct call_ended {
  std::uint64_t call = 0;
  http_call_result result = http_call_result::kComplete;
};

using load_event =
    std::variant<load_started, load_timer_expired, call_began, call_bytes, call_ended>;

struct start_call {
  std::uint64_t call = 0;
  std::size_t target = 0;
  std::string path;
  std::vector<http_header> headers;
  std::string body;
};

struct cancel_call {
  std::uint64_t call = 0;
};

struct load_wakeup {
  steady_time at;
};

struct record_request {
  load_record record;
};

struct load_finished {};

using load_effect =
    std::variant<start_call, cancel_call, load_wakeup, record_request, load_finished>;
using load_effects = std::vector<load_effect>;

/// Open-loop load: requests start at their planned times whether or not earlier ones have ended.
/// Like the balancer before the entries, it sends a request that a target has certainly not run,
/// because it refuses connections or drains, to the next target at once. Calls beyond the limit of
/// connections to a target wait in a queue, and their wait counts as latency.
class load_generator {
 public:
  /// Connections to one target at most, unless the command line says otherwise: far above what the
  /// examples' plans keep in progress, and few enough that polling them costs little.
  static constexpr std::size_t kDefaultConnections = 512;

  load_generator(load_plan plan, std::size_t targets,
                 std::size_t connections = kDefaultConnections);

  void Reduce(const load_event& e, steady_time now, load_effects& effects);

  std::size_t Planned() const { return schedule_.size(); }

 private:
  /// One planned request from its first attempt to its end.
  struct flight {
    planned_request plan;
    request_content content;
    load_record record;
    std::string expected;
    std::size_t target = 0;
    std::uint64_t call = 0;
    /// Other targets that this attempt may still be sent to.
    std::size_t targets_left = 0;
    /// True between an attempt that was lost and the next one.
    bool waiting = false;
    /// True while the call waits for a free connection to its target.
    bool queued = false;
    received_answer answer;
    steady_time last_bytes;
    steady_time gives_up;
    steady_time resends;
  };

  void Handle(const load_started& e, steady_time now, load_effects& effects);
  void Handle(const load_timer_expired& e, steady_time now, load_effects& effects);
  void Handle(const call_began& e, steady_time now, load_effects& effects);
  void Handle(const call_bytes& e, steady_time now, load_effects& effects);
  void Handle(const call_ended& e, steady_time now, load_effects& effects);

  void StartDue(steady_time now, load_effects& effects);
  void StartRequest(const planned_request& plan, steady_time now, load_effects& effects);
  void Submit(flight& f, steady_time now, load_effects& effects);
  void Send(flight& f, load_effects& effects);
  bool MoveOn(flight& f, const judgement& verdict, steady_time now, load_effects& effects);
  void Start(flight& f, load_effects& effects);
  void FreeConnection(std::size_t target, steady_time now, load_effects& effects);
  void Wait(flight& f, steady_time now);
  bool MayResend(const flight& f, steady_time now) const;
  void EndAttempt(std::uint64_t call, const judgement& verdict, steady_time now,
                  load_effects& effects);
  void ExpireTimers(steady_time now, load_effects& effects);
  void ScheduleNext(load_effects& effects);
  steady_time TimerOf(const flight& f) const;
  void SetTimer(const flight& f);
  void RemoveTimer(const flight& f);
  const load_kind& KindOf(const flight& f) const { return plan_.kinds[f.plan.kind]; }

  load_plan plan_;
  /// Calls to one target.
  struct target_calls {
    std::size_t in_progress = 0;
    /// Calls that wait for a connection, oldest first; some may have ended meanwhile.
    std::deque<std::uint64_t> queue;
  };

  std::size_t targets_;
  std::size_t connections_;
  std::vector<target_calls> calls_;
  wall_time wall_start_;
  std::vector<planned_request> schedule_;
  std::size_t next_ = 0;
  steady_time started_;
  std::uint64_t next_call_ = 1;
  std::unordered_map<std::uint64_t, flight> flights_;
  std::multimap<steady_time, std::uint64_t> timers_;
  bool finished_ = false;
};

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_GENERATOR_H_
