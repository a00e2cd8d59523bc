#include "raft_cluster.h"

#include <limits>
#include <variant>

namespace radishroute {

void fake_state_machine::Apply(const log_entry& entry, reduce_context&) {
  const auto* change = std::get_if<config_change>(&entry.body);
  std::string text = std::to_string(entry.term) + ":" + (change ? change->change_id : "-");
  if (change != nullptr) state_ += change->change_id + ",";
  if (record_ == nullptr) return;
  auto [it, added] = record_->entries.emplace(entry.index, text);
  if (!added && it->second != text) {
    record_->failure = "two entries applied at index " + std::to_string(entry.index);
  }
}

raft_cluster::raft_cluster(std::uint64_t seed, std::size_t size, raft_limits limits)
    : random_(seed), limits_(limits), nodes_(size) {
  replica_change initial;
  for (std::size_t i = 0; i < size; ++i) {
    replica& self = nodes_[i].self;
    self.id = {next_voter_++};
    self.address = {"127.0.0.1", static_cast<std::uint16_t>(i + 1)};
    initial.replicas.push_back(self);
  }
  for (node_state& state : nodes_) {
    state.disk.self = state.self.id;
    state.disk.term = 1;
    state.disk.entries = {{1, 1, initial}};
  }
  for (std::size_t i = 0; i < size; ++i) Start(i);
}

void raft_cluster::Start(std::size_t node) {
  node_state& state = nodes_[node];
  ++state.incarnation;
  state.log.emplace(0, limits_, fake_state_machine(&applied_));
  recovered_log recovered = state.disk;
  DropSupersededEntries(recovered);
  state.disk.entries = recovered.entries;
  if (auto error = state.log->Load(std::move(recovered))) failure = "load: " + error.message();
  Deliver(node, process_started{});
}

void raft_cluster::Crash(std::size_t node) {
  node_state& state = nodes_[node];
  ++state.incarnation;
  state.log.reset();
  state.wake_at.reset();
  state.paused = false;
  state.held_events.clear();
  if (state.storing) {
    StorePart(state, *state.storing);
    state.storing.reset();
  }
  std::vector<link_id> lost;
  for (const auto& [link, ends] : links_) {
    if (ends.first == node || ends.second == node) lost.push_back({link});
  }
  for (link_id link : lost) CloseLink(link);
}

void raft_cluster::LoseDisk(std::size_t node) {
  node_state& state = nodes_[node];
  state.self.id = {next_voter_++};
  state.disk = {};
  state.disk.self = state.self.id;
}

void raft_cluster::SetPaused(std::size_t node, bool paused) {
  node_state& state = nodes_[node];
  state.paused = paused;
  if (paused) return;
  std::vector<event> held_events = std::exchange(state.held_events, {});
  for (event& e : held_events) Deliver(node, std::move(e));
}

void raft_cluster::StorePart(node_state& state, const store_batch& batch) {
  // A batch has one step each for the vote, the snapshot, the truncation and each entry.
  std::uniform_int_distribution<std::size_t> steps(0, batch.entries.size() + 3);
  Store(state, batch, steps(random_));
}

void raft_cluster::Store(node_state& state, const store_batch& batch, std::size_t steps) {
  std::size_t done = 0;
  auto next = [&] { return done++ < steps; };
  if (next() && batch.write_vote) {
    state.disk.term = batch.term;
    state.disk.voted_for = batch.voted_for;
  }
  if (next() && batch.snapshot) state.disk.snapshot = batch.snapshot;
  auto& entries = state.disk.entries;
  if (batch.rewrite) {
    // The new log replaces the old one at once.
    if (next()) entries = batch.entries;
    return;
  }
  if (next() && batch.truncate_from != 0) {
    std::erase_if(entries, [&](const log_entry& e) { return e.index >= batch.truncate_from; });
  }
  for (const log_entry& entry : batch.entries) {
    if (next()) entries.push_back(entry);
  }
  if (next()) std::erase_if(entries, [&](const log_entry& e) { return e.index < batch.keep_from; });
}

bool raft_cluster::Step() {
  if (queue_.empty()) return false;
  auto it = queue_.begin();
  now_ = std::max(now_, it->first);
  queued_event next = std::move(it->second);
  queue_.erase(it);
  if (nodes_[next.node].incarnation == next.incarnation) Deliver(next.node, std::move(next.body));
  return true;
}

void raft_cluster::Run(std::chrono::milliseconds time) {
  steady_time end = now_ + time;
  while (failure.empty() && !queue_.empty() && queue_.begin()->first <= end) Step();
  now_ = std::max(now_, end);
}

bool raft_cluster::WithProbability(int percent) {
  return std::uniform_int_distribution<int>(0, 99)(random_) < percent;
}

std::chrono::microseconds raft_cluster::RandomDelay() {
  auto longest = std::chrono::duration_cast<std::chrono::microseconds>(network.max_delay).count();
  return std::chrono::microseconds(
      std::uniform_int_distribution<std::int64_t>(50, longest)(random_));
}

void raft_cluster::Schedule(std::size_t node, event e, std::chrono::microseconds after) {
  queue_.emplace(now_ + after, queued_event{node, nodes_[node].incarnation, std::move(e)});
}

void raft_cluster::Deliver(std::size_t node, event e) {
  node_state& state = nodes_[node];
  if (!state.log) return;
  if (state.paused) {
    state.held_events.push_back(std::move(e));
    return;
  }
  if (std::holds_alternative<timer_expired>(e)) state.wake_at.reset();
  effect_list effects;
  reduce_context ctx{now_, wall_time{}, random_, effects};
  if (auto* stored = std::get_if<log_stored>(&e); stored != nullptr && state.storing) {
    stored->error = state.disk_error;
    if (stored->error) {
      StorePart(state, *state.storing);
    } else {
      Store(state, *state.storing, std::numeric_limits<std::size_t>::max());
    }
    state.storing.reset();
  }
  auto handle = [&](const auto&... arguments) {
    if constexpr (requires { state.log->Handle(arguments..., ctx); })
      state.log->Handle(arguments..., ctx);
  };
  if (auto* received = std::get_if<message_received>(&e)) {
    std::visit([&](const auto& m) { handle(received->link, m); }, received->body);
  } else {
    std::visit(handle, e);
  }
  for (effect& one : effects) Execute(node, one);
  std::size_t leases = 0;
  for (const node_state& other : nodes_) {
    if (other.log && other.log->Core().LeaseHeld(now_)) ++leases;
  }
  if (leases > 1) failure = "two leaders hold a lease";
  if (!applied_.failure.empty()) failure = applied_.failure;
}

void raft_cluster::Execute(std::size_t node, effect& e) {
  if (auto* send = std::get_if<send_message>(&e)) SendTo(node, *send);
  if (auto* open = std::get_if<open_link>(&e)) OpenLink(node, open->address);
  if (auto* close = std::get_if<close_link>(&e)) CloseLink(close->link);
  if (auto* wake = std::get_if<schedule_wakeup>(&e)) {
    std::optional<steady_time>& wake_at = nodes_[node].wake_at;
    if (wake_at && *wake_at <= wake->at) return;
    wake_at = wake->at;
    auto after = std::max(wake->at - now_, steady_time::duration(1000));
    Schedule(node, timer_expired{}, std::chrono::duration_cast<std::chrono::microseconds>(after));
  }
  if (auto* store = std::get_if<store_log>(&e)) {
    if (nodes_[node].storing) failure = "two batches are stored at once";
    nodes_[node].storing = store->batch;
    ++store_count;
    Schedule(node, log_stored{0, store->batch->sequence, {}}, RandomDelay());
  }
  if (auto* finished = std::get_if<proposal_finished>(&e)) results_[finished->id] = *finished;
  if (auto* log = std::get_if<write_log>(&e)) CheckLogEvent(node, log->event);
}

void raft_cluster::CheckLogEvent(std::size_t, const log_event& e) {
  bool violated =
      e.code == event_code::kInvariantViolated || e.code == event_code::kPeerMessageRefused;
  if (violated) failure = "invariant: " + e.fields[0].value;
  if (e.code == event_code::kSnapshotInstalled) ++snapshots_installed;
  if (e.code == event_code::kLeaderMissing) leader_missing.push_back(e);
  if (e.code != event_code::kLeaderElected) return;
  auto [it, added] = leaders_.emplace(std::stoull(e.fields[0].value), e.fields[1].value);
  if (!added && it->second != e.fields[1].value) failure = "two leaders in a term";
}

void raft_cluster::CheckVoteReply(std::size_t, const message& m) {
  const auto* vote = std::get_if<vote_reply>(&m);
  if (vote == nullptr || vote->pre_vote || !vote->granted) return;
  auto key = std::pair(vote->header.from, vote->header.term);
  auto [it, added] = votes_.emplace(key, vote->header.to);
  if (!added && it->second != vote->header.to) failure = "a voter voted twice in a term";
}

void raft_cluster::SendTo(std::size_t node, const send_message& e) {
  CheckVoteReply(node, e.body);
  auto it = links_.find(e.link.value);
  if (it == links_.end()) return;
  std::size_t to = it->second.first == node ? it->second.second : it->second.first;
  if (blocked_.contains({node, to}) || WithProbability(network.drop_percent)) return;
  int copies = WithProbability(network.duplicate_percent) ? 2 : 1;
  for (int k = 0; k < copies; ++k) Schedule(to, message_received{e.link, e.body}, RandomDelay());
}

void raft_cluster::OpenLink(std::size_t node, const endpoint& address) {
  std::size_t to = address.port - 1U;
  if (!nodes_[to].log || blocked_.contains({node, to}) || blocked_.contains({to, node})) {
    Schedule(node, link_closed{{}, address, {}}, RandomDelay());
    return;
  }
  link_id link{next_link_++};
  links_[link.value] = {node, to};
  Schedule(node, link_opened{link, {}, address}, RandomDelay());
  Schedule(to, link_opened{link, {}, {}}, RandomDelay());
}

void raft_cluster::CloseLink(link_id link) {
  auto it = links_.find(link.value);
  if (it == links_.end()) return;
  auto [from, to] = it->second;
  links_.erase(it);
  Schedule(from, link_closed{link, nodes_[to].self.address, {}}, RandomDelay() + network.max_delay);
  Schedule(to, link_closed{link, {}, {}}, RandomDelay() + network.max_delay);
}

std::optional<std::size_t> raft_cluster::Leader() const {
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (IsRunning(i) && Core(i).LeaseHeld(now_)) return i;
  }
  return std::nullopt;
}

proposal_id raft_cluster::Propose(std::size_t node) {
  proposal_id id{next_proposal_++};
  Deliver(node, propose_command{id, config_change{0, std::to_string(id.value), "", ""}});
  return id;
}

std::optional<proposal_finished> raft_cluster::Result(proposal_id id) const {
  auto it = results_.find(id);
  return it == results_.end() ? std::nullopt : std::optional(it->second);
}

bool raft_cluster::CommitOne(std::chrono::milliseconds limit) {
  steady_time end = now_ + limit;
  while (now_ < end && failure.empty()) {
    if (!RunUntil([&] { return Leader().has_value(); }, limit)) return false;
    proposal_id id = Propose(*Leader());
    RunUntil([&] { return Result(id).has_value(); }, std::chrono::milliseconds(1000));
    if (Result(id) && Result(id)->status == proposal_status::kCommitted) return true;
  }
  return false;
}

}  // namespace radishroute
