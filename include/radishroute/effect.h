#ifndef RADISHROUTE_EFFECT_H_
#define RADISHROUTE_EFFECT_H_

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "radishroute/clock.h"
#include "radishroute/document_event.h"
#include "radishroute/error.h"
#include "radishroute/experts/engine_event.h"
#include "radishroute/forward/forward_event.h"
#include "radishroute/group_plan.h"
#include "radishroute/log_event.h"
#include "radishroute/message.h"
#include "radishroute/metric.h"
#include "radishroute/order_event.h"
#include "radishroute/raft_event.h"
#include "radishroute/rank_event.h"
#include "radishroute/record_event.h"
#include "radishroute/routing_table.h"
#include "radishroute/types.h"

namespace radishroute {

struct send_message {
  link_id link;
  message body;
};

/// Sends one message on several links; it is encoded once.
struct broadcast_message {
  std::vector<link_id> links;
  message body;
};

/// Opens a link; results in `link_opened` or `link_closed` with the same address.
struct open_link {
  endpoint address;
};

struct close_link {
  link_id link;
};

/// Delivers `timer_expired` at `at` or shortly after; of several requests the earliest applies.
struct schedule_wakeup {
  steady_time at;
};

/// Whether a refused or failed request was run, as reported to the caller.
enum class run_outcome : std::uint8_t { kNotRun, kUnknown, kDone };

struct respond_begin {
  exchange_id exchange;
  std::uint32_t status = 0;
  std::string content_type;
  bool stream = false;
};

struct respond_bytes {
  exchange_id exchange;
  std::string bytes;
};

struct respond_end {
  exchange_id exchange;
};

/// Aborts a started answer so that the caller can distinguish it from a complete one.
struct respond_abort {
  exchange_id exchange;
  dispatch_failure reason = dispatch_failure::kNone;
};

/// Responds with a problem document.
struct respond_problem {
  exchange_id exchange;
  refusal_reason refusal = refusal_reason::kNone;
  dispatch_failure failure = dispatch_failure::kNone;
  run_outcome outcome = run_outcome::kNotRun;
  std::chrono::microseconds retry_after{};
};

/// Sends a request to this agent's backend server.
struct start_engine_call {
  dispatch_id id;
  std::string path;
  std::string member;
  std::string idempotency_key;
  priority_class cls = priority_class::kInteractive;
  std::uint64_t resume_offset = 0;
  std::string body;
};

struct cancel_engine_call {
  dispatch_id id;
};

/// Control thread only: passes a table to every traffic thread.
struct publish_routing_table {
  std::shared_ptr<const routing_table> table;
  /// End of the configuration lease; never reached without controllers.
  steady_time config_lease_until = steady_time::max();
};

/// Traffic thread only: passes a claim or an outcome to the control thread.
struct submit_claim {
  claim_submitted event;
};
struct submit_outcome {
  outcome_submitted event;
};

/// Control thread only: passes a verdict to the traffic thread that requested it.
struct deliver_claim_answer {
  claim_answered event;
};
struct deliver_outcome_answer {
  outcome_answered event;
};

/// Passes crashes or cleared fingerprints to the other threads of this process.
struct share_crash_report {
  crash_report report;
};

/// Tells an agent's control thread whether the backend server responds.
struct share_engine_status {
  bool up = false;
};

/// Sends a lightweight request to the backend server; results in `engine_probe_done` with this
/// number. A probe in progress is discarded without an event.
struct probe_engine {
  std::uint64_t number = 0;
};

struct write_log {
  log_event event;
};

struct count {
  counter which = counter::kRequestsReceived;
  std::uint64_t by = 1;
};

struct count_refusal {
  refusal_reason reason = refusal_reason::kNone;
};

struct count_retry {
  retry_reason reason = retry_reason::kRefusedByBackend;
};

struct count_broken_response {
  response_fault fault = response_fault::kNone;
};

struct observe_latency {
  latency_metric which = latency_metric::kAnswer;
  priority_class cls = priority_class::kInteractive;
  std::chrono::microseconds value{};
};

/// Closes callers' connections after their next response, which announces the closing.
struct drain_connections {};

/// Stops accepting callers' connections and closes those without a request.
struct close_idle_callers {};

/// Stops the process, which has no work left after a drain request.
struct stop_process {
  bool all_finished = true;
  /// Whether output that waits to be written is written first.
  bool flush = all_finished;
};

/// All effects that a reducer can emit. The event loop carries them out after each reduction.
using effect_variant = std::variant<  //
    send_message,                     //
    broadcast_message,                //
    open_link,                        //
    close_link,                       //
    schedule_wakeup,                  //
    respond_begin,                    //
    respond_bytes,                    //
    respond_end,                      //
    respond_abort,                    //
    respond_problem,                  //
    start_engine_call,                //
    cancel_engine_call,               //
    publish_routing_table,            //
    submit_claim,                     //
    submit_outcome,                   //
    deliver_claim_answer,             //
    deliver_outcome_answer,           //
    write_log,                        //
    count,                            //
    count_refusal,                    //
    count_retry,                      //
    count_broken_response,            //
    observe_latency,                  //
    drain_connections,                //
    close_idle_callers,               //
    stop_process,                     //
    share_crash_report,               //
    share_crash_evidence,             //
    probe_backend,                    //
    share_engine_status,              //
    probe_engine,                     //
    store_log,                        //
    proposal_finished,                //
    start_engine_order,               //
    cancel_engine_order,              //
    document_answered,                //
    evacuation_answered,              //
    publish_evacuations,              //
    registration_answered,            //
    publish_document,                 //
    read_engine_report,               //
    read_expert_usage,                //
    send_engine_command,              //
    publish_fleet_load,               //
    start_upstream,                   //
    cancel_upstream,                  //
    forward_begin,                    //
    forward_bytes,                    //
    forward_end,                      //
    forward_abort,                    //
    send_error_response,              //
    plan_placement,                   //
    call_rank>;

/// One effect. Its copies, moves and destruction are compiled once, in `src/effect.cc`: compiled
/// into every user they take most of the time of the build.
class effect : public effect_variant {
 public:
  using effect_variant::effect_variant;
  effect(const effect& other);
  effect(effect&& other) noexcept;
  effect& operator=(const effect& other);
  effect& operator=(effect&& other) noexcept;
  ~effect();
};

using effect_list = std::vector<effect>;

}  // namespace radishroute

#endif  // RADISHROUTE_EFFECT_H_
