#include "radishroute/leader_session.h"

#include <algorithm>

namespace radishroute {

namespace {

// Five controllers are tried within the 2 s in which a new leader must be found.
constexpr std::chrono::milliseconds kTryNext{200};

// A controller that neither grants nor refuses for this long is cut off or has failed silently.
// Renewals go out each second, so a leader's silence must be longer than that.
constexpr std::chrono::milliseconds kLeaderSilence{1500};
constexpr std::chrono::milliseconds kCandidateSilence{500};

}  // namespace

void leader_session::Start(reduce_context& ctx) {
  if (!controllers_.empty()) Use(ctx.random() % controllers_.size(), ctx);
}

void leader_session::AddController(const endpoint& address) {
  if (std::find(controllers_.begin(), controllers_.end(), address) == controllers_.end()) {
    controllers_.push_back(address);
  }
}

void leader_session::Use(std::size_t index, reduce_context& ctx) {
  if (link_) ctx.Emit(close_link{*link_});
  link_.reset();
  current_ = index;
  confirmed_ = false;
  opening_ = true;
  retry_at_.reset();
  last_sign_ = ctx.now;
  ctx.Emit(open_link{controllers_[index]});
  ctx.Emit(schedule_wakeup{ctx.now + kCandidateSilence});
}

void leader_session::RetryLater(std::size_t index, reduce_context& ctx) {
  current_ = index;
  retry_at_ = ctx.now + kTryNext;
  ctx.Emit(schedule_wakeup{*retry_at_});
}

// A second link to the same controller closes the first one, whoever opened it: `link_monitor` when
// the first was silent, or another session of this process. Two sessions that each insisted on
// their own link closed each other's in turn, and an agent with orders and a rank got no grant.
bool leader_session::OnOpened(const link_opened& opened) {
  if (controllers_.empty() || opened.dialed != controllers_[current_]) return false;
  if (!opening_ && !link_) return false;
  opening_ = false;
  link_ = opened.link;
  return true;
}

bool leader_session::OnClosed(const link_closed& closed, reduce_context& ctx) {
  bool current = link_ && closed.link == *link_;
  bool failed = opening_ && closed.link.value == 0 && closed.dialed == controllers_[current_];
  if (!current && !failed) return false;
  link_.reset();
  opening_ = false;
  confirmed_ = false;
  RetryLater((current_ + 1) % controllers_.size(), ctx);
  return current;
}

bool leader_session::OnTimer(reduce_context& ctx) {
  if (controllers_.empty()) return false;
  if (retry_at_) {
    if (*retry_at_ <= ctx.now) {
      Use(current_, ctx);
    } else {
      ctx.Emit(schedule_wakeup{*retry_at_});
    }
    return false;
  }
  steady_time silent_at = last_sign_ + (confirmed_ ? kLeaderSilence : kCandidateSilence);
  if (silent_at > ctx.now) {
    ctx.Emit(schedule_wakeup{silent_at});
    return false;
  }
  bool had_link = link_.has_value();
  Use((current_ + 1) % controllers_.size(), ctx);
  return had_link;
}

void leader_session::OnNotLeader(const endpoint& hint, reduce_context& ctx) {
  confirmed_ = false;
  last_sign_ = ctx.now;
  if (!hint.host.empty()) AddController(hint);
  auto it = std::find(controllers_.begin(), controllers_.end(), hint);
  if (it != controllers_.end() && *it != controllers_[current_]) {
    Use(static_cast<std::size_t>(it - controllers_.begin()), ctx);
  } else {
    RetryLater((current_ + 1) % controllers_.size(), ctx);
  }
}

void leader_session::OnLeader(reduce_context& ctx) {
  last_sign_ = ctx.now;
  retry_at_.reset();
  if (confirmed_) return;
  confirmed_ = true;
  log_event entry;
  entry.code = event_code::kLeaderFound;
  entry.fields = {{"address", ToString(controllers_[current_])}};
  ctx.Emit(write_log{std::move(entry)});
}

}  // namespace radishroute
