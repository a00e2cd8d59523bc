#include "engine/batch.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace radishroute {

void batch::Add(const engine_request_arrived& e) {
  request r{engine_answer(e.body), {}, e.priority, 0, e.resume_offset, false, false, 0};
  r.blocks = prefix_cache::BlocksOf(r.answer.Prompt());
  waiting_[e.priority].emplace_back(e.caller.exchange, std::move(r));
}

void batch::Cancel(exchange_id exchange) {
  running_.erase(exchange);
  for (auto& [priority, queue] : waiting_) {
    std::erase_if(queue, [&](const auto& entry) { return entry.first == exchange; });
  }
}

void batch::Advance(steady_time now, engine_faults& faults, prefix_cache& cache,
                    engine_effects& effects) {
  if (stepping_ && now < step_ends_) {
    effects.emplace_back(engine_wakeup{step_ends_});
    return;
  }
  if (stepping_) EndStep(faults, effects);
  StartStep(now, faults, cache, effects);
}

bool batch::Emit(exchange_id exchange, request& r, const engine_faults& faults,
                 engine_effects& effects) {
  bool last = r.next_token + 1 >= r.answer.Tokens();
  std::string bytes;
  if (r.answer.Stream()) {
    bytes = r.answer.StreamToken(r.next_token);
    if (last) bytes += engine_answer::StreamEnd();
  } else if (last) {
    bytes = r.answer.Whole();
  }
  ++r.next_token;
  std::size_t skipped = std::min<std::size_t>(bytes.size(), r.skip_bytes);
  r.skip_bytes -= skipped;
  bytes.erase(0, skipped);
  bytes = faults.Damage(std::move(bytes), last);
  if (!bytes.empty()) effects.emplace_back(engine_bytes{exchange, std::move(bytes)});
  if (last) {
    effects.emplace_back(engine_end{exchange});
  } else if (r.drop_after != 0 && r.next_token >= r.drop_after) {
    effects.emplace_back(engine_abort{exchange});
    return true;
  }
  return last;
}

void batch::EndStep(const engine_faults& faults, engine_effects& effects) {
  for (auto it = running_.begin(); it != running_.end();) {
    bool done = !it->second.stalled && Emit(it->first, it->second, faults, effects);
    it = done ? running_.erase(it) : std::next(it);
  }
  stepping_ = false;
}

bool batch::Preempt(std::uint32_t priority) {
  auto least = std::max_element(running_.begin(), running_.end(), [](const auto& a, const auto& b) {
    return a.second.priority < b.second.priority;
  });
  if (least == running_.end() || least->second.priority <= priority) return false;
  waiting_[least->second.priority].emplace_front(least->first, std::move(least->second));
  running_.erase(least);
  return true;
}

std::chrono::microseconds batch::Join(exchange_id exchange, request r, steady_time now,
                                      engine_faults& faults, prefix_cache& cache,
                                      engine_effects& effects) {
  if (!faults.crash_on.empty() && r.answer.Prompt().find(faults.crash_on) != std::string::npos) {
    effects.emplace_back(engine_crash{});
  }
  if (!r.begun) {
    r.begun = true;
    r.stalled = std::exchange(faults.stall_next_request, false);
    if (r.answer.Stream()) r.drop_after = std::exchange(faults.drop_next_after, 0);
    engine_begin begin{exchange, r.answer.ContentType(), std::nullopt};
    if (!r.answer.Stream()) {
      std::size_t whole = r.answer.Whole().size();
      std::string rest(whole - std::min<std::size_t>(whole, r.skip_bytes), ' ');
      begin.length = faults.Damage(std::move(rest), true).size();
    }
    effects.emplace_back(std::move(begin));
  }
  auto cached = static_cast<std::uint32_t>(cache.Hits(r.blocks)) * prefix_cache::kBlockTokens;
  cache.Store(r.blocks, now);
  std::uint32_t tokens = r.answer.PromptTokens() + r.next_token;
  running_.emplace(exchange, std::move(r));
  return speed_.prefill_per_token * (tokens - std::min(tokens, cached));
}

void batch::StartStep(steady_time now, engine_faults& faults, prefix_cache& cache,
                      engine_effects& effects) {
  std::chrono::microseconds prefill{};
  for (auto& [priority, queue] : waiting_) {
    while (!queue.empty() && (running_.size() < speed_.max_batch || Preempt(priority))) {
      auto [exchange, next] = std::move(queue.front());
      queue.pop_front();
      prefill += Join(exchange, std::move(next), now, faults, cache, effects);
    }
  }
  if (running_.empty()) return;
  stepping_ = true;
  auto running = static_cast<std::uint32_t>(running_.size());
  step_ = (prefill + speed_.step_base + speed_.step_per_request * running) * faults.slow_factor;
  step_ends_ = now + step_;
  effects.emplace_back(engine_wakeup{step_ends_});
}

engine_load batch::Load(const prefix_cache& cache) const {
  engine_load load;
  load.running = static_cast<std::uint32_t>(running_.size());
  for (const auto& [priority, queue] : waiting_) {
    load.waiting += static_cast<std::uint32_t>(queue.size());
  }
  load.max_batch = speed_.max_batch;
  load.cached_blocks = cache.Size();
  load.step = step_;
  return load;
}

}  // namespace radishroute
