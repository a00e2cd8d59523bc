#include "engine/model.h"

#include <algorithm>
#include <utility>

namespace radishroute {

void engine_model::Reduce(const engine_event& e, steady_time now,
                          std::vector<engine_effect>& effects) {
  std::visit([&](const auto& specific) { Handle(specific, now, effects); }, e);
}

void engine_model::Handle(const engine_request_arrived& e, steady_time now,
                          std::vector<engine_effect>& effects) {
  waiting_[e.priority].push_back({e.exchange, e.resume_offset, e.body});
  if (!stepping_) StartStep(now, effects);
}

void engine_model::Handle(const engine_caller_gone& e, steady_time, std::vector<engine_effect>&) {
  running_.erase(e.exchange);
  for (auto& [priority, queue] : waiting_) {
    std::erase_if(queue, [&](const waiting_request& w) { return w.exchange == e.exchange; });
  }
}

void engine_model::EmitToken(exchange_id exchange, running_request& request,
                             std::vector<engine_effect>& effects) {
  bool last = request.next_token + 1 >= request.answer.Tokens();
  std::string bytes;
  if (request.answer.Stream()) {
    bytes = request.answer.StreamToken(request.next_token);
    if (last) bytes += engine_answer::StreamEnd();
  } else if (last) {
    bytes = request.answer.Whole();
  }
  ++request.next_token;
  std::size_t skipped = std::min<std::size_t>(bytes.size(), request.skip_bytes);
  request.skip_bytes -= skipped;
  bytes.erase(0, skipped);
  if (!bytes.empty()) effects.emplace_back(engine_bytes{exchange, std::move(bytes)});
  if (last) effects.emplace_back(engine_end{exchange});
}

void engine_model::Handle(const engine_step_due&, steady_time now,
                          std::vector<engine_effect>& effects) {
  if (!stepping_) return;
  if (now < step_ends_) {
    effects.emplace_back(engine_wakeup{step_ends_});
    return;
  }
  for (auto it = running_.begin(); it != running_.end();) {
    EmitToken(it->first, it->second, effects);
    bool done = it->second.next_token >= it->second.answer.Tokens();
    it = done ? running_.erase(it) : std::next(it);
  }
  stepping_ = false;
  StartStep(now, effects);
}

void engine_model::StartStep(steady_time now, std::vector<engine_effect>& effects) {
  std::chrono::microseconds prefill{};
  for (auto& [priority, queue] : waiting_) {
    while (!queue.empty() && running_.size() < speed_.max_batch) {
      waiting_request next = std::move(queue.front());
      queue.pop_front();
      running_request request{engine_answer(next.body), 0, next.resume_offset};
      prefill += speed_.prefill_per_token * request.answer.PromptTokens();
      std::size_t length =
          request.answer.Stream() ? 0 : request.answer.Whole().size() - next.resume_offset;
      effects.emplace_back(engine_begin{next.exchange, request.answer.ContentType(), length});
      running_.emplace(next.exchange, std::move(request));
    }
  }
  if (running_.empty()) return;
  stepping_ = true;
  step_ends_ = now + prefill + speed_.step_base + speed_.step_per_request * running_.size();
  effects.emplace_back(engine_wakeup{step_ends_});
}

}  // namespace radishroute
