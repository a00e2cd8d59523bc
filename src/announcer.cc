#include "radishroute/announcer.h"

#include <algorithm>
#include <random>
#include <utility>

namespace radishroute {

namespace {

// With three, two entries can fail at the same time and the backend server is still supervised.
constexpr std::size_t kHomeEntries = 3;

// Immediate reconnects to an entry that is down would flood the logs, but a lost announcement must
// be repeated well within the 2 s allowed for a leaving backend server.
constexpr std::chrono::milliseconds kReconnectDelay{500};
constexpr std::chrono::milliseconds kMaxReconnectDelay{5000};

}  // namespace

announcer::announcer(announcement self, const std::vector<endpoint>& entries)
    : self_(std::move(self)) {
  // Down until the backend server has answered a probe.
  self_.status = backend_status::kDown;
  for (const endpoint& address : entries) entries_.emplace_back().address = address;
  std::uint64_t seed = StableHash(self_.backend);
  std::sort(entries_.begin(), entries_.end(), [&](const entry_link& a, const entry_link& b) {
    return StableHash(ToString(a.address), seed) > StableHash(ToString(b.address), seed);
  });
}

announcer::entry_link* announcer::Find(const endpoint& address) {
  for (entry_link& entry : entries_) {
    if (entry.address == address) return &entry;
  }
  return nullptr;
}

void announcer::Handle(const process_started&, reduce_context& ctx) { MaintainLinks(ctx); }

void announcer::Announce(reduce_context& ctx) {
  ++self_.sequence;
  for (const entry_link& entry : entries_) {
    if (entry.link) ctx.Emit(send_message{*entry.link, self_});
  }
}

// Opens links in order of preference, each after its reconnect delay, until there are three. Links
// to entries after the third linked one were substitutes and are closed.
void announcer::MaintainLinks(reduce_context& ctx) {
  std::size_t linked = 0;
  std::size_t opening = 0;
  bool closed = false;
  for (entry_link& entry : entries_) {
    if (linked >= kHomeEntries) {
      if (!entry.link) continue;
      ctx.Emit(close_link{*entry.link});
      entry.link.reset();
      closed = true;
      continue;
    }
    if (entry.link) {
      ++linked;
    } else if (entry.opening) {
      ++opening;
    } else if (linked + opening < kHomeEntries) {
      if (entry.retry_at <= ctx.now) {
        ++opening;
        entry.opening = true;
        ctx.Emit(open_link{entry.address});
      } else {
        ctx.Emit(schedule_wakeup{entry.retry_at});
      }
    }
  }
  // Without a newer announcement, the substitute would treat the closed link as the loss of this
  // agent and declare its backend server down.
  if (closed) Announce(ctx);
}

void announcer::Handle(const link_opened& opened, reduce_context& ctx) {
  entry_link* entry = Find(opened.dialed);
  if (entry == nullptr) return;
  entry->link = opened.link;
  entry->opening = false;
  entry->failures = 0;
  ctx.Emit(send_message{opened.link, self_});
  MaintainLinks(ctx);
}

void announcer::SetRetryTime(entry_link& entry, reduce_context& ctx) const {
  auto max_delay =
      std::min(kReconnectDelay * (1U << std::min(entry.failures, 8U)), kMaxReconnectDelay);
  ++entry.failures;
  std::uniform_int_distribution<std::int64_t> delay(max_delay.count() / 2, max_delay.count());
  entry.retry_at = ctx.now + std::chrono::milliseconds(delay(ctx.random));
}

void announcer::Handle(const link_closed& closed, reduce_context& ctx) {
  entry_link* entry = Find(closed.dialed);
  if (entry == nullptr) return;
  if (closed.link.value == 0) {
    if (entry->link) return;
    entry->opening = false;
    SetRetryTime(*entry, ctx);
  } else if (entry->link == closed.link) {
    entry->link.reset();
    SetRetryTime(*entry, ctx);
    // The entry that lost the link may declare this backend server down. A higher sequence number
    // on the remaining links overrides that.
    Announce(ctx);
  }
  MaintainLinks(ctx);
}

void announcer::Handle(const drain_requested&, reduce_context& ctx) {
  self_.status = backend_status::kLeaving;
  Announce(ctx);
}

void announcer::Handle(const engine_status_changed& changed, reduce_context& ctx) {
  if (self_.status == backend_status::kLeaving) return;
  self_.status = changed.up ? backend_status::kUp : backend_status::kDown;
  Announce(ctx);
}

void announcer::Handle(const crash_report_shared& shared, reduce_context& ctx) {
  for (const entry_link& entry : entries_) {
    if (entry.link) ctx.Emit(send_message{*entry.link, shared.report});
  }
}

void announcer::Handle(const engine_order_finished& finished, reduce_context& ctx) {
  if (finished.status != order_status::kDone) return;
  auto add_name = [&](std::vector<std::string>& names) {
    if (std::find(names.begin(), names.end(), finished.order.name) == names.end()) {
      names.push_back(finished.order.name);
    }
  };
  switch (finished.order.kind) {
    case order_kind::kLoadModel:
      add_name(self_.models);
      break;
    case order_kind::kLoadAdapter:
      add_name(self_.adapters);
      break;
    case order_kind::kSetVersion:
      self_.version = finished.order.name;
      break;
    case order_kind::kChangeRole:
      self_.engine_role = finished.order.name;
      break;
  }
  Announce(ctx);
}

void announcer::Handle(const timer_expired&, reduce_context& ctx) { MaintainLinks(ctx); }

}  // namespace radishroute
