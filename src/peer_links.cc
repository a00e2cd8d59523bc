#include "radishroute/peer_links.h"

#include <algorithm>
#include <random>
#include <utility>

namespace radishroute {

namespace {

// With 580 entries and one digest a second, an entry then has about ten open links instead of 579.
constexpr std::chrono::seconds kIdleTimeout{10};

constexpr std::chrono::milliseconds kRetryDelay{1000};

// Messages queued while a link is being opened; digests repair the loss of further ones.
constexpr std::size_t kMaxOutboxMessages = 64;

// A link that is kept open is reopened soon, since its peer pushes changes that must not wait.
constexpr std::chrono::milliseconds kReopenDelay{200};

}  // namespace

peer_links::peer_links(std::vector<endpoint> peers, bool keep_open) : keep_open_(keep_open) {
  for (endpoint& address : peers) peers_.emplace_back().address = std::move(address);
}

void peer_links::Add(const endpoint& address) {
  if (Find(address) == nullptr) peers_.emplace_back().address = address;
}

void peer_links::OpenAll(reduce_context& ctx) {
  for (peer& p : peers_) {
    if (p.link || p.opening) continue;
    if (p.retry_at > ctx.now) {
      ctx.Emit(schedule_wakeup{p.retry_at});
      continue;
    }
    p.opening = true;
    ctx.Emit(open_link{p.address});
  }
}

peer_links::peer* peer_links::Find(const endpoint& address) {
  for (peer& p : peers_) {
    if (p.address == address) return &p;
  }
  return nullptr;
}

void peer_links::Handle(const link_opened& opened, reduce_context& ctx) {
  peer* p = Find(opened.dialed);
  if (p == nullptr) return;
  p->link = opened.link;
  p->opening = false;
  p->last_used = ctx.now;
  for (message& m : p->outbox) ctx.Emit(send_message{opened.link, std::move(m)});
  p->outbox.clear();
  ctx.Emit(schedule_wakeup{ctx.now + kIdleTimeout});
}

bool peer_links::Handle(const link_closed& closed, reduce_context& ctx) {
  peer* p = Find(closed.dialed);
  if (p == nullptr) return false;
  if (closed.link.value != 0) {
    if (p->link == closed.link) {
      p->link.reset();
      if (keep_open_) {
        p->retry_at = ctx.now + kReopenDelay;
        ctx.Emit(schedule_wakeup{p->retry_at});
      }
    }
    return false;
  }
  if (p->link) return false;
  p->opening = false;
  p->outbox.clear();
  auto max_delay = keep_open_ ? kReopenDelay : kRetryDelay;
  std::uniform_int_distribution<std::int64_t> delay(max_delay.count() / 2, max_delay.count());
  p->retry_at = ctx.now + std::chrono::milliseconds(delay(ctx.random));
  if (keep_open_) ctx.Emit(schedule_wakeup{p->retry_at});
  return true;
}

void peer_links::Handle(const timer_expired&, reduce_context& ctx) {
  if (keep_open_) {
    OpenAll(ctx);
    return;
  }
  for (peer& p : peers_) {
    if (!p.link) continue;
    if (ctx.now - p.last_used < kIdleTimeout) {
      ctx.Emit(schedule_wakeup{p.last_used + kIdleTimeout});
      continue;
    }
    ctx.Emit(count{counter::kIdleLinksClosed});
    ctx.Emit(close_link{*p.link});
    p.link.reset();
  }
}

void peer_links::Send(peer& p, const message& m, reduce_context& ctx) {
  p.last_used = ctx.now;
  if (p.link) {
    ctx.Emit(send_message{*p.link, m});
    return;
  }
  if (p.outbox.size() < kMaxOutboxMessages) p.outbox.push_back(m);
  if (p.opening) return;
  p.opening = true;
  ctx.Emit(open_link{p.address});
}

void peer_links::SendToRandom(const message& m, std::size_t fan_out, reduce_context& ctx) {
  std::vector<peer*> candidates;
  for (peer& p : peers_) {
    if (p.retry_at <= ctx.now) candidates.push_back(&p);
  }
  std::vector<peer*> chosen;
  std::sample(candidates.begin(), candidates.end(), std::back_inserter(chosen), fan_out,
              ctx.random);
  for (peer* p : chosen) Send(*p, m, ctx);
}

}  // namespace radishroute
