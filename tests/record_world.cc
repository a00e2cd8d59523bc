#include "record_world.h"

#include <type_traits>

namespace radishroute {

namespace {

using std::chrono::milliseconds;

const endpoint leader_address{"10.9.0.1", 1};
constexpr const char* kSheet =
    "table,name,class,deadline_ms,worth,repeat,weight,floor_percent,hour,requests\n"
    "kind,booking,transactional,10000,100,no,,,,\n"
    "member,club-1,,,,,1,,,\n";

}  // namespace

record_simulation::record_simulation(std::uint64_t seed, int entries, int agents)
    : random(seed), entry_count_(entries), agent_count_(agents) {
  log_.on_append = [this](const log_entry& entry) {
    Schedule(milliseconds(2), [this, entry] {
      auto ctx = Context();
      apply_result result = state_.machine.Apply(entry, ctx);
      server_.OnApplied(entry, result, state_.machine.Records(), ctx);
      effect_list effects = std::move(leader_effects_);
      leader_effects_.clear();
      for (effect& e : effects) Execute({kLeader, thread_kind::kControl, leader_incarnation_}, e);
    });
  };
  auto ctx = Context();
  log_.Propose(config_change{0, "first", "test", kSheet}, ctx);
  leases_.BecomeLeader(now_);
  for (int i = 0; i < entries + agents; ++i) {
    processes_.push_back(std::make_unique<process>());
    processes_.back()->number = i;
    processes_.back()->address = {"10.0.0." + std::to_string(i + 1), 1};
  }
  Run(milliseconds(5));
  for (int i = 0; i < entries; ++i) StartEntry(i);
  for (int i = 0; i < agents; ++i) StartAgent(i);
  Run(milliseconds(100));
}

record_simulation::process& record_simulation::Process(int number) {
  return *processes_[static_cast<std::size_t>(number)];
}

void record_simulation::Schedule(milliseconds delay, std::function<void()> run) {
  tasks_.push({now_ + delay, next_id_++, std::move(run)});
}

void record_simulation::Run(milliseconds duration) {
  steady_time end = now_ + duration;
  while (!tasks_.empty() && tasks_.top().at <= end) {
    task next = tasks_.top();
    tasks_.pop();
    wall_ += std::chrono::duration_cast<wall_time::duration>(next.at - now_);
    now_ = next.at;
    next.run();
  }
  wall_ += std::chrono::duration_cast<wall_time::duration>(end - now_);
  now_ = end;
}

void record_simulation::StartEntry(int entry) {
  process& p = Process(entry);
  p.alive = true;
  ++p.incarnation;
  p.control = std::make_unique<thread_state<baseline_policies>>();
  p.traffic = std::make_unique<thread_state<baseline_policies>>();
  control_state& control = p.control->control;
  control.backends.emplace(process_id{static_cast<std::uint64_t>(entry) + 1, p.incarnation},
                           "zone-1", work_sheet{});
  control.config.emplace(
      config_client_settings{"entry-" + std::to_string(entry), "zone-1", {leader_address}, {}, {}},
      *control.backends);
  p.traffic->traffic.requests.emplace(random(), 0, request_limits{});
  Deliver({entry, thread_kind::kTraffic, p.incarnation}, process_started{});
  Deliver({entry, thread_kind::kControl, p.incarnation}, process_started{});
  for (int i = 0; i < agent_count_; ++i) {
    if (Process(entry_count_ + i).alive) Announce(i);
  }
}

void record_simulation::StartAgent(int agent) {
  process& p = Process(entry_count_ + agent);
  p.alive = true;
  ++p.incarnation;
  p.traffic = std::make_unique<thread_state<baseline_policies>>();
  p.traffic->traffic.executions.emplace(p.incarnation, execution_limits{});
  Announce(agent);
}

void record_simulation::Announce(int agent) {
  const process& p = Process(entry_count_ + agent);
  announcement a;
  a.backend = "booking-" + std::to_string(agent);
  a.incarnation = p.incarnation;
  a.zone = "zone-1";
  a.traffic_address = p.address;
  a.models = {"bookings"};
  for (int i = 0; i < entry_count_; ++i) {
    if (!Process(i).alive) continue;
    Deliver({i, thread_kind::kControl, Process(i).incarnation}, message_received{link_id{999}, a});
  }
}

void record_simulation::RestartAgent(int agent) {
  process& p = Process(entry_count_ + agent);
  p.alive = false;
  p.calls.clear();
  CloseLinks(p.number);
  StartAgent(agent);
}

void record_simulation::KillEntry(int entry) {
  Process(entry).alive = false;
  CloseLinks(entry);
}

void record_simulation::CrashEngine(int agent) {
  process& p = Process(entry_count_ + agent);
  for (const dispatch_id& id : std::exchange(p.calls, {})) {
    Deliver({p.number, thread_kind::kTraffic, p.incarnation},
            engine_call_failed{id, dispatch_failure::kEngineCrashed, true});
  }
}

void record_simulation::PartitionLeader(bool partitioned) {
  leader_partitioned_ = partitioned;
  if (partitioned) CloseLinks(kLeader);
}

exchange_id record_simulation::Submit(int entry, const std::string& key, bool first,
                                      const std::string& body) {
  caller_request request;
  request.exchange = {next_id_++};
  request.member = "club-1";
  request.kind = "booking";
  request.model = "bookings";
  request.path = "/v1/services/bookings";
  request.idempotency_key = key;
  request.first_submission = first;
  request.body = body;
  Deliver({entry, thread_kind::kTraffic, Process(entry).incarnation}, request);
  return request.exchange;
}

void record_simulation::DisconnectCaller(int entry, exchange_id exchange) {
  Deliver({entry, thread_kind::kTraffic, Process(entry).incarnation}, caller_closed{exchange});
}

void record_simulation::Deliver(const thread_ref& to, const event& e) {
  if (to.number == kLeader) {
    const auto* received = std::get_if<message_received>(&e);
    if (received != nullptr && !leader_partitioned_) HandleAtLeader(received->link, received->body);
    return;
  }
  process& p = Process(to.number);
  if (!p.alive || p.incarnation != to.incarnation) return;
  auto& state = to.thread == thread_kind::kControl ? p.control : p.traffic;
  effect_list effects;
  reduce_context ctx{now_, wall_, random, effects};
  Reduce(*state, e, ctx);
  for (effect& one : effects) Execute(to, one);
}

void record_simulation::HandleAtLeader(link_id link, const message& m) {
  auto ctx = Context();
  if (const auto* claim = std::get_if<claim_request>(&m)) server_.OnClaim(link, *claim, log_, ctx);
  if (const auto* outcome = std::get_if<outcome_request>(&m)) {
    server_.OnOutcome(link, *outcome, log_, ctx);
  }
  if (const auto* renew = std::get_if<lease_renew>(&m)) {
    leases_.OnRenew(link, *renew, state_.machine.Config(), leader_address, ctx);
  }
  effect_list effects = std::move(leader_effects_);
  leader_effects_.clear();
  for (effect& e : effects) Execute({kLeader, thread_kind::kControl, leader_incarnation_}, e);
}

void record_simulation::Open(const thread_ref& from, const endpoint& address) {
  thread_ref to{kLeader, thread_kind::kControl, leader_incarnation_};
  bool reachable = address == leader_address && !leader_partitioned_;
  for (const auto& p : processes_) {
    if (p->address != address || !p->alive) continue;
    reachable = true;
    to = {p->number, thread_kind::kTraffic, p->incarnation};
  }
  if (!reachable) {
    Schedule(milliseconds(1), [this, from, address] {
      Deliver(from, link_closed{{}, address, errc::kConnectFailed});
    });
    return;
  }
  std::uint64_t dialer_end = next_id_++;
  std::uint64_t listener_end = next_id_++;
  links_[dialer_end] = {from, listener_end, address};
  links_[listener_end] = {to, dialer_end, {}};
  hello peer;
  peer.process.incarnation = to.incarnation;
  Schedule(milliseconds(1), [this, dialer_end, from, peer, address] {
    if (links_.contains(dialer_end)) Deliver(from, link_opened{{dialer_end}, peer, address});
  });
}

void record_simulation::CloseLinkEnd(std::uint64_t id) {
  auto it = links_.find(id);
  if (it == links_.end()) return;
  link_end end = it->second;
  links_.erase(it);
  Schedule(milliseconds(1), [this, id, end] {
    Deliver(end.owner, link_closed{{id}, end.dialed, errc::kConnectFailed});
  });
  if (end.owner.number == kLeader) server_.OnClosed({id});
}

void record_simulation::CloseLinks(int number) {
  std::vector<std::uint64_t> ids;
  for (const auto& [id, end] : links_) {
    if (end.owner.number == number) ids.insert(ids.end(), {id, end.peer});
  }
  for (std::uint64_t id : ids) CloseLinkEnd(id);
}

void record_simulation::Execute(const thread_ref& from, effect& one) {
  auto* p = from.number == kLeader ? nullptr : &Process(from.number);
  std::visit(
      [&](auto& e) {
        using effect_type = std::decay_t<decltype(e)>;
        if constexpr (std::is_same_v<effect_type, send_message>) {
          auto it = links_.find(e.link.value);
          if (it == links_.end()) return;
          std::uint64_t peer = it->second.peer;
          int count = message_copies ? message_copies(e.body) : 1;
          for (int i = 0; i < count; ++i) {
            auto delay = message_delay ? message_delay(e.body) : milliseconds(1);
            if (!delay) continue;
            // A message in flight is delivered even if its link is closed in the meantime.
            auto end = links_.find(peer);
            if (end == links_.end()) continue;
            thread_ref owner = end->second.owner;
            Schedule(*delay, [this, peer, owner, body = e.body] {
              Deliver(owner, message_received{{peer}, body});
            });
          }
        } else if constexpr (std::is_same_v<effect_type, open_link>) {
          Open(from, e.address);
        } else if constexpr (std::is_same_v<effect_type, close_link>) {
          auto it = links_.find(e.link.value);
          if (it == links_.end()) return;
          std::uint64_t peer = it->second.peer;
          CloseLinkEnd(e.link.value);
          CloseLinkEnd(peer);
        } else if constexpr (std::is_same_v<effect_type, schedule_wakeup>) {
          auto& wakeups = p->wakeups[static_cast<std::size_t>(from.thread)];
          steady_time at = std::max(e.at, now_);
          if (!wakeups.insert(at).second) return;
          tasks_.push(
              {at, next_id_++, [this, from, at] {
                 Process(from.number).wakeups[static_cast<std::size_t>(from.thread)].erase(at);
                 Deliver(from, timer_expired{});
               }});
        } else if constexpr (std::is_same_v<effect_type, publish_routing_table>) {
          Deliver({from.number, thread_kind::kTraffic, from.incarnation},
                  routing_table_published{e.table, e.config_lease_until});
        } else if constexpr (std::is_same_v<effect_type, submit_claim> ||
                             std::is_same_v<effect_type, submit_outcome>) {
          Schedule(milliseconds(0), [this, from, event = e.event] {
            Deliver({from.number, thread_kind::kControl, from.incarnation}, event);
          });
        } else if constexpr (std::is_same_v<effect_type, deliver_claim_answer> ||
                             std::is_same_v<effect_type, deliver_outcome_answer>) {
          Schedule(milliseconds(0), [this, from, event = e.event] {
            Deliver({from.number, thread_kind::kTraffic, from.incarnation}, event);
          });
        } else if constexpr (std::is_same_v<effect_type, start_engine_call>) {
          if (engine_refuses) {
            Schedule(milliseconds(1), [this, from, id = e.id] {
              Deliver(from, engine_call_failed{id, dispatch_failure::kEngineUnreachable, false});
            });
            return;
          }
          ++runs[e.idempotency_key];
          p->calls.insert(e.id);
          std::string text = "ran " + e.idempotency_key;
          Schedule(engine_latency, [this, from, id = e.id, text] {
            if (Process(from.number).incarnation != from.incarnation) return;
            if (Process(from.number).calls.erase(id) == 0) return;
            Deliver(from, engine_answer_begin{id, 200, "text/plain"});
            Deliver(from, engine_answer_bytes{id, text});
            Deliver(from, engine_answer_end{id});
          });
        } else if constexpr (std::is_same_v<effect_type, probe_engine>) {
          Schedule(milliseconds(1), [this, from, number = e.number] {
            Deliver(from, engine_probe_done{number, true});
          });
        } else if constexpr (std::is_same_v<effect_type, cancel_engine_call>) {
          p->calls.erase(e.id);
        } else if constexpr (std::is_same_v<effect_type, respond_bytes>) {
          answers[e.exchange].body += e.bytes;
        } else if constexpr (std::is_same_v<effect_type, respond_end>) {
          answers[e.exchange].outcome = "done";
        } else if constexpr (std::is_same_v<effect_type, respond_problem>) {
          const char* names[] = {"not-run", "unknown", "done"};
          answers[e.exchange] = {names[static_cast<std::size_t>(e.outcome)], "", e.refusal,
                                 e.failure};
        } else if constexpr (std::is_same_v<effect_type, write_log>) {
          if (e.event.code == event_code::kInvariantViolated) {
            violation = e.event.fields.front().value;
          }
        }
      },
      one);
}

}  // namespace radishroute
