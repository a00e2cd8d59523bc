#include "io/metrics.h"

#include <array>
#include <atomic>
#include <boost/histogram.hpp>
#include <mutex>
#include <sstream>

namespace radishroute {

namespace {

namespace bh = boost::histogram;

// 50 µs to 100 s with 60 logarithmic bins: each bin is 27% wide, enough for a p99.
auto MakeLatencyHistogram() {
  return bh::make_histogram(bh::axis::regular<double, bh::axis::transform::log>(60, 50.0, 1e8));
}

using latency_histogram = decltype(MakeLatencyHistogram());

struct latency_series {
  latency_histogram histogram = MakeLatencyHistogram();
  double sum_micros = 0;
  std::uint64_t count = 0;
};

struct metric_store {
  std::array<std::atomic<std::uint64_t>, kCounterCount> counters{};
  std::array<std::atomic<std::uint64_t>, kRefusalReasonCount> refusals{};
  std::array<std::atomic<std::uint64_t>, kRetryReasonCount> retries{};
  std::array<std::atomic<std::uint64_t>, kResponseFaultCount> broken_responses{};
  std::mutex latency_mutex;
  std::array<std::array<latency_series, kPriorityClassCount>, kLatencyMetricCount> latencies;
};

metric_store& Store() {
  static metric_store store;
  return store;
}

template <class Enum>
std::size_t Index(Enum e) {
  return static_cast<std::size_t>(e);
}

void RenderLatency(std::ostream& out, latency_metric which) {
  std::string name = "radishroute_" + std::string(ToString(which)) + "_seconds";
  out << "# TYPE " << name << " histogram\n";
  for (priority_class cls : kPriorityClasses) {
    const latency_series& series = Store().latencies[Index(which)][ClassIndex(cls)];
    std::string label = "{class=\"" + std::string(ToString(cls)) + "\"";
    double cumulative = 0;
    // By index: in Boost 1.74 indexed() with coverage::all never ends on this histogram.
    const auto& axis = series.histogram.axis(0);
    for (int i = -1; i <= axis.size(); ++i) {
      double samples = series.histogram.at(i);
      cumulative += samples;
      bool last = i == axis.size();
      if (samples == 0 && !last) continue;
      out << name << "_bucket" << label << ",le=\"";
      if (last) {
        out << "+Inf";
      } else {
        out << axis.bin(i).upper() / 1e6;
      }
      out << "\"} " << cumulative << "\n";
    }
    out << name << "_sum" << label << "} " << series.sum_micros / 1e6 << "\n";
    out << name << "_count" << label << "} " << series.count << "\n";
  }
}

}  // namespace

void CountMetric(counter which, std::uint64_t by) {
  Store().counters[Index(which)].fetch_add(by, std::memory_order_relaxed);
}

void CountRefusal(refusal_reason reason) {
  Store().refusals[Index(reason)].fetch_add(1, std::memory_order_relaxed);
}

void CountRetry(retry_reason reason) {
  Store().retries[Index(reason)].fetch_add(1, std::memory_order_relaxed);
}

void CountBrokenResponse(response_fault fault) {
  Store().broken_responses[Index(fault)].fetch_add(1, std::memory_order_relaxed);
}

void ObserveLatency(latency_metric which, priority_class cls, std::chrono::microseconds value) {
  std::lock_guard lock(Store().latency_mutex);
  latency_series& series = Store().latencies[Index(which)][ClassIndex(cls)];
  series.histogram(static_cast<double>(value.count()));
  series.sum_micros += static_cast<double>(value.count());
  ++series.count;
}

std::uint64_t MetricValue(counter which) { return Store().counters[Index(which)].load(); }
std::uint64_t RefusalValue(refusal_reason reason) { return Store().refusals[Index(reason)].load(); }
std::uint64_t RetryValue(retry_reason reason) { return Store().retries[Index(reason)].load(); }
std::uint64_t BrokenResponseValue(response_fault fault) {
  return Store().broken_responses[Index(fault)].load();
}

std::string RenderMetrics() {
  std::ostringstream out;
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    out << "radishroute_" << ToString(static_cast<counter>(i)) << "_total "
        << Store().counters[i].load() << "\n";
  }
  for (std::size_t i = 1; i < kRefusalReasonCount; ++i) {
    out << "radishroute_refusals_total{reason=\"" << ToString(static_cast<refusal_reason>(i))
        << "\"} " << Store().refusals[i].load() << "\n";
  }
  for (std::size_t i = 0; i < kRetryReasonCount; ++i) {
    out << "radishroute_retries_total{reason=\"" << ToString(static_cast<retry_reason>(i)) << "\"} "
        << Store().retries[i].load() << "\n";
  }
  for (std::size_t i = 1; i < kResponseFaultCount; ++i) {
    out << "radishroute_broken_responses_total{fault=\"" << ToString(static_cast<response_fault>(i))
        << "\"} " << Store().broken_responses[i].load() << "\n";
  }
  std::lock_guard lock(Store().latency_mutex);
  for (std::size_t i = 0; i < kLatencyMetricCount; ++i) {
    RenderLatency(out, static_cast<latency_metric>(i));
  }
  return out.str();
}

}  // namespace radishroute
