#include "radishroute/config.h"

#include <utility>

#include "radishroute/invariant.h"

namespace radishroute {

const config_version& config_document::FindVersionOrCurrent(std::uint64_t version) const {
  if (versions_.empty() || version < versions_.front().version || version > current_.version) {
    return current_;
  }
  return versions_[version - versions_.front().version];
}

change_result config_document::Decide(const config_change& change, std::uint64_t sheet_hash) const {
  change_result result;
  if (change.base_version == current_.version) {
    result.verdict = change_verdict::kCommitted;
    result.version = current_.version + 1;
    result.winner = {result.version, change.change_id, change.author, sheet_hash};
    return result;
  }
  result.winner = FindVersionOrCurrent(change.base_version + 1);
  // The same sheet is not a conflict: the version already has the contents that were asked for.
  if (result.winner.version == change.base_version + 1 && result.winner.sheet_hash == sheet_hash) {
    result.verdict = change_verdict::kCommitted;
    result.version = result.winner.version;
    return result;
  }
  result.verdict = change_verdict::kVersionConflict;
  return result;
}

// Version numbers may have gaps here. A resend is detected without the history, since its version
// is not above the current one.
change_result config_document::ApplyHighest(const config_change& change, reduce_context& ctx) {
  if (change.base_version <= current_.version) {
    return {change_verdict::kCommitted, current_.version, current_};
  }
  std::uint64_t previous_version = current_.version;
  current_ = {change.base_version, change.change_id, change.author, StableHash(change.sheet)};
  CheckInvariant(current_.version > previous_version, "configuration versions never decrease", ctx);
  sheet_ = change.sheet;
  versions_.assign(1, current_);
  return {change_verdict::kCommitted, current_.version, current_};
}

change_result config_document::Apply(const config_change& change, reduce_context& ctx) {
  if (change.precedence == config_precedence::kHighestVersion) return ApplyHighest(change, ctx);
  if (change.change_id.empty()) return {change_verdict::kMissingChangeId, 0, current_};
  std::uint64_t sheet_hash = StableHash(change.sheet);
  if (auto it = by_change_id_.find(change.change_id); it != by_change_id_.end()) {
    const change_record& first = it->second;
    if (first.base_version == change.base_version && first.sheet_hash == sheet_hash) {
      return first.result;
    }
    return {change_verdict::kChangeIdReused, 0, first.result.winner};
  }
  change_result result = Decide(change, sheet_hash);
  if (result.verdict == change_verdict::kCommitted && result.version > current_.version) {
    CheckInvariant(result.version == current_.version + 1, "configuration versions are consecutive",
                   ctx);
    current_ = result.winner;
    sheet_ = change.sheet;
    versions_.push_back(current_);
    if (versions_.size() > kMaxHistory) versions_.pop_front();
  }
  AddToHistory({change.change_id, change.base_version, sheet_hash, result});
  return result;
}

void config_document::AddToHistory(change_record record) {
  by_change_id_[record.change_id] = record;
  changes_.push_back(std::move(record));
  if (changes_.size() <= kMaxHistory) return;
  by_change_id_.erase(changes_.front().change_id);
  changes_.pop_front();
}

const change_result* config_document::FindChange(const std::string& change_id) const {
  auto it = by_change_id_.find(change_id);
  return it == by_change_id_.end() ? nullptr : &it->second.result;
}

config_image config_document::Save() const {
  return {
      current_, sheet_, {versions_.begin(), versions_.end()}, {changes_.begin(), changes_.end()}};
}

bool config_document::Load(config_image image) {
  *this = config_document();
  bool valid = image.versions.size() <= kMaxHistory && image.changes.size() <= kMaxHistory &&
               StableHash(image.sheet) == image.current.sheet_hash;
  if (image.current.version == 0) {
    valid = image.sheet.empty() && image.versions.empty();
  } else {
    valid = valid && !image.versions.empty();
  }
  for (std::size_t i = 0; valid && i < image.versions.size(); ++i) {
    valid = image.versions[i].version + (image.versions.size() - 1 - i) == image.current.version;
  }
  if (!valid) return false;
  current_ = std::move(image.current);
  sheet_ = std::move(image.sheet);
  versions_.assign(image.versions.begin(), image.versions.end());
  for (change_record& record : image.changes) AddToHistory(std::move(record));
  return true;
}

}  // namespace radishroute
