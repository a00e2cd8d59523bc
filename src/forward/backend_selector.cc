#include "radishroute/forward/backend_selector.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace radishroute {

namespace {

// Half-life of the reported load of other processes: about the mean duration of a stream, after
// which half of the reported requests have ended and new ones have arrived.
constexpr std::chrono::duration<double> kLoadHalfLife{0.8};

// Time for which a report of the leader is taken as the total load.
constexpr std::chrono::milliseconds kMaxReportAge{1000};

// Added to the score of a backend server in another availability zone. The latency between zones is
// below the duration of an engine's step, so the zone only decides between nearly equal loads.
constexpr double kRemoteZonePenalty = 0.5;

// A backend server that was unreachable or lost its connection is avoided for the initial time,
// which doubles with each further failure, up to the maximum.
constexpr std::chrono::milliseconds kInitialAvoidance{250};
constexpr std::chrono::milliseconds kMaxAvoidance{4000};

// Consecutive error responses after which a backend server is avoided; single errors are
// attributed to the request.
constexpr std::uint32_t kErrorsBeforeAvoidance = 3;

// Load added to an avoided backend server, so that it is used only if all others are full.
constexpr double kAvoidedPenalty = 1000;

// Maximum random load added to break ties between backend servers; less than one request.
constexpr double kMaxJitter = 0.25;

// Number of randomly sampled backend servers to select from. All entries see the same reports, so
// without sampling they would all select the same backend server until the next report.
constexpr std::size_t kSampleSize = 4;

// Draws for one sample before all backend servers are looked at instead.
constexpr std::size_t kMaxDraws = 4 * kSampleSize;

std::chrono::milliseconds AvoidanceTime(std::uint32_t failures) {
  auto doubled = kInitialAvoidance * (1U << std::min(failures, 8U)) / 2;
  return std::min<std::chrono::milliseconds>(doubled, kMaxAvoidance);
}

}  // namespace

bool IsEligible(const selection_query& query, const std::string& backend, steady_time now) {
  auto tried = std::find(query.excluded.begin(), query.excluded.end(), backend);
  if (tried != query.excluded.end() || query.withheld.Contains(backend, now)) return false;
  return query.cold == nullptr || query.cold->MaySend(backend, now);
}

void least_loaded_selector::OnTable(const routing_table& table, const std::string& zone) {
  pools_.clear();
  by_address_.clear();
  for (auto& [id, state] : backends_) state.listed = false;
  for (const auto& [service, pool] : table.pools) {
    for (const auto* indexes : {&pool.local, &pool.remote}) {
      for (std::uint32_t index : *indexes) {
        const announcement& record = table.backends[index];
        auto [it, first] = backends_.try_emplace(record.backend);
        backend_state& state = it->second;
        // An engine that restarted under the same id has none of the requests sent to it before.
        if (!first && state.address != record.traffic_address) state = {};
        state.id = record.backend;
        state.address = record.traffic_address;
        state.slots = std::max(record.concurrency_limit, 1U);
        state.local = record.zone == zone;
        state.listed = true;
        pools_[service].push_back(&state);
        by_address_.emplace(state.address, &state);
      }
    }
  }
  std::erase_if(backends_,
                [](const auto& item) { return !item.second.listed && item.second.in_flight == 0; });
}

double least_loaded_selector::ExpectedLoad(const backend_state& b, steady_time now) {
  if (b.report_is_total && now - b.reported_at <= kMaxReportAge) return b.reported + b.unreported;
  double age = std::chrono::duration<double>(now - b.reported_at) / kLoadHalfLife;
  return b.in_flight + b.reported * std::exp2(-std::max(age, 0.0));
}

bool least_loaded_selector::MayGet(const selection_query& query, const backend_state& b,
                                   steady_time now) {
  bool has_connection = query.max_in_flight == 0 || b.in_flight < query.max_in_flight;
  bool is_down = b.group_down && now - b.reported_at <= kMaxReportAge;
  return has_connection && !is_down && IsEligible(query, b.id, now);
}

double least_loaded_selector::Score(const backend_state& b, steady_time now,
                                    random_source& random) {
  double score =
      ExpectedLoad(b, now) + std::uniform_real_distribution<double>(0, kMaxJitter)(random);
  if (!b.local) score += kRemoteZonePenalty;
  if (b.avoid_until > now) score += kAvoidedPenalty;
  return score;
}

const backend_state* least_loaded_selector::LeastLoaded(const candidate_list& candidates,
                                                        steady_time now, random_source& random) {
  const backend_state* best = nullptr;
  double best_score = 0;
  for (const backend_state* candidate : candidates) {
    double score = Score(*candidate, now, random);
    if (best == nullptr || score < best_score) {
      best = candidate;
      best_score = score;
    }
  }
  return best;
}

auto least_loaded_selector::Sample(const candidate_list& from, const selection_query& query,
                                   steady_time now, random_source& random) -> candidate_list {
  candidate_list sampled;
  std::uniform_int_distribution<std::size_t> draw(0, from.size() - 1);
  for (std::size_t i = 0; i < kMaxDraws && sampled.size() < kSampleSize; ++i) {
    const backend_state* candidate = from[draw(random)];
    bool drawn = std::find(sampled.begin(), sampled.end(), candidate) != sampled.end();
    if (!drawn && MayGet(query, *candidate, now)) sampled.push_back(candidate);
  }
  return sampled;
}

std::optional<selected_backend> least_loaded_selector::Choose(const selection_query& query,
                                                              steady_time now,
                                                              random_source& random) const {
  auto found = pools_.find(query.service);
  if (found == pools_.end() || found->second.empty()) return std::nullopt;
  const candidate_list& all = found->second;
  const backend_state* best = nullptr;
  if (all.size() > kSampleSize) best = LeastLoaded(Sample(all, query, now, random), now, random);
  // If all sampled backend servers are full, others may still have free slots.
  bool has_room =
      best != nullptr && ExpectedLoad(*best, now) < best->slots && best->avoid_until <= now;
  if (!has_room) {
    candidate_list eligible;
    std::copy_if(all.begin(), all.end(), std::back_inserter(eligible),
                 [&](const backend_state* b) { return MayGet(query, *b, now); });
    best = LeastLoaded(eligible, now, random);
  }
  if (best == nullptr) return std::nullopt;
  return selected_backend{best->id, best->address, ExpectedLoad(*best, now) + 1, best->slots};
}

void least_loaded_selector::OnFleetLoad(const fleet_load& fleet, steady_time now) {
  for (const fleet_engine_load& engine : fleet.engines) {
    auto [first, last] = by_address_.equal_range(engine.address);
    for (auto it = first; it != last; ++it) {
      backend_state& state = *it->second;
      state.reported = engine.running + engine.waiting;
      state.reported_at = now;
      state.report_is_total = true;
      state.group_down = !fleet.open;
      // Requests sent since the previous report may be in transit, or too recent for this report.
      state.unreported = std::exchange(state.sent_since_report, 0);
    }
  }
}

void least_loaded_selector::OnSent(const std::string& backend, steady_time) {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return;
  ++it->second.in_flight;
  ++it->second.unreported;
  ++it->second.sent_since_report;
}

void least_loaded_selector::OnLoad(const std::string& backend, const reported_load& load,
                                   steady_time now) {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return;
  if (it->second.report_is_total && now - it->second.reported_at <= kMaxReportAge) return;
  it->second.report_is_total = false;
  double total = load.running + load.waiting;
  it->second.reported = std::max(0.0, total - it->second.in_flight);
  it->second.reported_at = now;
}

void least_loaded_selector::OnDone(const std::string& backend, attempt_result result,
                                   steady_time now) {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return;
  backend_state& state = it->second;
  if (state.in_flight > 0) --state.in_flight;
  switch (result) {
    case attempt_result::kServed:
      state.failures = 0;
      state.avoid_until = {};
      break;
    case attempt_result::kServerError:
      if (++state.failures >= kErrorsBeforeAvoidance) {
        state.avoid_until = now + AvoidanceTime(state.failures - kErrorsBeforeAvoidance + 1);
      }
      break;
    case attempt_result::kConnectionFailed:
      state.avoid_until = now + AvoidanceTime(++state.failures);
      break;
    case attempt_result::kWrongBackend:
      state.avoid_until = now + kMaxAvoidance;
      break;
    case attempt_result::kFull:
      state.reported = std::max<double>(state.reported, state.slots);
      if (!state.report_is_total) state.reported_at = now;
      break;
    case attempt_result::kCancelled:
      break;
  }
}

void round_robin_selector::OnTable(const routing_table& table, const std::string&) {
  pools_.clear();
  for (const auto& [service, service_pool] : table.pools) {
    for (const auto* indexes : {&service_pool.local, &service_pool.remote}) {
      for (std::uint32_t index : *indexes) {
        const announcement& record = table.backends[index];
        pools_[service].backends.push_back(
            {record.backend, record.traffic_address, 0, std::max(record.concurrency_limit, 1U)});
      }
    }
  }
}

std::optional<selected_backend> round_robin_selector::Choose(const selection_query& query,
                                                             steady_time now, random_source&) {
  auto it = pools_.find(query.service);
  if (it == pools_.end()) return std::nullopt;
  pool& p = it->second;
  for (std::size_t i = 0; i < p.backends.size(); ++i) {
    const selected_backend& candidate = p.backends[p.next++ % p.backends.size()];
    if (IsEligible(query, candidate.backend, now)) return candidate;
  }
  return std::nullopt;
}

}  // namespace radishroute
