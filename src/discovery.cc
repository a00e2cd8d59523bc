#include "radishroute/discovery.h"

#include <algorithm>
#include <random>
#include <tuple>
#include <utility>

namespace radishroute {

namespace {

// Each receiver of a change passes it on once. Digests repair the few entries that it misses.
constexpr std::size_t kFanOut = 3;

// Changes that must not wait for the next digest: leaving backend servers and crashes.
constexpr std::size_t kUrgentFanOut = 8;

// About 100 KB a message, far below the frame limit.
constexpr std::size_t kRecordsPerDelta = 500;

constexpr std::size_t kBeatsPerMessage = 64;

// At the same version, the entry that supervised the agent knows better that it is gone.
int Rank(backend_status status) {
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
      peers_(std::move(peers), limits.registered),
      is_controller_(role == process_role::kController),
      sheet_(std::move(initial)) {}

bool directory::Heard(const std::string& backend) const {
  return std::any_of(announced_on_.begin(), announced_on_.end(),
                     [&](const auto& entry) { return entry.second == backend; });
}

bool directory::Accept(const announcement& record, reduce_context& ctx) {
  auto it = records_.find(record.backend);
  if (it == records_.end()) {
    if (records_.size() >= limits_.max_records) return false;
    Store(record, ctx);
    return true;
  }
  announcement& known = it->second;
  if (Version(record) < Version(known)) return false;
  if (Version(record) == Version(known)) {
    if (Rank(record.status) > Rank(known.status)) {
      if (record.status == backend_status::kDown && Heard(record.backend)) return false;
      Store(record, ctx);
      return true;
    }
    // The same version from an entry that is alive: the record need not expire with the other.
    if (lost_homes_.contains(known.home) && !lost_homes_.contains(record.home)) {
      known.home = record.home;
      return true;
    }
    return false;
  }
  bool tombstone =
      known.incarnation == record.incarnation && known.status == backend_status::kLeaving;
  if (tombstone && record.status != backend_status::kLeaving) return false;
  Store(record, ctx);
  return true;
}

void directory::Store(const announcement& record, reduce_context& ctx) {
  auto [it, first] = records_.try_emplace(record.backend);
  announcement& known = it->second;
  bool changed = first || known.status != record.status || known.incarnation != record.incarnation;
  if (!first && known.status == backend_status::kUp) {
    bucket_hashes_[Bucket(known.backend)] ^= RecordHash(known);
    --up_count_;
  }
  known = record;
  if (known.status == backend_status::kUp) {
    bucket_hashes_[Bucket(known.backend)] ^= RecordHash(known);
    ++up_count_;
    tombstones_.erase(known.backend);
  } else {
    tombstones_[known.backend] = ctx.now + limits_.tombstone_retention;
  }
  beats_.try_emplace(known.home, life_sign{0, ctx.now});
  if (changed) ctx.Emit(write_log{BackendEvent(record)});
}

void directory::Handle(const process_started&, reduce_context& ctx) {
  if (Registered()) {
    pull_pending_ = !is_controller_;
    peers_.OpenAll(ctx);
    next_exchange_ = ctx.now + limits_.registration_exchange;
    ctx.Emit(schedule_wakeup{next_exchange_});
    Publish(ctx);
    return;
  }
  next_digest_ = ctx.now + limits_.digest_interval;
  beats_[self_.node] = {self_.incarnation, ctx.now};
  pull_pending_ = peers_.Size() > 0;
  if (pull_pending_) peers_.Spread(directory_pull{}, 1, ctx);
  Publish(ctx);
  ScheduleNext(ctx);
}

void directory::Handle(const link_opened& opened, reduce_context& ctx) {
  peers_.Handle(opened, ctx);
  if (Registered()) OnRegisteredLink(opened, ctx);
}

void directory::Handle(link_id link, const announcement& record, reduce_context& ctx) {
  announced_on_[link] = record.backend;
  lost_agents_.erase(record.backend);
  announcement heard = record;
  heard.home = self_.node;
  if (!Accept(heard, ctx)) return;
  Publish(ctx);
  SpreadRecords({{std::move(heard)}}, ctx);
}

void directory::Handle(const link_closed& closed, reduce_context& ctx) {
  bool unreachable = peers_.Handle(closed, ctx);
  if (unreachable && pull_pending_ && !Registered()) peers_.Spread(directory_pull{}, 1, ctx);
  registered_links_.erase(closed.link);
  auto it = announced_on_.find(closed.link);
  if (it == announced_on_.end()) return;
  std::string backend = it->second;
  announced_on_.erase(it);
  auto record = records_.find(backend);
  if (Heard(backend) || record == records_.end()) return;
  if (record->second.status != backend_status::kUp) return;
  lost_agents_[backend] = {ctx.now + limits_.reconnect_grace, record->second.incarnation,
                           record->second.sequence};
  ScheduleNext(ctx);
}

// An agent that is alive has announced a new version elsewhere by now, and that version wins.
void directory::ClaimLostAgents(reduce_context& ctx) {
  directory_delta delta;
  std::erase_if(lost_agents_, [&](const auto& entry) {
    const auto& [backend, lost] = entry;
    if (lost.claim_at > ctx.now) return false;
    auto it = records_.find(backend);
    if (it != records_.end() &&
        Version(it->second) == std::tuple(lost.incarnation, lost.sequence)) {
      announcement claim = it->second;
      claim.status = backend_status::kDown;
      claim.home = self_.node;
      if (Accept(claim, ctx)) delta.records.push_back(std::move(claim));
    }
    return true;
  });
  if (delta.records.empty()) return;
  Publish(ctx);
  SpreadRecords(std::move(delta), ctx);
}

void directory::SpreadRecords(directory_delta delta, reduce_context& ctx) {
  if (peers_.Size() == 0) return;
  bool urgent = std::any_of(
      delta.records.begin(), delta.records.end(),
      [](const announcement& record) { return record.status == backend_status::kLeaving; });
  ctx.Emit(count{counter::kDirectoryDeltasSent});
  peers_.Spread(std::move(delta), urgent ? kUrgentFanOut : kFanOut, ctx);
}

void directory::Handle(link_id link, const directory_delta& delta, reduce_context& ctx) {
  if (Registered()) {
    OnRegisteredDelta(link, delta, ctx);
    return;
  }
  bool first = std::exchange(pull_pending_, false);
  directory_delta fresh;
  for (const announcement& record : delta.records) {
    if (Accept(record, ctx)) fresh.records.push_back(record);
  }
  if (first || !fresh.records.empty()) Publish(ctx);
  if (fresh.records.empty()) return;
  // A large delta answers a pull; its records have spread already.
  if (fresh.records.size() < kRecordsPerDelta / 10) SpreadRecords(std::move(fresh), ctx);
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
  bool everything = pull.bucket_hashes.size() != kBuckets;
  directory_delta delta;
  for (const auto& [backend, record] : records_) {
    std::size_t bucket = Bucket(backend);
    if (!everything && pull.bucket_hashes[bucket] == bucket_hashes_[bucket]) continue;
    delta.records.push_back(record);
    if (delta.records.size() < kRecordsPerDelta) continue;
    ctx.Emit(send_message{link, std::move(delta)});
    delta = {};
  }
  // Also if empty: the peer then knows that there is nothing to wait for.
  ctx.Emit(send_message{link, std::move(delta)});
  crash_report crashes = crashes_.Snapshot(ctx.now);
  if (!Empty(crashes)) ctx.Emit(send_message{link, std::move(crashes)});
}

entry_heartbeats directory::NewestBeats() const {
  std::vector<std::pair<steady_time, entry_heartbeat>> known;
  for (const auto& [node, sign] : beats_) {
    if (sign.value != 0) known.push_back({sign.advanced, {node, sign.value}});
  }
  std::size_t kept = std::min(known.size(), kBeatsPerMessage);
  std::partial_sort(known.begin(), known.begin() + static_cast<std::ptrdiff_t>(kept), known.end(),
                    [](const auto& a, const auto& b) { return a.first > b.first; });
  entry_heartbeats newest;
  for (std::size_t i = 0; i < kept; ++i) newest.beats.push_back(known[i].second);
  return newest;
}

void directory::Handle(link_id, const entry_heartbeats& beats, reduce_context& ctx) {
  for (const entry_heartbeat& beat : beats.beats) {
    if (beat.node == self_.node || beats_.size() >= limits_.max_records) continue;
    life_sign& sign = beats_[beat.node];
    if (beat.value <= sign.value) continue;
    sign = {beat.value, ctx.now};
  }
  UpdateLostHomes(ctx);
}

void directory::UpdateLostHomes(reduce_context& ctx) {
  auto timeout = std::max(limits_.home_timeout,
                          limits_.home_timeout_per_peer * static_cast<int>(peers_.Size()));
  std::set<std::uint64_t> lost;
  for (const auto& [node, sign] : beats_) {
    if (node != self_.node && ctx.now - sign.advanced > timeout) lost.insert(node);
  }
  if (lost == lost_homes_) return;
  lost_homes_ = std::move(lost);
  for (const auto& [backend, record] : records_) {
    if (record.status != backend_status::kUp || Routable(record)) continue;
    ctx.Emit(count{counter::kDirectoryRecordsExpired});
    ctx.Emit(write_log{
        {event_code::kDirectoryRecordExpired, log_level::kWarning, {{"backend", backend}}}});
  }
  Publish(ctx);
}

void directory::ExpireTombstones(reduce_context& ctx) {
  std::erase_if(tombstones_, [&](const auto& entry) {
    if (entry.second > ctx.now) return false;
    records_.erase(entry.first);
    return true;
  });
}

void directory::ExchangeDigest(reduce_context& ctx) {
  life_sign& own = beats_[self_.node];
  own = {own.value + 1, ctx.now};
  if (pull_pending_) peers_.Spread(directory_pull{}, 1, ctx);
  // Both messages go to the same peer in most cases; it does not matter if they do not.
  peers_.Spread(Digest(false), 1, ctx);
  peers_.Spread(NewestBeats(), 1, ctx);
  // Jitter keeps entries that started together from exchanging digests in step.
  std::uniform_int_distribution<std::int64_t> period(limits_.digest_interval.count() * 9 / 10,
                                                     limits_.digest_interval.count() * 11 / 10);
  next_digest_ = ctx.now + std::chrono::milliseconds(period(ctx.random));
}

void directory::Handle(const timer_expired& timer, reduce_context& ctx) {
  peers_.Handle(timer, ctx);
  if (Registered()) {
    if (is_controller_ && ctx.now >= next_exchange_) ExchangeRegistrations(ctx);
    if (is_controller_) ctx.Emit(schedule_wakeup{next_exchange_});
    return;
  }
  ClaimLostAgents(ctx);
  if (peers_.Size() > 0 && ctx.now >= next_digest_) {
    ExchangeDigest(ctx);
    UpdateLostHomes(ctx);
    ExpireTombstones(ctx);
  }
  ScheduleNext(ctx);
}

void directory::ScheduleNext(reduce_context& ctx) const {
  if (peers_.Size() > 0) ctx.Emit(schedule_wakeup{next_digest_});
  for (const auto& [backend, lost] : lost_agents_) ctx.Emit(schedule_wakeup{lost.claim_at});
}

void directory::SpreadCrashes(const crash_report& report, reduce_context& ctx) {
  crash_report fresh = crashes_.Merge(report, ctx.now);
  if (Empty(fresh)) return;
  for (const crash_charge& charge : fresh.charges) {
    if (crashes_.CrashStatus(charge.content, ctx.now) != crash_status::kQuarantined) continue;
    ctx.Emit(write_log{{event_code::kFingerprintQuarantined,
                        log_level::kWarning,
                        {{"fingerprint", std::to_string(charge.content.value)}}}});
  }
  peers_.Spread(fresh, kUrgentFanOut, ctx);
  ctx.Emit(share_crash_report{std::move(fresh)});
}

void directory::Handle(const crash_report_shared& shared, reduce_context& ctx) {
  SpreadCrashes(shared.report, ctx);
}

void directory::Handle(link_id, const crash_report& report, reduce_context& ctx) {
  SpreadCrashes(report, ctx);
}

void directory::SetWork(std::uint64_t version, work_sheet sheet, reduce_context& ctx) {
  config_version_ = version;
  sheet_ = std::move(sheet);
  Publish(ctx);
}

bool directory::Routable(const announcement& record) const {
  if (record.status != backend_status::kUp) return false;
  if (Registered()) return true;
  return !lost_homes_.contains(record.home) || Heard(record.backend);
}

backend_status directory::Status(const std::string& backend) const {
  auto it = records_.find(backend);
  if (it == records_.end()) return backend_status::kDown;
  if (it->second.status == backend_status::kUp && !Routable(it->second)) {
    return backend_status::kDown;
  }
  return it->second.status;
}

void directory::SetLease(steady_time until, reduce_context& ctx) {
  lease_until_ = until;
  // The table itself has not changed, so a renewal costs no rebuild.
  if (published_) ctx.Emit(publish_routing_table{published_, lease_until_});
}

void directory::Publish(reduce_context& ctx) {
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
  published_ = std::move(table);
  ctx.Emit(publish_routing_table{published_, lease_until_});
}

}  // namespace radishroute
