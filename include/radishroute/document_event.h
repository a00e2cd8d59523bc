#ifndef RADISHROUTE_DOCUMENT_EVENT_H_
#define RADISHROUTE_DOCUMENT_EVENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/discovery_message.h"
#include "radishroute/types.h"
#include "radishroute/zone_evacuations.h"

namespace radishroute {

/// Event: an operator submits a configuration document, which has already been validated.
struct document_submitted {
  exchange_id exchange;
  std::uint64_t version = 0;
  std::string text;
};

/// Event: an operator requests the latest configuration document.
struct document_requested {
  exchange_id exchange;
};

/// Event: an operator begins or ends the evacuation of an availability zone.
struct zone_evacuation_submitted {
  exchange_id exchange;
  zone_evacuation order;
};

/// Event for traffic threads: the evacuated availability zones that are in force.
struct evacuations_published {
  evacuation_notice evacuations;
};

/// Event: a backend server registers itself or renews its registration.
struct backend_registered {
  exchange_id exchange;
  announcement record;
};

/// Event: a backend server withdraws its registration.
struct backend_withdrawn {
  exchange_id exchange;
  std::string backend;
};

/// Event: the settings file now lists these controllers.
struct controllers_changed {
  std::vector<endpoint> controllers;
};

enum class document_status : std::uint8_t {
  /// The submitted version or a higher one is committed.
  kAccepted,
  /// The response contains the latest document.
  kFound,
  /// Another controller is the leader.
  kRedirected,
  /// No leader is known, or the outcome is unknown.
  kUnavailable,
};

std::string_view ToString(document_status status);

/// Effect: responds to an operator.
struct document_answered {
  exchange_id exchange;
  document_status status = document_status::kUnavailable;
  std::uint64_t version = 0;
  std::string text;
  /// If redirected, the leader's address for links between processes of the system.
  endpoint leader;
};

enum class evacuation_status : std::uint8_t {
  /// The order is committed, or it was in force already.
  kAccepted,
  /// Another controller is the leader.
  kRedirected,
  /// No leader is known, or the outcome is unknown.
  kUnavailable,
  /// No backend server has registered from this zone, and it is not evacuated.
  kUnknownZone,
};

std::string_view ToString(evacuation_status status);

/// Effect: responds to an operator's evacuation order.
struct evacuation_answered {
  exchange_id exchange;
  evacuation_status status = evacuation_status::kUnavailable;
  zone_evacuation order;
  /// If redirected, the leader's address for links between processes of the system.
  endpoint leader;
};

/// Effect: passes the evacuated availability zones to the traffic threads.
struct publish_evacuations {
  evacuation_notice evacuations;
};

/// Effect: responds to a backend server's registration.
struct registration_answered {
  exchange_id exchange;
  /// False if the registration cannot come from the backend server that it names.
  bool accepted = true;
};

/// Effect: passes an applied document to the traffic threads.
struct publish_document {
  std::uint64_t version = 0;
  /// As stored in the log, so possibly compressed.
  std::shared_ptr<const std::string> text;
};

}  // namespace radishroute

#endif  // RADISHROUTE_DOCUMENT_EVENT_H_
