#include <algorithm>
#include <array>
#include <catch2/catch.hpp>
#include <deque>
#include <memory>
#include <random>
#include <vector>

#include "radishroute/forward/admission.h"

namespace radishroute {

namespace {

using namespace std::chrono_literals;
using real_seconds = std::chrono::duration<double>;

constexpr std::size_t kEngines = 20;
constexpr std::uint32_t kSlots = 10;
constexpr std::size_t kClasses = 3;

/// Callers of one class of streams: an urgent one, one in between, and the least urgent one.
struct traffic_class {
  double requests_per_second = 0;
  double worth = 0;
  double worth_if_late = 0;
};

/// What the callers of each class got.
struct outcome {
  std::array<int, kClasses> asked{};
  std::array<int, kClasses> served{};
  std::array<int, kClasses> in_time{};
};

/// A group of engines that make each pass together. Passes are longer than the profile says, since
/// the experts' load is uneven, and vary. An admitted request begins two passes after it has a slot
/// and then gets an event each pass.
class group_simulation {
 public:
  explicit group_simulation(const std::array<traffic_class, kClasses>& traffic,
                            bool callers_return = false)
      : traffic_(traffic), callers_return_(callers_return) {
    profile_.slots = kSlots;
    profile_.steps_per_pass = 6;
    profile_.step = 5850us;
    profile_.step_per_request = 426us;
    profile_.mean_answer_tokens = 139;
    for (std::size_t i = 0; i < kClasses; ++i) {
      routes_[i].priority = static_cast<std::uint32_t>(i);
      routes_[i].target_gap = 120ms;
      routes_[i].target_latency = i == 2 ? 1000ms : 400ms;
    }
  }

  outcome Run(std::chrono::seconds duration) {
    for (steady_time end = now_ + duration; now_ < end;) RunPass();
    return result_;
  }

 private:
  static constexpr double kSlowdown = 1.6;
  static constexpr auto kRetryAfter = 2s;
  static constexpr int kPassesToBegin = 2;
  static constexpr int kPassesOfStream = 23;

  struct stream {
    std::size_t of_class = 0;
    steady_time asked;
    int passes = 0;
    bool late = false;
  };

  struct returning_caller {
    std::size_t of_class = 0;
    steady_time asked;
    steady_time returns_at;
  };

  struct engine {
    std::vector<stream> running;
    std::deque<stream> waiting;

    std::size_t Load() const { return running.size() + waiting.size(); }
  };

  void RunPass() {
    double running = 0;
    for (const engine& e : engines_) running += static_cast<double>(e.running.size());
    running /= static_cast<double>(kEngines);
    std::uniform_real_distribution<double> variation(0.8, 1.25);
    auto mean = std::chrono::duration_cast<std::chrono::microseconds>(
        real_seconds(profile_.step + profile_.step_per_request * running) *
        profile_.steps_per_pass * kSlowdown);
    auto pass = std::chrono::duration_cast<std::chrono::microseconds>(real_seconds(mean) *
                                                                      variation(random_));
    ReportLoad(mean);
    Arrive(pass);
    now_ += pass;
    for (engine& e : engines_) Advance(e, pass);
  }

  void ReportLoad(std::chrono::microseconds mean_pass) {
    auto load = std::make_shared<fleet_load>();
    load->open = true;
    load->pass = mean_pass;
    for (const engine& e : engines_) {
      fleet_engine_load reported;
      reported.running = static_cast<std::uint32_t>(e.running.size());
      reported.waiting = static_cast<std::uint32_t>(e.waiting.size());
      load->engines.push_back(reported);
    }
    admission_.OnFleetLoad(std::move(load), now_);
  }

  void Arrive(std::chrono::microseconds pass) {
    for (std::size_t c = 0; c < kClasses; ++c) {
      std::poisson_distribution<int> count(traffic_[c].requests_per_second *
                                           real_seconds(pass).count());
      for (int left = count(random_); left > 0; --left) {
        ++result_.asked[c];
        Ask(c, now_, false);
      }
    }
    while (!returning_.empty() && returning_.front().returns_at <= now_) {
      returning_caller caller = returning_.front();
      returning_.pop_front();
      Ask(caller.of_class, caller.asked, true);
    }
  }

  void Ask(std::size_t of_class, steady_time asked, bool is_retry) {
    auto least = std::min_element(engines_.begin(), engines_.end(),
                                  [](const auto& a, const auto& b) { return a.Load() < b.Load(); });
    admission_query query;
    query.matched_route = &routes_[of_class];
    query.engine = &profile_;
    query.chosen.load = static_cast<double>(least->Load() + 1);
    query.chosen.slots = kSlots;
    query.is_caller_retry = is_retry;
    if (!admission_.Admit(query, now_, random_).admitted) {
      bool returns = callers_return_ && !is_retry;
      if (returns) returning_.push_back({of_class, asked, now_ + kRetryAfter});
      return;
    }
    // Engines take the most urgent waiting request first.
    stream added{of_class, asked};
    auto at = std::find_if(least->waiting.begin(), least->waiting.end(),
                           [&](const stream& s) { return s.of_class > of_class; });
    least->waiting.insert(at, added);
  }

  void Advance(engine& e, std::chrono::microseconds pass) {
    for (stream& s : e.running) {
      ++s.passes;
      const route& r = routes_[s.of_class];
      if (s.passes == kPassesToBegin) s.late = now_ - s.asked > r.target_latency;
      if (s.passes > kPassesToBegin && pass > r.target_gap) s.late = true;
      if (s.passes < kPassesToBegin + kPassesOfStream) continue;
      ++result_.served[s.of_class];
      if (!s.late) ++result_.in_time[s.of_class];
    }
    std::erase_if(e.running,
                  [](const stream& s) { return s.passes >= kPassesToBegin + kPassesOfStream; });
    while (e.running.size() < kSlots && !e.waiting.empty()) {
      e.running.push_back(e.waiting.front());
      e.waiting.pop_front();
    }
  }

  std::array<traffic_class, kClasses> traffic_;
  bool callers_return_;
  std::deque<returning_caller> returning_;
  engine_profile profile_;
  std::array<route, kClasses> routes_;
  std::array<engine, kEngines> engines_;
  engine_model_admission admission_;
  random_source random_{1};
  steady_time now_{1h};
  outcome result_;
};

double Share(int part, int whole) { return static_cast<double>(part) / std::max(whole, 1); }

double EarnedWorth(const outcome& o, const std::array<traffic_class, kClasses>& traffic) {
  double earned = 0;
  double owed = 0;
  for (std::size_t c = 0; c < kClasses; ++c) {
    owed += traffic[c].worth * o.asked[c];
    earned +=
        traffic[c].worth * o.in_time[c] + traffic[c].worth_if_late * (o.served[c] - o.in_time[c]);
  }
  return earned / owed;
}

}  // namespace

// Guards against a flood of less urgent streams that makes every stream pause for too long.
TEST_CASE("a flood of less urgent streams leaves urgent ones in time") {
  constexpr std::array<traffic_class, kClasses> kTraffic = {
      {{37, 3.1, 0.93}, {16, 1.6, 0.64}, {70, 0.81, 0.25}}};
  outcome o = group_simulation(kTraffic).Run(60s);
  double urgent = Share(o.in_time[0], o.asked[0]);
  double least = Share(o.served[2], o.asked[2]);
  INFO("urgent in time " << urgent << ", least urgent served " << least << ", worth "
                         << EarnedWorth(o, kTraffic));
  CHECK(urgent >= 0.9);
  CHECK(least >= 0.1);
}

// Guards against callers who return after a refusal, late already, and take the room of those who
// come for the first time, so that these are refused and return late in turn.
TEST_CASE("callers that return late leave room for those that can be in time") {
  constexpr std::array<traffic_class, kClasses> kTraffic = {
      {{25, 3, 0.9}, {34, 1.6, 0.66}, {11, 0.8, 0.24}}};
  constexpr bool kCallersReturn = true;
  // Share that a deployment with such a load asks for.
  constexpr double kFloor = 0.44;
  outcome o = group_simulation(kTraffic, kCallersReturn).Run(60s);
  double urgent = Share(o.in_time[0], o.asked[0]);
  double middle = Share(o.in_time[1], o.asked[1]);
  INFO("urgent in time " << urgent << ", next " << middle << ", worth "
                         << EarnedWorth(o, kTraffic));
  CHECK(urgent >= 0.9);
  CHECK(middle >= kFloor);
}

}  // namespace radishroute
