#include "engine/prefix_cache.h"

#include "engine/answer.h"

namespace radishroute {

std::vector<std::uint64_t> prefix_cache::BlocksOf(std::string_view prompt) {
  constexpr std::size_t kBlockBytes = kBlockTokens * kBytesPerPromptToken;
  std::vector<std::uint64_t> blocks;
  std::uint64_t chain = 0;
  for (std::size_t at = 0; at + kBlockBytes <= prompt.size(); at += kBlockBytes) {
    chain = StableHash(prompt.substr(at, kBlockBytes), chain);
    blocks.push_back(chain);
  }
  return blocks;
}

std::size_t prefix_cache::Hits(const std::vector<std::uint64_t>& blocks) const {
  std::size_t hits = 0;
  while (hits < blocks.size() && entries_.contains(blocks[hits])) ++hits;
  return hits;
}

void prefix_cache::Store(const std::vector<std::uint64_t>& blocks, steady_time now) {
  // Last block first, so that the end of a prefix is evicted before its beginning.
  for (auto block = blocks.rbegin(); block != blocks.rend(); ++block) {
    auto [it, added] = entries_.try_emplace(*block);
    if (!added) by_use_.erase(it->second);
    by_use_.push_front(*block);
    it->second = by_use_.begin();
    if (added) Record(true, *block, now);
  }
  while (entries_.size() > limits_.blocks) {
    Record(false, by_use_.back(), now);
    entries_.erase(by_use_.back());
    by_use_.pop_back();
  }
}

void prefix_cache::Record(bool stored, std::uint64_t block, steady_time now) {
  std::uint64_t sequence = next_sequence_++;
  if (limits_.lose_every > 0 && sequence % limits_.lose_every == 0) return;
  events_.push_back({now + limits_.event_delay, {sequence, stored, block}});
  if (events_.size() > kMaxEvents) events_.pop_front();
}

std::vector<cache_event> prefix_cache::EventsAfter(std::uint64_t sequence, steady_time now) const {
  std::vector<cache_event> visible;
  for (const dated_event& e : events_) {
    if (e.visible <= now && e.event.sequence > sequence) visible.push_back(e.event);
  }
  return visible;
}

}  // namespace radishroute
