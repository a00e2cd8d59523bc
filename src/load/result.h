#ifndef RADISHROUTE_LOAD_RESULT_H_
#define RADISHROUTE_LOAD_RESULT_H_

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "load/plan.h"
#include "load/record.h"

namespace radishroute {

/// Something that happened during a run, for example a process that was killed.
struct load_mark {
  std::chrono::microseconds at{};
  std::string text;
};

/// Jain's index of what each Member got divided by its weight: 1 if all got their share, 1/n if
/// one of n got everything.
double WeightedJain(const std::vector<double>& got, const std::vector<double>& weights);

/// Value below which `percent` of the sorted values lie, in milliseconds; 0 without values.
double PercentileMillis(const std::vector<std::chrono::microseconds>& sorted, double percent);

/// Adds up the records of a run.
class load_result {
 public:
  explicit load_result(const load_plan& plan);

  void Add(load_record record);
  void Mark(load_mark mark) { marks_.push_back(std::move(mark)); }

  std::uint64_t Count(load_outcome outcome) const;

  /// How often a request was sent on to the next target.
  std::uint64_t Moved() const;

  /// Sorts the samples; the format is described in docs/load.md.
  nlohmann::json ToJson();

  /// A few lines for the terminal.
  std::string Summary();

 private:
  using samples = std::vector<std::chrono::microseconds>;

  struct second_counts {
    std::array<std::uint64_t, kLoadOutcomeCount> outcomes{};
    samples latencies;
  };

  struct class_counts {
    std::array<std::uint64_t, kLoadOutcomeCount> outcomes{};
    std::map<std::string, std::uint64_t> reasons;
    std::uint64_t moved_unreachable = 0;
    std::uint64_t moved_draining = 0;
    samples latencies;
    samples first_bytes;
    samples token_gaps;
    std::vector<second_counts> seconds;
  };

  struct member_counts {
    std::uint32_t weight = 1;
    std::uint64_t sent = 0;
    std::uint64_t in_time = 0;
    /// Per second: requests sent and answered in time.
    std::vector<std::pair<std::uint64_t, std::uint64_t>> seconds;
  };

  nlohmann::json ClassJson(class_counts& c) const;
  nlohmann::json MembersJson() const;

  std::uint64_t seed_;
  std::chrono::milliseconds duration_;
  std::array<class_counts, kPriorityClassCount> classes_;
  std::map<std::string, member_counts> members_;
  std::vector<load_mark> marks_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_RESULT_H_
