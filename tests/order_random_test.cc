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

/// Three controllers of which one leads, one backend server with its agent, and a network
/// that delays, drops, repeats and reorders, driven through one seeded queue.
class order_world {
 public:
  order_world(std::uint64_t seed, bool checks) : random_(seed), checks_(checks) {
    for (std::size_t i = 0; i < kControllers; ++i) addresses_.push_back({"10.0.0.1", Port(i)});
    RestartAgent();
  }

  void Run() {
    for (std::size_t i = 0; i < kOrders; ++i) {
      At(Delay(40000), [this, i] { Submit("c-" + std::to_string(i)); });
    }
    for (int i = 0; i < 6; ++i) At(Delay(50000), [this] { RestartAgent(); });
    for (int i = 0; i < 6; ++i) At(Delay(50000), [this] { ChangeLeader(); });
    // Former leaders send the order that they hold to be the oldest pending one.
    for (int i = 0; i < 60; ++i) At(Delay(60000), [this] { WakeFormerLeader(); });
    At(std::chrono::milliseconds(60000), [this] { faults_ = false; });
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
  std::size_t Ended() {
    CatchUp(leader_);
    std::size_t ended = 0;
    for (const auto& [token, record] : controllers_[leader_].table.Orders()) {
      if (record.status == order_status::kDone) ++ended;
    }
    return ended;
  }

  /// Interface of the log for `order_server`.
  struct log_of {
    order_world& world;
    std::size_t controller;
    std::optional<log_position> Propose(command c, reduce_context&) {
      world.Commit(controller, std::move(c));
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
  std::chrono::milliseconds Delay(std::int64_t longest) {
    return std::chrono::milliseconds(
        std::uniform_int_distribution<std::int64_t>(0, longest)(random_));
  }
  bool Chance(unsigned percent) { return faults_ && random_() % 100 < percent; }
  void At(std::chrono::milliseconds delay, std::function<void()> run) {
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

  void CatchUp(std::size_t which) {
    controller& c = controllers_[which];
    while (c.applied < log_.size()) {
      std::uint64_t index = ++c.applied;
      const command& body = log_[index - 1];
      auto effects = Reduce([&](auto& ctx) {
        if (const auto* s = std::get_if<order_submission>(&body)) c.table.Apply(*s, index, ctx);
        if (const auto* done = std::get_if<order_completion>(&body)) c.table.Apply(*done, ctx);
        c.server.OnApplied({1, index, body}, c.table, ctx);
      });
      ToAgent(effects);
    }
  }

  void Commit(std::size_t which, command body) {
    At(Delay(20), [this, which, body = std::move(body)] {
      // A proposal of a leader that was replaced meanwhile is lost.
      if (which != leader_) return;
      CatchUp(which);
      log_.push_back(body);
      CatchUp(which);
    });
  }

  void Submit(const std::string& id) {
    Commit(leader_, order_submission{id, "", "e", order_kind::kSetVersion, id, 0});
    // Operators resend until the order is committed.
    At(std::chrono::milliseconds(500), [this, id] {
      CatchUp(leader_);
      if (controllers_[leader_].table.FindChange(id) == nullptr) Submit(id);
    });
  }

  // The new leader begins a term without sessions and proposals, as in controller_log.h.
  void ChangeLeader() {
    leader_ = random_() % kControllers;
    controllers_[leader_].server.StepDown();
  }

  void WakeFormerLeader() {
    std::size_t which = random_() % kControllers;
    if (which == leader_) return;
    controller& c = controllers_[which];
    // The answer to the query is lost: a former leader has no lease.
    auto effects = Reduce([&](auto& ctx) {
      c.server.OnQuery({1}, {0, "e", incarnation_}, c.table, c.applied, ctx);
    });
    std::erase_if(effects, [](const effect& e) {
      const auto* sent = std::get_if<send_message>(&e);
      return sent != nullptr && std::holds_alternative<fence_reply>(sent->body);
    });
    ToAgent(effects);
  }

  /// Delivers with faults: lost, repeated, and up to 8 s late, also to a later life.
  void Deliver(const std::function<void()>& run) {
    if (Chance(15)) return;
    if (Chance(15)) At(Delay(8000), run);
    At(Delay(Chance(20) ? 8000 : 20), run);
  }

  void ToAgent(const effect_list& effects) {
    for (const effect& e : effects) {
      const auto* sent = std::get_if<send_message>(&e);
      if (sent == nullptr) continue;
      Deliver([this, m = *sent] {
        Agent([&](order_client& client, reduce_context& ctx) {
          if (const auto* o = std::get_if<fenced_order>(&m.body)) client.Handle(m.link, *o, ctx);
          if (const auto* f = std::get_if<fence_reply>(&m.body)) client.Handle(m.link, *f, ctx);
        });
      });
    }
  }

  void ToController(std::size_t which, const send_message& m) {
    Deliver([this, which, m] {
      // Only a leader that has applied everything answers; see controller_log.h.
      if (which == leader_) CatchUp(which);
      controller& c = controllers_[which];
      ToAgent(Reduce([&](auto& ctx) {
        if (const auto* r = std::get_if<order_reply>(&m.body)) {
          log_of log{*this, which};
          c.server.OnReply(*r, c.table, log, ctx);
        }
        const auto* q = std::get_if<fence_query>(&m.body);
        if (q == nullptr) return;
        if (which == leader_) {
          c.server.OnQuery(m.link, *q, c.table, c.applied, ctx);
        } else {
          fence_reply no{q->sequence, q->agent_incarnation, false, addresses_[leader_], 0};
          ctx.Emit(send_message{m.link, no});
        }
      }));
    });
  }

  void RestartAgent() {
    ++incarnation_;
    wake_.reset();
    order_client_settings settings{"e", incarnation_, std::chrono::seconds(4), kSettle, checks_};
    agent_ = std::make_unique<order_client>(settings, addresses_);
    Agent([](order_client& client, reduce_context& ctx) { client.Handle(process_started{}, ctx); });
  }

  // Not a template: the lambdas below would make it instantiate itself without end.
  using agent_call = std::function<void(order_client&, reduce_context&)>;

  void Agent(const agent_call& handle) {
    auto effects = Reduce([&](auto& ctx) { handle(*agent_, ctx); });
    std::uint64_t life = incarnation_;
    for (const effect& e : effects) {
      if (const auto* open = std::get_if<open_link>(&e)) {
        link_opened opened{{++next_link_}, {}, open->address};
        dialed_[opened.link.value] = static_cast<std::size_t>(open->address.port) - 1;
        AtLife(life, Delay(20), [opened](auto& client, auto& ctx) { client.Handle(opened, ctx); });
      } else if (const auto* wake = std::get_if<schedule_wakeup>(&e)) {
        WakeAt(life, wake->at);
      } else if (const auto* sent = std::get_if<send_message>(&e)) {
        auto to = dialed_.find(sent->link.value);
        if (to != dialed_.end()) ToController(to->second, *sent);
      } else if (const auto* start = std::get_if<start_engine_order>(&e)) {
        StartOrder(life, start->order);
      }
    }
  }

  void AtLife(std::uint64_t life, std::chrono::milliseconds delay, const agent_call& handle) {
    At(delay, [this, life, handle] {
      if (life != incarnation_) return;
      Agent(handle);
    });
  }

  /// The earliest request counts, as in the event loop.
  void WakeAt(std::uint64_t life, steady_time at) {
    if (wake_ && *wake_ <= at) return;
    wake_ = at;
    auto delay = std::chrono::ceil<std::chrono::milliseconds>(std::max(at, now_) - now_);
    At(delay, [this, life, at] {
      if (life != incarnation_ || wake_ != at) return;
      wake_.reset();
      Agent([](auto& client, auto& ctx) { client.Handle(timer_expired{}, ctx); });
    });
  }

  /// An engine that ignores tokens carries out an order within the settling time; one that checks
  /// them may take longer. The response may be lost, also without an end of the call.
  void StartOrder(std::uint64_t life, const fenced_order& order) {
    auto way = Delay(Chance(30) ? (checks_ ? 9000 : kSettle.count() - 1) : 50);
    bool cut = Chance(20);
    if (cut) {
      AtLife(life, Delay(20), [order](auto& client, auto& ctx) {
        client.Handle(engine_order_finished{order, std::nullopt}, ctx);
      });
    }
    bool silent = Chance(10);
    At(way, [this, life, order, cut, silent] {
      bool stale = checks_ && order.token < highest_;
      if (stale) {
        ++refused;
      } else {
        bool back = !applied.empty() && order.token < applied.back();
        if (back) failure = "token " + std::to_string(order.token) + " applied after a newer one";
        highest_ = std::max(highest_, order.token);
        applied.push_back(order.token);
      }
      if (cut || silent) return;
      auto status = stale ? order_status::kStaleToken : order_status::kDone;
      AtLife(life, std::chrono::milliseconds(1), [order, status](auto& client, auto& ctx) {
        client.Handle(engine_order_finished{order, status}, ctx);
      });
    });
  }

  random_source random_;
  bool checks_;
  bool faults_ = true;
  steady_time now_{};
  std::multimap<steady_time, std::function<void()>> queue_;
  std::vector<endpoint> addresses_;
  std::vector<command> log_;
  std::array<controller, kControllers> controllers_;
  std::size_t leader_ = 0;
  std::unique_ptr<order_client> agent_;
  std::uint64_t incarnation_ = 0;
  std::optional<steady_time> wake_;
  std::uint64_t next_link_ = 0;
  std::map<std::uint64_t, std::size_t> dialed_;
  std::uint64_t highest_ = 0;
};

}  // namespace

// Guards against an order that an engine applies after a newer one, and against one that is never
// carried out, when agent and leader restart and messages are late, lost, repeated and reordered.
TEST_CASE("applied orders never go back in random runs") {
  for (bool checks : {false, true}) {
    for (std::uint64_t seed = 1; seed <= 300; ++seed) {
      order_world world(seed, checks);
      world.Run();
      INFO("seed " << seed << (checks ? ", engine checks tokens" : ", engine ignores tokens"));
      CHECK(world.failure.empty());
      CHECK(world.Ended() == kOrders);
    }
  }
}

}  // namespace radishroute
