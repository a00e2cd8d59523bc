#ifndef RADISHROUTE_DOCUMENT_EVENT_H_
#define RADISHROUTE_DOCUMENT_EVENT_H_

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/discovery_message.h"
#include "radishroute/types.h"

namespace radishroute {

/// Event: an operator submits a configuration document that was found valid.
struct document_submitted {
  exchange_id exchange;
  std::uint64_t version = 0;
  std::string text;
};

/// Event: an operator asks for the newest document.
struct document_requested {
  exchange_id exchange;
};

/// Event: a backend server registered itself, or repeats its registration.
struct backend_registered {
  exchange_id exchange;
  announcement record;
};

/// Event: a backend server states that it is gone.
struct backend_withdrawn {
  exchange_id exchange;
  std::string backend;
};

/// Event: the settings file names these controllers now.
struct controllers_changed {
  std::vector<endpoint> controllers;
};

enum class document_status : std::uint8_t {
  /// The version, or a higher one, is committed.
  kAccepted,
  /// The answer carries the newest document.
  kFound,
  /// Another controller leads.
  kRedirected,
  /// No leader is known, or the outcome is not known.
  kUnavailable,
};

std::string_view ToString(document_status status);

/// Effect: answers an operator.
struct document_answered {
  exchange_id exchange;
  document_status status = document_status::kUnavailable;
  std::uint64_t version = 0;
  std::string text;
  /// Address of the leader for the system's own links, if redirected.
  endpoint leader;
};

/// Effect: answers a backend server's registration.
struct registration_answered {
  exchange_id exchange;
};

/// Effect: hands an applied document to the traffic threads.
struct publish_document {
  std::uint64_t version = 0;
  std::shared_ptr<const std::string> text;
};

}  // namespace radishroute

#endif  // RADISHROUTE_DOCUMENT_EVENT_H_
