#ifndef RADISHROUTE_RECORDS_H_
#define RADISHROUTE_RECORDS_H_

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>

#include "radishroute/record_types.h"
#include "radishroute/reduce_context.h"

namespace radishroute {

/// Idempotency records. Deterministic: the state depends only on the applied commands.
class record_table {
 public:
  explicit record_table(record_limits limits = {}) : limits_(limits) {}

  claim_result Apply(const record_claim& claim, reduce_context& ctx);
  outcome_verdict Apply(const record_outcome& outcome, reduce_context& ctx);

  /// Returns null if there is no record.
  const idempotency_record* Find(const std::string& member, const std::string& key) const;

  std::size_t Size() const { return records_.size(); }
  const record_limits& Limits() const { return limits_; }

  records_image Save() const;
  /// Returns false and leaves the table empty if a key occurs twice or is malformed.
  bool Load(records_image image);

 private:
  using expiry_entry = std::pair<wall_time, const std::string*>;
  struct expiry_order {
    bool operator()(const expiry_entry& a, const expiry_entry& b) const {
      return a.first != b.first ? a.first < b.first : *a.second < *b.second;
    }
  };

  claim_result ClaimExisting(idempotency_record& record, const record_claim& claim);
  void Store(idempotency_record& record, const record_outcome& outcome);
  void RemoveExpired();

  record_limits limits_;
  /// Highest time of any applied claim; never decreases, so an expired key stays expired.
  wall_time clock_{};
  std::unordered_map<std::string, idempotency_record> records_;
  /// Key time and name of every record; the names point to the keys of `records_`.
  std::set<expiry_entry, expiry_order> expiry_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECORDS_H_
