#ifndef RADISHROUTE_RECENT_TABLE_H_
#define RADISHROUTE_RECENT_TABLE_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "radishroute/clock.h"

namespace radishroute {

/// Values by 64-bit hash in a fixed amount of memory. When the four places of a hash are taken,
/// the one that was used least recently is replaced.
template <class Value, std::size_t kSets>
class recent_table {
 public:
  /// The value of a hash, or null.
  const Value* Find(std::uint64_t hash) const {
    for (const place& p : sets_[hash % kSets]) {
      if (p.taken && p.hash == hash) return &p.value;
    }
    return nullptr;
  }

  /// The value of a hash, initialized from `fresh` if there is none yet.
  Value& FindOrInsert(std::uint64_t hash, const Value& fresh, steady_time now) {
    auto& set = sets_[hash % kSets];
    place* oldest = &set[0];
    for (place& p : set) {
      if (p.taken && p.hash == hash) {
        p.used = now;
        return p.value;
      }
      if (!p.taken || (oldest->taken && p.used < oldest->used)) oldest = &p;
    }
    *oldest = {hash, now, true, fresh};
    return oldest->value;
  }

  static constexpr std::size_t Capacity() { return kSets * kWays; }

 private:
  static constexpr std::size_t kWays = 4;
  struct place {
    std::uint64_t hash = 0;
    steady_time used{};
    bool taken = false;
    Value value{};
  };

  std::vector<std::array<place, kWays>> sets_{kSets};
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECENT_TABLE_H_
