#include "radishroute/baseline.h"

#include <algorithm>

namespace radishroute {

void fifo_queue::Push(queued_work work, steady_time, std::vector<refused_work>& refused) {
  if (work_.size() >= kCapacity) {
    refused.push_back({work.id, refusal_reason::kQueueFull, {}});
    return;
  }
  work_.push_back(std::move(work));
}

std::optional<queued_work> fifo_queue::Pop(steady_time, std::vector<refused_work>&) {
  if (work_.empty()) return std::nullopt;
  queued_work next = std::move(work_.front());
  work_.pop_front();
  return next;
}

bool fifo_queue::Erase(const dispatch_id& id) {
  auto it =
      std::find_if(work_.begin(), work_.end(), [&](const queued_work& w) { return w.id == id; });
  if (it == work_.end()) return false;
  work_.erase(it);
  return true;
}

void fifo_queue::OnFinished(const finished_work& finished, steady_time) {
  if (!finished.completed) return;
  // Exponential moving average over about eight requests.
  mean_service_ += (finished.service_time - mean_service_) / 8;
}

std::chrono::microseconds fifo_queue::ExpectedWait(priority_class) const {
  return mean_service_ * work_.size() / std::max(concurrency_, 1U);
}

std::optional<std::uint32_t> round_robin_router::Choose(const routing_table& table,
                                                        const route_query& query, steady_time,
                                                        random_source&) {
  auto it = table.pools.find(query.model);
  if (it == table.pools.end()) return std::nullopt;
  for (const auto* tier : {&it->second.local, &it->second.remote}) {
    for (std::size_t i = 0; i < tier->size(); ++i) {
      std::uint32_t backend = (*tier)[next_++ % tier->size()];
      if (std::find(query.excluded.begin(), query.excluded.end(), backend) ==
          query.excluded.end()) {
        return backend;
      }
    }
  }
  return std::nullopt;
}

}  // namespace radishroute
