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

/// A configuration version and who put it in force.
struct config_version {
  std::uint64_t version = 0;
  std::string change_id;
  std::string author;
  std::uint64_t sheet_hash = 0;
};

enum class change_verdict : std::uint8_t {
  kCommitted,
  /// The version number is taken by other contents, or the base version does not exist.
  kVersionConflict,
  /// The change id was used before for another change.
  kChangeIdReused,
  kMissingChangeId,
};

/// First result of a change; a resend gets the same one.
struct change_result {
  change_verdict verdict = change_verdict::kMissingChangeId;
  /// Version that the change has, if committed.
  std::uint64_t version = 0;
  /// The change that has the number; the version in force if that change is no longer known.
  config_version winner;
};

/// Result of a change id, kept so that a resend is harmless.
struct change_record {
  std::string change_id;
  std::uint64_t base_version = 0;
  std::uint64_t sheet_hash = 0;
  change_result result;
};

/// Contents of the document, for snapshots.
struct config_image {
  config_version current;
  std::string sheet;
  std::vector<config_version> versions;
  std::vector<change_record> changes;
};

/// The configuration and the history of its changes. Deterministic. A rollback is a change like
/// any other and gets a new number.
class config_document {
 public:
  /// Two days of changes at 3,500 a day; an operator's resend comes within minutes.
  static constexpr std::size_t kMaxHistory = 7000;

  change_result Apply(const config_change& change, reduce_context& ctx);

  /// Result of a change id seen before; null if there is none in the history.
  const change_result* FindChange(const std::string& change_id) const;

  std::uint64_t Version() const { return current_.version; }
  const config_version& Current() const { return current_; }
  const std::string& Sheet() const { return sheet_; }
  std::size_t HistorySize() const { return changes_.size(); }

  config_image Save() const;
  /// False if the image contradicts itself; the document is then empty.
  bool Load(config_image image);

 private:
  change_result Decide(const config_change& change, std::uint64_t sheet_hash) const;
  change_result ApplyHighest(const config_change& change, reduce_context& ctx);
  const config_version& Winner(std::uint64_t version) const;
  void Remember(change_record record);

  config_version current_;
  std::string sheet_;
  /// Recent versions, oldest first, without gaps, ending with the one in force.
  std::deque<config_version> versions_;
  std::deque<change_record> changes_;
  /// Results by change id; mirrors `changes_`.
  std::unordered_map<std::string, change_record> by_change_id_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_H_
