#include "radishroute/resource_budget.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace radishroute {

namespace {

constexpr std::size_t kMegabyte = 1000000;

// The longest legal body; each account for bodies takes at least one.
constexpr std::size_t kLongestBody = std::size_t{4} << 20;

// A process without clients used 16 MB in the end-to-end test; the rest is for routes, the
// directory and what the allocator does not give back.
constexpr std::size_t kOwnMemory = 24 * kMegabyte;

// Descriptors for files, links and what libwebsockets opens.
constexpr std::size_t kOwnDescriptors = 200;

// Readiness probes come from a few addresses and end at once.
constexpr std::size_t kProbeConnections = 16;
constexpr std::size_t kProbeBytes = 256 * 1024;

// A client that has sent for a shorter time is not judged: its speed cannot be told yet.
constexpr std::chrono::milliseconds kShortestJudged{500};

// Added to what a connection has received, so that the first packet of a request does not decide.
constexpr double kReceivedOffset = 1024;

// A client that keeps its connection after a request is likelier to send another one than a client
// that never sent any.
constexpr double kUnusedFactor = 8;

// The system closes evicted descriptors only after the current turn of the event loop. So many are
// the most that may be open beyond the limit.
constexpr std::size_t kMaxEvictionsInWindow = 32;
constexpr std::chrono::milliseconds kEvictionWindow{100};

std::size_t Percent(std::size_t of, std::size_t percent) { return of / 100 * percent; }

// Small budgets leave half for clients.
std::size_t ClientMemory(std::size_t total, std::size_t own_percent) {
  return total - std::max(Percent(total, own_percent), std::min(kOwnMemory, total / 2));
}

std::size_t ClientDescriptors(std::size_t total) {
  return total - std::min(kOwnDescriptors, total / 2);
}

std::size_t ForBodies(std::size_t bytes) {
  return std::max(bytes, kLongestBody + kLongestBody / 4);
}

}  // namespace

std::string_view ToString(budget_account account) {
  switch (account) {
    case budget_account::kConnections:
      return "connections";
    case budget_account::kHeads:
      return "heads";
    case budget_account::kBodies:
      return "bodies";
  }
  return "unknown";
}

bool resource_budget::IsLimited() const {
  return std::any_of(limits_.begin(), limits_.end(), [](std::size_t limit) { return limit > 0; });
}

// Seconds that a connection has taken for each byte received, times what it holds.
double resource_budget::Slowness(const holder& h, budget_account account, steady_time now) {
  double seconds = std::chrono::duration<double>(now - h.since).count();
  double held = static_cast<double>(h.held[Index(account)]);
  double slowness = held * seconds / (static_cast<double>(h.received) + kReceivedOffset);
  return h.was_forwarded ? slowness : slowness * kUnusedFactor;
}

bool resource_budget::TakeEviction(steady_time now) {
  if (now - window_start_ >= kEvictionWindow) {
    window_start_ = now;
    window_evictions_ = 0;
  }
  if (window_evictions_ >= kMaxEvictionsInWindow) return false;
  ++window_evictions_;
  return true;
}

budget_decision resource_budget::MakeRoom(connection_number connection, budget_account account,
                                          std::size_t more, steady_time now) {
  std::size_t limit = limits_[Index(account)];
  std::size_t total = totals_[Index(account)];
  if (limit == 0 || total + more <= limit) return {};
  std::vector<std::pair<double, budget_eviction>> candidates;
  for (const auto& [number, h] : holders_) {
    std::size_t held = h.held[Index(account)];
    bool judged = now - h.since >= kShortestJudged;
    if (number == connection || h.forwarded || held == 0 || !judged) continue;
    candidates.push_back({Slowness(h, account, now), {number, held}});
  }
  std::sort(candidates.begin(), candidates.end(),
            [](const auto& a, const auto& b) { return a.first > b.first; });
  budget_decision decision;
  for (const auto& [slowness, eviction] : candidates) {
    if (total + more <= limit) break;
    decision.evicted.push_back(eviction);
    total -= eviction.held;
  }
  bool fits = total + more <= limit;
  if (fits && account == budget_account::kConnections) fits = TakeEviction(now);
  if (!fits) return {false, {}};
  for (const budget_eviction& eviction : decision.evicted) Close(eviction.connection);
  return decision;
}

budget_decision resource_budget::Open(connection_number connection, steady_time now) {
  budget_decision decision = MakeRoom(connection, budget_account::kConnections, 1, now);
  if (!decision.granted) return decision;
  holder& h = holders_[connection];
  h.since = now;
  h.held[Index(budget_account::kConnections)] = 1;
  ++totals_[Index(budget_account::kConnections)];
  return decision;
}

budget_decision resource_budget::Hold(connection_number connection, budget_account account,
                                      std::size_t bytes, steady_time now) {
  auto it = holders_.find(connection);
  if (it == holders_.end()) return {};
  std::size_t held = it->second.held[Index(account)];
  budget_decision decision;
  if (bytes > held) decision = MakeRoom(connection, account, bytes - held, now);
  if (!decision.granted) return decision;
  it->second.held[Index(account)] = bytes;
  totals_[Index(account)] = totals_[Index(account)] - held + bytes;
  return decision;
}

void resource_budget::OnReceived(connection_number connection, std::size_t bytes, steady_time now) {
  auto it = holders_.find(connection);
  if (it == holders_.end()) return;
  holder& h = it->second;
  if (!h.reading) {
    h.reading = true;
    h.since = now;
    h.received = 0;
  }
  h.received += bytes;
}

void resource_budget::OnForwarded(connection_number connection) {
  auto it = holders_.find(connection);
  if (it == holders_.end()) return;
  it->second.forwarded = it->second.was_forwarded = true;
}

void resource_budget::OnAnswered(connection_number connection, steady_time now) {
  auto it = holders_.find(connection);
  if (it == holders_.end()) return;
  holder& h = it->second;
  h.forwarded = h.reading = false;
  h.since = now;
  h.received = 0;
}

void resource_budget::Close(connection_number connection) {
  auto it = holders_.find(connection);
  if (it == holders_.end()) return;
  for (std::size_t i = 0; i < kBudgetAccountCount; ++i) totals_[i] -= it->second.held[i];
  holders_.erase(it);
}

gateway_shares DivideForGateway(const resource_limits& limits) {
  gateway_shares out;
  if (limits.memory_mb > 0) {
    std::size_t memory = ClientMemory(limits.memory_mb * kMegabyte, 30);
    std::size_t heads = Percent(memory, 8);
    std::size_t bodies = ForBodies(Percent(memory, 22));
    out.callers = {0, heads, bodies};
    out.probes = {0, kProbeBytes, kProbeBytes};
    // Its encoded form exists beside a request until the backend server has taken it.
    out.request_bytes = ForBodies(Percent(memory, 34) / 3 * 2);
    // Strings grow by a quarter.
    out.response_bytes = Percent(memory, 18) / 5 * 4;
    out.unsent_bytes = Percent(memory, 18);
  }
  if (limits.max_descriptors > 0) {
    std::size_t descriptors = ClientDescriptors(limits.max_descriptors);
    // A caller in between two requests needs no connection to a backend server.
    std::size_t connections = std::max<std::size_t>(descriptors / 5 * 3, 1);
    out.backend_connections = std::max<std::size_t>(descriptors / 5 * 2, 1);
    out.callers[static_cast<std::size_t>(budget_account::kConnections)] = connections;
    out.probes[static_cast<std::size_t>(budget_account::kConnections)] = kProbeConnections;
  }
  return out;
}

controller_shares DivideForController(const resource_limits& limits) {
  controller_shares out;
  if (limits.memory_mb > 0) {
    // The log keeps some documents in memory, and one is parsed into several times its length.
    std::size_t memory = ClientMemory(limits.memory_mb * kMegabyte, 60);
    out.callers = {0, Percent(memory, 15), ForBodies(Percent(memory, 45))};
    out.unsent_bytes = Percent(memory, 40);
  }
  if (limits.max_descriptors > 0) {
    // Links from gateways and sidecars take the other half.
    std::size_t connections =
        std::max<std::size_t>(ClientDescriptors(limits.max_descriptors) / 2, 1);
    out.callers[static_cast<std::size_t>(budget_account::kConnections)] = connections;
  }
  return out;
}

}  // namespace radishroute
