#ifndef RADISHROUTE_EVENT_H_
#define RADISHROUTE_EVENT_H_

#include <variant>

#include "radishroute/document_event.h"
#include "radishroute/experts/engine_event.h"
#include "radishroute/failure_event.h"
#include "radishroute/forward/forward_event.h"
#include "radishroute/group_plan.h"
#include "radishroute/link_event.h"
#include "radishroute/order_event.h"
#include "radishroute/raft_event.h"
#include "radishroute/rank_event.h"
#include "radishroute/record_event.h"
#include "radishroute/traffic_event.h"

namespace radishroute {

/// All events of a process, handled by one reducer.
using event_variant = std::variant<  //
    process_started,                 //
    timer_expired,                   //
    drain_requested,                 //
    link_opened,                     //
    link_closed,                     //
    link_progressed,                 //
    message_received,                //
    caller_request,                  //
    caller_closed,                   //
    engine_answer_begin,             //
    engine_answer_bytes,             //
    engine_answer_end,               //
    engine_call_failed,              //
    routing_table_published,         //
    crash_report_shared,             //
    crash_evidence_shared,           //
    backend_probed,                  //
    engine_status_changed,           //
    engine_probe_done,               //
    propose_command,                 //
    change_voters,                   //
    log_stored,                      //
    claim_submitted,                 //
    outcome_submitted,               //
    claim_answered,                  //
    outcome_answered,                //
    engine_order_finished,           //
    document_submitted,              //
    document_requested,              //
    zone_evacuation_submitted,       //
    evacuations_published,           //
    backend_registered,              //
    backend_withdrawn,               //
    controllers_changed,             //
    engine_report_read,              //
    expert_usage_read,               //
    engine_command_done,             //
    fleet_load_published,            //
    forward_received,                //
    forward_caller_closed,           //
    upstream_response_begin,         //
    upstream_response_bytes,         //
    upstream_response_end,           //
    upstream_call_failed,            //
    deployment_published,            //
    placement_planned,               //
    rank_call_finished>;

/// One event. Its copies, moves and destruction are compiled once, in `src/event.cc`: compiled
/// into every user they take most of the time of the build.
class event : public event_variant {
 public:
  using event_variant::event_variant;
  event(const event& other);
  event(event&& other) noexcept;
  event& operator=(const event& other);
  event& operator=(event&& other) noexcept;
  ~event();
};

}  // namespace radishroute

#endif  // RADISHROUTE_EVENT_H_
