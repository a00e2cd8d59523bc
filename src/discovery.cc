#include "radishroute/discovery.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace radishroute {

namespace {

// Number of peers that a change is sent to. Each receiver forwards it once; digests repair the few
// entries that gossip misses.
constexpr std::size_t kFanOut = 3;

// Fan-out of changes that must not wait for the next digest: leaving backend servers and crashes.
constexpr std::size_t kUrgentFanOut = 8;

// About 100 KB per message, far below the frame size limit.
constexpr std::size_t kRecordsPerDelta = 500;

constexpr std::size_t kHeartbeatsPerMessage = 64;

// Of two records with the same ordering key, the higher precedence wins: kDown overrides kUp, since
// the entry that supervised the agent knows that it is gone.
int StatusPrecedence(backend_status status) {
  switch (status) {
    case backend_status::kUp:
      return 0;
    case backend_status::kDown:
      return 1;
    case backend_status::kLeaving:
      return 2;
  }
  return 0;
}

std::size_t Bucket(const std::string& backend) { return StableHash(backend) % directory::kBuckets; }

std::uint64_t RecordHash(const announcement& record) {
  return StableHash(record.backend, record.incarnation ^ StableHash({}, record.sequence));
}

log_event BackendEvent(const announcement& record) {
  log_event event;
  event.code = event_code::kBackendUp;
  if (record.status == backend_status::kLeaving) event.code = event_code::kBackendLeaving;
  if (record.status == backend_status::kDown) event.code = event_code::kBackendDown;
  event.fields = {{"backend", record.backend},
                  {"incarnation", std::to_string(record.incarnation)},
                  {"sequence", std::to_string(record.sequence)}};
  return event;
}

}  // namespace

directory::directory(process_id self, std::string zone, work_sheet initial,
                     std::vector<endpoint> peers, directory_limits limits, process_role role)
    : self_(self),
      zone_(std::move(zone)),
      limits_(limits),
      peers_(std::move(peers), limits.use_registration),
      is_controller_(role == process_role::kController),
      sheet_(std::move(initial)) {}

bool directory::HasAnnouncingLink(const std::string& backend) const {
  return std::any_of(backend_by_link_.begin(), backend_by_link_.end(),
                     [&](const auto& entry) { return entry.second == backend; });
}

bool directory::Accept(const announcement& record, reduce_context& ctx) {
  auto it = records_.find(record.backend);
  if (it == records_.end()) {
    if (records_.size() >= limits_.max_records) return false;
    Store(record, ctx);
    return true;
  }
  announcement& current = it->second;
  if (OrderingKey(record) < OrderingKey(current)) return false;
  if (OrderingKey(record) == OrderingKey(current)) {
    if (StatusPrecedence(record.status) > StatusPrecedence(current.status)) {
      if (record.status == backend_status::kDown && HasAnnouncingLink(record.backend)) return false;
      Store(record, ctx);
      return true;
    }
    // The same announcement came through an entry that is alive, so the record does not expire
    // with the lost home entry.
    if (lost_home_entries_.contains(current.home) && !lost_home_entries_.contains(record.home)) {
      current.home = record.home;
      return true;
    }
    return false;
  }
  bool tombstone =
      current.incarnation == record.incarnation && current.status == backend_status::kLeaving;
  if (tombstone && record.status != backend_status::kLeaving) return false;
  Store(record, ctx);
  return true;
}

void directory::Store(const announcement& record, reduce_context& ctx) {
  auto [it, first] = records_.try_emplace(record.backend);
  announcement& current = it->second;
  bool changed =
      first || current.status != record.status || current.incarnation != record.incarnation;
  if (!first && current.status == backend_status::kUp) {
    bucket_hashes_[Bucket(current.backend)] ^= RecordHash(current);
    --up_count_;
  }
  current = record;
  if (current.status == backend_status::kUp) {
    bucket_hashes_[Bucket(current.backend)] ^= RecordHash(current);
    ++up_count_;
    tombstones_.erase(current.backend);
  } else {
    tombstones_[current.backend] = ctx.now + limits_.tombstone_retention;
  }
  heartbeats_.try_emplace(current.home, heartbeat_state{0, ctx.now});
  if (changed) ctx.Emit(write_log{BackendEvent(record)});
}

void directory::Handle(const process_started&, reduce_context& ctx) {
  if (UsesRegistration()) {
    pull_pending_ = !is_controller_;
    peers_.OpenAll(ctx);
    next_registration_exchange_ = ctx.now + limits_.registration_exchange;
    ctx.Emit(schedule_wakeup{next_registration_exchange_});
    PublishRoutingTable(ctx);
    return;
  }
  next_digest_ = ctx.now + limits_.digest_interval;
  heartbeats_[self_.node] = {self_.incarnation, ctx.now};
  pull_pending_ = peers_.Size() > 0;
  if (pull_pending_) peers_.SendToRandom(directory_pull{}, 1, ctx);
  PublishRoutingTable(ctx);
  ScheduleNext(ctx);
}

void directory::Handle(const link_opened& opened, reduce_context& ctx) {
  peers_.Handle(opened, ctx);
  if (UsesRegistration()) OnPushLinkOpened(opened, ctx);
}

void directory::Handle(link_id link, const announcement& record, reduce_context& ctx) {
  backend_by_link_[link] = record.backend;
  lost_agents_.erase(record.backend);
  announcement received = record;
  received.home = self_.node;
  if (!Accept(received, ctx)) return;
  PublishRoutingTable(ctx);
  GossipRecords({{std::move(received)}}, ctx);
}

void directory::Handle(const link_closed& closed, reduce_context& ctx) {
  bool failed = peers_.Handle(closed, ctx);
  if (failed && pull_pending_ && !UsesRegistration()) peers_.SendToRandom(directory_pull{}, 1, ctx);
  push_links_.erase(closed.link);
  auto it = backend_by_link_.find(closed.link);
  if (it == backend_by_link_.end()) return;
  std::string backend = it->second;
  backend_by_link_.erase(it);
  auto record = records_.find(backend);
  if (HasAnnouncingLink(backend) || record == records_.end()) return;
  if (record->second.status != backend_status::kUp) return;
  lost_agents_[backend] = {ctx.now + limits_.reconnect_grace, record->second.incarnation,
                           record->second.sequence};
  ScheduleNext(ctx);
}

// An agent that is still running has announced itself to another entry by now. That announcement is
// newer, and the agent is not declared down.
void directory::DeclareLostAgentsDown(reduce_context& ctx) {
  directory_delta delta;
  std::erase_if(lost_agents_, [&](const auto& entry) {
    const auto& [backend, lost] = entry;
    if (lost.declare_down_at > ctx.now) return false;
    auto it = records_.find(backend);
    if (it != records_.end() &&
        OrderingKey(it->second) == std::tuple(lost.incarnation, lost.sequence)) {
      announcement down = it->second;
      down.status = backend_status::kDown;
      down.home = self_.node;
      if (Accept(down, ctx)) delta.records.push_back(std::move(down));
    }
    return true;
  });
  if (delta.records.empty()) return;
  PublishRoutingTable(ctx);
  GossipRecords(std::move(delta), ctx);
}

void directory::GossipRecords(directory_delta delta, reduce_context& ctx) {
  if (peers_.Size() == 0) return;
  bool urgent = std::any_of(
      delta.records.begin(), delta.records.end(),
      [](const announcement& record) { return record.status == backend_status::kLeaving; });
  ctx.Emit(count{counter::kDirectoryDeltasSent});
  peers_.SendToRandom(std::move(delta), urgent ? kUrgentFanOut : kFanOut, ctx);
}

void directory::Handle(link_id link, const directory_delta& delta, reduce_context& ctx) {
  if (UsesRegistration()) {
    OnPushedDelta(link, delta, ctx);
    return;
  }
  bool first_delta = std::exchange(pull_pending_, false);
  directory_delta accepted;
  for (const announcement& record : delta.records) {
    if (Accept(record, ctx)) accepted.records.push_back(record);
  }
  if (first_delta || !accepted.records.empty()) PublishRoutingTable(ctx);
  if (accepted.records.empty()) return;
  // A large delta is the response to a pull, and its records have been gossiped already.
  if (accepted.records.size() < kRecordsPerDelta / 10) GossipRecords(std::move(accepted), ctx);
}

directory_digest directory::Digest(bool reply) const {
  std::uint64_t hash = 0;
  for (std::uint64_t bucket : bucket_hashes_) hash = StableHash({}, hash ^ bucket);
  return {up_count_, hash, reply};
}

void directory::Handle(link_id link, const directory_digest& digest, reduce_context& ctx) {
  directory_digest own = Digest(true);
  if (own.record_count == digest.record_count && own.hash == digest.hash) return;
  ctx.Emit(count{counter::kDirectoryPulls});
  ctx.Emit(send_message{link, directory_pull{{bucket_hashes_.begin(), bucket_hashes_.end()}}});
  if (!digest.reply) ctx.Emit(send_message{link, own});
}

void directory::Handle(link_id link, const directory_pull& pull, reduce_context& ctx) {
  bool all_buckets = pull.bucket_hashes.size() != kBuckets;
  directory_delta delta;
  for (const auto& [backend, record] : records_) {
    std::size_t bucket = Bucket(backend);
    if (!all_buckets && pull.bucket_hashes[bucket] == bucket_hashes_[bucket]) continue;
    delta.records.push_back(record);
    if (delta.records.size() < kRecordsPerDelta) continue;
    ctx.Emit(send_message{link, std::move(delta)});
    delta = {};
  }
  // Sent even if empty, so that the peer does not wait for records.
  ctx.Emit(send_message{link, std::move(delta)});
  crash_report crashes = quarantine_.Snapshot(ctx.now);
  if (!Empty(crashes)) ctx.Emit(send_message{link, std::move(crashes)});
}

entry_heartbeats directory::NewestHeartbeats() const {
  std::vector<std::pair<steady_time, entry_heartbeat>> candidates;
  for (const auto& [node, state] : heartbeats_) {
    if (state.value != 0) candidates.push_back({state.last_advanced, {node, state.value}});
  }
  std::size_t kept = std::min(candidates.size(), kHeartbeatsPerMessage);
  std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(kept),
                    candidates.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  entry_heartbeats newest;
  for (std::size_t i = 0; i < kept; ++i) newest.beats.push_back(candidates[i].second);
  return newest;
}

void directory::Handle(link_id, const entry_heartbeats& beats, reduce_context& ctx) {
  for (const entry_heartbeat& beat : beats.beats) {
    if (beat.node == self_.node || heartbeats_.size() >= limits_.max_records) continue;
    heartbeat_state& state = heartbeats_[beat.node];
    if (beat.value <= state.value) continue;
    state = {beat.value, ctx.now};
  }
  UpdateLostHomeEntries(ctx);
}

void directory::UpdateLostHomeEntries(reduce_context& ctx) {
  auto timeout = std::max(limits_.home_timeout,
                          limits_.home_timeout_per_peer * static_cast<int>(peers_.Size()));
  std::set<std::uint64_t> lost;
  for (const auto& [node, state] : heartbeats_) {
    if (node != self_.node && ctx.now - state.last_advanced > timeout) lost.insert(node);
  }
  if (lost == lost_home_entries_) return;
  lost_home_entries_ = std::move(lost);
  for (const auto& [backend, record] : records_) {
    if (record.status != backend_status::kUp || Routable(record)) continue;
    ctx.Emit(count{counter::kDirectoryRecordsExpired});
    ctx.Emit(write_log{
        {event_code::kDirectoryRecordExpired, log_level::kWarning, {{"backend", backend}}}});
  }
  PublishRoutingTable(ctx);
}

void directory::ExpireTombstones(reduce_context& ctx) {
  std::erase_if(tombstones_, [&](const auto& entry) {
    if (entry.second > ctx.now) return false;
    records_.erase(entry.first);
    return true;
  });
}

void directory::SendDigest(reduce_context& ctx) {
  heartbeat_state& own = heartbeats_[self_.node];
  own = {own.value + 1, ctx.now};
  if (pull_pending_) peers_.SendToRandom(directory_pull{}, 1, ctx);
  // Both messages go to the same peer in most cases, but need not.
  peers_.SendToRandom(Digest(false), 1, ctx);
  peers_.SendToRandom(NewestHeartbeats(), 1, ctx);
  // Jitter keeps entries that started together from exchanging digests at the same moments.
  std::uniform_int_distribution<std::int64_t> period(limits_.digest_interval.count() * 9 / 10,
                                                     limits_.digest_interval.count() * 11 / 10);
  next_digest_ = ctx.now + std::chrono::milliseconds(period(ctx.random));
}

void directory::Handle(const timer_expired& timer, reduce_context& ctx) {
  peers_.Handle(timer, ctx);
  if (UsesRegistration()) {
    if (is_controller_ && ctx.now >= next_registration_exchange_) ExchangeRegistrations(ctx);
    if (is_controller_) ctx.Emit(schedule_wakeup{next_registration_exchange_});
    return;
  }
  DeclareLostAgentsDown(ctx);
  if (peers_.Size() > 0 && ctx.now >= next_digest_) {
    SendDigest(ctx);
    UpdateLostHomeEntries(ctx);
    ExpireTombstones(ctx);
  }
  ScheduleNext(ctx);
}

void directory::ScheduleNext(reduce_context& ctx) const {
  if (peers_.Size() > 0) ctx.Emit(schedule_wakeup{next_digest_});
  for (const auto& [backend, lost] : lost_agents_) ctx.Emit(schedule_wakeup{lost.declare_down_at});
}

void directory::GossipCrashes(const crash_report& report, reduce_context& ctx) {
  crash_report accepted = quarantine_.Merge(report, ctx.now);
  if (Empty(accepted)) return;
  for (const crash_charge& charge : accepted.charges) {
    if (quarantine_.CrashStatus(charge.content, ctx.now) != crash_status::kQuarantined) continue;
    ctx.Emit(write_log{{event_code::kFingerprintQuarantined,
                        log_level::kWarning,
                        {{"fingerprint", std::to_string(charge.content.value)}}}});
  }
  peers_.SendToRandom(accepted, kUrgentFanOut, ctx);
  ctx.Emit(share_crash_report{std::move(accepted)});
}

void directory::Handle(const crash_report_shared& shared, reduce_context& ctx) {
  GossipCrashes(shared.report, ctx);
}

void directory::Handle(link_id, const crash_report& report, reduce_context& ctx) {
  GossipCrashes(report, ctx);
}

void directory::SetSheet(std::uint64_t version, work_sheet sheet, reduce_context& ctx) {
  config_version_ = version;
  sheet_ = std::move(sheet);
  PublishRoutingTable(ctx);
}

bool directory::Routable(const announcement& record) const {
  if (record.status != backend_status::kUp) return false;
  if (UsesRegistration()) return true;
  return !lost_home_entries_.contains(record.home) || HasAnnouncingLink(record.backend);
}

backend_status directory::Status(const std::string& backend) const {
  auto it = records_.find(backend);
  if (it == records_.end()) return backend_status::kDown;
  if (it->second.status == backend_status::kUp && !Routable(it->second)) {
    return backend_status::kDown;
  }
  return it->second.status;
}

void directory::SetLease(steady_time expires_at, reduce_context& ctx) {
  lease_expires_at_ = expires_at;
  // The table itself is unchanged, so a renewal does not rebuild it.
  if (published_table_) ctx.Emit(publish_routing_table{published_table_, lease_expires_at_});
}

void directory::PublishRoutingTable(reduce_context& ctx) {
  auto table = std::make_shared<routing_table>();
  table->config_version = config_version_;
  table->has_configuration = !sheet_.kinds.empty();
  table->directory_known = !pull_pending_;
  for (const auto& [name, record] : records_) {
    auto index = static_cast<std::uint32_t>(table->backends.size());
    table->backends.push_back(record);
    if (!Routable(record)) continue;
    for (const std::string& model : record.models) {
      backend_pool& pool = table->pools[model];
      (record.zone == zone_ ? pool.local : pool.remote).push_back(index);
    }
  }
  for (const work_kind& kind : sheet_.kinds) table->kinds[kind.name] = kind;
  for (const member_config& member : sheet_.members) table->members[member.name] = member;
  table->floor_percent = sheet_.floor_percent;
  published_table_ = std::move(table);
  ctx.Emit(publish_routing_table{published_table_, lease_expires_at_});
}

}  // namespace radishroute
