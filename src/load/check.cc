#include "load/check.h"

#include <array>

namespace radishroute {

std::string_view ToString(load_violation violation) {
  constexpr std::array<std::string_view, 5> kNames = {
      "ran_twice", "ran_although_not_run", "done_without_run", "wrong_answer", "cut_answer"};
  return kNames[static_cast<std::size_t>(violation)];
}

std::vector<violation_found> CheckRun(const std::vector<load_record>& records,
                                      const std::map<std::string, std::uint64_t>& runs) {
  std::vector<violation_found> found;
  // From the runs themselves, so that a key is checked even if no record names it.
  for (const auto& [key, count] : runs) {
    if (count > 1) found.push_back({load_violation::kRanTwice, key});
  }
  for (const load_record& record : records) {
    std::string number = std::to_string(record.number);
    if (record.outcome == load_outcome::kWrong) {
      found.push_back({load_violation::kWrongAnswer, number});
    }
    if (record.outcome == load_outcome::kCut) {
      found.push_back({load_violation::kCutAnswer, number});
    }
    if (record.idempotency_key.empty()) continue;
    bool ran = runs.contains(record.idempotency_key);
    bool done = record.outcome == load_outcome::kInTime || record.outcome == load_outcome::kLate;
    if (record.claimed_not_run && ran) {
      found.push_back({load_violation::kRanAlthoughNotRun, record.idempotency_key});
    }
    if (done && !ran) found.push_back({load_violation::kDoneWithoutRun, record.idempotency_key});
  }
  return found;
}

}  // namespace radishroute
