#include "io/metrics.h"

#include <catch2/catch.hpp>

namespace radishroute {

// Guards against an endless loop: Boost 1.74's indexed() over all histogram bins did not terminate.
TEST_CASE("metrics render observed latencies as cumulative buckets") {
  ObserveLatency(latency_metric::kAnswer, priority_class::kBatch, std::chrono::milliseconds(3));
  ObserveLatency(latency_metric::kAnswer, priority_class::kBatch, std::chrono::microseconds(1));
  std::string text = RenderMetrics();
  CHECK(text.find("radishroute_answer_seconds_count{class=\"batch\"} 2") != std::string::npos);
  CHECK(text.find("radishroute_answer_seconds_bucket{class=\"batch\",le=\"+Inf\"} 2") !=
        std::string::npos);
}

}  // namespace radishroute
