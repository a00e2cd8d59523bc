#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "radishroute/order_client.h"
#include "radishroute/order_server.h"

namespace radishroute {

namespace {

constexpr std::chrono::milliseconds kSettle{3000};
constexpr std::size_t kControllers = 3;
constexpr std::size_t kOrders = 12;

/// Simulates three controllers of which one leads, one backend server with its agent, and a network
/// that delays, drops, repeats and reorders messages, all driven by one seeded event queue.
class order_simulation {
 public:
  order_simulation(std::uint64_t seed, bool checks) : random_(seed), engine_checks_tokens_(checks) {
    for (std::size_t i = 0; i < kControllers; ++i) addresses_.push_back({"10.0.0.1", Port(i)});
    RestartAgent();
  }

  void Run() {
    for (std::size_t i = 0; i < kOrders; ++i) {
      Schedule(RandomDelay(40000), [this, i] { Submit("c-" + std::to_string(i)); });
    }
    for (int i = 0; i < 6; ++i) Schedule(RandomDelay(50000), [this] { RestartAgent(); });
    for (int i = 0; i < 6; ++i) Schedule(RandomDelay(50000), [this] { ChangeLeader(); });
    // Former leaders send the order that is the oldest pending one in their own, outdated table.
    for (int i = 0; i < 60; ++i) Schedule(RandomDelay(60000), [this] { ActivateFormerLeader(); });
    Schedule(std::chrono::milliseconds(60000), [this] { faults_enabled_ = false; });
    while (!queue_.empty() && now_ < steady_time(std::chrono::minutes(4))) {
      auto first = queue_.begin();
      now_ = first->first;
      auto run = std::move(first->second);
      queue_.erase(first);
      run();
    }
  }

  std::string failure;
  std::vector<std::uint64_t> applied;
  std::uint64_t refused = 0;
  std::size_t CountDone() {
    ApplyCommitted(leader_);
    std::size_t ended = 0;
    for (const auto& [token, record] : controllers_[leader_].table.Orders()) {
      if (record.status == order_status::kDone) ++ended;
    }
    return ended;
  }

  /// Replicated log as `order_server` uses it.
  struct simulated_log {
    order_simulation& sim;
    std::size_t controller;
    std::optional<log_position> Propose(command c, reduce_context&) {
      sim.Commit(controller, std::move(c));
      return log_position{1, 1};
    }
  };

 private:
  struct controller {
    order_table table;
    order_server server;
    std::size_t applied = 0;
  };

  static std::uint16_t Port(std::size_t i) { return static_cast<std::uint16_t>(i + 1); }
  std::chrono::milliseconds RandomDelay(std::int64_t longest) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, longest)(random_));
  }
  bool Chance(unsigned percent) { return faults_enabled_ && random_() % 100 < percent; }
  void Schedule(std::chrono::milliseconds delay, std::function<void()> run) {
    queue_.emplace(now_ + delay, std::move(run));
  }

  template <class Handle>
  effect_list Reduce(Handle&& handle) {
    effect_list effects;
    reduce_context ctx{now_, {}, random_, effects};
    handle(ctx);
    for (const effect& e : effects) {
      const auto* log = std::get_if<write_log>(&e);
      if (log != nullptr && log->event.code == event_code::kInvariantViolated) {
        failure = log->event.fields.empty() ? "invariant" : log->event.fields[0].value;
      }
    }
    return effects;
  }

  void ApplyCommitted(std::size_t controller_index) {
    controller& c = controllers_[controller_index];
    while (c.applied < log_.size()) {
      std::uint64_t index = ++c.applied;
      const command& body = log_[index - 1];
      auto effects = Reduce([&](auto& ctx) {
        if (const auto* s = std::get_if<order_submission>(&body)) c.table.Apply(*s, index, ctx);
        if (const auto* done = std::get_if<order_completion>(&body)) c.table.Apply(*done, ctx);
        c.server.OnApplied({1, index, body}, c.table, ctx);
      });
      SendToAgent(effects);
    }
  }

  void Commit(std::size_t controller_index, command body) {
    Schedule(RandomDelay(20), [this, controller_index, body = std::move(body)] {
      // The proposal is lost if its leader has been replaced in the meantime.
      if (controller_index != leader_) return;
      ApplyCommitted(controller_index);
      log_.push_back(body);
      ApplyCommitted(controller_index);
    });
  }

  void Submit(const std::string& id) {
    Commit(leader_, order_submission{id, "", "e", order_kind::kSetVersion, id, 0});
    // Operators resend until the order is committed.
    Schedule(std::chrono::milliseconds(500), [this, id] {
      ApplyCommitted(leader_);
      if (controllers_[leader_].table.FindChange(id) == nullptr) Submit(id);
    });
  }

  // A new leader starts its term without agent sessions and proposals, as in controller_log.h.
  void ChangeLeader() {
    leader_ = random_() % kControllers;
    controllers_[leader_].server.StepDown();
  }

  void ActivateFormerLeader() {
    std::size_t controller_index = random_() % kControllers;
    if (controller_index == leader_) return;
    controller& c = controllers_[controller_index];
    // The reply to the query is dropped, since a former leader has no lease.
    auto effects = Reduce([&](auto& ctx) {
      c.server.OnQuery({1}, {0, "e", incarnation_}, c.table, c.applied, ctx);
    });
    std::erase_if(effects, [](const effect& e) {
      const auto* sent = std::get_if<send_message>(&e);
      return sent != nullptr && std::holds_alternative<fence_reply>(sent->body);
    });
    SendToAgent(effects);
  }

  /// Delivers with faults: messages are lost, repeated, and up to 8 s late, even to a later
  /// incarnation of the agent.
  void Deliver(const std::function<void()>& run) {
    if (Chance(15)) return;
    if (Chance(15)) Schedule(RandomDelay(8000), run);
    Schedule(RandomDelay(Chance(20) ? 8000 : 20), run);
  }

  void SendToAgent(const effect_list& effects) {
    for (const effect& e : effects) {
      const auto* sent = std::get_if<send_message>(&e);
      if (sent == nullptr) continue;
      Deliver([this, m = *sent] {
        ReduceAgent([&](order_client& client, reduce_context& ctx) {
          if (const auto* o = std::get_if<fenced_order>(&m.body)) client.Handle(m.link, *o, ctx);
          if (const auto* f = std::get_if<fence_reply>(&m.body)) client.Handle(m.link, *f, ctx);
        });
      });
    }
  }

  void SendToController(std::size_t controller_index, const send_message& m) {
    Deliver([this, controller_index, m] {
      // A leader answers only once it has applied the whole log, as in controller_log.h.
      if (controller_index == leader_) ApplyCommitted(controller_index);
      controller& c = controllers_[controller_index];
      SendToAgent(Reduce([&](auto& ctx) {
        if (const auto* reply = std::get_if<order_reply>(&m.body)) {
          simulated_log log{*this, controller_index};
          c.server.OnReply(*reply, c.table, log, ctx);
        }
        const auto* query = std::get_if<fence_query>(&m.body);
        if (query == nullptr) return;
        if (controller_index == leader_) {
          c.server.OnQuery(m.link, *query, c.table, c.applied, ctx);
        } else {
          fence_reply refusal{query->sequence, query->agent_incarnation, false, addresses_[leader_],
                              0};
          ctx.Emit(send_message{m.link, refusal});
        }
      }));
    });
  }

  void RestartAgent() {
    ++incarnation_;
    next_wakeup_.reset();
    order_client_settings settings{"e", incarnation_, std::chrono::seconds(4), kSettle,
                                   engine_checks_tokens_};
    agent_ = std::make_unique<order_client>(settings, addresses_);
    ReduceAgent(
        [](order_client& client, reduce_context& ctx) { client.Handle(process_started{}, ctx); });
  }

  // Not a template, since the lambdas below would cause infinite recursive instantiation.
  using agent_call = std::function<void(order_client&, reduce_context&)>;

  void ReduceAgent(const agent_call& handle) {
    auto effects = Reduce([&](auto& ctx) { handle(*agent_, ctx); });
    std::uint64_t incarnation = incarnation_;
    for (const effect& e : effects) {
      if (const auto* open = std::get_if<open_link>(&e)) {
        link_opened opened{{++next_link_}, {}, open->address};
        controller_by_link_[opened.link.value] = static_cast<std::size_t>(open->address.port) - 1;
        ScheduleForAgent(incarnation, RandomDelay(20),
                         [opened](auto& client, auto& ctx) { client.Handle(opened, ctx); });
      } else if (const auto* wake = std::get_if<schedule_wakeup>(&e)) {
        ScheduleWakeup(incarnation, wake->at);
      } else if (const auto* sent = std::get_if<send_message>(&e)) {
        auto target = controller_by_link_.find(sent->link.value);
        if (target != controller_by_link_.end()) SendToController(target->second, *sent);
      } else if (const auto* start = std::get_if<start_engine_order>(&e)) {
        StartOrder(incarnation, start->order);
      }
    }
  }

  void ScheduleForAgent(std::uint64_t incarnation, std::chrono::milliseconds delay,
                        const agent_call& handle) {
    Schedule(delay, [this, incarnation, handle] {
      if (incarnation != incarnation_) return;
      ReduceAgent(handle);
    });
  }

  /// Only the earliest requested wake-up is kept, as in the event loop.
  void ScheduleWakeup(std::uint64_t incarnation, steady_time due) {
    if (next_wakeup_ && *next_wakeup_ <= due) return;
    next_wakeup_ = due;
    auto delay = std::chrono::ceil<std::chrono::milliseconds>(std::max(due, now_) - now_);
    Schedule(delay, [this, incarnation, due] {
      if (incarnation != incarnation_ || next_wakeup_ != due) return;
      next_wakeup_.reset();
      ReduceAgent([](auto& client, auto& ctx) { client.Handle(timer_expired{}, ctx); });
    });
  }

  /// An engine that ignores tokens executes an order within the settle time; one that checks them
  /// may take longer. The response may be lost, and the client may or may not see the call end.
  void StartOrder(std::uint64_t incarnation, const fenced_order& order) {
    auto execution_delay =
        RandomDelay(Chance(30) ? (engine_checks_tokens_ ? 9000 : kSettle.count() - 1) : 50);
    bool disconnected = Chance(20);
    if (disconnected) {
      ScheduleForAgent(incarnation, RandomDelay(20), [order](auto& client, auto& ctx) {
        client.Handle(engine_order_finished{order, std::nullopt}, ctx);
      });
    }
    bool response_lost = Chance(10);
    Schedule(execution_delay, [this, incarnation, order, disconnected, response_lost] {
      bool stale = engine_checks_tokens_ && order.token < highest_applied_;
      if (stale) {
        ++refused;
      } else {
        bool older = !applied.empty() && order.token < applied.back();
        if (older) failure = "token " + std::to_string(order.token) + " applied after a newer one";
        highest_applied_ = std::max(highest_applied_, order.token);
        applied.push_back(order.token);
      }
      if (disconnected || response_lost) return;
      auto status = stale ? order_status::kStaleToken : order_status::kDone;
      ScheduleForAgent(incarnation, std::chrono::milliseconds(1),
                       [order, status](auto& client, auto& ctx) {
                         client.Handle(engine_order_finished{order, status}, ctx);
                       });
    });
  }

  random_source random_;
  bool engine_checks_tokens_;
  bool faults_enabled_ = true;
  steady_time now_{};
  std::multimap<steady_time, std::function<void()>> queue_;
  std::vector<endpoint> addresses_;
  std::vector<command> log_;
  std::array<controller, kControllers> controllers_;
  std::size_t leader_ = 0;
  std::unique_ptr<order_client> agent_;
  std::uint64_t incarnation_ = 0;
  std::optional<steady_time> next_wakeup_;
  std::uint64_t next_link_ = 0;
  std::map<std::uint64_t, std::size_t> controller_by_link_;
  std::uint64_t highest_applied_ = 0;
};

}  // namespace

// Guards against an order that an engine applies after a newer one, and against one that is never
// executed, when agent and leader restart and messages are late, lost, repeated and reordered.
TEST_CASE("orders are applied in token order under random faults") {
  for (bool checks : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      order_simulation sim(seed, checks);
      sim.Run();
      INFO("seed " << seed << (checks ? ", engine checks tokens" : ", engine ignores tokens"));
      CHECK(sim.failure.empty());
      CHECK(sim.CountDone() == kOrders);
    }
  }
}

}  // namespace radishroute
