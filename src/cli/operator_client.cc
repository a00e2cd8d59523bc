#include "cli/operator_client.h"

#include <algorithm>

#include "io/http_client.h"

namespace radishroute {

namespace {

constexpr unsigned kMisdirected = 421;

// A controller that accepts the connection and is silent must not use up the whole time.
constexpr std::chrono::milliseconds kOneController{1000};

// Pause between two rounds, in which a leader may be elected.
constexpr std::chrono::milliseconds kBetweenRounds{200};

}  // namespace

void operator_client::Pause(std::chrono::milliseconds duration) {
  io_loop loop;
  static const lws_protocols protocols[] = {http_client::Protocol(), {}};
  loop.CreateClientVhost(protocols);
  loop.SetTimerHandler([&loop] { loop.Stop(); });
  loop.WakeAt(std::chrono::steady_clock::now() + duration);
  loop.Run();
}

std::optional<http_answer> operator_client::CallOne(const endpoint& controller,
                                                    const std::string& path,
                                                    const std::string& body,
                                                    std::chrono::milliseconds timeout) {
  io_loop loop;
  static const lws_protocols protocols[] = {http_client::Protocol(), {}};
  loop.CreateClientVhost(protocols);
  http_answer answer;
  bool complete = false;
  http_client client(
      loop,
      {[&](http_client::call_id, unsigned status, const std::string&) { answer.status = status; },
       [&](http_client::call_id, std::string_view bytes) { answer.body += bytes; },
       [&](http_client::call_id, http_call_result result) {
         complete = result == http_call_result::kComplete;
         loop.Stop();
       }});
  loop.SetTimerHandler([&loop] { loop.Stop(); });
  loop.WakeAt(std::chrono::steady_clock::now() + timeout);
  client.Start(controller, path, {{"authorization", "Bearer " + token_}}, body);
  loop.Run();
  if (!complete) return std::nullopt;
  return answer;
}

std::optional<http_answer> operator_client::Call(const std::string& path, const std::string& body,
                                                 std::chrono::milliseconds timeout) {
  steady_time end = std::chrono::steady_clock::now() + timeout;
  while (true) {
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
      std::size_t index = (leader_ + i) % controllers_.size();
      auto answer = CallOne(controllers_[index], path, body, std::min(timeout, kOneController));
      if (!answer || answer->status == kMisdirected) continue;
      leader_ = index;
      return answer;
    }
    if (std::chrono::steady_clock::now() >= end) return std::nullopt;
    Pause(kBetweenRounds);
  }
}

}  // namespace radishroute
