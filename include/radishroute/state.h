#ifndef RADISHROUTE_STATE_H_
#define RADISHROUTE_STATE_H_

#include <optional>

#include "radishroute/announcer.h"
#include "radishroute/config_client.h"
#include "radishroute/controller_log.h"
#include "radishroute/crash_relay.h"
#include "radishroute/discovery.h"
#include "radishroute/executions.h"
#include "radishroute/experts/engine_watch.h"
#include "radishroute/forward/forwarder.h"
#include "radishroute/forward/queueing_admission.h"
#include "radishroute/link_monitor.h"
#include "radishroute/order_client.h"
#include "radishroute/rank_agent.h"
#include "radishroute/requests.h"
#include "radishroute/state_codec.h"

namespace radishroute {

/// State of a process's control thread. The role of the process determines which parts exist.
struct control_state {
  std::optional<directory> backends;
  std::optional<announcer> announcements;
  std::optional<controller_log<thrift_state_codec>> log;
  std::optional<config_client> config;
  std::optional<order_client> orders;
  std::optional<rank_agent> rank;
  std::optional<engine_watch> engine;
  std::optional<crash_relay> crashes;
};

/// State of one traffic thread: a shard of an entry's requests, or an agent's executions.
template <policy_set P>
struct traffic_state {
  std::optional<request_table<P>> requests;
  std::optional<execution_table<P>> executions;
  std::optional<forwarder<least_loaded_selector, queueing_admission>> forwarding;
};

/// State of one thread; each thread uses either the control or the traffic part.
template <policy_set P>
struct thread_state {
  std::optional<link_monitor> links;
  control_state control;
  traffic_state<P> traffic;
};

}  // namespace radishroute

#endif  // RADISHROUTE_STATE_H_
