#include "radishroute/crash_relay.h"

namespace radishroute {

void crash_relay::Handle(const link_opened& opened, reduce_context& ctx) {
  bool is_accepted = opened.dialed.host.empty();
  bool relevant = is_controller_ ? is_accepted && opened.peer.role == process_role::kEntry
                                 : !is_accepted && opened.peer.role == process_role::kController;
  if (!relevant) return;
  links_.insert(opened.link);
  crash_evidence open = known_.Snapshot(ctx.now);
  if (!open.Empty()) ctx.Emit(send_message{opened.link, std::move(open)});
}

void crash_relay::Handle(const link_closed& closed, reduce_context&) { links_.erase(closed.link); }

void crash_relay::Send(const crash_evidence& evidence, link_id except, reduce_context& ctx) const {
  if (evidence.Empty()) return;
  for (link_id link : links_) {
    if (link != except) ctx.Emit(send_message{link, evidence});
  }
}

void crash_relay::Handle(const crash_evidence_shared& shared, reduce_context& ctx) {
  known_.Merge(shared.evidence, ctx.now);
  Send(shared.evidence, {}, ctx);
}

void crash_relay::Handle(link_id link, const crash_evidence& evidence, reduce_context& ctx) {
  crash_evidence known = known_.KnownSuccesses(evidence, ctx.now);
  crash_evidence added = known_.Merge(evidence, ctx.now);
  if (!is_controller_) {
    if (!added.Empty()) ctx.Emit(share_crash_evidence{std::move(added)});
    return;
  }
  Send(added, link, ctx);
  Send(known, {}, ctx);
}

}  // namespace radishroute
