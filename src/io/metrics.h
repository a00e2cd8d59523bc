#ifndef RADISHROUTE_IO_METRICS_H_
#define RADISHROUTE_IO_METRICS_H_

#include <chrono>
#include <cstdint>
#include <string>

#include "radishroute/error.h"
#include "radishroute/log_event.h"
#include "radishroute/metric.h"
#include "radishroute/types.h"

namespace radishroute {

/// Adds to a process-wide counter. Callable from any thread, as are the others.
void CountMetric(counter which, std::uint64_t by = 1);
void CountRefusal(refusal_reason reason);
void CountRetry(retry_reason reason);
void CountBrokenResponse(response_fault fault);
void ObserveLatency(latency_metric which, priority_class cls, std::chrono::microseconds value);

std::uint64_t MetricValue(counter which);
std::uint64_t RefusalValue(refusal_reason reason);
std::uint64_t RetryValue(retry_reason reason);
std::uint64_t BrokenResponseValue(response_fault fault);

/// All metrics in the text exposition format that scrapers read.
std::string RenderMetrics();

/// Writes out what waits for standard output; nothing is logged after it.
void FlushLog();

/// Sends log events to standard output or, if `file` is not empty, to that file.
void ConfigureLogging(const std::string& file, log_level lowest);

/// Writes one structured line: number, name and fields.
void WriteLog(const log_event& event);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_METRICS_H_
