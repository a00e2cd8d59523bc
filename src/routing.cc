#include "radishroute/routing.h"

#include <algorithm>
#include <bit>
#include <unordered_map>
#include <utility>

namespace radishroute {

namespace {

// Reports arrive with answers. One that is older than this says little about the server now; the
// lag of the slowest known engines is 2 s.
constexpr std::chrono::milliseconds kReportLifetime{2500};

// With 7 entries and reports that lag 2 s, interactive work in time at 0.9 of capacity is 94.5% by
// reports alone and 100% when the estimate from own work has three quarters of the weight.
constexpr double kOwnEstimateWeight = 8;

// Reports over which the ratio of all entries' work to own work is averaged.
constexpr double kRatioReports = 64;

// A server that has just come up has empty caches and gets its part of the load gradually.
constexpr std::chrono::seconds kSlowStart{10};
constexpr double kSlowStartFirst = 0.1;

// Enough points that the parts of the ring differ by about a quarter between servers.
constexpr std::size_t kPointsPerServer = 16;
constexpr std::size_t kSlotsPerPoint = 4;

// Slots tried after the preferred one before affinity is given up.
constexpr std::size_t kAffinitySteps = 3;

bool Contains(std::span<const std::uint32_t> values, std::uint32_t value) {
  return std::find(values.begin(), values.end(), value) != values.end();
}

}  // namespace

void prefix_ring::Assign(const std::vector<std::uint32_t>& members, const routing_table& table) {
  std::uint64_t names = members.size();
  for (std::uint32_t m : members) names = StableHash(table.backends[m].backend, names);
  members_ = members;
  if (names == names_ && !slots_.empty()) return;
  names_ = names;
  slots_.clear();
  if (members.empty()) return;
  std::vector<std::pair<std::uint64_t, std::uint32_t>> points;
  points.reserve(members.size() * kPointsPerServer);
  for (std::uint32_t i = 0; i < members.size(); ++i) {
    for (std::size_t p = 0; p < kPointsPerServer; ++p) {
      points.emplace_back(StableHash(table.backends[members[i]].backend, p + 1), i);
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

std::optional<std::uint32_t> prefix_ring::At(std::uint64_t hash, std::size_t step) const {
  if (slots_.empty()) return std::nullopt;
  // Steps jump to unrelated slots: neighbours mostly belong to the same server.
  std::uint64_t mixed = (hash + step) * 0x9E3779B97F4A7C15ULL;
  mixed ^= mixed >> 32;
  mixed *= 0x9E3779B97F4A7C15ULL;
  return members_[slots_[mixed >> shift_]];
}

template <routing_rules kRules>
void two_choice_router<kRules>::OnTable(const routing_table& table) {
  std::unordered_map<std::string_view, std::size_t> known;
  std::vector<backend_load> old = std::move(backends_);
  for (std::size_t i = 0; i < old.size(); ++i) known[old[i].name] = i;
  backends_.clear();
  backends_.reserve(table.backends.size());
  for (const announcement& record : table.backends) {
    backend_load next;
    next.name = record.backend;
    next.incarnation = record.incarnation;
    next.limit = std::max(record.concurrency_limit, 1U);
    if (has_table_) next.up_since = latest_;
    auto it = known.find(record.backend);
    if (it != known.end()) {
      const backend_load& before = old[it->second];
      next.in_flight = before.in_flight;
      if (before.incarnation == record.incarnation) {
        next.reported = before.reported;
        next.reported_at = before.reported_at;
        next.up_since = before.up_since;
      }
    }
    backends_.push_back(std::move(next));
  }
  has_table_ = has_table_ || !table.backends.empty();
  std::erase_if(rings_, [&](const auto& ring) { return !table.pools.contains(ring.first); });
  for (const auto& [model, pool] : table.pools) rings_[model].Assign(pool.local, table);
}

template <routing_rules kRules>
std::optional<std::uint32_t> two_choice_router<kRules>::Sample(
    const std::vector<std::uint32_t>& pool, std::span<const std::uint32_t> excluded,
    std::optional<std::uint32_t> taken, random_source& random) const {
  if (pool.empty()) return std::nullopt;
  std::size_t at = random() % pool.size();
  // At most the excluded servers and the taken one lie in a row after the sampled one.
  for (std::size_t i = 0; i <= excluded.size() + 1 && i < pool.size(); ++i) {
    std::uint32_t backend = pool[(at + i) % pool.size()];
    if (backend != taken && !Contains(excluded, backend)) return backend;
  }
  return std::nullopt;
}

template <routing_rules kRules>
bool two_choice_router<kRules>::Fresh(std::uint32_t backend, steady_time now) const {
  const auto& at = backends_[backend].reported_at;
  return at && now - *at <= kReportLifetime;
}

template <routing_rules kRules>
double two_choice_router<kRules>::Load(std::uint32_t backend, bool use_report,
                                       steady_time now) const {
  const backend_load& b = backends_[backend];
  // Own work is current but small in number; reports count all entries' work but lag. The more
  // entries share the servers, the coarser the estimate from own work and the smaller its weight.
  double work = b.in_flight * total_per_own_;
  if (use_report) {
    double weight = kOwnEstimateWeight / (kOwnEstimateWeight + total_per_own_);
    work = weight * work + (1 - weight) * static_cast<double>(b.reported);
  }
  double load = work / b.limit;
  if (b.up_since && now - *b.up_since < kSlowStart) {
    double part = std::chrono::duration<double>(now - *b.up_since) / kSlowStart;
    load = (work + 1) / b.limit / std::max(part, kSlowStartFirst);
  }
  return load;
}

template <routing_rules kRules>
std::optional<typename two_choice_router<kRules>::candidate> two_choice_router<kRules>::Preferred(
    const prefix_ring& ring, const route_query& query, double bound, bool use_reports,
    steady_time now) const {
  for (std::size_t step = 0; step < kAffinitySteps; ++step) {
    auto backend = ring.At(query.prefix_hash, step);
    if (!backend || Contains(query.excluded, *backend)) continue;
    double load = Load(*backend, use_reports && Fresh(*backend, now), now);
    if (load <= bound + 1.0 / backends_[*backend].limit) return candidate{*backend, load};
  }
  return std::nullopt;
}

template <routing_rules kRules>
std::optional<typename two_choice_router<kRules>::candidate> two_choice_router<kRules>::ChooseIn(
    const std::vector<std::uint32_t>& pool, const prefix_ring* ring, const route_query& query,
    steady_time now, random_source& random) const {
  auto a = Sample(pool, query.excluded, std::nullopt, random);
  if (!a) return std::nullopt;
  auto b = Sample(pool, query.excluded, a, random);
  if (!b) b = a;
  // A server without a fresh report would look idle next to one with a report, and every entry
  // would send to it; then only the own work in flight is compared.
  bool use_reports = Fresh(*a, now) && Fresh(*b, now);
  candidate first{*a, Load(*a, use_reports, now)};
  candidate second{*b, Load(*b, use_reports, now)};
  if (ring != nullptr && query.prefix_hash != 0) {
    double bound = (first.load + second.load) / 2 * kRules.affinity_percent / 100;
    if (auto preferred = Preferred(*ring, query, bound, use_reports, now)) return preferred;
  }
  return second.load < first.load ? second : first;
}

template <routing_rules kRules>
std::optional<std::uint32_t> two_choice_router<kRules>::Choose(const routing_table& table,
                                                               const route_query& query,
                                                               steady_time now,
                                                               random_source& random) {
  latest_ = now;
  auto it = table.pools.find(query.model);
  if (it == table.pools.end() || backends_.size() != table.backends.size()) return std::nullopt;
  auto ring = rings_.find(query.model);
  auto local = ChooseIn(it->second.local, ring == rings_.end() ? nullptr : &ring->second, query,
                        now, random);
  if (local && local->load * 100 < kRules.spill_percent) return local->backend;
  auto remote = ChooseIn(it->second.remote, nullptr, query, now, random);
  if (!local) return remote ? std::optional(remote->backend) : std::nullopt;
  // The difference must be worth a slot, or entries of two loaded zones exchange their work.
  double margin = 1.0 / backends_[local->backend].limit;
  return remote && remote->load + margin < local->load ? remote->backend : local->backend;
}

template <routing_rules kRules>
void two_choice_router<kRules>::OnSent(std::uint32_t backend) {
  if (backend >= backends_.size()) return;
  ++backends_[backend].in_flight;
  ++backends_[backend].reported;
}

template <routing_rules kRules>
void two_choice_router<kRules>::OnDone(std::uint32_t backend) {
  // The index of a server that left the table is out of range; its work is no longer counted.
  if (backend >= backends_.size()) return;
  backend_load& b = backends_[backend];
  if (b.in_flight > 0) --b.in_flight;
  if (b.reported > 0) --b.reported;
}

template <routing_rules kRules>
void two_choice_router<kRules>::OnLoad(std::uint32_t backend, const load_report& load,
                                       steady_time now) {
  latest_ = now;
  if (backend >= backends_.size()) return;
  backend_load& b = backends_[backend];
  own_sum_ += b.in_flight - own_sum_ / kRatioReports;
  total_sum_ += load.running + load.queued - total_sum_ / kRatioReports;
  if (own_sum_ > 0) total_per_own_ = std::max(total_sum_ / own_sum_, 1.0);
  // The report still lacks what is under way to the server, and the entry calls OnDone for the
  // answer that carried it.
  b.reported = std::int64_t{load.running} + load.queued + 1;
  b.reported_at = now;
  if (load.limit > 0) b.limit = load.limit;
}

template class two_choice_router<kBalancedRouting>;
template class two_choice_router<kUrgentRouting>;

}  // namespace radishroute
