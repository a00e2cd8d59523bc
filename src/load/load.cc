#include <algorithm>
#include <iostream>
#include <map>
#include <nlohmann/json.hpp>
#include <random>
#include <unordered_map>

#include "cli/commands.h"
#include "cli/options.h"
#include "cli/process.h"
#include "engine/answer.h"
#include "io/http_client.h"
#include "io/loop.h"
#include "radishroute/clock.h"

namespace radishroute {

namespace {

struct load_plan {
  std::vector<endpoint> targets;
  double requests_per_second = 10;
  std::chrono::milliseconds duration{5000};
  std::string model;
  std::vector<std::string> members;
  std::vector<std::string> kinds;
  std::uint32_t max_tokens = 16;
  std::uint64_t seed = 1;
};

/// How one request ended, seen by the caller.
enum class load_outcome { kWhole, kWrong, kRefused, kFailed, kBroken, kUnreachable };

struct load_result {
  std::map<load_outcome, std::size_t> outcomes;
  std::vector<std::chrono::microseconds> latencies;
};

/// Open-loop load: requests start at their planned times whether or not earlier ones have ended.
class load_generator {
 public:
  explicit load_generator(load_plan plan)
      : plan_(std::move(plan)),
        random_(plan_.seed),
        client_(loop_,
                {[this](http_client::call_id id, unsigned status, const std::string&) {
                   calls_.at(id).status = status;
                 },
                 [this](http_client::call_id id, std::string_view bytes) {
                   calls_.at(id).body.append(bytes);
                 },
                 [this](http_client::call_id id, http_call_result result) { OnEnd(id, result); }}) {
    static const lws_protocols protocols[] = {http_client::Protocol(), {}};
    loop_.CreateClientVhost(protocols);
    loop_.SetTimerHandler([this] { OnTimer(); });
  }

  load_result Run() {
    started_ = clock_.Now();
    planned_ = static_cast<std::size_t>(
        plan_.requests_per_second *
        std::chrono::duration_cast<std::chrono::duration<double>>(plan_.duration).count());
    loop_.WakeAt(started_);
    loop_.Run();
    return std::move(result_);
  }

 private:
  struct pending_call {
    std::string request;
    std::string body;
    unsigned status = 0;
    steady_time started;
  };

  steady_time PlannedStart(std::size_t index) const {
    auto offset =
        std::chrono::duration<double>(static_cast<double>(index) / plan_.requests_per_second);
    return started_ + std::chrono::duration_cast<std::chrono::microseconds>(offset);
  }

  void OnTimer() {
    while (next_ < planned_ && PlannedStart(next_) <= clock_.Now()) StartOne(next_++);
    if (next_ < planned_) {
      loop_.WakeAt(PlannedStart(next_));
    } else {
      StopIfDone();
    }
  }

  template <class T>
  const T& Pick(const std::vector<T>& from) {
    return from[std::uniform_int_distribution<std::size_t>(0, from.size() - 1)(random_)];
  }

  void StartOne(std::size_t index) {
    nlohmann::json body;
    body["model"] = plan_.model;
    body["stream"] = index % 2 == 0;
    body["max_tokens"] = plan_.max_tokens;
    body["messages"] = {
        {{"role", "user"},
         {"content", "request " + std::to_string(plan_.seed) + "-" + std::to_string(index)}}};
    pending_call call;
    call.request = body.dump();
    call.started = clock_.Now();
    std::vector<http_header> headers = {{"x-member", Pick(plan_.members)},
                                        {"x-work-kind", Pick(plan_.kinds)}};
    std::string text = call.request;
    http_client::call_id id =
        client_.Start(Pick(plan_.targets), "/v1/chat/completions", headers, std::move(text));
    calls_.emplace(id, std::move(call));
  }

  load_outcome Judge(const pending_call& call, http_call_result result) const {
    if (result == http_call_result::kNotSent) return load_outcome::kUnreachable;
    if (call.status >= 500 && call.status != 503) return load_outcome::kFailed;
    if (call.status >= 400) return load_outcome::kRefused;
    if (result != http_call_result::kComplete) return load_outcome::kBroken;
    return call.body == engine_answer(call.request).Whole() ? load_outcome::kWhole
                                                            : load_outcome::kWrong;
  }

  void OnEnd(http_client::call_id id, http_call_result result) {
    auto it = calls_.find(id);
    load_outcome outcome = Judge(it->second, result);
    ++result_.outcomes[outcome];
    if (outcome == load_outcome::kWhole) {
      result_.latencies.push_back(
          std::chrono::duration_cast<std::chrono::microseconds>(clock_.Now() - it->second.started));
    }
    calls_.erase(it);
    StopIfDone();
  }

  void StopIfDone() {
    if (next_ >= planned_ && calls_.empty()) loop_.Stop();
  }

  load_plan plan_;
  system_clock_source clock_;
  std::mt19937_64 random_;
  io_loop loop_;
  std::unordered_map<http_client::call_id, pending_call> calls_;
  load_result result_;
  steady_time started_;
  std::size_t planned_ = 0;
  std::size_t next_ = 0;
  http_client client_;
};

void PrintResult(load_result& result) {
  auto outcome = [&](load_outcome o) { return result.outcomes[o]; };
  std::cout << "whole " << outcome(load_outcome::kWhole) << ", wrong "
            << outcome(load_outcome::kWrong) << ", refused " << outcome(load_outcome::kRefused)
            << ", failed " << outcome(load_outcome::kFailed) << ", broken "
            << outcome(load_outcome::kBroken) << ", unreachable "
            << outcome(load_outcome::kUnreachable) << "\n";
  if (result.latencies.empty()) return;
  std::sort(result.latencies.begin(), result.latencies.end());
  auto at = [&](std::size_t percent) {
    return result.latencies[(result.latencies.size() - 1) * percent / 100].count();
  };
  std::cout << "latency p50 " << at(50) << " us, p95 " << at(95) << " us, p99 " << at(99)
            << " us\n";
}

}  // namespace

int RunLoad(int argc, char** argv) {
  cxxopts::Options options("radishroute load", "Sends requests and checks every answer.");
  options.add_options()("target", "address of an entry, may be repeated",
                        cxxopts::value<std::vector<std::string>>())(
      "rate", "requests per second", cxxopts::value<double>()->default_value("10"))(
      "seconds", "duration", cxxopts::value<unsigned>()->default_value("5"))(
      "model", "model name", cxxopts::value<std::string>()->default_value("draft"))(
      "member", "Member, may be repeated", cxxopts::value<std::vector<std::string>>())(
      "kind", "kind of work, may be repeated", cxxopts::value<std::vector<std::string>>())(
      "max-tokens", "tokens per answer", cxxopts::value<unsigned>()->default_value("16"))(
      "seed", "random seed", cxxopts::value<std::uint64_t>()->default_value("1"));
  int exit = kExitSuccess;
  auto parsed = ParseOptions(options, argc, argv, exit);
  if (!parsed) return exit;
  if (parsed->count("target") == 0 || parsed->count("member") == 0 || parsed->count("kind") == 0) {
    std::cerr << "--target, --member and --kind are required\n";
    return kExitUsage;
  }
  load_plan plan;
  for (const std::string& text : (*parsed)["target"].as<std::vector<std::string>>()) {
    endpoint target;
    if (!ParseEndpoint(text, target)) {
      std::cerr << "--target must be an IPv4 address and port\n";
      return kExitUsage;
    }
    plan.targets.push_back(target);
  }
  plan.requests_per_second = (*parsed)["rate"].as<double>();
  plan.duration = std::chrono::seconds((*parsed)["seconds"].as<unsigned>());
  plan.model = (*parsed)["model"].as<std::string>();
  plan.members = (*parsed)["member"].as<std::vector<std::string>>();
  plan.kinds = (*parsed)["kind"].as<std::vector<std::string>>();
  plan.max_tokens = (*parsed)["max-tokens"].as<unsigned>();
  plan.seed = (*parsed)["seed"].as<std::uint64_t>();
  QuietLibwebsockets();
  load_generator generator(std::move(plan));
  load_result result = generator.Run();
  PrintResult(result);
  std::size_t bad = result.outcomes[load_outcome::kWrong] + result.outcomes[load_outcome::kBroken];
  return bad == 0 && result.outcomes[load_outcome::kWhole] > 0 ? kExitSuccess : kExitFailed;
}

}  // namespace radishroute
