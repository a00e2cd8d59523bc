#ifndef RADISHROUTE_TESTS_FAKE_TRAFFIC_H_
#define RADISHROUTE_TESTS_FAKE_TRAFFIC_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>

#include "radishroute/policies.h"
#include "radishroute/reducer.h"

namespace radishroute {

/// Probabilities of injected faults, in percent.
struct fake_faults {
  int drop_link = 0;
  int repeat_message = 0;
  int reorder_message = 0;
  int refuse_open = 0;
  int disconnect_call = 0;
  int stall_call = 0;
};

/// Simulates one shard of an entry and several agents with fake engines, using one event queue with
/// seeded delays and faults.
class fake_traffic {
 public:
  struct outcome {
    std::string bytes;
    bool ended = false;
    bool aborted = false;
    std::optional<run_outcome> problem;
  };

  fake_traffic(std::uint64_t seed, int agents, fake_faults faults) : faults_(faults) {
    random_.seed(seed);
    request_limits limits;
    entry_.traffic.requests.emplace(7, 0, limits);
    auto table = std::make_shared<routing_table>();
    table->has_configuration = true;
    table->kinds["quote"] = {"quote", priority_class::kInteractive, std::chrono::seconds(20), 1,
                             true};
    table->kinds["booking"] = {"booking", priority_class::kTransactional, std::chrono::seconds(20),
                               1, false};
    table->members["club"] = {"club", 1};
    for (int i = 0; i < agents; ++i) {
      auto number = static_cast<std::uint16_t>(i);
      endpoint address{"agent", number};
      announcement record;
      record.backend = "agent-" + std::to_string(i);
      record.incarnation = 100U + number;
      record.traffic_address = address;
      table->backends.push_back(record);
      table->pools["draft"].local.push_back(number);
      agents_[address].traffic.executions.emplace(100U + number, execution_limits{}, 100U + number);
    }
    Apply(entry_, routing_table_published{table});
    for (auto& [address, agent] : agents_) Apply(agent, process_started{});
  }

  /// Submits a request that is identified by its body; the expected answer depends only on the
  /// body.
  void Submit(const std::string& body, const std::string& kind, bool stream) {
    caller_request request;
    request.exchange = {++last_exchange_};
    request.member = "club";
    request.kind = kind;
    request.model = "draft";
    // Any UUID of version 7: the fake grants every claim.
    request.idempotency_key = "018cc251-f400-7000-8000-000000000001";
    request.stream = stream;
    request.body = body;
    bodies_[last_exchange_] = body;
    outcomes_[last_exchange_] = {};
    Apply(entry_, request);
  }

  /// Advances time by `time` and runs the events that are due.
  void RunFor(std::chrono::milliseconds time) {
    steady_time end = now_ + time;
    while (!events_.empty() && events_.begin()->first <= end) {
      auto next = events_.extract(events_.begin());
      now_ = std::max(now_, next.key());
      next.mapped()();
    }
    now_ = end;
  }

  static std::string ExpectedAnswer(const std::string& body) {
    std::string text;
    for (int i = 0; i < 40; ++i) text += body + ":" + std::to_string(i) + ";";
    return text;
  }

  const std::map<std::uint64_t, outcome>& Outcomes() const { return outcomes_; }
  const std::string& Body(std::uint64_t exchange) const { return bodies_.at(exchange); }
  int RunCount(const std::string& body) const {
    auto it = runs_.find(body);
    return it == runs_.end() ? 0 : it->second;
  }

 private:
  using node = thread_state<baseline_policies>;

  struct fake_link {
    endpoint address;
    bool open = true;
  };

  bool Chance(int percent) { return std::uniform_int_distribution<int>(0, 99)(random_) < percent; }

  std::chrono::microseconds Delay(int max_ms) {
    return std::chrono::microseconds(
        std::uniform_int_distribution<int>(100, max_ms * 1000)(random_));
  }

  void Schedule(steady_time at, std::function<void()> run) { events_.emplace(at, std::move(run)); }

  void Apply(node& n, const event& e) {
    effect_list effects;
    reduce_context ctx{now_, wall_time(), random_, effects};
    Reduce(n, e, ctx);
    for (effect& one : effects) {
      std::visit([&](auto& specific) { Execute(n, specific); }, one);
    }
  }

  node& Peer(const node& n, std::uint64_t link) {
    return &n == &entry_ ? agents_.at(links_.at(link).address) : entry_;
  }

  void DropLink(std::uint64_t link) {
    if (!links_.at(link).open) return;
    links_.at(link).open = false;
    endpoint address = links_.at(link).address;
    Schedule(now_ + Delay(50), [=, this] { Apply(entry_, link_closed{{link}, address, {}}); });
    Schedule(now_ + Delay(50), [=, this] {
      Apply(agents_.at(address), link_closed{{link}, {}, {}});
    });
  }

  void Execute(node& n, send_message& e) {
    std::uint64_t link = e.link.value;
    if (!links_.contains(link) || !links_.at(link).open) return;
    if (Chance(faults_.drop_link)) DropLink(link);
    // Messages on a link arrive in order, except those delayed so that later ones overtake them.
    steady_time& last = last_delivery_[{link, &n}];
    steady_time at = std::max(last, now_ + Delay(5));
    if (Chance(faults_.reorder_message)) {
      at += std::chrono::milliseconds(20);
    } else {
      last = at;
    }
    int copies = Chance(faults_.repeat_message) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      Schedule(at + i * std::chrono::milliseconds(7), [this, &n, link, body = e.body] {
        if (links_.at(link).open || Chance(50))
          Apply(Peer(n, link), message_received{{link}, body});
      });
    }
  }

  void Execute(node&, open_link& e) {
    endpoint address = e.address;
    if (Chance(faults_.refuse_open)) {
      Schedule(now_ + Delay(20), [=, this] {
        Apply(entry_, link_closed{{0}, address, errc::kConnectFailed});
      });
      return;
    }
    std::uint64_t link = ++next_link_;
    links_[link] = {address, true};
    Schedule(now_ + Delay(20), [=, this] {
      if (!links_.at(link).open) return;
      hello peer;
      peer.process.incarnation = 100U + address.port;
      Apply(agents_.at(address), link_opened{{link}, {}, {}});
      Apply(entry_, link_opened{{link}, peer, address});
    });
  }

  void Execute(node&, close_link& e) { DropLink(e.link.value); }
  void Execute(node& n, schedule_wakeup& e) {
    if (!wakeups_.insert({&n, e.at}).second) return;
    Schedule(std::max(now_, e.at), [&n, at = e.at, this] {
      wakeups_.erase({&n, at});
      Apply(n, timer_expired{});
    });
  }

  void Execute(node&, respond_begin& e) {
    // If a non-streaming answer begins again, no part of it has reached the caller.
    if (!e.stream) outcomes_.at(e.exchange.value).bytes.clear();
  }
  void Execute(node&, respond_bytes& e) { OpenOutcome(e.exchange).bytes += e.bytes; }
  void Execute(node&, respond_end& e) { OpenOutcome(e.exchange).ended = true; }
  void Execute(node&, respond_abort& e) { OpenOutcome(e.exchange).aborted = true; }
  void Execute(node&, respond_problem& e) { OpenOutcome(e.exchange).problem = e.outcome; }

  outcome& OpenOutcome(exchange_id exchange) {
    outcome& o = outcomes_.at(exchange.value);
    if (o.ended || o.aborted || o.problem) throw std::runtime_error("exchange was answered twice");
    return o;
  }

  void Execute(node& n, start_engine_call& e) {
    ++runs_[e.body];
    if (Chance(faults_.stall_call)) return;
    steady_time at = now_ + Delay(30);
    dispatch_id id = e.id;
    Schedule(at, [&n, id, this] {
      DeliverToAgent(n, id, engine_answer_begin{id, 200, "text/plain"});
    });
    std::string rest = ExpectedAnswer(e.body).substr(e.resume_offset);
    bool disconnects = Chance(faults_.disconnect_call);
    for (std::size_t i = 0; i < rest.size(); i += 100) {
      at += Delay(10);
      Schedule(at, [&n, id, part = rest.substr(i, 100), this] {
        DeliverToAgent(n, id, engine_answer_bytes{id, part});
      });
      if (disconnects && i >= 200) break;
    }
    Schedule(at + Delay(5), [&n, id, disconnects, this] {
      if (disconnects) {
        DeliverToAgent(n, id, engine_call_failed{id, dispatch_failure::kEngineCrashed, true});
      } else {
        DeliverToAgent(n, id, engine_answer_end{id});
      }
    });
  }
  void Execute(node&, cancel_engine_call& e) { cancelled_.insert(e.id); }
  void DeliverToAgent(node& n, const dispatch_id& id, const event& e) {
    if (!cancelled_.contains(id)) Apply(n, e);
  }
  // Replaces the control thread: grants every claim and commits every outcome.
  void Execute(node& n, submit_claim& e) {
    claim_answered answered{e.event.claim.dispatch, {}};
    answered.reply.verdict = claim_verdict::kGranted;
    Schedule(now_ + Delay(3), [&n, answered, this] { Apply(n, answered); });
  }
  void Execute(node& n, submit_outcome& e) {
    outcome_answered answered{e.event.waiter, true, outcome_verdict::kStored};
    Schedule(now_ + Delay(3), [&n, answered, this] { Apply(n, answered); });
  }
  void Execute(node& n, probe_engine& e) {
    Schedule(now_ + Delay(5), [&n, number = e.number, this] {
      Apply(n, engine_probe_done{number, true});
    });
  }
  void Execute(node&, write_log& e) {
    if (e.event.code == event_code::kInvariantViolated) {
      throw std::runtime_error(e.event.fields.front().value);
    }
  }
  template <class Other>
  void Execute(node&, Other&) {}

  fake_faults faults_;
  random_source random_;
  steady_time now_ = steady_time(std::chrono::hours(1));
  std::multimap<steady_time, std::function<void()>> events_;
  node entry_;
  std::map<endpoint, node> agents_;
  std::map<std::uint64_t, fake_link> links_;
  std::map<std::pair<std::uint64_t, const node*>, steady_time> last_delivery_;
  std::set<std::pair<const node*, steady_time>> wakeups_;
  std::uint64_t next_link_ = 0;
  std::uint64_t last_exchange_ = 0;
  std::map<std::uint64_t, std::string> bodies_;
  std::map<std::uint64_t, outcome> outcomes_;
  std::map<std::string, int> runs_;
  std::set<dispatch_id> cancelled_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_TESTS_FAKE_TRAFFIC_H_
