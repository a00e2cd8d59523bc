#ifndef RADISHROUTE_STATE_MACHINE_H_
#define RADISHROUTE_STATE_MACHINE_H_

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <variant>
#include <vector>

#include "radishroute/command.h"
#include "radishroute/config.h"
#include "radishroute/error.h"
#include "radishroute/expert_groups.h"
#include "radishroute/order_table.h"
#include "radishroute/records.h"
#include "radishroute/zone_evacuations.h"

namespace radishroute {

/// Complete state of a state machine, as stored in a snapshot.
struct snapshot_state {
  std::uint64_t last_index = 0;
  std::uint64_t last_term = 0;
  std::vector<replica> replicas;
  config_image config;
  records_image records;
  std::vector<order_record> orders;
  groups_image groups;
  evacuation_notice evacuations = {};
};

/// Encodes and decodes snapshots. Decode returns kSnapshotCorrupt for any invalid input.
template <class C>
concept state_codec = requires(const snapshot_state& state, std::string_view bytes,
                               snapshot_state& out) {
  { C::Encode(state) } -> std::same_as<std::string>;
  { C::Decode(bytes, out) } -> std::same_as<std::error_code>;
};

/// Result of applying one log entry; monostate for entries that have no result.
using apply_result =
    std::variant<std::monostate, change_result, claim_result, outcome_verdict, group_result>;

/// State built from the applied log entries. Equal entries give equal state and results on every
/// replica.
class state_machine {
 public:
  explicit state_machine(record_limits limits = {}) : records_(limits) {}

  /// Entries must be applied in index order without gaps. An entry that was already applied is
  /// skipped.
  apply_result Apply(const log_entry& entry, reduce_context& ctx);

  const config_document& Config() const { return config_; }
  const record_table& Records() const { return records_; }
  const order_table& Orders() const { return orders_; }
  const group_table& Groups() const { return groups_; }
  const zone_evacuations& Evacuations() const { return evacuations_; }
  const std::vector<replica>& Replicas() const { return replicas_; }
  std::uint64_t LastIndex() const { return last_index_; }
  std::uint64_t LastTerm() const { return last_term_; }

  snapshot_state Save() const;
  /// Returns kSnapshotCorrupt if the state is inconsistent; the state machine is then empty.
  std::error_code Load(snapshot_state state);

 private:
  apply_result ApplyBody(const no_operation&, reduce_context&) { return {}; }
  apply_result ApplyBody(const replica_change& change, reduce_context&) {
    replicas_ = change.replicas;
    return {};
  }
  apply_result ApplyBody(const config_change& change, reduce_context& ctx) {
    return config_.Apply(change, ctx);
  }
  apply_result ApplyBody(const record_claim& claim, reduce_context& ctx) {
    return records_.Apply(claim, ctx);
  }
  apply_result ApplyBody(const record_outcome& outcome, reduce_context& ctx) {
    return records_.Apply(outcome, ctx);
  }
  apply_result ApplyBody(const order_submission& submission, reduce_context& ctx) {
    orders_.Apply(submission, last_index_, ctx);
    return {};
  }
  apply_result ApplyBody(const order_completion& completion, reduce_context& ctx) {
    orders_.Apply(completion, ctx);
    return {};
  }
  apply_result ApplyBody(const group_change& change, reduce_context& ctx) {
    return groups_.Apply(change, ctx);
  }
  apply_result ApplyBody(const group_pin& pin, reduce_context& ctx) {
    return groups_.Apply(pin, ctx);
  }
  apply_result ApplyBody(const zone_evacuation& order, reduce_context&) {
    evacuations_.Apply(order, last_index_);
    return {};
  }

  std::uint64_t last_index_ = 0;
  std::uint64_t last_term_ = 0;
  std::vector<replica> replicas_;
  config_document config_;
  record_table records_;
  order_table orders_;
  group_table groups_;
  zone_evacuations evacuations_;
};

/// Adds the snapshot interface that the log requires, with a codec chosen by the caller.
template <state_codec Codec>
class replicated_state : public state_machine {
 public:
  using state_machine::state_machine;

  std::string Snapshot() const { return Codec::Encode(Save()); }

  /// Returns kSnapshotCorrupt for an invalid snapshot.
  std::error_code Restore(std::string_view bytes) {
    snapshot_state state;
    if (std::error_code error = Codec::Decode(bytes, state)) return error;
    return Load(std::move(state));
  }
};

}  // namespace radishroute

#endif  // RADISHROUTE_STATE_MACHINE_H_
