#include "radishroute/rank_agent.h"

#include <algorithm>
#include <utility>

#include "radishroute/invariant.h"

namespace radishroute {

namespace {

// Limits the delay of a map change between agent and rank; a grant covers several seconds of steps.
constexpr std::chrono::milliseconds kCallInterval{100};
// A paused rank answers late. After this time the call is repeated, since the connection may have
// been lost without an error.
constexpr std::chrono::milliseconds kCallTimeout{1000};
// Reports are sent even while the rank does not answer; without the leader's answers to them the
// session would consider the leader unresponsive.
constexpr std::chrono::milliseconds kReportInterval{500};

}  // namespace

void rank_agent::Handle(const process_started&, reduce_context& ctx) {
  session_.Start(ctx);
  CallRank(ctx);
}

void rank_agent::CallRank(reduce_context& ctx) {
  call_rank call;
  call.number = ++call_number_;
  call.order.ranges = ranges_;
  call.order.droppable_through = droppable_through_;
  call.order.shape = membership_.shape;
  std::optional<std::uint64_t> wanted = grants_.MapToLoad();
  // Placements are large, so this one is not sent again while the rank loads it.
  if (wanted && progress_.loading != *wanted) {
    auto it = maps_.find(*wanted);
    if (it != maps_.end()) call.order.load = group_map{it->first, it->second};
  }
  next_call_ = ctx.now + kCallTimeout;
  ctx.Emit(std::move(call));
  ctx.Emit(schedule_wakeup{next_call_});
}

void rank_agent::Handle(const rank_call_finished& finished, reduce_context& ctx) {
  if (finished.number != call_number_) return;
  next_call_ = ctx.now + kCallInterval;
  ctx.Emit(schedule_wakeup{next_call_});
  if (!finished.progress) {
    ctx.Emit(count{counter::kRankCallsFailed});
    return;
  }
  if (finished.progress->incarnation != progress_.incarnation) {
    // A restarted rank has lost its loaded maps, but its grants remain valid.
    grants_ = rank_grants();
    bool consistent = grants_.Handle({ranges_, 0, droppable_through_});
    CheckInvariant(consistent, "granted ranges do not overlap", ctx);
  }
  progress_ = *finished.progress;
  for (std::uint64_t version : progress_.loaded) grants_.OnMapLoaded(version);
  CheckStepGranted(ctx);
  Report(ctx);
}

void rank_agent::CheckStepGranted(reduce_context& ctx) {
  bool beyond_grant = grants_.LastGrantedStep() > 0 && progress_.step > grants_.LastGrantedStep();
  if (beyond_grant && !beyond_grant_logged_) {
    log_event entry;
    entry.code = event_code::kRankPastGrant;
    entry.level = log_level::kError;
    entry.fields = {{"group", membership_.group},
                    {"step", std::to_string(progress_.step)},
                    {"granted", std::to_string(grants_.LastGrantedStep())}};
    ctx.Emit(write_log{std::move(entry)});
  }
  beyond_grant_logged_ = beyond_grant;
}

void rank_agent::Report(reduce_context& ctx) {
  next_report_ = ctx.now + kReportInterval;
  if (!session_.Link()) return;
  group_report report;
  report.sequence = next_sequence_++;
  report.group = membership_.group;
  report.shape = membership_.shape;
  report.rank = {membership_.rank, progress_.incarnation, progress_.step, grants_.LastGrantedStep(),
                 progress_.loaded};
  if (progress_.counts.window > acknowledged_window_) {
    report.counts = progress_.counts;
    counts_sequence_ = report.sequence;
  }
  ctx.Emit(send_message{*session_.Link(), std::move(report)});
}

void rank_agent::Handle(const link_opened& opened, reduce_context& ctx) {
  if (!session_.OnOpened(opened)) return;
  counts_sequence_ = 0;
  Report(ctx);
}

void rank_agent::Handle(const link_closed& closed, reduce_context& ctx) {
  session_.OnClosed(closed, ctx);
}

void rank_agent::Handle(const timer_expired&, reduce_context& ctx) {
  session_.OnTimer(ctx);
  if (next_call_ <= ctx.now) CallRank(ctx);
  if (next_report_ <= ctx.now) Report(ctx);
  ctx.Emit(schedule_wakeup{std::min(next_call_, next_report_)});
}

void rank_agent::Handle(link_id link, const group_grant& grant, reduce_context& ctx) {
  if (session_.Link() != link || grant.group != membership_.group) return;
  if (!grant.leads) {
    session_.OnNotLeader(grant.leader_hint, ctx);
    return;
  }
  session_.OnLeader(ctx);
  if (counts_sequence_ != 0 && grant.sequence == counts_sequence_) {
    acknowledged_window_ = progress_.counts.window;
  }
  for (const group_map& map : grant.maps) maps_[map.version] = map.placement;
  bool consistent = grants_.Handle(grant.grant);
  if (!CheckInvariant(consistent, "a grant never contradicts an earlier one", ctx)) return;
  if (grant.grant.ranges.empty()) return;
  // Grants on one link arrive in order, and a new leader has applied every earlier grant.
  ranges_ = grant.grant.ranges;
  droppable_through_ = std::max(droppable_through_, grant.grant.droppable_through);
  std::erase_if(maps_, [&](const auto& item) { return item.first <= droppable_through_; });
}

}  // namespace radishroute
