#ifndef RADISHROUTE_IO_NODE_THREAD_H_
#define RADISHROUTE_IO_NODE_THREAD_H_

#include <cstdlib>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <thread>
#include <utility>
#include <variant>

#include "io/caller_api.h"
#include "io/engine_api.h"
#include "io/link.h"
#include "io/loop.h"
#include "io/metrics.h"
#include "io/order_api.h"
#include "io/tcp.h"
#include "radishroute/reducer.h"

namespace radishroute {

/// Actions that one thread cannot carry out alone.
struct node_hooks {
  std::function<void(const publish_routing_table&)> on_publish;
  /// Posts an event to the control thread, or from it to the traffic thread of a request; false if
  /// the queue is full.
  std::function<bool(event)> on_submit;
  std::function<bool(const request_id&, event)> on_deliver;
  std::function<void(bool all_finished)> on_stop;
  std::function<void(const crash_report&)> on_crash_report;
  std::function<void(const crash_evidence&)> on_crash_evidence;
  std::function<void(const publish_document&)> on_document;
  std::function<void(const publish_fleet_load&)> on_fleet_load;
  std::function<void(const publish_evacuations&)> on_evacuations;
  std::function<void(bool up)> on_engine_status;
  std::function<void(std::shared_ptr<const store_batch>)> on_store;
  std::function<void(const proposal_finished&)> on_proposal;
  std::function<void(std::shared_ptr<const plan_request>)> on_plan;
};

/// Adapter of a thread that has none beside the built-in ones.
struct no_adapter {};

/// One thread of a process: an event loop, a reducer state, and the adapters that turn input into
/// events and carry out effects.
template <policy_set P, class Adapter = no_adapter, clock_source Clock = system_clock_source>
class node_thread {
 public:
  node_thread(hello self, node_hooks hooks)
      : links_(loop_, std::move(self), [this](event&& e) { Apply(std::move(e)); }),
        hooks_(std::move(hooks)),
        random_(std::random_device{}()) {
    static const lws_protocols protocols[] = {
        link_transport::Protocol(), tcp_connection::Protocol(), tcp_listener::Protocol(), {}};
    loop_.CreateClientVhost(protocols);
    loop_.SetTimerHandler([this] { Apply(timer_expired{}); });
    state_.links.emplace();
  }

  io_loop& Loop() { return loop_; }
  link_transport& Links() { return links_; }
  thread_state<P>& State() { return state_; }

  void ServeCallers(http_server_settings settings) {
    callers_ = std::make_unique<caller_api>(loop_, std::move(settings),
                                            [this](event&& e) { Apply(std::move(e)); });
  }
  caller_api& Callers() { return *callers_; }

  /// Takes part in carrying out effects; set before Start.
  template <class... Arguments>
  Adapter& Attach(Arguments&&... arguments) {
    adapter_ = std::make_unique<Adapter>(std::forward<Arguments>(arguments)...);
    return *adapter_;
  }

  Adapter& Extension() { return *adapter_; }

  void CallEngine(const endpoint& engine) {
    engine_ =
        std::make_unique<engine_api>(loop_, engine, [this](event&& e) { Apply(std::move(e)); });
  }

  void SendOrders(const endpoint& engine) {
    orders_ =
        std::make_unique<order_api>(loop_, engine, [this](event&& e) { Apply(std::move(e)); });
  }

  /// Delivers an event from another thread; false if the queue is full, which is counted.
  bool Post(event e) {
    auto shared = std::make_shared<event>(std::move(e));
    if (loop_.Post([this, shared] { Apply(std::move(*shared)); })) return true;
    CountMetric(counter::kEventQueueFull);
    return false;
  }

  /// Delivers the result of an operation that this thread has started on another one.
  void PostCompletion(event e) {
    auto shared = std::make_shared<event>(std::move(e));
    loop_.PostCompletion([this, shared] { Apply(std::move(*shared)); });
  }

  /// Starts the thread; its first event is process_started.
  void Start() {
    thread_ = std::thread([this] {
      Apply(process_started{});
      loop_.Run();
    });
  }

  void Join() {
    loop_.Stop();
    if (thread_.joinable()) thread_.join();
  }

  /// Reduces an event and carries out its effects. Events that arise meanwhile are queued, so that
  /// the reducer is never entered twice.
  void Apply(event&& e) {
    pending_.push_back(std::move(e));
    if (reducing_) return;
    reducing_ = true;
    while (!pending_.empty()) {
      event next = std::move(pending_.front());
      pending_.pop_front();
      effects_.clear();
      reduce_context ctx{clock_.Now(), clock_.WallNow(), random_, effects_};
      Reduce(state_, next, ctx);
      for (effect& one : effects_) {
        std::visit([this](auto& specific) { Execute(specific); }, one);
      }
    }
    reducing_ = false;
  }

 private:
  void Execute(const send_message& e) { links_.Send(e.link, e.body); }
  void Execute(const broadcast_message& e) { links_.Broadcast(e.links, e.body); }
  void Execute(const open_link& e) { links_.Open(e.address); }
  void Execute(const close_link& e) { links_.Close(e.link); }
  void Execute(const schedule_wakeup& e) { loop_.WakeAt(e.at); }
  void Execute(const publish_routing_table& e) {
    if (hooks_.on_publish) hooks_.on_publish(e);
  }
  void Execute(const submit_claim& e) {
    if (hooks_.on_submit && hooks_.on_submit(e.event)) return;
    claim_answered refused{e.event.claim.dispatch, {}};
    refused.reply.verdict = claim_verdict::kQueueFull;
    Apply(std::move(refused));
  }
  void Execute(const submit_outcome& e) {
    if (hooks_.on_submit && hooks_.on_submit(e.event)) return;
    Apply(outcome_answered{e.event.waiter, false, {}});
  }
  void Execute(const deliver_claim_answer& e) {
    if (hooks_.on_deliver) hooks_.on_deliver(e.event.claimant.request, e.event);
  }
  void Execute(const deliver_outcome_answer& e) {
    if (hooks_.on_deliver) hooks_.on_deliver(e.event.waiter.request, e.event);
  }
  void Execute(const stop_process& e) {
    if (!hooks_.on_stop) return;
    bool finished = e.all_finished;
    // The last response may still be waiting to be written.
    if constexpr (requires(Adapter adapter) { adapter.WhenIdle([] {}); }) {
      if (adapter_ && e.flush) {
        adapter_->WhenIdle([this, finished] { hooks_.on_stop(finished); });
        return;
      }
    }
    if (callers_ && e.flush) {
      callers_->WhenIdle([this, finished] { hooks_.on_stop(finished); });
    } else {
      hooks_.on_stop(finished);
    }
  }
  void Execute(const share_crash_report& e) {
    if (hooks_.on_crash_report) hooks_.on_crash_report(e.report);
  }
  void Execute(const share_crash_evidence& e) {
    if (hooks_.on_crash_evidence) hooks_.on_crash_evidence(e.evidence);
  }
  void Execute(const share_engine_status& e) {
    if (hooks_.on_engine_status) hooks_.on_engine_status(e.up);
  }
  void Execute(const store_log& e) {
    if (hooks_.on_store) hooks_.on_store(e.batch);
  }
  void Execute(const proposal_finished& e) {
    if (hooks_.on_proposal) hooks_.on_proposal(e);
  }
  void Execute(const plan_placement& e) {
    if (hooks_.on_plan) hooks_.on_plan(e.request);
  }
  void Execute(const drain_connections& e) {
    if (callers_) callers_->Execute(e);
    if constexpr (requires(Adapter adapter) { adapter.Drain(); }) {
      if (adapter_) adapter_->Drain();
    }
  }
  void Execute(const write_log& e) {
    WriteLog(e.event);
    // State that breaks an invariant must not serve anyone.
    if (e.event.code == event_code::kInvariantViolated) std::abort();
  }
  void Execute(const start_engine_order& e) {
    if (orders_) orders_->Execute(e);
  }
  void Execute(const cancel_engine_order& e) {
    if (orders_) orders_->Execute(e);
  }
  void Execute(const count& e) { CountMetric(e.which, e.by); }
  void Execute(const count_refusal& e) { CountRefusal(e.reason); }
  void Execute(const count_retry& e) { CountRetry(e.reason); }
  void Execute(const count_broken_response& e) { CountBrokenResponse(e.fault); }
  void Execute(const observe_latency& e) { ObserveLatency(e.which, e.cls, e.value); }

  void Execute(const publish_fleet_load& e) {
    if (hooks_.on_fleet_load) hooks_.on_fleet_load(e);
  }
  void Execute(const publish_evacuations& e) {
    if (hooks_.on_evacuations) hooks_.on_evacuations(e);
  }
  void Execute(const publish_document& e) {
    if (hooks_.on_document) hooks_.on_document(e);
  }

  // The remaining effects belong to an adapter that only some threads have.
  template <class Effect>
  void Execute(const Effect& e) {
    if constexpr (requires(Adapter adapter) { adapter.Execute(e); }) {
      if (adapter_) adapter_->Execute(e);
    } else if constexpr (requires(caller_api api) { api.Execute(e); }) {
      if (callers_) callers_->Execute(e);
    } else if constexpr (requires(engine_api api) { api.Execute(e); }) {
      if (engine_) engine_->Execute(e);
    }
  }

  Clock clock_;
  io_loop loop_;
  thread_state<P> state_;
  link_transport links_;
  std::unique_ptr<caller_api> callers_;
  std::unique_ptr<engine_api> engine_;
  std::unique_ptr<order_api> orders_;
  std::unique_ptr<Adapter> adapter_;
  node_hooks hooks_;
  random_source random_;
  effect_list effects_;
  std::deque<event> pending_;
  bool reducing_ = false;
  std::thread thread_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_NODE_THREAD_H_
