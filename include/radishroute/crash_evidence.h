#ifndef RADISHROUTE_CRASH_EVIDENCE_H_
#define RADISHROUTE_CRASH_EVIDENCE_H_

#include <chrono>
#include <vector>

#include "radishroute/types.h"

namespace radishroute {

/// What a request holds that may crash a backend server: the request as a whole, and the parts of
/// its prompt that other requests share.
struct suspect_content {
  fingerprint request;
  std::vector<fingerprint> prompt_parts;
};

/// An observation of content at a backend server. Holds an age rather than a timestamp, since the
/// clocks of VMs differ.
struct content_observation {
  fingerprint content;
  std::chrono::milliseconds age{};
};

/// Observations by which the content that crashes backend servers is told from the content that
/// only was there at the time.
struct crash_evidence {
  /// Content of requests that had hardly begun to be answered when their backend server crashed.
  std::vector<content_observation> crashes;
  /// Content of requests that were answered.
  std::vector<content_observation> successes;

  bool Empty() const { return crashes.empty() && successes.empty(); }
};

/// Event: evidence from another thread of this process.
struct crash_evidence_shared {
  crash_evidence evidence;
};

/// Effect: passes evidence to the other threads of this process.
struct share_crash_evidence {
  crash_evidence evidence;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CRASH_EVIDENCE_H_
