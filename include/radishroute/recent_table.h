#ifndef RADISHROUTE_RECENT_TABLE_H_
#define RADISHROUTE_RECENT_TABLE_H_

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

#include "radishroute/clock.h"

namespace radishroute {

/// Set-associative cache of values by 64-bit hash, in a fixed amount of memory. When all four slots
/// of a hash are occupied, the least recently used one is replaced.
template <class Value, std::size_t kSets>
class recent_table {
 public:
  /// Returns the value of a hash, or null.
  const Value* Find(std::uint64_t hash) const {
    for (const slot& candidate : sets_[hash % kSets]) {
      if (candidate.occupied && candidate.hash == hash) return &candidate.value;
    }
    return nullptr;
  }

  /// Returns the value of a hash, which is inserted as a copy of `initial` if there is none.
  Value& FindOrInsert(std::uint64_t hash, const Value& initial, steady_time now) {
    auto& set = sets_[hash % kSets];
    slot* oldest = &set[0];
    for (slot& candidate : set) {
      if (candidate.occupied && candidate.hash == hash) {
        candidate.last_used = now;
        return candidate.value;
      }
      if (!candidate.occupied || (oldest->occupied && candidate.last_used < oldest->last_used))
        oldest = &candidate;
    }
    *oldest = {hash, now, true, initial};
    return oldest->value;
  }

  static constexpr std::size_t Capacity() { return kSets * kWays; }

 private:
  static constexpr std::size_t kWays = 4;
  struct slot {
    std::uint64_t hash = 0;
    steady_time last_used{};
    bool occupied = false;
    Value value{};
  };

  std::vector<std::array<slot, kWays>> sets_{kSets};
};

}  // namespace radishroute

#endif  // RADISHROUTE_RECENT_TABLE_H_
