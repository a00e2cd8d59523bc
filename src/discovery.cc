#include "radishroute/discovery.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace radishroute {

namespace {

// Reconnecting at once to an entry that is down would fill the logs; a lost announcement must
// still be repaired well within the 2 s allowed for a leaving backend server.
constexpr std::chrono::milliseconds kReconnectDelay{500};

auto Version(const announcement& record) { return std::tuple(record.incarnation, record.sequence); }

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

directory::directory(std::string zone, work_sheet initial)
    : zone_(std::move(zone)), sheet_(std::move(initial)) {}

bool directory::Accept(const announcement& record, reduce_context& ctx) {
  auto it = records_.find(record.backend);
  if (it != records_.end() && Version(record) <= Version(it->second)) return false;
  bool changed = it == records_.end() || it->second.status != record.status ||
                 it->second.incarnation != record.incarnation;
  records_[record.backend] = record;
  if (changed) ctx.Emit(write_log{BackendEvent(record)});
  return true;
}

void directory::Handle(link_id link, const announcement& record, reduce_context& ctx) {
  announced_on_[link] = record.backend;
  if (Accept(record, ctx)) Publish(ctx);
}

void directory::Handle(const link_closed& closed, reduce_context& ctx) {
  auto it = announced_on_.find(closed.link);
  if (it == announced_on_.end()) return;
  auto record = records_.find(it->second);
  announced_on_.erase(it);
  if (record == records_.end() || record->second.status != backend_status::kUp) return;
  record->second.status = backend_status::kDown;
  ctx.Emit(write_log{BackendEvent(record->second)});
  Publish(ctx);
}

void directory::SetWork(std::uint64_t version, work_sheet sheet, reduce_context& ctx) {
  config_version_ = version;
  sheet_ = std::move(sheet);
  Publish(ctx);
}

void directory::Handle(const process_started&, reduce_context& ctx) { Publish(ctx); }

void directory::SetLease(steady_time until, reduce_context& ctx) {
  lease_until_ = until;
  // The table itself has not changed, so a renewal costs no rebuild.
  if (published_) ctx.Emit(publish_routing_table{published_, lease_until_});
}

void directory::Publish(reduce_context& ctx) {
  auto table = std::make_shared<routing_table>();
  table->config_version = config_version_;
  table->has_configuration = !sheet_.kinds.empty();
  for (const auto& [name, record] : records_) {
    auto index = static_cast<std::uint32_t>(table->backends.size());
    table->backends.push_back(record);
    if (record.status != backend_status::kUp) continue;
    for (const std::string& model : record.models) {
      backend_pool& pool = table->pools[model];
      (record.zone == zone_ ? pool.local : pool.remote).push_back(index);
    }
  }
  for (const work_kind& kind : sheet_.kinds) table->kinds[kind.name] = kind;
  for (const member_entry& member : sheet_.members) table->members[member.name] = member;
  published_ = std::move(table);
  ctx.Emit(publish_routing_table{published_, lease_until_});
}

announcer::announcer(announcement self, std::vector<endpoint> entries)
    : self_(std::move(self)), entries_(std::move(entries)) {}

void announcer::Handle(const process_started&, reduce_context& ctx) {
  for (const endpoint& entry : entries_) ctx.Emit(open_link{entry});
}

void announcer::Announce(reduce_context& ctx) {
  ++self_.sequence;
  for (link_id link : links_) ctx.Emit(send_message{link, self_});
}

void announcer::Handle(const link_opened& opened, reduce_context& ctx) {
  if (std::find(entries_.begin(), entries_.end(), opened.dialed) == entries_.end()) return;
  links_.push_back(opened.link);
  ctx.Emit(send_message{opened.link, self_});
}

void announcer::Handle(const link_closed& closed, reduce_context& ctx) {
  if (std::find(entries_.begin(), entries_.end(), closed.dialed) == entries_.end()) return;
  std::erase(links_, closed.link);
  steady_time at = ctx.now + kReconnectDelay;
  reconnects_.emplace_back(at, closed.dialed);
  ctx.Emit(schedule_wakeup{at});
}

void announcer::Handle(const drain_requested&, reduce_context& ctx) {
  self_.status = backend_status::kLeaving;
  Announce(ctx);
}

void announcer::Handle(const timer_expired&, reduce_context& ctx) {
  auto due = std::partition(reconnects_.begin(), reconnects_.end(),
                            [&](const auto& entry) { return entry.first > ctx.now; });
  for (auto it = due; it != reconnects_.end(); ++it) ctx.Emit(open_link{it->second});
  reconnects_.erase(due, reconnects_.end());
  for (const auto& [at, address] : reconnects_) ctx.Emit(schedule_wakeup{at});
}

}  // namespace radishroute
