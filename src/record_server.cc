#include "radishroute/record_server.h"

namespace radishroute {

namespace {

record_reply MakeReply(std::uint64_t number, claim_verdict verdict,
                       const idempotency_record* record) {
  record_reply reply;
  reply.proposal = number;
  reply.verdict = verdict;
  if (record == nullptr) return reply;
  reply.holder = record->dispatch;
  reply.backend = record->backend;
  reply.backend_incarnation = record->backend_incarnation;
  reply.answer_stored = record->answer_stored;
  reply.answer_status = record->answer_status;
  reply.answer_type = record->answer_type;
  reply.answer = record->answer;
  return reply;
}

claim_verdict VerdictForStatus(record_status status) {
  switch (status) {
    case record_status::kDone:
      return claim_verdict::kDone;
    case record_status::kNotRun:
      return claim_verdict::kNotRun;
    default:
      return claim_verdict::kUnknown;
  }
}

}  // namespace

void record_server::Reply(const proposal& from, const record_key& key, const claim_result& result,
                          reduce_context& ctx) {
  ctx.Emit(send_message{from.link, MakeReply(from.number, result.verdict, result.record)});
  if (result.verdict != claim_verdict::kHeld || watchers_.size() >= kMaxWatchers) return;
  watchers_.emplace(key, from);
}

void record_server::OnApplied(const log_entry& entry, const apply_result& result,
                              const record_table& records, reduce_context& ctx) {
  auto it = proposals_.find(entry.index);
  std::optional<proposal> from;
  if (it != proposals_.end()) {
    // An entry of another term at this index means that the proposal is lost.
    if (it->second.term == entry.term) from = it->second;
    proposals_.erase(it);
  }
  if (const auto* claim = std::get_if<record_claim>(&entry.body)) {
    const auto* verdict = std::get_if<claim_result>(&result);
    if (from && verdict != nullptr) Reply(*from, {claim->member, claim->key}, *verdict, ctx);
  } else if (const auto* outcome = std::get_if<record_outcome>(&entry.body)) {
    const auto* verdict = std::get_if<outcome_verdict>(&result);
    if (verdict == nullptr) return;
    if (from) ctx.Emit(send_message{from->link, outcome_reply{from->number, *verdict}});
    if (*verdict == outcome_verdict::kStored) {
      NotifyWatchers({outcome->member, outcome->key}, records, ctx);
    }
  }
}

void record_server::NotifyWatchers(const record_key& key, const record_table& records,
                                   reduce_context& ctx) {
  auto [first, last] = watchers_.equal_range(key);
  if (first == last) return;
  const idempotency_record* record = records.Find(key.first, key.second);
  if (record != nullptr) {
    for (auto it = first; it != last; ++it) {
      ctx.Emit(send_message{
          it->second.link, MakeReply(it->second.number, VerdictForStatus(record->status), record)});
    }
  }
  watchers_.erase(first, last);
}

void record_server::OnClosed(link_id link) {
  std::erase_if(watchers_, [&](const auto& item) { return item.second.link == link; });
  std::erase_if(proposals_, [&](const auto& item) { return item.second.link == link; });
}

void record_server::StepDown() {
  watchers_.clear();
  proposals_.clear();
}

}  // namespace radishroute
