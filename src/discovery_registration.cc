#include <utility>

#include "radishroute/discovery.h"

// Registration of backend servers at controllers. Each controller receives the registrations of
// some of them, pushes every change to all other controllers and entries, and reports to the other
// controllers each second which registrations were repeated.

namespace radishroute {

namespace {

// A remaining time that only runs down is known; one that has grown or ended is a change.
bool SameColdness(const announcement& known, const announcement& update) {
  if (update.cold_remaining.count() == 0) return known.cold_remaining.count() == 0;
  return update.cold_remaining <= known.cold_remaining;
}

// Whether an update differs from the known record in anything but the sequence number of the
// registration.
bool SameContent(const announcement& a, const announcement& b) {
  return SameColdness(b, a) && a.incarnation == b.incarnation && a.status == b.status &&
         a.zone == b.zone && a.traffic_address == b.traffic_address && a.models == b.models &&
         a.version == b.version && a.concurrency_limit == b.concurrency_limit;
}

void RejectRegistration(const backend_registered& registered, std::string_view reason,
                        reduce_context& ctx) {
  const announcement& record = registered.record;
  ctx.Emit(count{counter::kRegistrationsRejected});
  ctx.Emit(write_log{{event_code::kRegistrationRejected,
                      log_level::kWarning,
                      {{"backend", record.backend},
                       {"address", ToString(record.traffic_address)},
                       {"incarnation", std::to_string(record.incarnation)},
                       {"sequence", std::to_string(record.sequence)},
                       {"reason", std::string(reason)}}}});
  ctx.Emit(registration_answered{registered.exchange, false});
}

}  // namespace

// Whoever claims a start in the future, or a number of registrations beyond reach, would be taken
// for newer than every true registration that follows.
bool directory::IsPlausible(const announcement& record, wall_time wall) const {
  auto since_epoch = std::chrono::duration_cast<std::chrono::milliseconds>(wall.time_since_epoch());
  auto latest_start =
      static_cast<std::uint64_t>((since_epoch + limits_.max_clock_difference).count());
  if (record.incarnation > latest_start) return false;
  std::uint64_t longest_life = latest_start - record.incarnation;
  auto interval = static_cast<std::uint64_t>(limits_.min_registration_interval.count());
  return record.sequence <= limits_.registration_allowance + longest_life / interval;
}

// One incarnation of a backend server keeps its address, zone and service.
bool directory::KeepsIdentity(const announcement& record) const {
  auto it = records_.find(record.backend);
  if (it == records_.end() || it->second.incarnation != record.incarnation) return true;
  const announcement& known = it->second;
  return known.traffic_address == record.traffic_address && known.zone == record.zone &&
         known.models == record.models;
}

void directory::OnPushLinkOpened(const link_opened& opened, reduce_context& ctx) {
  bool dialed_controller =
      !opened.dialed.host.empty() && opened.peer.role == process_role::kController;
  bool entry = opened.dialed.host.empty() && opened.peer.role == process_role::kEntry;
  if (!is_controller_ || (!dialed_controller && !entry)) return;
  push_links_[opened.link] = {dialed_controller};
  // Changes may have been lost with the previous link.
  directory_delta all;
  for (const auto& [backend, record] : records_) all.records.push_back(record);
  ctx.Emit(send_message{opened.link, std::move(all)});
}

void directory::AddController(const endpoint& address, reduce_context& ctx) {
  if (!UsesRegistration()) return;
  peers_.Add(address);
  peers_.OpenAll(ctx);
}

// Addresses are reused. Of two backend servers with the same address, the one that started later is
// kept, and a late registration of the other one is ignored.
bool directory::ResolveAddressConflict(const announcement& record, directory_delta& changes,
                                       reduce_context& ctx) {
  if (record.status != backend_status::kUp) return true;
  std::vector<announcement> replaced;
  for (const auto& [backend, other] : records_) {
    bool conflicts = backend != record.backend && other.status == backend_status::kUp &&
                     other.traffic_address == record.traffic_address;
    if (!conflicts) continue;
    if (other.incarnation > record.incarnation) return false;
    replaced.push_back(other);
  }
  for (announcement& other : replaced) {
    other.status = backend_status::kLeaving;
    Store(other, ctx);
    changes.records.push_back(std::move(other));
  }
  return true;
}

// Returns true if the record changes the contents of the directory.
bool directory::AcceptRegistration(const announcement& record, bool received_directly,
                                   reduce_context& ctx) {
  auto it = records_.find(record.backend);
  if (it == records_.end()) {
    if (records_.size() >= limits_.max_records) return false;
    Store(record, ctx);
    registrations_[record.backend] = {record.sequence, ctx.now, received_directly};
    return true;
  }
  announcement& current = it->second;
  registration& last = registrations_[record.backend];
  if (record.incarnation < current.incarnation) return false;
  bool same_incarnation = record.incarnation == current.incarnation;
  if (same_incarnation && current.status == backend_status::kLeaving) return false;
  bool leaving = record.status == backend_status::kLeaving;
  if (same_incarnation && record.sequence < std::max(last.sequence, current.sequence) && !leaving) {
    return false;
  }
  bool repeated = same_incarnation && record.sequence == last.sequence && !leaving &&
                  record.status != backend_status::kDown;
  if (repeated && SameContent(record, current)) return false;
  last = {record.sequence, ctx.now, received_directly};
  if (SameContent(record, current)) {
    current.sequence = record.sequence;
    return false;
  }
  Store(record, ctx);
  return true;
}

void directory::SendToAll(const directory_delta& delta, bool controllers_only,
                          reduce_context& ctx) {
  if (delta.records.empty()) return;
  for (const auto& [link, kind] : push_links_) {
    if (controllers_only && !kind.to_controller) continue;
    if (!controllers_only) ctx.Emit(count{counter::kDirectoryDeltasSent});
    ctx.Emit(send_message{link, delta});
  }
}

// This controller may have told entries that the backend server is down, while it was cut off from
// the one that receives the registrations. That one sees no change and sends nothing.
void directory::SendToEntries(const directory_delta& delta, reduce_context& ctx) const {
  if (delta.records.empty()) return;
  std::vector<link_id> entries;
  for (const auto& [link, kind] : push_links_) {
    if (!kind.to_controller) entries.push_back(link);
  }
  if (entries.empty()) return;
  ctx.Emit(count{counter::kDirectoryDeltasSent, entries.size()});
  ctx.Emit(broadcast_message{std::move(entries), delta});
}

void directory::Handle(const backend_registered& registered, reduce_context& ctx) {
  if (!IsPlausible(registered.record, ctx.wall)) {
    RejectRegistration(registered, "implausible", ctx);
    return;
  }
  if (!KeepsIdentity(registered.record)) {
    RejectRegistration(registered, "changed-identity", ctx);
    return;
  }
  announcement record = registered.record;
  record.home = self_.node;
  directory_delta changes;
  if (ResolveAddressConflict(record, changes, ctx) && AcceptRegistration(record, true, ctx)) {
    changes.records.push_back(std::move(record));
  }
  SendToAll(changes, false, ctx);
  if (!changes.records.empty()) PublishRoutingTable(ctx);
  ctx.Emit(registration_answered{registered.exchange});
}

void directory::Handle(const backend_withdrawn& withdrawn, reduce_context& ctx) {
  auto it = records_.find(withdrawn.backend);
  if (it != records_.end() && it->second.status != backend_status::kLeaving) {
    announcement record = it->second;
    record.status = backend_status::kLeaving;
    record.home = self_.node;
    Store(record, ctx);
    SendToAll({{std::move(record)}}, false, ctx);
    PublishRoutingTable(ctx);
  }
  ctx.Emit(registration_answered{withdrawn.exchange});
}

void directory::OnPushedDelta(link_id, const directory_delta& delta, reduce_context& ctx) {
  bool was_pending = std::exchange(pull_pending_, pull_pending_ && delta.records.empty());
  bool changed = was_pending && !pull_pending_;
  directory_delta corrections;
  directory_delta changes;
  directory_delta returned;
  for (const announcement& record : delta.records) {
    auto current = records_.find(record.backend);
    bool outdated = current != records_.end() && record.status == backend_status::kDown &&
                    current->second.status == backend_status::kUp &&
                    OrderingKey(record) < OrderingKey(current->second);
    // Another controller declared the backend server down, but this one has received a newer
    // registration.
    if (outdated && is_controller_) corrections.records.push_back(current->second);
    bool was_down = current != records_.end() && current->second.status == backend_status::kDown;
    if (ResolveAddressConflict(record, changes, ctx) && AcceptRegistration(record, false, ctx)) {
      changed = true;
      if (was_down && record.status == backend_status::kUp) returned.records.push_back(record);
    }
  }
  if (is_controller_) {
    SendToAll(corrections, false, ctx);
    SendToEntries(returned, ctx);
  }
  if (changed || !changes.records.empty()) PublishRoutingTable(ctx);
}

void directory::ExchangeRegistrations(reduce_context& ctx) {
  ExpireRegistrations(ctx);
  directory_delta repeated;
  for (auto& [backend, last] : registrations_) {
    if (!std::exchange(last.received_directly, false)) continue;
    auto it = records_.find(backend);
    if (it != records_.end()) repeated.records.push_back(it->second);
  }
  SendToAll(repeated, true, ctx);
  ExpireTombstones(ctx);
  next_registration_exchange_ = ctx.now + limits_.registration_exchange;
}

void directory::ExpireRegistrations(reduce_context& ctx) {
  directory_delta expired;
  for (const auto& [backend, last] : registrations_) {
    if (ctx.now - last.last_received <= limits_.registration_timeout) continue;
    auto it = records_.find(backend);
    if (it == records_.end() || it->second.status != backend_status::kUp) continue;
    announcement record = it->second;
    record.status = backend_status::kDown;
    record.sequence = last.sequence;
    Store(record, ctx);
    expired.records.push_back(std::move(record));
  }
  if (expired.records.empty()) return;
  SendToAll(expired, false, ctx);
  PublishRoutingTable(ctx);
}

}  // namespace radishroute
