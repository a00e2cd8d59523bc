#ifndef RADISHROUTE_REQUESTS_LINKS_H_
#define RADISHROUTE_REQUESTS_LINKS_H_

// Part of requests.cc: links to backend servers, loss of backend servers, and crash suspects.

#include <random>

#include "radishroute/requests.h"

namespace radishroute {

template <policy_set P>
void request_table<P>::AddToLink(entry_request& request, reduce_context& ctx) {
  backend_link& link = links_[request.backend_address];
  link.users.insert(request.id);
  if (link.link) {
    Send(request, *link.link, ctx);
  } else if (!link.opening) {
    link.opening = true;
    ctx.Emit(open_link{request.backend_address});
  }
}

template <policy_set P>
void request_table<P>::RemoveFromLink(entry_request& request, reduce_context& ctx) {
  auto it = links_.find(request.backend_address);
  if (it == links_.end() || it->second.users.erase(request.id) == 0) return;
  if (!it->second.users.empty()) return;
  it->second.idle_since = ctx.now;
  ctx.Emit(schedule_wakeup{ctx.now + limits_.idle_link_timeout});
}

template <policy_set P>
void request_table<P>::Attach(entry_request& request, link_id link, reduce_context& ctx) {
  request.link = link;
  request.gap_offset.reset();
  // On the new link the agent starts again with the head of the answer.
  request.state = phase::kDispatched;
  ctx.Emit(send_message{link, attach_dispatch{{request.id, request.attempt}, request.bytes_sent}});
}

// Called when part of the answer is missing or arrived out of order. The agent retains the whole
// answer and resends it from the requested offset.
template <policy_set P>
void request_table<P>::RequestMissingBytes(entry_request& request, reduce_context& ctx) {
  ctx.Emit(count{counter::kStaleChunksDropped});
  if (request.gap_offset == request.bytes_sent) return;
  request.gap_offset = request.bytes_sent;
  ctx.Emit(count{counter::kAnswerGaps});
  ctx.Emit(send_message{request.link,
                        attach_dispatch{{request.id, request.attempt}, request.bytes_sent}});
}

template <policy_set P>
void request_table<P>::Handle(const link_opened& opened, reduce_context& ctx) {
  if (opened.dialed.host.empty()) return;
  auto found = links_.find(opened.dialed);
  if (found == links_.end()) {
    ctx.Emit(close_link{opened.link});
    return;
  }
  backend_link& link = found->second;
  link.link = opened.link;
  link.peer_incarnation = opened.peer.process.incarnation;
  link.opening = false;
  if (unreachable_.erase(opened.dialed) > 0) UpdateUnreachableIndexes();
  std::vector<request_id> resolving = std::move(link.resolving);
  link.resolving.clear();
  for (const request_id& id : resolving) {
    auto it = requests_.find(id);
    if (it != requests_.end() && it->second.state == phase::kResolving)
      QueryHolderAgent(it->second, ctx);
  }
  // Copied because a request that moves to another backend server is removed from the set.
  std::vector<request_id> users(link.users.begin(), link.users.end());
  for (const request_id& id : users) {
    auto it = requests_.find(id);
    if (it == requests_.end() || it->second.backend_address != opened.dialed) continue;
    entry_request& request = it->second;
    if (request.state == phase::kWaitingForLink) {
      Send(request, opened.link, ctx);
    } else if (!InFlight(request)) {
      // The answer is complete, or the request waits for a record.
      continue;
    } else if (request.backend_incarnation == opened.peer.process.incarnation) {
      Attach(request, opened.link, ctx);
    } else {
      // A later incarnation of the agent has no state for the dispatch.
      HandleAttemptLoss(request, dispatch_failure::kAgentRestarted, true, ctx);
    }
  }
}

template <policy_set P>
void request_table<P>::Handle(const link_closed& closed, reduce_context& ctx) {
  auto found = links_.find(closed.dialed);
  if (found == links_.end()) return;
  backend_link& link = found->second;
  if (closed.link.value == 0) {
    // A connection that is refused, or closed before the hello, indicates a terminated or
    // terminating process. An unreachable host sends nothing, so the attempt times out.
    HandleBackendLoss(found, closed.reason != errc::kTimeout, ctx);
    return;
  }
  if (link.link != closed.link) return;
  link.link.reset();
  if (link.users.empty()) {
    links_.erase(found);
  } else if (!link.opening) {
    // The agent may still be running; the dispatches in progress then continue on a new link.
    link.opening = true;
    ctx.Emit(open_link{closed.dialed});
  }
}

template <policy_set P>
void request_table<P>::HandleBackendLoss(typename link_map::iterator found, bool died,
                                         reduce_context& ctx) {
  endpoint address = found->first;
  std::set<request_id> users = std::move(found->second.users);
  if (found->second.link) ctx.Emit(close_link{*found->second.link});
  links_.erase(found);
  // The jitter keeps entries that lost the server at the same time from retrying it in unison.
  std::uniform_int_distribution<std::int64_t> delay(limits_.unreachable_delay.count() / 2,
                                                    limits_.unreachable_delay.count());
  unreachable_[address] = ctx.now + std::chrono::milliseconds(delay(ctx.random));
  UpdateUnreachableIndexes();
  ctx.Emit(schedule_wakeup{unreachable_[address]});
  ctx.Emit(
      write_log{{event_code::kBackendLost,
                 log_level::kWarning,
                 {{"address", ToString(address)}, {"requests", std::to_string(users.size())}}}});
  for (const request_id& id : users) {
    auto it = requests_.find(id);
    if (it == requests_.end() || it->second.backend_address != address) continue;
    if (it->second.state == phase::kWaitingForLink) {
      Retry(it->second, retry_reason::kBackendUnreachable, refusal_reason::kNoBackend,
            dispatch_failure::kNone, ctx);
    } else if (InFlight(it->second)) {
      HandleAttemptLoss(it->second, dispatch_failure::kLinkLost, died, ctx);
    }
  }
}

// If the agent's process terminated, a crash of its engine may be the cause, so the fingerprint is
// charged as for an engine crash. An unresponsive agent is not treated as crashed: a partition or
// a suspended agent would otherwise turn every request in flight into a suspect, and a retry during
// the same partition would be quarantined.
template <policy_set P>
void request_table<P>::HandleAttemptLoss(entry_request& request, dispatch_failure failure,
                                         bool died, reduce_context& ctx) {
  crash_report report;
  if (died) {
    report.charges.push_back(
        {request.content, CrashSource(request.backend_name, request.backend_incarnation), 0, {}});
  }
  crash_report new_entries = quarantine_.Merge(report, ctx.now);
  if (!Empty(new_entries)) {
    ctx.Emit(count{counter::kCrashCharges});
    ctx.Emit(share_crash_report{std::move(new_entries)});
  }
  if (FailNonIdempotent(request, failure, ctx)) return;
  retry_reason reason = failure == dispatch_failure::kAgentRestarted ? retry_reason::kAgentRestarted
                                                                     : retry_reason::kLinkLost;
  Retry(request, reason, refusal_reason::kNone, failure, ctx);
}

template <policy_set P>
void request_table<P>::UpdateUnreachableIndexes() {
  unreachable_backends_.clear();
  if (unreachable_.empty()) return;
  for (std::uint32_t i = 0; i < table_->backends.size(); ++i) {
    if (unreachable_.contains(table_->backends[i].traffic_address)) {
      unreachable_backends_.push_back(i);
    }
  }
}

template <policy_set P>
void request_table<P>::CloseIdleLinks(reduce_context& ctx) {
  std::erase_if(links_, [&](const auto& entry) {
    const backend_link& link = entry.second;
    if (!link.users.empty() || ctx.now - link.idle_since < limits_.idle_link_timeout) return false;
    if (link.link) {
      ctx.Emit(count{counter::kIdleLinksClosed});
      ctx.Emit(close_link{*link.link});
    }
    return true;
  });
}

template <policy_set P>
void request_table<P>::Handle(link_id, const crash_report& report, reduce_context& ctx) {
  crash_report new_entries = quarantine_.Merge(report, ctx.now);
  if (Empty(new_entries)) return;
  ctx.Emit(count{counter::kCrashCharges, new_entries.charges.size()});
  EndQuarantinedRequests(new_entries, ctx);
  ctx.Emit(share_crash_report{std::move(new_entries)});
}

template <policy_set P>
void request_table<P>::Handle(const crash_report_shared& shared, reduce_context& ctx) {
  EndQuarantinedRequests(quarantine_.Merge(shared.report, ctx.now), ctx);
}

// A suspect request may still be queued at an agent when a second crash is charged to its content;
// it must not run there.
template <policy_set P>
void request_table<P>::EndQuarantinedRequests(const crash_report& report, reduce_context& ctx) {
  std::set<fingerprint> quarantined;
  for (const crash_charge& charge : report.charges) {
    if (quarantine_.CrashStatus(charge.content, ctx.now) == crash_status::kQuarantined) {
      quarantined.insert(charge.content);
    }
  }
  if (quarantined.empty()) return;
  std::vector<request_id> affected;
  for (const auto& [id, request] : requests_) {
    bool complete = request.state == phase::kStoringOutcome;
    if (!complete && quarantined.contains(request.content)) affected.push_back(id);
  }
  for (const request_id& id : affected) {
    entry_request& request = requests_.at(id);
    CancelAtBackend(request, ctx);
    if (MayHaveRun(request)) {
      Fail(request, dispatch_failure::kEngineCrashed, ctx);
    } else {
      Refuse(request, refusal_reason::kQuarantined, std::chrono::microseconds(0), ctx);
    }
  }
}

template <policy_set P>
void request_table<P>::ClearSuspicion(const entry_request& request, reduce_context& ctx) {
  crash_report report;
  report.cleared.push_back(request.content);
  crash_report new_entries = quarantine_.Merge(report, ctx.now);
  if (Empty(new_entries)) return;
  ctx.Emit(count{counter::kSuspectsCleared});
  ctx.Emit(share_crash_report{std::move(new_entries)});
}

template <policy_set P>
bool request_table<P>::MayHaveRun(const entry_request& request) const {
  return request.may_have_run || InFlight(request) || request.state == phase::kStoringOutcome;
}

template <policy_set P>
bool request_table<P>::InFlight(const entry_request& request) const {
  return request.state == phase::kDispatched || request.state == phase::kAnswering;
}

// Only engines can resume a stream at an offset.
template <policy_set P>
bool request_table<P>::CanResume(const entry_request& request) const {
  return request.input.stream && request.backend < table_->backends.size() &&
         table_->backends[request.backend].kind == backend_kind::kEngine;
}

// A non-streamed answer is not passed to the caller before it is complete, so another attempt may
// start it again from the beginning.
template <policy_set P>
void request_table<P>::ResetNonStreamedAnswer(entry_request& request) const {
  if (request.input.stream) return;
  request.bytes_sent = 0;
  request.response_begun = false;
}

}  // namespace radishroute

#endif  // RADISHROUTE_REQUESTS_LINKS_H_
