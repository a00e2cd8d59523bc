#include "radishroute/metric.h"

#include <array>

namespace radishroute {

std::string_view ToString(counter c) {
  constexpr std::array<std::string_view, kCounterCount> kNames = {"requests_received",
                                                                  "answers_completed",
                                                                  "answers_in_time",
                                                                  "answers_aborted",
                                                                  "callers_hung_up",
                                                                  "stale_chunks_dropped",
                                                                  "duplicate_dispatches",
                                                                  "dispatches_sent",
                                                                  "dispatches_cancelled",
                                                                  "links_opened",
                                                                  "links_closed",
                                                                  "frames_rejected",
                                                                  "links_unauthorized",
                                                                  "event_queue_full",
                                                                  "links_silent",
                                                                  "links_replaced",
                                                                  "idle_links_closed",
                                                                  "heartbeats_sent",
                                                                  "link_bytes_sent",
                                                                  "link_bytes_received",
                                                                  "answer_gaps",
                                                                  "answer_bytes_forgotten",
                                                                  "engine_crashes",
                                                                  "engine_stalls",
                                                                  "storage_failures",
                                                                  "crash_charges",
                                                                  "suspects_cleared",
                                                                  "directory_deltas_sent",
                                                                  "directory_pulls",
                                                                  "directory_records_expired",
                                                                  "slow_callers_cut",
                                                                  "slow_senders_cut",
                                                                  "claims_submitted",
                                                                  "claims_held",
                                                                  "outcomes_stored",
                                                                  "outcomes_not_stored",
                                                                  "stored_answers_served",
                                                                  "dispatches_resolved",
                                                                  "retries_over_budget",
                                                                  "orders_sent",
                                                                  "orders_done",
                                                                  "orders_failed",
                                                                  "orders_retried",
                                                                  "orders_refused_stale",
                                                                  "steps_granted",
                                                                  "placements_planned",
                                                                  "placements_not_worth",
                                                                  "maps_activated",
                                                                  "map_bytes_moved",
                                                                  "rank_reports_refused",
                                                                  "rank_calls_failed",
                                                                  "registrations_rejected",
                                                                  "evacuations_committed",
                                                                  "cold_backends_skipped",
                                                                  "requests_queued",
                                                                  "queued_requests_sent",
                                                                  "queued_requests_refused",
                                                                  "fleet_loads_outdated",
                                                                  "connections_evicted",
                                                                  "requests_over_budget",
                                                                  "capacity_changes",
                                                                  "config_entries_late"};
  return kNames[static_cast<std::size_t>(c)];
}

std::string_view ToString(latency_metric m) {
  constexpr std::array<std::string_view, kLatencyMetricCount> kNames = {"first_byte", "answer",
                                                                        "queue_wait"};
  return kNames[static_cast<std::size_t>(m)];
}

}  // namespace radishroute
