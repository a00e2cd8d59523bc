#ifndef RADISHROUTE_ENGINE_PREFIX_CACHE_H_
#define RADISHROUTE_ENGINE_PREFIX_CACHE_H_

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "engine/event.h"

namespace radishroute {

struct prefix_cache_limits {
  /// Blocks of kBlockTokens tokens that fit.
  std::size_t blocks = 4096;
  /// Time after which an event becomes visible.
  std::chrono::milliseconds event_delay{50};
  /// Every n-th event is lost, its sequence number included; 0 for none.
  std::uint64_t lose_every = 0;
};

/// Cache of prompt prefixes, evicting the least recently used block.
class prefix_cache {
 public:
  static constexpr std::uint32_t kBlockTokens = 16;
  /// Events kept for readers; older ones are dropped, which readers see as a gap.
  static constexpr std::size_t kMaxEvents = 4096;

  explicit prefix_cache(prefix_cache_limits limits) : limits_(limits) {}

  /// Hash of each whole block of the prompt, chained so that a block stands for its whole prefix.
  static std::vector<std::uint64_t> BlocksOf(std::string_view prompt);

  /// Number of leading blocks that are cached.
  std::size_t Hits(const std::vector<std::uint64_t>& blocks) const;

  void Store(const std::vector<std::uint64_t>& blocks, steady_time now);

  std::size_t Size() const { return entries_.size(); }

  std::vector<cache_event> EventsAfter(std::uint64_t sequence, steady_time now) const;

 private:
  struct dated_event {
    steady_time visible;
    cache_event event;
  };

  void Record(bool stored, std::uint64_t block, steady_time now);

  prefix_cache_limits limits_;
  std::list<std::uint64_t> by_use_;
  std::unordered_map<std::uint64_t, std::list<std::uint64_t>::iterator> entries_;
  std::deque<dated_event> events_;
  std::uint64_t next_sequence_ = 1;
};

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_PREFIX_CACHE_H_
