#include "cli/operator_client.h"

#include <algorithm>

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
  loop.CreateClientVhost(http_client::Protocols());
  loop.SetTimerHandler([&loop] { loop.Stop(); });
  loop.WakeAt(std::chrono::steady_clock::now() + duration);
  loop.Run();
}

operator_reply CallProcess(const endpoint& process, const std::string& token,
                           const std::string& path, const std::string& body,
                           std::chrono::milliseconds timeout) {
  io_loop loop;
  loop.CreateClientVhost(http_client::Protocols());
  operator_reply reply;
  http_client client(
      loop, {[&](http_client::call_id, unsigned status, const std::string&) {
               reply.answer.status = status;
             },
             [&](http_client::call_id, std::string_view bytes) { reply.answer.body += bytes; },
             [&](http_client::call_id, http_call_result result, response_fault) {
               reply.result = result;
               loop.Stop();
             }});
  loop.SetTimerHandler([&loop] { loop.Stop(); });
  loop.WakeAt(std::chrono::steady_clock::now() + timeout);
  client.Start(process, path, {{"authorization", "Bearer " + token}}, body);
  loop.Run();
  return reply;
}

std::optional<http_answer> operator_client::Call(const std::string& path, const std::string& body,
                                                 std::chrono::milliseconds timeout) {
  steady_time end = std::chrono::steady_clock::now() + timeout;
  while (true) {
    for (std::size_t i = 0; i < controllers_.size(); ++i) {
      std::size_t index = (leader_ + i) % controllers_.size();
      auto reply =
          CallProcess(controllers_[index], token_, path, body, std::min(timeout, kOneController));
      bool complete = reply.result == http_call_result::kComplete;
      if (!complete || reply.answer.status == kMisdirected) continue;
      leader_ = index;
      return reply.answer;
    }
    if (std::chrono::steady_clock::now() >= end) return std::nullopt;
    Pause(kBetweenRounds);
  }
}

}  // namespace radishroute
