#include "radishroute/forward/backend_selector.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <utility>

namespace radishroute {

namespace {

// Half-life of what a response told of other processes' requests: about the mean duration of a
// stream, after which half of them have ended and others have come.
constexpr std::chrono::duration<double> kLoadHalfLife{0.8};

// A report of the leader stands for the whole load this long.
constexpr std::chrono::milliseconds kReportUsable{1000};

// Requests that a backend server in another zone must be ahead by. A crossing costs less than a
// step of an engine, so distance only decides between nearly equal loads.
constexpr double kRemoteZonePenalty = 0.5;

// A backend server that broke off or could not be reached is avoided for this time, and twice as
// long after each further failure, up to the longest.
constexpr std::chrono::milliseconds kFirstAvoidance{250};
constexpr std::chrono::milliseconds kLongestAvoidance{4000};

// Failures by error in a row before a backend server is avoided; single errors are the request's.
constexpr std::uint32_t kErrorsBeforeAvoidance = 3;

// Load added to a backend server that is avoided: it is used only if all others are full.
constexpr double kAvoidedPenalty = 1000;

// Spread between backend servers of equal load, below the effect of one request.
constexpr double kTieBreak = 0.25;

// All entries see the same reports, so that each would choose the same backend server until the
// next one. Each chooses from a sample of its own instead.
constexpr std::size_t kSampled = 4;

struct candidate {
  double score = 0;
  const backend_view* view = nullptr;
};

const candidate& LeastOf(const std::vector<candidate>& candidates) {
  return *std::min_element(
      candidates.begin(), candidates.end(),
      [](const candidate& a, const candidate& b) { return a.score < b.score; });
}

std::chrono::milliseconds Avoidance(std::uint32_t failures) {
  auto doubled = kFirstAvoidance * (1U << std::min(failures, 8U)) / 2;
  return std::min<std::chrono::milliseconds>(doubled, kLongestAvoidance);
}

}  // namespace

void least_loaded_selector::OnTable(const routing_table& table, const std::string& zone) {
  pools_.clear();
  for (auto& [id, view] : backends_) view.listed = false;
  for (const auto& [service, pool] : table.pools) {
    for (const auto* indexes : {&pool.local, &pool.remote}) {
      for (std::uint32_t index : *indexes) {
        const announcement& record = table.backends[index];
        auto [it, first] = backends_.try_emplace(record.backend);
        backend_view& view = it->second;
        // An engine that started again under its id holds nothing of what was sent before.
        if (!first && view.address != record.traffic_address) view = {};
        view.id = record.backend;
        view.address = record.traffic_address;
        view.slots = std::max(record.concurrency_limit, 1U);
        view.local = record.zone == zone;
        view.listed = true;
        pools_[service].push_back(record.backend);
      }
    }
  }
  std::erase_if(backends_,
                [](const auto& item) { return !item.second.listed && item.second.in_flight == 0; });
}

double least_loaded_selector::ExpectedLoad(const backend_view& b, steady_time now) {
  if (b.reported_whole && now - b.others_at <= kReportUsable) return b.others + b.unreported;
  double age = std::chrono::duration<double>(now - b.others_at) / kLoadHalfLife;
  return b.in_flight + b.others * std::exp2(-std::max(age, 0.0));
}

std::optional<selection> least_loaded_selector::Choose(const selection_query& query,
                                                       steady_time now,
                                                       random_source& random) const {
  auto pool = pools_.find(query.service);
  if (pool == pools_.end()) return std::nullopt;
  std::uniform_real_distribution<double> tie(0, kTieBreak);
  std::vector<candidate> candidates;
  for (const std::string& id : pool->second) {
    if (std::find(query.excluded.begin(), query.excluded.end(), id) != query.excluded.end()) {
      continue;
    }
    const backend_view& b = backends_.find(id)->second;
    double score = ExpectedLoad(b, now) + tie(random);
    if (!b.local) score += kRemoteZonePenalty;
    if (b.avoid_until > now) score += kAvoidedPenalty;
    candidates.push_back({score, &b});
  }
  if (candidates.empty()) return std::nullopt;
  const backend_view* best = LeastOf(candidates).view;
  if (candidates.size() > kSampled) {
    std::vector<candidate> sampled;
    std::sample(candidates.begin(), candidates.end(), std::back_inserter(sampled), kSampled,
                random);
    const backend_view* chosen = LeastOf(sampled).view;
    // A full sample says nothing of the others.
    if (ExpectedLoad(*chosen, now) < chosen->slots && chosen->avoid_until <= now) best = chosen;
  }
  return selection{best->id, best->address, ExpectedLoad(*best, now) + 1, best->slots};
}

void least_loaded_selector::OnFleetLoad(const fleet_load& fleet, steady_time now) {
  for (auto& [id, view] : backends_) {
    const endpoint& address = view.address;
    auto it = std::find_if(fleet.engines.begin(), fleet.engines.end(),
                           [&](const fleet_engine_load& e) { return e.address == address; });
    if (it == fleet.engines.end()) continue;
    view.others = it->running + it->waiting;
    view.others_at = now;
    view.reported_whole = true;
    // What was sent in the last moments is on its way, or too new for the engine's own report.
    view.unreported = std::exchange(view.sent_lately, 0);
  }
}

void least_loaded_selector::OnSent(const std::string& backend, steady_time) {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return;
  ++it->second.in_flight;
  ++it->second.unreported;
  ++it->second.sent_lately;
}

void least_loaded_selector::OnLoad(const std::string& backend, const reported_load& load,
                                   steady_time now) {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return;
  if (it->second.reported_whole && now - it->second.others_at <= kReportUsable) return;
  it->second.reported_whole = false;
  double total = load.running + load.waiting;
  it->second.others = std::max(0.0, total - it->second.in_flight);
  it->second.others_at = now;
}

void least_loaded_selector::OnDone(const std::string& backend, attempt_verdict verdict,
                                   steady_time now) {
  auto it = backends_.find(backend);
  if (it == backends_.end()) return;
  backend_view& b = it->second;
  if (b.in_flight > 0) --b.in_flight;
  switch (verdict) {
    case attempt_verdict::kServed:
      b.failures = 0;
      b.avoid_until = {};
      break;
    case attempt_verdict::kError:
      if (++b.failures >= kErrorsBeforeAvoidance) {
        b.avoid_until = now + Avoidance(b.failures - kErrorsBeforeAvoidance + 1);
      }
      break;
    case attempt_verdict::kBroken:
      b.avoid_until = now + Avoidance(++b.failures);
      break;
    case attempt_verdict::kReplaced:
      b.avoid_until = now + kLongestAvoidance;
      break;
    case attempt_verdict::kFull:
      b.others = std::max<double>(b.others, b.slots);
      if (!b.reported_whole) b.others_at = now;
      break;
    case attempt_verdict::kWithdrawn:
      break;
  }
}

void round_robin_selector::OnTable(const routing_table& table, const std::string&) {
  pools_.clear();
  for (const auto& [service, members] : table.pools) {
    for (const auto* indexes : {&members.local, &members.remote}) {
      for (std::uint32_t index : *indexes) {
        const announcement& record = table.backends[index];
        pools_[service].backends.push_back(
            {record.backend, record.traffic_address, 0, std::max(record.concurrency_limit, 1U)});
      }
    }
  }
}

std::optional<selection> round_robin_selector::Choose(const selection_query& query, steady_time,
                                                      random_source&) {
  auto it = pools_.find(query.service);
  if (it == pools_.end()) return std::nullopt;
  pool& p = it->second;
  for (std::size_t i = 0; i < p.backends.size(); ++i) {
    const selection& candidate = p.backends[p.next++ % p.backends.size()];
    auto tried = std::find(query.excluded.begin(), query.excluded.end(), candidate.backend);
    if (tried == query.excluded.end()) return candidate;
  }
  return std::nullopt;
}

}  // namespace radishroute
