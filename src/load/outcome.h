#ifndef RADISHROUTE_LOAD_OUTCOME_H_
#define RADISHROUTE_LOAD_OUTCOME_H_

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "io/http_client.h"

namespace radishroute {

/// How a request ended, seen by its caller.
enum class load_outcome : std::uint8_t {
  kInTime,
  kLate,
  /// The answer has a byte that the right answer doesn't have.
  kWrong,
  /// The answer is a true beginning of the right one and ended without an error.
  kCut,
  /// A refusal that says that the request was not run.
  kNotRun,
  /// The request may have run: an error that says so, or a lost answer.
  kUnknown,
  /// No byte of the request could be sent.
  kUnreachable,
};

inline constexpr std::size_t kLoadOutcomeCount = 7;

std::string_view ToString(load_outcome outcome);
bool ParseLoadOutcome(std::string_view text, load_outcome& out);

/// What was received for one attempt.
struct received_answer {
  unsigned status = 0;
  std::string content_type;
  std::string body;
  http_call_result result = http_call_result::kComplete;
};

struct judgement {
  load_outcome outcome = load_outcome::kUnknown;
  /// Problem type or the kind of loss; empty for a whole answer.
  std::string reason;
};

/// Compares an answer with the right one byte by byte.
judgement Judge(const received_answer& answer, std::string_view expected, bool in_time);

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_OUTCOME_H_
