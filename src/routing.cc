#include "radishroute/routing.h"

#include <algorithm>
#include <bit>
#include <unordered_map>
#include <utility>

namespace radishroute {

namespace {

// Reports arrive with answers. An older report says little about the current load; the reports of
// the slowest known engines lag by 2 s.
constexpr std::chrono::milliseconds kMaxReportAge{2500};

// With 7 entries, reports that lag by 2 s and a utilization of 0.9, 94.5% of interactive work is in
// time with reports alone, and 100% if the estimate from own work has a weight of 3/4.
constexpr double kOwnEstimateWeight = 8;

// Number of reports over which the ratio of all entries' work to own work is averaged.
constexpr double kRatioReports = 64;

// A new server has empty caches and receives its share of the load gradually.
constexpr std::chrono::seconds kSlowStartDuration{10};
constexpr double kSlowStartMinShare = 0.1;

// With this many points, the servers' shares of the ring differ by about a quarter.
constexpr std::size_t kPointsPerServer = 16;
constexpr std::size_t kSlotsPerPoint = 4;

// Slots tried after the preferred one before affinity is ignored.
constexpr std::size_t kAffinityProbes = 3;

bool Contains(std::span<const std::uint32_t> values, std::uint32_t value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

void prefix_ring::Assign(const std::vector<std::uint32_t>& pool, const routing_table& table) {
  std::uint64_t pool_hash = pool.size();
  for (std::uint32_t backend : pool)
    pool_hash = StableHash(table.backends[backend].backend, pool_hash);
  pool_ = pool;
  if (pool_hash == pool_hash_ && !slots_.empty()) return;
  pool_hash_ = pool_hash;
  slots_.clear();
  if (pool.empty()) return;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> points;
  points.reserve(pool.size() * kPointsPerServer);
  for (std::uint32_t i = 0; i < pool.size(); ++i) {
    for (std::size_t p = 0; p < kPointsPerServer; ++p) {
      points.emplace_back(StableHash(table.backends[pool[i]].backend, p + 1), i);
    }
  }
  std::sort(points.begin(), points.end());
  std::size_t count = std::bit_ceil(points.size() * kSlotsPerPoint);
  shift_ = 64U - static_cast<unsigned>(std::countr_zero(count));
  slots_.resize(count);
  std::size_t next = 0;
  for (std::size_t s = 0; s < count; ++s) {
    while (next < points.size() && points[next].first < (std::uint64_t{s} << shift_)) ++next;
    slots_[s] = points[next % points.size()].second;
  }
}

std::optional<std::uint32_t> prefix_ring::Lookup(std::uint64_t hash, std::size_t probe) const {
  if (slots_.empty()) return std::nullopt;
  // Each probe selects an unrelated slot, since adjacent slots mostly belong to the same server.
  std::uint64_t mixed = (hash + probe) * 0x9E3779B97F4A7C15ULL;
  mixed ^= mixed >> 32;
  mixed *= 0x9E3779B97F4A7C15ULL;
  return pool_[slots_[mixed >> shift_]];
}

template <routing_parameters kParams>
void two_choice_router<kParams>::OnTable(const routing_table& table) {
  std::unordered_map<std::string_view, std::size_t> old_index;
  std::vector<backend_load> old = std::move(backends_);
  for (std::size_t i = 0; i < old.size(); ++i) old_index[old[i].name] = i;
  backends_.clear();
  backends_.reserve(table.backends.size());
  for (const announcement& record : table.backends) {
    backend_load next;
    next.name = record.backend;
    next.incarnation = record.incarnation;
    next.limit = std::max(record.concurrency_limit, 1U);
    if (has_table_) next.first_seen = latest_time_;
    auto it = old_index.find(record.backend);
    if (it != old_index.end()) {
      const backend_load& before = old[it->second];
      next.in_flight = before.in_flight;
      if (before.incarnation == record.incarnation) {
        next.reported_work = before.reported_work;
        next.reported_at = before.reported_at;
        next.first_seen = before.first_seen;
      }
    }
    backends_.push_back(std::move(next));
  }
  has_table_ = has_table_ || !table.backends.empty();
  std::erase_if(rings_, [&](const auto& ring) { return !table.pools.contains(ring.first); });
  for (const auto& [model, pool] : table.pools) rings_[model].Assign(pool.local, table);
}

template <routing_parameters kParams>
std::optional<std::uint32_t> two_choice_router<kParams>::Sample(
    const std::vector<std::uint32_t>& pool, std::span<const std::uint32_t> excluded,
    std::optional<std::uint32_t> first_choice, random_source& random) const {
  if (pool.empty()) return std::nullopt;
  std::size_t start = random() % pool.size();
  // At most excluded.size() + 1 servers are skipped: the excluded ones and the first choice. So
  // one more step always finds an eligible server, unless the pool has none.
  for (std::size_t i = 0; i <= excluded.size() + 1 && i < pool.size(); ++i) {
    std::uint32_t backend = pool[(start + i) % pool.size()];
    if (backend != first_choice && !Contains(excluded, backend)) return backend;
  }
  return std::nullopt;
}

template <routing_parameters kParams>
bool two_choice_router<kParams>::HasFreshReport(std::uint32_t backend, steady_time now) const {
  const auto& reported_at = backends_[backend].reported_at;
  return reported_at && now - *reported_at <= kMaxReportAge;
}

template <routing_parameters kParams>
double two_choice_router<kParams>::EstimateLoad(std::uint32_t backend, bool use_report,
                                                steady_time now) const {
  const backend_load& server = backends_[backend];
  // Own work is known exactly but is a small sample; reports count all entries' work but lag. The
  // more entries share servers, the coarser the estimate from own work and the lower its weight.
  double work = server.in_flight * total_to_own_ratio_;
  if (use_report) {
    double weight = kOwnEstimateWeight / (kOwnEstimateWeight + total_to_own_ratio_);
    work = weight * work + (1 - weight) * static_cast<double>(server.reported_work);
  }
  double load = work / server.limit;
  if (server.first_seen && now - *server.first_seen < kSlowStartDuration) {
    double share = std::chrono::duration<double>(now - *server.first_seen) / kSlowStartDuration;
    load = (work + 1) / server.limit / std::max(share, kSlowStartMinShare);
  }
  return load;
}

template <routing_parameters kParams>
std::optional<typename two_choice_router<kParams>::candidate>
two_choice_router<kParams>::ChooseByPrefix(const prefix_ring& ring, const route_query& query,
                                           double bound, bool use_reports, steady_time now) const {
  for (std::size_t probe = 0; probe < kAffinityProbes; ++probe) {
    auto backend = ring.Lookup(query.prefix_hash, probe);
    if (!backend || Contains(query.excluded, *backend)) continue;
    double load = EstimateLoad(*backend, use_reports && HasFreshReport(*backend, now), now);
    if (load <= bound + 1.0 / backends_[*backend].limit) return candidate{*backend, load};
  }
  return std::nullopt;
}

template <routing_parameters kParams>
std::optional<typename two_choice_router<kParams>::candidate> two_choice_router<kParams>::ChooseIn(
    const std::vector<std::uint32_t>& pool, const prefix_ring* ring, const route_query& query,
    steady_time now, random_source& random) const {
  auto first_backend = Sample(pool, query.excluded, std::nullopt, random);
  if (!first_backend) return std::nullopt;
  auto second_backend = Sample(pool, query.excluded, first_backend, random);
  if (!second_backend) second_backend = first_backend;
  // Without a fresh report, a server would look idle next to one with a report, and every entry
  // would send to it. So reports are used only if both servers have fresh ones.
  bool use_reports = HasFreshReport(*first_backend, now) && HasFreshReport(*second_backend, now);
  candidate first{*first_backend, EstimateLoad(*first_backend, use_reports, now)};
  candidate second{*second_backend, EstimateLoad(*second_backend, use_reports, now)};
  if (ring != nullptr && query.prefix_hash != 0) {
    double bound = (first.load + second.load) / 2 * kParams.affinity_percent / 100;
    if (auto preferred = ChooseByPrefix(*ring, query, bound, use_reports, now)) return preferred;
  }
  return second.load < first.load ? second : first;
}

template <routing_parameters kParams>
std::optional<std::uint32_t> two_choice_router<kParams>::Choose(const routing_table& table,
                                                                const route_query& query,
                                                                steady_time now,
                                                                random_source& random) {
  latest_time_ = now;
  auto it = table.pools.find(query.model);
  if (it == table.pools.end() || backends_.size() != table.backends.size()) return std::nullopt;
  auto ring = rings_.find(query.model);
  auto local = ChooseIn(it->second.local, ring == rings_.end() ? nullptr : &ring->second, query,
                        now, random);
  if (local && local->load * 100 < kParams.spill_percent) return local->backend;
  auto remote = ChooseIn(it->second.remote, nullptr, query, now, random);
  if (!local) return remote ? std::optional(remote->backend) : std::nullopt;
  // The difference must exceed one slot; otherwise entries of two loaded zones exchange their work.
  double margin = 1.0 / backends_[local->backend].limit;
  return remote && remote->load + margin < local->load ? remote->backend : local->backend;
}

template <routing_parameters kParams>
void two_choice_router<kParams>::OnSent(std::uint32_t backend) {
  if (backend >= backends_.size()) return;
  ++backends_[backend].in_flight;
  ++backends_[backend].reported_work;
}

template <routing_parameters kParams>
void two_choice_router<kParams>::OnDone(std::uint32_t backend) {
  // The index of a server that has left the table is out of range; its work is no longer counted.
  if (backend >= backends_.size()) return;
  backend_load& server = backends_[backend];
  if (server.in_flight > 0) --server.in_flight;
  if (server.reported_work > 0) --server.reported_work;
}

template <routing_parameters kParams>
void two_choice_router<kParams>::OnLoad(std::uint32_t backend, const load_report& load,
                                        steady_time now) {
  latest_time_ = now;
  if (backend >= backends_.size()) return;
  backend_load& server = backends_[backend];
  own_sum_ += server.in_flight - own_sum_ / kRatioReports;
  total_sum_ += load.running + load.queued - total_sum_ / kRatioReports;
  if (own_sum_ > 0) total_to_own_ratio_ = std::max(total_sum_ / own_sum_, 1.0);
  // The added 1 is subtracted by OnDone, which the entry calls for the answer that carried the
  // report. Work in transit to the server is not yet counted in the report.
  server.reported_work = std::int64_t{load.running} + load.queued + 1;
  server.reported_at = now;
  if (load.limit > 0) server.limit = load.limit;
}

template class two_choice_router<kBalancedRouting>;
template class two_choice_router<kUrgentRouting>;

}  // namespace radishroute
