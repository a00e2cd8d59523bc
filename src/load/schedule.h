#ifndef RADISHROUTE_LOAD_SCHEDULE_H_
#define RADISHROUTE_LOAD_SCHEDULE_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "load/plan.h"

namespace radishroute {

/// One request of a run, fixed by the plan and its seed before the run starts.
struct planned_request {
  std::chrono::microseconds at{};
  std::uint32_t kind = 0;
  std::uint32_t member = 0;
  /// Distinguishes this request's content and key from all others of the run.
  std::uint64_t number = 0;
};

/// Requests of the plan in order of time.
std::vector<planned_request> MakeSchedule(const load_plan& plan);

/// What is sent for a planned request.
struct request_content {
  std::string path;
  std::string body;
  /// Random bits of the Idempotency-Key.
  std::uint64_t key_bits = 0;
};

request_content MakeContent(const load_plan& plan, const planned_request& request);

/// The only right answer to a request.
std::string ExpectedAnswer(const load_kind& kind, const std::string& body);

/// A UUID of version 7 (RFC 9562).
std::string MakeUuidV7(std::chrono::milliseconds since_epoch, std::uint64_t high_bits,
                       std::uint64_t low_bits);

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_SCHEDULE_H_
