#ifndef RADISHROUTE_LOAD_RUNNER_H_
#define RADISHROUTE_LOAD_RUNNER_H_

#include <memory>
#include <optional>
#include <ostream>
#include <unordered_map>
#include <vector>

#include "io/http_client.h"
#include "io/http_server.h"
#include "io/loop.h"
#include "load/generator.h"
#include "load/result.h"

namespace radishroute {

/// Carries out the load generator's effects over HTTP on one event loop.
class load_runner {
 public:
  /// `connections` is the limit for each target; `records` receives one line per request if it is
  /// not null.
  load_runner(const load_plan& plan, std::vector<endpoint> targets, std::size_t connections,
              std::ostream* records);

  /// Listens for POST /v1/mark, whose body is the text of an event. Error: kListenFailed.
  std::error_code ListenForMarks(const endpoint& listen);

  /// Runs the plan to its end.
  load_result Run();

  wall_time WallStart() const { return wall_start_; }

 private:
  void Apply(const load_event& e);
  void OnMark(const http_request& request);

  void Execute(const start_call& e);
  void Execute(const cancel_call& e);
  void Execute(const load_wakeup& e) { loop_.WakeAt(e.at); }
  void Execute(const record_request& e);
  void Execute(const load_finished&) { loop_.Stop(); }

  std::vector<endpoint> targets_;
  std::ostream* records_;
  system_clock_source clock_;
  wall_time wall_start_;
  steady_time started_;
  load_generator generator_;
  load_result result_;
  io_loop loop_;
  /// The generator's numbers of calls and the client's.
  std::unordered_map<http_client::call_id, std::uint64_t> calls_;
  std::unordered_map<std::uint64_t, http_client::call_id> clients_;
  http_client client_;
  std::unique_ptr<http_server> marks_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_LOAD_RUNNER_H_
