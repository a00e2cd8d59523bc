#ifndef RADISHROUTE_LINK_EVENT_H_
#define RADISHROUTE_LINK_EVENT_H_

#include <chrono>
#include <system_error>

#include "radishroute/clock.h"
#include "radishroute/message.h"
#include "radishroute/types.h"

namespace radishroute {

/// First event of every thread.
struct process_started {};

/// A wake-up scheduled by an effect is due.
struct timer_expired {};

/// An operator or a signal requested that the process complete its work in progress and stop.
struct drain_requested {
  steady_time deadline;
};

/// A link is established: each side has accepted the other's `hello`.
struct link_opened {
  link_id link;
  hello peer;
  /// The address that this process connected to; empty host for an accepted link.
  endpoint dialed;
};

/// A link was closed or lost, or could not be opened (`link.value` is then 0).
struct link_closed {
  link_id link;
  endpoint dialed;
  std::error_code reason;
};

/// A part of a message arrived on a link; the rest of the message is still in transit.
struct link_progressed {
  link_id link;
};

struct message_received {
  link_id link;
  message body;
};

}  // namespace radishroute

#endif  // RADISHROUTE_LINK_EVENT_H_
