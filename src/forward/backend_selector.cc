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

// Load added to an avoided backend server, so that it is used only if all others are full. Above
// the weighted load of a slow server with hundreds of requests.
constexpr double kAvoidedPenalty = 1e6;

// Maximum random load added to break ties between backend servers; less than one request.
constexpr double kMaxJitter = 0.25;

// Number of randomly sampled backend servers to select from. All entries see the same reports, so
// without sampling they would all select the same backend server until the next report.
constexpr std::size_t kSampleSize = 4;

// Draws for one sample before all backend servers are looked at instead.
constexpr std::size_t kMaxDraws = 4 * kSampleSize;

// Reports that the mean load of a service's backend servers is taken from.
constexpr double kServiceLoadReports = 16;

// A learned capacity is reported as changed if it differs by this factor, and at most once in the
// interval per backend server. Per process, this many changes are logged within the interval: a
// hundred servers that change at once need no more lines.
constexpr double kReportedFactor = 1.25;
constexpr std::chrono::milliseconds kReportInterval{1000};
constexpr std::uint32_t kMaxChangesLogged = 10;

capacity_outcome OutcomeOf(attempt_result result) {
  switch (result) {
    case attempt_result::kServed:
      return capacity_outcome::kServed;
    case attempt_result::kFull:
      return capacity_outcome::kRefused;
    case attempt_result::kServerError:
    case attempt_result::kConnectionFailed:
      return capacity_outcome::kFailed;
    case attempt_result::kWrongBackend:
    case attempt_result::kCancelled:
      break;
  }
  return capacity_outcome::kUnfinished;
}

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

template <capacity_policy Capacity>
void basic_least_loaded_selector<Capacity>::OnTable(const routing_table& table,
                                                    const std::string& zone) {
  pools_.clear();
  by_address_.clear();
  for (auto& [id, state] : backends_) state.listed = false;
  for (const auto& [service, pool] : table.pools) {
    for (const auto* indexes : {&pool.local, &pool.remote}) {
      for (std::uint32_t index : *indexes) {
        const announcement& record = table.backends[index];
        auto [it, first] = backends_.try_emplace(record.backend);
        server_state& state = it->second;
        // An engine that restarted under the same id has none of the requests sent to it before.
        if (!first && state.address != record.traffic_address) state = {};
        std::uint32_t slots = std::max(record.concurrency_limit, 1U);
        // What was learned of the previous incarnation says nothing about this one.
        if (state.slots != slots || state.incarnation != record.incarnation || state.id.empty()) {
          state.capacity = Capacity::Start(slots);
          state.changed_at.reset();
        }
        state.incarnation = record.incarnation;
        state.service = service;
        state.service_load = FindServiceLoad(service);
        state.id = record.backend;
        state.address = record.traffic_address;
        state.slots = slots;
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

template <capacity_policy Capacity>
void basic_least_loaded_selector<Capacity>::LearnCapacity(service_set services) {
  std::erase_if(service_loads_, [&](const auto& item) { return !services.contains(item.first); });
  for (const std::string& name : services) service_loads_.try_emplace(name);
  for (auto& [id, state] : backends_) state.service_load = FindServiceLoad(state.service);
}

template <capacity_policy Capacity>
decayed_mean* basic_least_loaded_selector<Capacity>::FindServiceLoad(std::string_view service) {
  auto it = service_loads_.find(service);
  return it == service_loads_.end() ? nullptr : &it->second;
}

template <capacity_policy Capacity>
double basic_least_loaded_selector<Capacity>::Limit(const server_state& b, steady_time now) const {
  return b.service_load != nullptr ? capacity_.Capacity(b.capacity, now).limit : b.slots;
}

template <capacity_policy Capacity>
double basic_least_loaded_selector<Capacity>::ExpectedLoad(const server_state& b,
                                                           steady_time now) const {
  if (b.report_is_total && now - b.reported_at <= kMaxReportAge) return b.reported + b.unreported;
  double age = std::chrono::duration<double>(now - b.reported_at) / kLoadHalfLife;
  double current = std::exp2(-std::max(age, 0.0));
  double others = b.reported * current;
  if (b.service_load != nullptr) {
    // Without this, servers without a recent report would seem to be idle, and with
    // many processes that is true of most.
    double share = std::min(1.0, capacity_.Capacity(b.capacity, now).speed);
    double typical = std::max(0.0, b.service_load->WithPrior(now) * share - b.in_flight);
    others += typical * (1 - current);
  }
  return b.in_flight + others;
}

template <capacity_policy Capacity>
bool basic_least_loaded_selector<Capacity>::MayGet(const selection_query& query,
                                                   const backend_state& b, steady_time now) {
  bool has_connection = query.max_in_flight == 0 || b.in_flight < query.max_in_flight;
  bool is_down = b.group_down && now - b.reported_at <= kMaxReportAge;
  return has_connection && !is_down && IsEligible(query, b.id, now);
}

template <capacity_policy Capacity>
double basic_least_loaded_selector<Capacity>::Score(const server_state& b, steady_time now,
                                                    random_source& random) const {
  double load = ExpectedLoad(b, now);
  if (b.service_load != nullptr) {
    load = WeightedLoad(load, b.slots, capacity_.Capacity(b.capacity, now));
  }
  double score = load + std::uniform_real_distribution<double>(0, kMaxJitter)(random);
  if (!b.local) score += kRemoteZonePenalty;
  if (b.avoid_until > now) score += kAvoidedPenalty;
  return score;
}

template <capacity_policy Capacity>
auto basic_least_loaded_selector<Capacity>::LeastLoaded(const candidate_list& candidates,
                                                        steady_time now,
                                                        random_source& random) const
    -> const server_state* {
  const server_state* best = nullptr;
  double best_score = 0;
  for (const server_state* candidate : candidates) {
    double score = Score(*candidate, now, random);
    if (best == nullptr || score < best_score) {
      best = candidate;
      best_score = score;
    }
  }
  return best;
}

template <capacity_policy Capacity>
auto basic_least_loaded_selector<Capacity>::Sample(const candidate_list& from,
                                                   const selection_query& query, steady_time now,
                                                   random_source& random) -> candidate_list {
  candidate_list sampled;
  std::uniform_int_distribution<std::size_t> draw(0, from.size() - 1);
  for (std::size_t i = 0; i < kMaxDraws && sampled.size() < kSampleSize; ++i) {
    const server_state* candidate = from[draw(random)];
    bool drawn = std::find(sampled.begin(), sampled.end(), candidate) != sampled.end();
    if (!drawn && MayGet(query, *candidate, now)) sampled.push_back(candidate);
  }
  return sampled;
}

template <capacity_policy Capacity>
std::optional<selected_backend> basic_least_loaded_selector<Capacity>::Choose(
    const selection_query& query, steady_time now, random_source& random) const {
  auto found = pools_.find(query.service);
  if (found == pools_.end() || found->second.empty()) return std::nullopt;
  const candidate_list& all = found->second;
  const server_state* best = nullptr;
  if (all.size() > kSampleSize) best = LeastLoaded(Sample(all, query, now, random), now, random);
  // If all sampled backend servers are full, others may still have free slots.
  bool has_room =
      best != nullptr && ExpectedLoad(*best, now) < Limit(*best, now) && best->avoid_until <= now;
  if (!has_room) {
    candidate_list eligible;
    std::copy_if(all.begin(), all.end(), std::back_inserter(eligible),
                 [&](const server_state* b) { return MayGet(query, *b, now); });
    best = LeastLoaded(eligible, now, random);
  }
  if (best == nullptr) return std::nullopt;
  return selected_backend{best->id, best->address, ExpectedLoad(*best, now) + 1,
                          static_cast<std::uint32_t>(Limit(*best, now)), best->incarnation};
}

template <capacity_policy Capacity>
void basic_least_loaded_selector<Capacity>::OnFleetLoad(const fleet_load& fleet, steady_time now) {
  for (const fleet_engine_load& engine : fleet.engines) {
    auto [first, last] = by_address_.equal_range(engine.address);
    for (auto it = first; it != last; ++it) {
      server_state& state = *it->second;
      state.reported = engine.running + engine.waiting;
      state.reported_at = now;
      state.report_is_total = true;
      state.group_down = !fleet.open;
      // Requests sent since the previous report may be in transit, or too recent for this report.
      state.unreported = std::exchange(state.sent_since_report, 0);
    }
  }
}

template <capacity_policy Capacity>
void basic_least_loaded_selector<Capacity>::OnSent(const std::string& backend, steady_time) {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return;
  ++it->second.in_flight;
  ++it->second.unreported;
  ++it->second.sent_since_report;
}

template <capacity_policy Capacity>
void basic_least_loaded_selector<Capacity>::OnLoad(const std::string& backend,
                                                   const reported_load& load, steady_time now) {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return;
  if (it->second.report_is_total && now - it->second.reported_at <= kMaxReportAge) return;
  it->second.report_is_total = false;
  double total = load.running + load.waiting;
  if (it->second.service_load != nullptr) {
    it->second.service_load->Add(total, kServiceLoadReports, now);
  }
  it->second.reported = std::max(0.0, total - it->second.in_flight);
  it->second.reported_at = now;
}

template <capacity_policy Capacity>
std::optional<capacity_change> basic_least_loaded_selector<Capacity>::OnFinished(
    const finished_attempt& finished, steady_time now) {
  auto it = backends_.find(finished.backend);
  if (it == backends_.end() || finished.result == attempt_result::kWrongBackend) return {};
  server_state& state = it->second;
  if (state.service_load == nullptr || state.incarnation != finished.incarnation) return {};
  capacity_sample sample{state.service, finished.route, finished.latency};
  sample.work = state.in_flight;
  sample.work_is_total = finished.load.has_value();
  if (finished.load) {
    sample.work = std::max<double>(sample.work, finished.load->running + finished.load->waiting);
  }
  sample.outcome = OutcomeOf(finished.result);
  return NoteChange(state, capacity_.Observe(state.capacity, sample, now), now);
}

template <capacity_policy Capacity>
std::optional<capacity_change> basic_least_loaded_selector<Capacity>::NoteChange(
    server_state& b, capacity_evidence evidence, steady_time now) {
  server_capacity learned = capacity_.Capacity(b.capacity, now);
  double capacity = learned.limit * learned.speed;
  double before = b.changed_at ? b.reported_capacity : b.slots;
  bool differs = std::max(capacity / before, before / capacity) >= kReportedFactor;
  if (!differs || (b.changed_at && now - *b.changed_at < kReportInterval)) return {};
  auto age = now - b.changed_at.value_or(now);
  b.reported_capacity = capacity;
  b.changed_at = now;
  if (now - changes_since_ >= kReportInterval) {
    changes_since_ = now;
    changes_logged_ = 0;
  }
  return capacity_change{before, capacity, evidence,
                         std::chrono::duration_cast<std::chrono::milliseconds>(age),
                         ++changes_logged_ <= kMaxChangesLogged};
}

template <capacity_policy Capacity>
void basic_least_loaded_selector<Capacity>::OnDone(const std::string& backend,
                                                   attempt_result result, steady_time now) {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return;
  server_state& state = it->second;
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

template class basic_least_loaded_selector<fixed_slots>;
template class basic_least_loaded_selector<gradient_limits>;
template class basic_least_loaded_selector<aimd_limits>;

void round_robin_selector::OnTable(const routing_table& table, const std::string&) {
  pools_.clear();
  for (const auto& [service, service_pool] : table.pools) {
    for (const auto* indexes : {&service_pool.local, &service_pool.remote}) {
      for (std::uint32_t index : *indexes) {
        const announcement& record = table.backends[index];
        pools_[service].backends.push_back({record.backend, record.traffic_address, 0,
                                            std::max(record.concurrency_limit, 1U),
                                            record.incarnation});
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
