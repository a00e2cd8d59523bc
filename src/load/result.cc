#include "load/result.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>
#include <sstream>

namespace radishroute {

namespace {

using nlohmann::json;

std::size_t Index(load_outcome outcome) { return static_cast<std::size_t>(outcome); }

template <class T>
T& Second(std::vector<T>& seconds, std::chrono::microseconds at) {
  auto index = static_cast<std::size_t>(std::chrono::floor<std::chrono::seconds>(at).count());
  if (seconds.size() <= index) seconds.resize(index + 1);
  return seconds[index];
}

json Percentiles(std::vector<std::chrono::microseconds>& values) {
  std::sort(values.begin(), values.end());
  return {{"p50", PercentileMillis(values, 50)},
          {"p95", PercentileMillis(values, 95)},
          {"p99", PercentileMillis(values, 99)},
          {"max", PercentileMillis(values, 100)}};
}

json Outcomes(const std::array<std::uint64_t, kLoadOutcomeCount>& counts) {
  json out = json::object();
  for (std::size_t i = 0; i < counts.size(); ++i) {
    out[std::string(ToString(static_cast<load_outcome>(i)))] = counts[i];
  }
  return out;
}

}  // namespace

double WeightedJain(const std::vector<double>& got, const std::vector<double>& weights) {
  double sum = 0;
  double squares = 0;
  for (std::size_t i = 0; i < got.size(); ++i) {
    double share = got[i] / weights[i];
    sum += share;
    squares += share * share;
  }
  return squares == 0 ? 1 : sum * sum / (static_cast<double>(got.size()) * squares);
}

double PercentileMillis(const std::vector<std::chrono::microseconds>& sorted, double percent) {
  if (sorted.empty()) return 0;
  auto rank = std::ceil(percent / 100 * static_cast<double>(sorted.size()));
  auto index = static_cast<std::size_t>(std::max(rank, 1.0)) - 1;
  return static_cast<double>(sorted[std::min(index, sorted.size() - 1)].count()) / 1000;
}

load_result::load_result(const load_plan& plan) : seed_(plan.seed), duration_(plan.duration) {
  for (const load_member& member : plan.members) members_[member.name].weight = member.weight;
}

void load_result::Add(load_record record) {
  bool whole = record.outcome == load_outcome::kInTime || record.outcome == load_outcome::kLate;
  bool in_time = record.outcome == load_outcome::kInTime;
  class_counts& c = classes_[ClassIndex(record.cls)];
  second_counts& second = Second(c.seconds, record.planned);
  ++c.outcomes[Index(record.outcome)];
  ++second.outcomes[Index(record.outcome)];
  c.moved_unreachable += record.moved_unreachable;
  c.moved_draining += record.moved_draining;
  if (!record.reason.empty()) {
    ++c.reasons[std::string(ToString(record.outcome)) + ":" + record.reason];
  }
  if (whole) {
    c.latencies.push_back(record.latency);
    second.latencies.push_back(record.latency);
    c.first_bytes.push_back(record.first_byte);
    c.token_gaps.insert(c.token_gaps.end(), record.token_gaps.begin(), record.token_gaps.end());
  }
  member_counts& member = members_[record.member];
  auto& [sent, done] = Second(member.seconds, record.planned);
  ++sent;
  ++member.sent;
  if (!in_time) return;
  ++done;
  ++member.in_time;
}

std::uint64_t load_result::Count(load_outcome outcome) const {
  std::uint64_t count = 0;
  for (const class_counts& c : classes_) count += c.outcomes[Index(outcome)];
  return count;
}

std::uint64_t load_result::Moved() const {
  std::uint64_t moved = 0;
  for (const class_counts& c : classes_) moved += c.moved_unreachable + c.moved_draining;
  return moved;
}

json load_result::ClassJson(class_counts& c) const {
  json series = json::array();
  for (std::size_t i = 0; i < c.seconds.size(); ++i) {
    json point = Outcomes(c.seconds[i].outcomes);
    point["second"] = i;
    point["latency_ms"] = Percentiles(c.seconds[i].latencies);
    series.push_back(std::move(point));
  }
  return {{"outcomes", Outcomes(c.outcomes)},
          {"reasons", c.reasons},
          {"moved", {{"unreachable", c.moved_unreachable}, {"draining", c.moved_draining}}},
          {"latency_ms", Percentiles(c.latencies)},
          {"first_byte_ms", Percentiles(c.first_bytes)},
          {"token_gap_ms", Percentiles(c.token_gaps)},
          {"series", std::move(series)}};
}

json load_result::MembersJson() const {
  json out = json::object();
  for (const auto& [name, member] : members_) {
    json series = json::array();
    for (const auto& [sent, in_time] : member.seconds) {
      series.push_back({{"sent", sent}, {"in_time", in_time}});
    }
    out[name] = {{"weight", member.weight},
                 {"sent", member.sent},
                 {"in_time", member.in_time},
                 {"series", std::move(series)}};
  }
  return out;
}

json load_result::ToJson() {
  json classes = json::object();
  for (priority_class cls : kPriorityClasses) {
    classes[std::string(ToString(cls))] = ClassJson(classes_[ClassIndex(cls)]);
  }
  std::vector<double> got;
  std::vector<double> weights;
  for (const auto& [name, member] : members_) {
    if (member.sent == 0) continue;
    got.push_back(static_cast<double>(member.in_time));
    weights.push_back(member.weight);
  }
  json marks = json::array();
  for (const load_mark& mark : marks_) {
    marks.push_back({{"second", static_cast<double>(mark.at.count()) / 1e6}, {"text", mark.text}});
  }
  return {{"seed", seed_},
          {"seconds", static_cast<double>(duration_.count()) / 1000},
          {"classes", std::move(classes)},
          {"members", MembersJson()},
          {"jain_weighted", WeightedJain(got, weights)},
          {"events", std::move(marks)}};
}

std::string load_result::Summary() {
  std::ostringstream out;
  auto count = [&](load_outcome o) { return Count(o); };
  out << "whole " << count(load_outcome::kInTime) + count(load_outcome::kLate) << ", wrong "
      << count(load_outcome::kWrong) << ", refused " << count(load_outcome::kNotRun) << ", failed "
      << count(load_outcome::kUnknown) << ", broken " << count(load_outcome::kCut)
      << ", unreachable " << count(load_outcome::kUnreachable) << ", moved " << Moved() << "\n";
  for (priority_class cls : kPriorityClasses) {
    class_counts& c = classes_[ClassIndex(cls)];
    if (c.seconds.empty()) continue;
    json latency = Percentiles(c.latencies);
    out << ToString(cls) << ": in time " << c.outcomes[Index(load_outcome::kInTime)] << ", late "
        << c.outcomes[Index(load_outcome::kLate)] << ", latency p50 " << latency["p50"]
        << " ms, p95 " << latency["p95"] << " ms, p99 " << latency["p99"] << " ms\n";
    for (const auto& [reason, times] : c.reasons) out << "  " << reason << " " << times << "\n";
  }
  return out.str();
}

}  // namespace radishroute
