#ifndef RADISHROUTE_CONFIG_H_
#define RADISHROUTE_CONFIG_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>
#include <vector>

#include "radishroute/command.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// A configuration version and the change that committed it.
struct config_version {
  std::uint64_t version = 0;
  std::string change_id;
  std::string author;
  std::uint64_t sheet_hash = 0;
};

enum class change_verdict : std::uint8_t {
  kCommitted,
  /// Version `base_version + 1` has other contents, or the base version does not exist.
  kVersionConflict,
  /// The change id already belongs to a different change.
  kChangeIdReused,
  kMissingChangeId,
};

/// Result of a change when it was first applied; a resend returns the same one.
struct change_result {
  change_verdict verdict = change_verdict::kMissingChangeId;
  /// Version number of the change, if committed.
  std::uint64_t version = 0;
  /// The change that has the requested version number, or the current version if the history has
  /// no such change.
  config_version winner;
};

/// An applied change and its result, kept so that a resend is idempotent.
struct change_record {
  std::string change_id;
  std::uint64_t base_version = 0;
  std::uint64_t sheet_hash = 0;
  change_result result;
};

/// Contents of a `config_document`, for snapshots.
struct config_image {
  config_version current;
  std::string sheet;
  std::vector<config_version> versions;
  std::vector<change_record> changes;
};

/// The replicated configuration and the history of its changes. Deterministic. A rollback is an
/// ordinary change and gets a new version number.
class config_document {
 public:
  /// Holds two days of changes at 3,500 a day; operators resend within minutes.
  static constexpr std::size_t kMaxHistory = 7000;

  change_result Apply(const config_change& change, reduce_context& ctx);

  /// Result of the change with this id, or null if the history has none.
  const change_result* FindChange(const std::string& change_id) const;

  std::uint64_t Version() const { return current_.version; }
  const config_version& Current() const { return current_; }
  const std::string& Sheet() const { return sheet_; }
  std::size_t HistorySize() const { return changes_.size(); }

  config_image Save() const;
  /// Returns false if the image is inconsistent; the document is then empty.
  bool Load(config_image image);

 private:
  change_result Decide(const config_change& change, std::uint64_t sheet_hash) const;
  change_result ApplyHighest(const config_change& change, reduce_context& ctx);
  const config_version& FindVersionOrCurrent(std::uint64_t version) const;
  void AddToHistory(change_record record);

  config_version current_;
  std::string sheet_;
  /// Recent versions, consecutive and oldest first, ending with the current one.
  std::deque<config_version> versions_;
  std::deque<change_record> changes_;
  /// The entries of `changes_`, keyed by change id.
  std::unordered_map<std::string, change_record> by_change_id_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_H_
