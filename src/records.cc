#include "radishroute/records.h"

#include <algorithm>
#include <utility>

#include "radishroute/idempotency_key.h"
#include "radishroute/invariant.h"

namespace radishroute {

namespace {

// Bounds the work per claim. A claim adds at most one record, so two removals per claim suffice.
constexpr std::size_t kMaxRemovedPerClaim = 2;

std::string RecordName(const std::string& member, const std::string& key) {
  // A length prefix keeps ("ab", "c") and ("a", "bc") apart.
  return std::to_string(member.size()) + ":" + member + key;
}

bool HasRun(record_status status) { return status == record_status::kDone; }

}  // namespace

claim_result record_table::Apply(const record_claim& claim, reduce_context& ctx) {
  auto key_time = ParseKeyTime(claim.key);
  if (!key_time) return {claim_verdict::kMalformedKey, nullptr};
  clock_ = std::max(clock_, claim.at);
  RemoveExpired();
  // Expired keys are refused before the table lookup, so removing their records changes no result.
  if (*key_time + limits_.retention < clock_) return {claim_verdict::kExpired, nullptr};
  if (*key_time > clock_ + limits_.clock_skew) return {claim_verdict::kInFuture, nullptr};
  std::string name = RecordName(claim.member, claim.key);
  auto it = records_.find(name);
  if (it != records_.end()) return ClaimExisting(it->second, claim);
  if (records_.size() >= limits_.max_records) return {claim_verdict::kFull, nullptr};
  idempotency_record record;
  record.member = claim.member;
  record.key = claim.key;
  record.content_hash = claim.content_hash;
  record.dispatch = claim.dispatch;
  record.backend = claim.backend;
  record.backend_incarnation = claim.backend_incarnation;
  it = records_.emplace(std::move(name), std::move(record)).first;
  expiry_.insert({*key_time, &it->first});
  CheckInvariant(records_.size() == expiry_.size(), "every record has one expiry entry", ctx);
  return {claim_verdict::kGranted, &it->second};
}

claim_result record_table::ClaimExisting(idempotency_record& record, const record_claim& claim) {
  if (record.content_hash != claim.content_hash) return {claim_verdict::kConflict, nullptr};
  bool same_dispatch = record.dispatch == claim.dispatch;
  switch (record.status) {
    case record_status::kClaimed:
      // A claim that was sent twice is granted twice; the claimant sends at most one dispatch with
      // this id.
      return {same_dispatch ? claim_verdict::kGranted : claim_verdict::kHeld, &record};
    case record_status::kDone:
      return {claim_verdict::kDone, &record};
    case record_status::kUnknown:
      return {claim_verdict::kUnknown, &record};
    case record_status::kNotRun:
      break;
  }
  if (same_dispatch) return {claim_verdict::kNotRun, &record};
  record.dispatch = claim.dispatch;
  record.backend = claim.backend;
  record.backend_incarnation = claim.backend_incarnation;
  record.status = record_status::kClaimed;
  return {claim_verdict::kGranted, &record};
}

outcome_verdict record_table::Apply(const record_outcome& outcome, reduce_context& ctx) {
  auto it = records_.find(RecordName(outcome.member, outcome.key));
  if (it == records_.end() || it->second.dispatch != outcome.dispatch) {
    return outcome_verdict::kNotHolder;
  }
  idempotency_record& record = it->second;
  bool ran_after_not_run = record.status == record_status::kNotRun && HasRun(outcome.status);
  bool not_run_after_ran = HasRun(record.status) && outcome.status == record_status::kNotRun;
  if (ran_after_not_run || not_run_after_ran) {
    // Not checked as an invariant here: a violation stops the process, so one faulty sender would
    // stop every replica at each replay of the log. The sender stops when it receives this verdict.
    log_event entry;
    entry.code = event_code::kRecordContradiction;
    entry.level = log_level::kError;
    entry.fields = {{"member", outcome.member}, {"key", outcome.key}};
    ctx.Emit(write_log{std::move(entry)});
    return outcome_verdict::kContradiction;
  }
  bool adds_answer = record.status == record_status::kDone && !record.answer_stored &&
                     outcome.status == record_status::kDone && outcome.answer_status != 0;
  bool resolves_outcome =
      (record.status == record_status::kClaimed || record.status == record_status::kUnknown) &&
      outcome.status != record_status::kClaimed && outcome.status != record.status;
  if (!adds_answer && !resolves_outcome) return outcome_verdict::kAlreadyStored;
  Store(record, outcome);
  return outcome_verdict::kStored;
}

void record_table::Store(idempotency_record& record, const record_outcome& outcome) {
  record.status = outcome.status;
  if (outcome.status != record_status::kDone || outcome.answer_status == 0) return;
  if (outcome.answer.size() > limits_.max_answer_bytes) return;
  record.answer_stored = true;
  record.answer_status = outcome.answer_status;
  record.answer_type = outcome.answer_type;
  record.answer = outcome.answer;
}

const idempotency_record* record_table::Find(const std::string& member,
                                             const std::string& key) const {
  auto it = records_.find(RecordName(member, key));
  return it == records_.end() ? nullptr : &it->second;
}

void record_table::RemoveExpired() {
  for (std::size_t i = 0; i < kMaxRemovedPerClaim && !expiry_.empty(); ++i) {
    auto first = expiry_.begin();
    if (first->first + limits_.retention >= clock_) return;
    const std::string* name = first->second;
    expiry_.erase(first);
    records_.erase(records_.find(*name));
  }
}

records_image record_table::Save() const {
  records_image image;
  image.clock = clock_;
  image.records.reserve(records_.size());
  for (const auto& [time, name] : expiry_) image.records.push_back(records_.at(*name));
  return image;
}

bool record_table::Load(records_image image) {
  records_.clear();
  expiry_.clear();
  clock_ = image.clock;
  records_.reserve(image.records.size());
  for (idempotency_record& record : image.records) {
    auto key_time = ParseKeyTime(record.key);
    std::string name = RecordName(record.member, record.key);
    if (!key_time || records_.contains(name)) {
      expiry_.clear();
      records_.clear();
      return false;
    }
    auto it = records_.emplace(std::move(name), std::move(record)).first;
    expiry_.insert({*key_time, &it->first});
  }
  return true;
}

}  // namespace radishroute
