#include "radishroute/forward/cold_backends.h"

#include <algorithm>
#include <random>
#include <utility>

namespace radishroute {

namespace {

// Share of the tolerated rate that all processes together use. The turns of the processes fall at
// random, so the requests of one second vary around the mean; the rest is for that.
constexpr double kUsableShare = 0.8;

// Assumed until the leader has told the number, above that of any planned deployment. A process
// that assumes too few would exceed the rate together with the others.
constexpr std::uint32_t kAssumedProcesses = 600;

}  // namespace

void cold_backends::SetProcesses(std::uint32_t processes) { processes_ = processes; }

std::chrono::nanoseconds cold_backends::Interval(const cold_profile& profile) const {
  double processes = processes_ == 0 ? kAssumedProcesses : processes_;
  std::chrono::duration<double> interval(processes / (kUsableShare * profile.requests_per_second));
  return std::chrono::duration_cast<std::chrono::nanoseconds>(interval);
}

void cold_backends::Mark(state& backend, const cold_profile& profile,
                         std::chrono::milliseconds remaining, steady_time now,
                         random_source& random) const {
  bool was_cold = backend.cold_until > now;
  backend.cold_until = std::max(backend.cold_until, now + remaining);
  if (was_cold) return;
  std::uniform_real_distribution<double> part(0, 1);
  auto wait = Interval(profile) * part(random);
  backend.next_turn = now + std::chrono::duration_cast<steady_time::duration>(wait);
}

std::vector<cold_backend> cold_backends::OnTable(const routing_table& table, steady_time now,
                                                 random_source& random) {
  std::vector<cold_backend> marked;
  string_map<state> listed;
  for (const auto& [service, pool] : table.pools) {
    auto found = profiles_.find(service);
    if (found == profiles_.end() || found->second.requests_per_second <= 0) continue;
    const cold_profile& profile = found->second;
    // The configuration may arrive after the directory; its servers are not new then.
    const std::string& name = service;
    bool is_known = std::any_of(backends_.begin(), backends_.end(),
                                [&](const auto& item) { return item.second.service == name; });
    for (const auto* indexes : {&pool.local, &pool.remote}) {
      for (std::uint32_t index : *indexes) {
        const announcement& record = table.backends[index];
        auto known = backends_.find(record.backend);
        bool is_new = known == backends_.end() || known->second.incarnation != record.incarnation;
        state next = is_new ? state{} : known->second;
        bool changed = is_new || next.sequence != record.sequence;
        next.incarnation = record.incarnation;
        next.sequence = record.sequence;
        next.service = service;
        std::chrono::milliseconds remaining{};
        std::string_view source = "registration";
        if (changed) remaining = record.cold_remaining;
        if (is_new && has_table_ && is_known && remaining < profile.duration) {
          remaining = profile.duration;
          source = "first-listed";
        }
        if (remaining.count() > 0) {
          Mark(next, profile, remaining, now, random);
          marked.push_back({record.backend, remaining, source});
        }
        listed.emplace(record.backend, std::move(next));
      }
    }
  }
  backends_ = std::move(listed);
  has_table_ = has_table_ || !table.backends.empty();
  return marked;
}

std::vector<cold_backend> cold_backends::OnZoneReturned(std::string_view zone,
                                                        const routing_table& table, steady_time now,
                                                        random_source& random) {
  std::vector<cold_backend> marked;
  for (const announcement& record : table.backends) {
    auto it = backends_.find(record.backend);
    if (record.zone != zone || it == backends_.end()) continue;
    // A configuration that has arrived since the last table may have ended the cold phase.
    auto profile = profiles_.find(it->second.service);
    if (profile == profiles_.end()) continue;
    Mark(it->second, profile->second, profile->second.duration, now, random);
    marked.push_back({record.backend, profile->second.duration, "evacuation-ended"});
  }
  return marked;
}

bool cold_backends::MaySend(std::string_view backend, steady_time now) const {
  if (backends_.empty()) return true;
  auto it = backends_.find(backend);
  if (it == backends_.end() || it->second.cold_until <= now) return true;
  return it->second.next_turn <= now;
}

void cold_backends::OnSent(std::string_view backend, steady_time now) {
  auto it = backends_.find(backend);
  if (it == backends_.end() || it->second.cold_until <= now) return;
  auto profile = profiles_.find(it->second.service);
  if (profile == profiles_.end() || profile->second.requests_per_second <= 0) return;
  it->second.next_turn = now + Interval(profile->second);
}

std::optional<steady_time> cold_backends::NextTurn(std::string_view service,
                                                   steady_time now) const {
  std::optional<steady_time> earliest;
  for (const auto& [backend, s] : backends_) {
    if (s.service != service || s.cold_until <= now) continue;
    steady_time turn = std::min(s.next_turn, s.cold_until);
    earliest = std::min(earliest.value_or(turn), turn);
  }
  return earliest;
}

}  // namespace radishroute
