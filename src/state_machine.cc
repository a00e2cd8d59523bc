#include "radishroute/state_machine.h"

#include <utility>

#include "radishroute/invariant.h"

namespace radishroute {

apply_result state_machine::Apply(const log_entry& entry, reduce_context& ctx) {
  if (entry.index <= last_index_) return {};
  bool in_order = entry.index == last_index_ + 1;
  if (!CheckInvariant(in_order, "log entries are applied without gaps", ctx)) return {};
  CheckInvariant(entry.term >= last_term_, "terms of applied entries never decrease", ctx);
  last_index_ = entry.index;
  last_term_ = entry.term;
  return std::visit([&](const auto& body) { return ApplyBody(body, ctx); }, entry.body);
}

snapshot_state state_machine::Save() const {
  return {last_index_,     last_term_,     replicas_,      config_.Save(),
          records_.Save(), orders_.Save(), groups_.Save(), evacuations_.Save()};
}

std::error_code state_machine::Load(snapshot_state state) {
  // A state that cannot be read leaves this one as it is.
  state_machine loaded(records_.Limits());
  bool valid = loaded.config_.Load(std::move(state.config)) &&
               loaded.records_.Load(std::move(state.records)) &&
               loaded.orders_.Load(std::move(state.orders)) &&
               loaded.groups_.Load(std::move(state.groups)) &&
               loaded.evacuations_.Load(state.evacuations);
  if (!valid) return errc::kSnapshotCorrupt;
  loaded.last_index_ = state.last_index;
  loaded.last_term_ = state.last_term;
  loaded.replicas_ = std::move(state.replicas);
  *this = std::move(loaded);
  return {};
}

}  // namespace radishroute
