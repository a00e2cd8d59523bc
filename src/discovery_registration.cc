#include <utility>

#include "radishroute/discovery.h"

// Registration of backend servers at controllers. Each controller hears some of them, pushes every
// change to all other controllers and entries, and says each second which ones it still hears.

namespace radishroute {

namespace {

// Whether two records differ in anything but the number of the registration.
bool SameContent(const announcement& a, const announcement& b) {
  return a.incarnation == b.incarnation && a.status == b.status && a.zone == b.zone &&
         a.traffic_address == b.traffic_address && a.models == b.models && a.version == b.version &&
         a.concurrency_limit == b.concurrency_limit;
}

}  // namespace

void directory::OnRegisteredLink(const link_opened& opened, reduce_context& ctx) {
  bool dialed_controller =
      !opened.dialed.host.empty() && opened.peer.role == process_role::kController;
  bool entry = opened.dialed.host.empty() && opened.peer.role == process_role::kEntry;
  if (!is_controller_ || (!dialed_controller && !entry)) return;
  registered_links_[opened.link] = {dialed_controller};
  // Changes may have been lost with the former link.
  directory_delta all;
  for (const auto& [backend, record] : records_) all.records.push_back(record);
  ctx.Emit(send_message{opened.link, std::move(all)});
}

void directory::AddController(const endpoint& address, reduce_context& ctx) {
  if (!Registered()) return;
  peers_.Add(address);
  peers_.OpenAll(ctx);
}

// Addresses are used again: of two backend servers at one address, the one that started later is
// there, and a late registration of the other one is not believed.
bool directory::ClaimAddress(const announcement& record, directory_delta& changes,
                             reduce_context& ctx) {
  if (record.status != backend_status::kUp) return true;
  std::vector<announcement> former;
  for (const auto& [backend, other] : records_) {
    bool rival = backend != record.backend && other.status == backend_status::kUp &&
                 other.traffic_address == record.traffic_address;
    if (!rival) continue;
    if (other.incarnation > record.incarnation) return false;
    former.push_back(other);
  }
  for (announcement& other : former) {
    other.status = backend_status::kLeaving;
    Store(other, ctx);
    changes.records.push_back(std::move(other));
  }
  return true;
}

// True if the record changes what this process knows.
bool directory::AcceptRegistration(const announcement& record, bool heard_here,
                                   reduce_context& ctx) {
  auto it = records_.find(record.backend);
  if (it == records_.end()) {
    if (records_.size() >= limits_.max_records) return false;
    Store(record, ctx);
    registrations_[record.backend] = {record.sequence, ctx.now, heard_here};
    return true;
  }
  announcement& known = it->second;
  registration& last = registrations_[record.backend];
  if (record.incarnation < known.incarnation) return false;
  bool same_life = record.incarnation == known.incarnation;
  if (same_life && known.status == backend_status::kLeaving) return false;
  bool leaving = record.status == backend_status::kLeaving;
  if (same_life && record.sequence < std::max(last.sequence, known.sequence) && !leaving) {
    return false;
  }
  bool repeated = same_life && record.sequence == last.sequence && !leaving &&
                  record.status != backend_status::kDown;
  if (repeated && SameContent(record, known)) return false;
  last = {record.sequence, ctx.now, heard_here};
  if (SameContent(record, known)) {
    known.sequence = record.sequence;
    return false;
  }
  Store(record, ctx);
  return true;
}

void directory::SendToAll(const directory_delta& delta, bool controllers_only,
                          reduce_context& ctx) {
  if (delta.records.empty()) return;
  for (const auto& [link, kind] : registered_links_) {
    if (controllers_only && !kind.to_controller) continue;
    if (!controllers_only) ctx.Emit(count{counter::kDirectoryDeltasSent});
    ctx.Emit(send_message{link, delta});
  }
}

void directory::Handle(const backend_registered& registered, reduce_context& ctx) {
  announcement record = registered.record;
  record.home = self_.node;
  directory_delta changes;
  if (ClaimAddress(record, changes, ctx) && AcceptRegistration(record, true, ctx)) {
    changes.records.push_back(std::move(record));
  }
  SendToAll(changes, false, ctx);
  if (!changes.records.empty()) Publish(ctx);
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
    Publish(ctx);
  }
  ctx.Emit(registration_answered{withdrawn.exchange});
}

void directory::OnRegisteredDelta(link_id, const directory_delta& delta, reduce_context& ctx) {
  bool first = std::exchange(pull_pending_, pull_pending_ && delta.records.empty());
  bool changed = first && !pull_pending_;
  directory_delta refuted;
  directory_delta changes;
  for (const announcement& record : delta.records) {
    auto known = records_.find(record.backend);
    bool outdated = known != records_.end() && record.status == backend_status::kDown &&
                    known->second.status == backend_status::kUp &&
                    Version(record) < Version(known->second);
    // Another controller has not heard it for long, but this one has.
    if (outdated && is_controller_) refuted.records.push_back(known->second);
    if (ClaimAddress(record, changes, ctx) && AcceptRegistration(record, false, ctx)) {
      changed = true;
    }
  }
  if (is_controller_) SendToAll(refuted, false, ctx);
  if (changed || !changes.records.empty()) Publish(ctx);
}

void directory::ExchangeRegistrations(reduce_context& ctx) {
  ExpireRegistrations(ctx);
  directory_delta heard;
  for (auto& [backend, last] : registrations_) {
    if (!std::exchange(last.heard_here, false)) continue;
    auto it = records_.find(backend);
    if (it != records_.end()) heard.records.push_back(it->second);
  }
  SendToAll(heard, true, ctx);
  ExpireTombstones(ctx);
  next_exchange_ = ctx.now + limits_.registration_exchange;
}

void directory::ExpireRegistrations(reduce_context& ctx) {
  directory_delta expired;
  for (const auto& [backend, last] : registrations_) {
    if (ctx.now - last.heard <= limits_.registration_timeout) continue;
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
  Publish(ctx);
}

}  // namespace radishroute
