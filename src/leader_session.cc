#include "radishroute/leader_session.h"

#include <algorithm>

namespace radishroute {

namespace {

// Lets a session try five controllers within the 2 s in which a new leader must be found.
constexpr std::chrono::milliseconds kRetryDelay{200};

// A controller that sends neither a grant nor a refusal for this long is unreachable or has failed.
// Renewals are sent once a second, so the timeout for a leader must be longer than that.
constexpr std::chrono::milliseconds kLeaderTimeout{1500};
constexpr std::chrono::milliseconds kCandidateTimeout{500};

}  // namespace

void leader_session::Start(reduce_context& ctx) {
  if (!controllers_.empty()) ConnectTo(ctx.random() % controllers_.size(), ctx);
}

void leader_session::AddController(const endpoint& address) {
  if (std::find(controllers_.begin(), controllers_.end(), address) == controllers_.end()) {
    controllers_.push_back(address);
  }
}

void leader_session::ConnectTo(std::size_t index, reduce_context& ctx) {
  if (link_) ctx.Emit(close_link{*link_});
  link_.reset();
  current_ = index;
  confirmed_ = false;
  opening_ = true;
  retry_at_.reset();
  last_response_ = ctx.now;
  ctx.Emit(open_link{controllers_[index]});
  ctx.Emit(schedule_wakeup{ctx.now + kCandidateTimeout});
}

void leader_session::ScheduleRetry(std::size_t index, reduce_context& ctx) {
  current_ = index;
  retry_at_ = ctx.now + kRetryDelay;
  ctx.Emit(schedule_wakeup{*retry_at_});
}

void leader_session::LogLeaderLeft(std::string_view reason, reduce_context& ctx) const {
  if (!confirmed_) return;
  auto silent = std::chrono::duration_cast<std::chrono::milliseconds>(ctx.now - last_response_);
  ctx.Emit(write_log{{event_code::kLeaderLeft,
                      log_level::kWarning,
                      {{"address", ToString(controllers_[current_])},
                       {"reason", std::string(reason)},
                       {"silent_ms", std::to_string(silent.count())}}}});
}

// A new link to the same controller replaces the old one, whether `link_monitor` opened it because
// the old one was silent, or another session of this process did. If two sessions each used only
// their own link, they would close each other's in turn, and an agent with orders and a rank would
// get no grant.
bool leader_session::OnOpened(const link_opened& opened) {
  if (controllers_.empty() || opened.dialed != controllers_[current_]) return false;
  if (!opening_ && !link_) return false;
  opening_ = false;
  link_ = opened.link;
  return true;
}

bool leader_session::OnClosed(const link_closed& closed, reduce_context& ctx) {
  bool current = link_ && closed.link == *link_;
  bool open_failed = opening_ && closed.link.value == 0 && closed.dialed == controllers_[current_];
  if (!current && !open_failed) return false;
  LogLeaderLeft("link-closed", ctx);
  link_.reset();
  opening_ = false;
  confirmed_ = false;
  ScheduleRetry((current_ + 1) % controllers_.size(), ctx);
  return current;
}

bool leader_session::OnTimer(reduce_context& ctx) {
  if (controllers_.empty()) return false;
  if (retry_at_) {
    if (*retry_at_ <= ctx.now) {
      ConnectTo(current_, ctx);
    } else {
      ctx.Emit(schedule_wakeup{*retry_at_});
    }
    return false;
  }
  steady_time deadline = last_response_ + (confirmed_ ? kLeaderTimeout : kCandidateTimeout);
  if (deadline > ctx.now) {
    ctx.Emit(schedule_wakeup{deadline});
    return false;
  }
  bool had_link = link_.has_value();
  LogLeaderLeft("no-answer", ctx);
  ConnectTo((current_ + 1) % controllers_.size(), ctx);
  return had_link;
}

void leader_session::OnProgress(link_id link, reduce_context& ctx) {
  if (link_ == link) last_response_ = ctx.now;
}

void leader_session::OnNotLeader(const endpoint& hint, reduce_context& ctx) {
  LogLeaderLeft("not-leader", ctx);
  confirmed_ = false;
  last_response_ = ctx.now;
  if (!hint.host.empty()) AddController(hint);
  auto it = std::find(controllers_.begin(), controllers_.end(), hint);
  if (it != controllers_.end() && *it != controllers_[current_]) {
    ConnectTo(static_cast<std::size_t>(it - controllers_.begin()), ctx);
  } else {
    ScheduleRetry((current_ + 1) % controllers_.size(), ctx);
  }
}

void leader_session::OnLeader(reduce_context& ctx) {
  last_response_ = ctx.now;
  retry_at_.reset();
  if (confirmed_) return;
  confirmed_ = true;
  log_event entry;
  entry.code = event_code::kLeaderFound;
  entry.fields = {{"address", ToString(controllers_[current_])}};
  ctx.Emit(write_log{std::move(entry)});
}

}  // namespace radishroute
