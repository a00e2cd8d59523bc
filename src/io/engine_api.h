#ifndef RADISHROUTE_IO_ENGINE_API_H_
#define RADISHROUTE_IO_ENGINE_API_H_

#include <functional>
#include <string>
#include <unordered_map>

#include "io/http_client.h"
#include "radishroute/effect.h"
#include "radishroute/event.h"

namespace radishroute {

/// Maps effects to calls on the backend server beside this agent, and its responses to events.
class engine_api {
 public:
  using event_sink = std::function<void(event&&)>;

  engine_api(io_loop& loop, endpoint engine, event_sink sink);

  void Execute(const start_engine_call& e);
  void Execute(const cancel_engine_call& e);
  void Execute(const probe_engine& e);
  void Execute(const call_rank& e);

 private:
  void OnEnd(http_client::call_id call, http_call_result result, response_fault fault);

  void OnBegin(http_client::call_id call, unsigned status, const std::string& type);
  void OnBytes(http_client::call_id call, std::string_view bytes);

  endpoint engine_;
  event_sink sink_;
  std::unordered_map<http_client::call_id, dispatch_id> dispatches_;
  std::unordered_map<dispatch_id, http_client::call_id> calls_;
  /// Probe in progress; 0 if there is none.
  http_client::call_id probe_call_ = 0;
  std::uint64_t probe_number_ = 0;
  /// Call of the rank in progress; 0 if there is none.
  http_client::call_id rank_call_ = 0;
  std::uint64_t rank_number_ = 0;
  std::string rank_answer_;
  http_client client_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_ENGINE_API_H_
