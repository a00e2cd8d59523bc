#ifndef RADISHROUTE_MESSAGE_H_
#define RADISHROUTE_MESSAGE_H_

#include <variant>

#include "radishroute/config_message.h"
#include "radishroute/crash_evidence.h"
#include "radishroute/discovery_message.h"
#include "radishroute/engine_message.h"
#include "radishroute/failure_message.h"
#include "radishroute/group_message.h"
#include "radishroute/order_message.h"
#include "radishroute/raft_message.h"
#include "radishroute/record_message.h"
#include "radishroute/traffic_message.h"

namespace radishroute {

/// First message on every link, in both directions.
struct hello {
  std::uint32_t protocol_version = 0;
  process_id process;
  process_role role = process_role::kEntry;
  std::string node_name;
  std::string zone;
  std::string secret;
};

/// Sent on a link on which no other message has been sent for some time.
struct heartbeat {
  std::uint64_t sequence = 0;
};

/// All messages between processes of the system.
using message_variant = std::variant<  //
    hello,                             //
    heartbeat,                         //
    dispatch_request,                  //
    answer_begin,                      //
    answer_chunk,                      //
    answer_end,                        //
    answer_ack,                        //
    dispatch_refused,                  //
    dispatch_failed,                   //
    cancel_dispatch,                   //
    attach_dispatch,                   //
    resolve_dispatch,                  //
    resolve_reply,                     //
    announcement,                      //
    directory_delta,                   //
    directory_digest,                  //
    directory_pull,                    //
    crash_report,                      //
    crash_evidence,                    //
    entry_heartbeats,                  //
    append_request,                    //
    append_reply,                      //
    vote_request,                      //
    vote_reply,                        //
    snapshot_chunk,                    //
    snapshot_reply,                    //
    propose_request,                   //
    propose_reply,                     //
    join_request,                      //
    join_reply,                        //
    claim_request,                     //
    outcome_request,                   //
    record_reply,                      //
    outcome_reply,                     //
    lease_renew,                       //
    lease_grant,                       //
    config_push,                       //
    version_query,                     //
    version_reply,                     //
    evacuation_notice,                 //
    fence_query,                       //
    fence_reply,                       //
    fenced_order,                      //
    order_reply,                       //
    engine_status,                     //
    engine_status_reply,               //
    engine_command,                    //
    fleet_load,                        //
    group_report,                      //
    group_grant>;

/// One message. Its copies, moves and destruction are compiled once, in `src/message.cc`: compiled
/// into every user they take most of the time of the build.
class message : public message_variant {
 public:
  using message_variant::message_variant;
  message(const message& other);
  message(message&& other) noexcept;
  message& operator=(const message& other);
  message& operator=(message&& other) noexcept;
  ~message();
};

}  // namespace radishroute

#endif  // RADISHROUTE_MESSAGE_H_
