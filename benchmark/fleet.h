#ifndef RADISHROUTE_BENCHMARK_FLEET_H_
#define RADISHROUTE_BENCHMARK_FLEET_H_

#include <array>
#include <chrono>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishroute/policies.h"
#include "radishroute/reducer.h"

namespace radishroute {

using namespace std::chrono_literals;
using micros = std::chrono::microseconds;

/// One kind of work in the experiment. Restoration's deadline is shortened from a night so that a
/// run of half a minute shows whether it is met.
struct kind_model {
  const char* name;
  priority_class cls;
  std::uint32_t max_tokens;
  micros deadline;
};

inline constexpr std::array<kind_model, kPriorityClassCount> kKinds = {{
    {"quote", priority_class::kInteractive, 64, 2s},
    {"booking", priority_class::kTransactional, 16, 5s},
    {"restoration", priority_class::kBatch, 256, 10s},
}};

inline constexpr std::uint32_t kEntries = 7;
inline constexpr std::uint32_t kAgents = 12;
inline constexpr std::uint32_t kZones = 3;
inline constexpr std::uint32_t kSlots = 16;
inline constexpr micros kLinkDelay = 1500us;

/// Service time with `running` requests in the batch: a fixed part for the prompt, then tokens
/// that slow down by half when the batch is full.
inline micros ServiceTime(std::uint32_t tokens, std::uint32_t running) {
  return micros(20000 + std::int64_t{tokens} * (4000 + 2000 * running / kSlots));
}

/// Mean service time of a kind in a full batch; answers have half to all of the maximum tokens.
inline double FullServiceSeconds(std::size_t kind) {
  return 1e-6 * static_cast<double>(ServiceTime(kKinds[kind].max_tokens * 3 / 4, kSlots).count());
}

/// What became of one request.
struct outcome {
  /// Empty if the request was not answered in time.
  std::optional<steady_time> answered;
  std::size_t kind = 0;
  std::size_t member = 0;
  steady_time arrival;
  micros service{};
};

/// Entries, agents and engines of a small fleet on one queue of events with a manual clock.
template <policy_set P>
class fleet {
 public:
  fleet(const routing_table& base, micros report_lag, std::uint64_t seed)
      : random_(seed), report_lag_(report_lag), nodes_(kEntries + kAgents) {
    for (std::uint32_t e = 0; e < kEntries; ++e) {
      nodes_[e].state.traffic.requests.emplace(e + 1, 0, request_limits{});
      Post(clock_.Now(), e, routing_table_published{TableOf(base, e % kZones)});
    }
    for (std::uint32_t a = 0; a < kAgents; ++a) {
      nodes_[kEntries + a].state.traffic.executions.emplace(1, execution_limits{kSlots});
    }
  }

  steady_time Now() const { return clock_.Now(); }
  random_source& Random() { return random_; }
  const std::vector<outcome>& Outcomes() const { return outcomes_; }
  /// Dispatches handed to engines, and those sent by entries.
  std::uint64_t Runs() const { return runs_; }
  std::uint64_t Sent() const { return sent_; }

  /// Submits a request at `at` to a random entry.
  void Submit(steady_time at, std::size_t kind, std::size_t member) {
    caller_request request;
    request.exchange = {outcomes_.size()};
    request.member = "m" + std::to_string(member);
    request.kind = kKinds[kind].name;
    request.model = "model";
    request.max_tokens = kKinds[kind].max_tokens;
    std::uint32_t half = request.max_tokens / 2;
    auto tokens = half + static_cast<std::uint32_t>(random_() % (half + 1));
    request.body = std::to_string(tokens);
    outcomes_.push_back({std::nullopt, kind, member, at, ServiceTime(tokens, kSlots)});
    Post(at, static_cast<std::uint32_t>(random_() % kEntries), std::move(request));
  }

  void RunUntil(steady_time end) {
    while (!events_.empty() && events_.top()->at <= end) {
      std::shared_ptr<item> next = events_.top();
      events_.pop();
      clock_.Advance(next->at - clock_.Now());
      Deliver(next->node, next->body);
    }
    clock_.Advance(end - clock_.Now());
  }

 private:
  struct item {
    steady_time at;
    std::uint64_t order;
    std::uint32_t node;
    event body;
  };
  struct later {
    bool operator()(const std::shared_ptr<item>& a, const std::shared_ptr<item>& b) const {
      return std::pair(a->at, a->order) > std::pair(b->at, b->order);
    }
  };
  struct node {
    thread_state<P> state;
    steady_time wake = steady_time::max();
    std::uint32_t engine_running = 0;
    std::deque<std::pair<steady_time, load_report>> reports;
  };

  static std::shared_ptr<const routing_table> TableOf(const routing_table& base,
                                                      std::uint32_t zone) {
    auto table = std::make_shared<routing_table>(base);
    for (std::uint32_t a = 0; a < kAgents; ++a) {
      announcement record;
      record.backend = "engine-" + std::to_string(a);
      record.incarnation = 1;
      record.traffic_address = {"agent", static_cast<std::uint16_t>(a)};
      record.concurrency_limit = kSlots;
      table->backends.push_back(record);
      backend_pool& pool = table->pools["model"];
      (a % kZones == zone ? pool.local : pool.remote).push_back(a);
    }
    return table;
  }

  void Post(steady_time at, std::uint32_t node, event body) {
    events_.push(std::make_shared<item>(item{at, order_++, node, std::move(body)}));
  }

  void Deliver(std::uint32_t at, const event& e) {
    node& n = nodes_[at];
    if (std::holds_alternative<timer_expired>(e)) {
      if (clock_.Now() != n.wake) return;
      n.wake = steady_time::max();
    }
    if (const auto* end = std::get_if<engine_answer_end>(&e)) {
      if (cancelled_.erase(end->id) > 0) return;
      --n.engine_running;
    }
    effect_list effects;
    reduce_context ctx{clock_.Now(), clock_.WallNow(), random_, effects};
    Reduce(n.state, e, ctx);
    for (effect& one : effects) {
      std::visit([&](auto& specific) { Execute(at, specific); }, one);
    }
  }

  void Execute(std::uint32_t at, open_link& e) {
    link_opened opened{{e.address.port + 1U}, {}, e.address};
    Post(clock_.Now() + 2 * kLinkDelay, at, opened);
  }

  void Execute(std::uint32_t at, send_message& e) {
    // An entry numbers its links by agent, an agent by entry.
    bool from_entry = at < kEntries;
    if (std::holds_alternative<dispatch_request>(e.body)) ++sent_;
    auto peer = static_cast<std::uint32_t>(e.link.value) - 1;
    std::visit(
        [&](auto& m) {
          if constexpr (requires { m.load; }) m.load = Lagged(nodes_[at], m.load);
        },
        e.body);
    Post(clock_.Now() + kLinkDelay, from_entry ? kEntries + peer : peer,
         message_received{{(from_entry ? at : at - kEntries) + 1U}, std::move(e.body)});
  }

  load_report Lagged(node& n, const load_report& load) {
    if (report_lag_.count() == 0) return load;
    n.reports.emplace_back(clock_.Now(), load);
    while (n.reports.size() > 1 && n.reports[1].first <= clock_.Now() - report_lag_) {
      n.reports.pop_front();
    }
    return n.reports.front().second;
  }

  void Execute(std::uint32_t at, schedule_wakeup& e) {
    node& n = nodes_[at];
    steady_time due = std::max(e.at, clock_.Now());
    if (due >= n.wake) return;
    n.wake = due;
    Post(due, at, timer_expired{});
  }

  void Execute(std::uint32_t at, start_engine_call& e) {
    node& n = nodes_[at];
    ++n.engine_running;
    ++runs_;
    auto tokens = static_cast<std::uint32_t>(std::stoul(e.body));
    Post(clock_.Now(), at, engine_answer_begin{e.id, 200, "text/plain"});
    Post(clock_.Now() + ServiceTime(tokens, n.engine_running), at, engine_answer_end{e.id});
  }

  void Execute(std::uint32_t at, cancel_engine_call& e) {
    --nodes_[at].engine_running;
    cancelled_.insert({e.id, true});
  }

  void Execute(std::uint32_t at, probe_engine& e) {
    Post(clock_.Now(), at, engine_probe_done{e.number, true});
  }

  void Execute(std::uint32_t, respond_end& e) {
    outcomes_[e.exchange.value].answered = clock_.Now();
  }

  template <class Other>
  void Execute(std::uint32_t, Other&) {}

  manual_clock clock_;
  random_source random_;
  micros report_lag_;
  std::vector<node> nodes_;
  std::priority_queue<std::shared_ptr<item>, std::vector<std::shared_ptr<item>>, later> events_;
  std::unordered_map<dispatch_id, bool> cancelled_;
  std::vector<outcome> outcomes_;
  std::uint64_t order_ = 0;
  std::uint64_t runs_ = 0;
  std::uint64_t sent_ = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_BENCHMARK_FLEET_H_
