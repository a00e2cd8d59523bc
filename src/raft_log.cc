#include "radishroute/raft_log.h"

#include <algorithm>
#include <variant>

#include "radishroute/error.h"

namespace radishroute {

namespace {

// Size of the fixed fields of an entry; the largest command has about twenty.
constexpr std::size_t kFixedEntryBytes = 64;

std::size_t VariableSize(const no_operation&) { return 0; }
std::size_t VariableSize(const replica_change& c) { return c.replicas.size() * kFixedEntryBytes; }
std::size_t VariableSize(const config_change& c) {
  return c.change_id.size() + c.author.size() + c.sheet.size();
}
std::size_t VariableSize(const record_claim& c) {
  return c.member.size() + c.key.size() + c.backend.size();
}
std::size_t VariableSize(const record_outcome& c) {
  return c.member.size() + c.key.size() + c.answer_type.size() + c.answer.size();
}
std::size_t VariableSize(const order_submission& c) {
  return c.change_id.size() + c.author.size() + c.backend.size() + c.name.size();
}
std::size_t VariableSize(const order_completion&) { return 0; }
std::size_t VariableSize(const zone_evacuation& c) { return c.zone.size(); }
std::size_t VariableSize(const group_change& c) {
  std::size_t slots = 0;
  for (const layer_placement& layer : c.placement.layers) slots += layer.slots.size();
  return c.group.size() + c.reason.size() + slots * sizeof(std::uint16_t);
}
std::size_t VariableSize(const group_pin& c) { return c.group.size(); }

bool IsVoter(const std::vector<replica>& replicas, voter_id id) {
  const replica* found = FindReplica(replicas, id);
  return found != nullptr && found->voting;
}

}  // namespace

std::size_t ApproximateSize(const command& body) {
  return kFixedEntryBytes + std::visit([](const auto& c) { return VariableSize(c); }, body);
}

void DropSupersededEntries(recovered_log& recovered) {
  auto& entries = recovered.entries;
  if (!recovered.snapshot || entries.empty()) return;
  const log_snapshot& snapshot = *recovered.snapshot;
  bool contiguous = entries.back().index >= snapshot.index;
  if (contiguous && entries.front().index <= snapshot.index) {
    contiguous = entries[snapshot.index - entries.front().index].term == snapshot.term;
  }
  if (!contiguous) entries.clear();
}

const replica* FindReplica(const std::vector<replica>& replicas, voter_id id) {
  auto it =
      std::find_if(replicas.begin(), replicas.end(), [&](const replica& r) { return r.id == id; });
  return it == replicas.end() ? nullptr : &*it;
}

std::size_t VoterCount(const std::vector<replica>& replicas) {
  return static_cast<std::size_t>(
      std::count_if(replicas.begin(), replicas.end(), [](const replica& r) { return r.voting; }));
}

bool IsSingleVoterChange(const std::vector<replica>& from, const std::vector<replica>& to) {
  std::size_t changed = 0;
  for (const replica& r : from) {
    if (r.voting && !IsVoter(to, r.id)) ++changed;
  }
  for (const replica& r : to) {
    if (r.voting && !IsVoter(from, r.id)) ++changed;
  }
  return changed <= 1 && VoterCount(to) > 0;
}

std::error_code raft_log::Load(std::shared_ptr<const log_snapshot> snapshot,
                               std::vector<log_entry> entries) {
  Reset(std::move(snapshot));
  if (entries.empty()) return {};
  std::uint64_t first = entries.front().index;
  if (first > LastIndex() + 1) return errc::kLogCorrupt;
  std::size_t skip = 0;
  if (first <= base_index_) {
    // Entries before the snapshot are kept for slightly lagging replicas. The term of the entry
    // before the first one is known only at the start of the log; otherwise the first entry becomes
    // the base.
    bool from_start = first == 1;
    base_index_ = from_start ? 0 : first;
    base_term_ = from_start ? 0 : entries.front().term;
    skip = from_start ? 0 : 1;
  }
  for (std::size_t i = skip; i < entries.size(); ++i) {
    if (entries[i].index != LastIndex() + 1 || entries[i].term < LastTerm()) {
      return errc::kLogCorrupt;
    }
    Append(std::move(entries[i]));
  }
  return LastIndex() < SnapshotIndex() ? errc::kLogCorrupt : std::error_code();
}

std::optional<std::uint64_t> raft_log::TermAt(std::uint64_t index) const {
  if (index == base_index_) return base_term_;
  if (index < base_index_ || index > LastIndex()) return std::nullopt;
  return At(index).term;
}

std::uint64_t raft_log::FirstIndexOfTerm(std::uint64_t index) const {
  std::uint64_t term = At(index).term;
  while (index > base_index_ + 1 && At(index - 1).term == term) --index;
  return index;
}

void raft_log::Append(log_entry entry) {
  const auto* change = std::get_if<replica_change>(&entry.body);
  if (change != nullptr && entry.index > replica_sets_.back().first) {
    replica_sets_.emplace_back(entry.index, change->replicas);
  }
  entries_.push_back(std::move(entry));
}

void raft_log::TruncateFrom(std::uint64_t index) {
  while (LastIndex() >= index && !entries_.empty()) entries_.pop_back();
  while (replica_sets_.size() > 1 && replica_sets_.back().first >= index) replica_sets_.pop_back();
}

void raft_log::Compact(std::shared_ptr<const log_snapshot> snapshot, std::uint64_t keep) {
  snapshot_ = std::move(snapshot);
  while (replica_sets_.size() > 1 && replica_sets_[1].first <= snapshot_->index) {
    replica_sets_.erase(replica_sets_.begin());
  }
  while (!entries_.empty() && entries_.front().index + keep <= snapshot_->index) {
    base_index_ = entries_.front().index;
    base_term_ = entries_.front().term;
    entries_.pop_front();
  }
}

void raft_log::Reset(std::shared_ptr<const log_snapshot> snapshot) {
  entries_.clear();
  snapshot_ = std::move(snapshot);
  base_index_ = SnapshotIndex();
  base_term_ = snapshot_ ? snapshot_->term : 0;
  replica_sets_ = {{base_index_, snapshot_ ? snapshot_->replicas : std::vector<replica>{}}};
}

const std::vector<replica>& raft_log::ReplicasAt(std::uint64_t index) const {
  auto after = std::find_if(replica_sets_.begin() + 1, replica_sets_.end(),
                            [&](const auto& entry) { return entry.first > index; });
  return std::prev(after)->second;
}

}  // namespace radishroute
