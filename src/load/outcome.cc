#include "load/outcome.h"

#include <array>
#include <nlohmann/json.hpp>

namespace radishroute {

namespace {

constexpr std::array<std::string_view, kLoadOutcomeCount> kNames = {
    "in_time", "late", "wrong", "cut", "not_run", "unknown", "unreachable"};

constexpr std::string_view kProblemPrefix = "urn:radishroute:problem:";

judgement JudgeProblem(const std::string& body, unsigned status) {
  nlohmann::json problem = nlohmann::json::parse(body, nullptr, false);
  judgement out{load_outcome::kUnknown, "http_" + std::to_string(status)};
  if (!problem.is_object()) return out;
  std::string type = problem.value("type", "");
  if (type.starts_with(kProblemPrefix)) out.reason = type.substr(kProblemPrefix.size());
  if (problem.value("outcome", "") == "not-run") out.outcome = load_outcome::kNotRun;
  return out;
}

}  // namespace

std::string_view ToString(load_outcome outcome) {
  return kNames[static_cast<std::size_t>(outcome)];
}

bool ParseLoadOutcome(std::string_view text, load_outcome& out) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (kNames[i] != text) continue;
    out = static_cast<load_outcome>(i);
    return true;
  }
  return false;
}

judgement Judge(const received_answer& answer, std::string_view expected, bool in_time) {
  if (answer.result == http_call_result::kNotSent) return {load_outcome::kUnreachable, "not_sent"};
  if (answer.status == 0) return {load_outcome::kUnknown, "connection_lost"};
  if (answer.status != 200) {
    // A refusal of which a part is missing promises nothing.
    if (answer.result == http_call_result::kBroken)
      return {load_outcome::kUnknown, "connection_lost"};
    return JudgeProblem(answer.body, answer.status);
  }
  // A stream that fails ends with this event in place of the rest.
  constexpr std::string_view kErrorEvent = "event: error\ndata: ";
  std::string_view body = answer.body;
  if (std::size_t error = body.rfind(kErrorEvent); error != std::string_view::npos) {
    if (body.substr(0, error) != expected.substr(0, error)) return {load_outcome::kWrong, "bytes"};
    judgement out = JudgeProblem(std::string(body.substr(error + kErrorEvent.size())), 200);
    // Part of the answer has been sent, so "not run" would be false in any case.
    out.outcome = load_outcome::kUnknown;
    return out;
  }
  if (body == expected && answer.result == http_call_result::kComplete) {
    return {in_time ? load_outcome::kInTime : load_outcome::kLate, ""};
  }
  if (!expected.starts_with(body)) return {load_outcome::kWrong, "bytes"};
  // HTTP itself shows that an answer of known length is incomplete.
  bool stream = answer.content_type.starts_with("text/event-stream");
  if (answer.result == http_call_result::kBroken && !stream) {
    return {load_outcome::kUnknown, "connection_lost"};
  }
  return {load_outcome::kCut, "short_by_" + std::to_string(expected.size() - body.size())};
}

}  // namespace radishroute
