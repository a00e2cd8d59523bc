#include <benchmark/benchmark.h>
#include <malloc.h>

#include <cstdio>
#include <string>

#include "radishroute/state_codec.h"
#include "radishroute/state_machine.h"

namespace radishroute {

namespace {

constexpr wall_time kStart{std::chrono::hours(24 * 365 * 56)};

std::string KeyAt(std::uint64_t number) {
  // One key a millisecond, so that records expire in the order of their claims.
  char text[64];
  auto millis = static_cast<unsigned long long>(
      std::chrono::duration_cast<std::chrono::milliseconds>(kStart.time_since_epoch()).count());
  std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012llx", millis >> 16, millis & 0xFFFF,
                static_cast<unsigned long long>(number));
  return text;
}

record_claim ClaimAt(std::uint64_t number) {
  record_claim claim;
  claim.member = "club-" + std::to_string(number % 10);
  claim.key = KeyAt(number);
  claim.content_hash = number;
  claim.dispatch = {{7, number}, 1};
  claim.backend = "booking-1";
  claim.backend_incarnation = 5;
  claim.at = kStart;
  return claim;
}

struct loaded_state {
  replicated_state<thrift_state_codec> machine;
  random_source random{1};
  effect_list effects;
  std::uint64_t index = 0;

  void Apply(command body) {
    reduce_context ctx{steady_time(), kStart, random, effects};
    benchmark::DoNotOptimize(machine.Apply({1, ++index, std::move(body)}, ctx));
  }

  void Fill(std::uint64_t records) {
    std::string answer(200, 'a');
    for (std::uint64_t i = 0; i < records; ++i) {
      record_claim claim = ClaimAt(i);
      Apply(claim);
      Apply(record_outcome{claim.member, claim.key, claim.dispatch, record_status::kDone, 200,
                           "application/json", answer});
    }
  }
};

/// Claim and outcome with an answer of 200 bytes, on a table that holds `range` records.
void ClaimAndOutcome(benchmark::State& state) {
  loaded_state s;
  s.Fill(static_cast<std::uint64_t>(state.range(0)));
  std::uint64_t next = static_cast<std::uint64_t>(state.range(0));
  std::string answer(200, 'a');
  for (auto _ : state) {
    record_claim claim = ClaimAt(next++);
    s.Apply(claim);
    s.Apply(record_outcome{claim.member, claim.key, claim.dispatch, record_status::kDone, 200,
                           "application/json", answer});
  }
}

void RecordBytes(benchmark::State& state) {
  for (auto _ : state) {
    auto before = mallinfo2();
    loaded_state s;
    s.Fill(static_cast<std::uint64_t>(state.range(0)));
    auto after = mallinfo2();
    double used = static_cast<double>(after.uordblks + after.hblkhd) -
                  static_cast<double>(before.uordblks + before.hblkhd);
    state.counters["bytes_per_record"] = used / static_cast<double>(state.range(0));
  }
}

void Snapshot(benchmark::State& state) {
  loaded_state s;
  s.Fill(static_cast<std::uint64_t>(state.range(0)));
  std::size_t size = 0;
  for (auto _ : state) size = s.machine.Snapshot().size();
  state.counters["snapshot_bytes"] = static_cast<double>(size);
}

void Restore(benchmark::State& state) {
  loaded_state s;
  s.Fill(static_cast<std::uint64_t>(state.range(0)));
  std::string bytes = s.machine.Snapshot();
  for (auto _ : state) {
    replicated_state<thrift_state_codec> restored;
    if (restored.Restore(bytes)) state.SkipWithError("restore failed");
  }
}

BENCHMARK(ClaimAndOutcome)->Arg(10000)->Arg(100000)->Arg(300000);
BENCHMARK(RecordBytes)->Arg(10000)->Arg(100000)->Arg(300000)->Iterations(1);
BENCHMARK(Snapshot)->Arg(10000)->Arg(100000)->Arg(300000)->Unit(benchmark::kMillisecond);
BENCHMARK(Restore)->Arg(10000)->Arg(100000)->Arg(300000)->Unit(benchmark::kMillisecond);

}  // namespace

}  // namespace radishroute

BENCHMARK_MAIN();
