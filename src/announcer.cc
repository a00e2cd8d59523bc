#include "radishroute/announcer.h"

#include <algorithm>
#include <random>
#include <utility>

namespace radishroute {

namespace {

// Two entries can fail at the same time without a gap in the supervision of a backend server.
constexpr std::size_t kHomes = 3;

// Reconnecting at once to an entry that is down would fill the logs; a lost announcement must
// still be repaired well within the 2 s allowed for a leaving backend server.
constexpr std::chrono::milliseconds kReconnectDelay{500};
constexpr std::chrono::milliseconds kLongestReconnectDelay{5000};

}  // namespace

announcer::announcer(announcement self, const std::vector<endpoint>& entries)
    : self_(std::move(self)) {
  // Not up until the backend server has answered a probe.
  self_.status = backend_status::kDown;
  for (const endpoint& address : entries) ranked_.emplace_back().address = address;
  std::uint64_t seed = StableHash(self_.backend);
  std::sort(ranked_.begin(), ranked_.end(), [&](const home_entry& a, const home_entry& b) {
    return StableHash(ToString(a.address), seed) > StableHash(ToString(b.address), seed);
  });
}

announcer::home_entry* announcer::Find(const endpoint& address) {
  for (home_entry& home : ranked_) {
    if (home.address == address) return &home;
  }
  return nullptr;
}

void announcer::Handle(const process_started&, reduce_context& ctx) { Maintain(ctx); }

void announcer::Announce(reduce_context& ctx) {
  ++self_.sequence;
  for (const home_entry& home : ranked_) {
    if (home.link) ctx.Emit(send_message{*home.link, self_});
  }
}

// Entries before the third reachable one are opened when their delay has passed; links beyond it
// were substitutes and are closed.
void announcer::Maintain(reduce_context& ctx) {
  std::size_t linked = 0;
  std::size_t opening = 0;
  bool closed = false;
  for (home_entry& home : ranked_) {
    if (linked >= kHomes) {
      if (!home.link) continue;
      ctx.Emit(close_link{*home.link});
      home.link.reset();
      closed = true;
      continue;
    }
    if (home.link) {
      ++linked;
    } else if (home.opening) {
      ++opening;
    } else if (linked + opening < kHomes) {
      if (home.retry_at <= ctx.now) {
        ++opening;
        home.opening = true;
        ctx.Emit(open_link{home.address});
      } else {
        ctx.Emit(schedule_wakeup{home.retry_at});
      }
    }
  }
  // The substitute takes the closed link for a loss, and would report this backend server as gone.
  if (closed) Announce(ctx);
}

void announcer::Handle(const link_opened& opened, reduce_context& ctx) {
  home_entry* home = Find(opened.dialed);
  if (home == nullptr) return;
  home->link = opened.link;
  home->opening = false;
  home->failures = 0;
  ctx.Emit(send_message{opened.link, self_});
  Maintain(ctx);
}

void announcer::Delay(home_entry& home, reduce_context& ctx) const {
  auto longest =
      std::min(kReconnectDelay * (1U << std::min(home.failures, 8U)), kLongestReconnectDelay);
  ++home.failures;
  std::uniform_int_distribution<std::int64_t> delay(longest.count() / 2, longest.count());
  home.retry_at = ctx.now + std::chrono::milliseconds(delay(ctx.random));
}

void announcer::Handle(const link_closed& closed, reduce_context& ctx) {
  home_entry* home = Find(closed.dialed);
  if (home == nullptr) return;
  if (closed.link.value == 0) {
    if (home->link) return;
    home->opening = false;
    Delay(*home, ctx);
  } else if (home->link == closed.link) {
    home->link.reset();
    Delay(*home, ctx);
    // The entry that lost the link may say that this backend server is gone. A new sequence
    // number on the remaining links refutes it.
    Announce(ctx);
  }
  Maintain(ctx);
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
  for (const home_entry& home : ranked_) {
    if (home.link) ctx.Emit(send_message{*home.link, shared.report});
  }
}

void announcer::Handle(const engine_order_finished& finished, reduce_context& ctx) {
  if (finished.status != order_status::kDone) return;
  auto add = [&](std::vector<std::string>& names) {
    if (std::find(names.begin(), names.end(), finished.order.name) == names.end()) {
      names.push_back(finished.order.name);
    }
  };
  switch (finished.order.kind) {
    case order_kind::kLoadModel:
      add(self_.models);
      break;
    case order_kind::kLoadAdapter:
      add(self_.adapters);
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

void announcer::Handle(const timer_expired&, reduce_context& ctx) { Maintain(ctx); }

}  // namespace radishroute
