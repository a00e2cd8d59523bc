#include "load/schedule.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "engine/answer.h"

namespace radishroute {

namespace {

using random_engine = std::mt19937_64;

constexpr std::uint32_t kAnyMember = UINT32_MAX;

/// Requests of one kind at one rate between two times.
struct segment {
  std::chrono::microseconds from{};
  std::chrono::microseconds to{};
  double per_second = 0;
  std::uint32_t kind = 0;
  std::uint32_t member = kAnyMember;
};

std::vector<segment> Segments(const load_plan& plan) {
  std::vector<segment> segments;
  std::chrono::microseconds end = plan.duration;
  for (std::uint32_t k = 0; k < plan.kinds.size(); ++k) {
    const load_kind& kind = plan.kinds[k];
    for (std::size_t i = 0; i < kind.rates.size(); ++i) {
      std::chrono::microseconds to = i + 1 < kind.rates.size() ? kind.rates[i + 1].at : end;
      segments.push_back({kind.rates[i].at, std::min(to, end), kind.rates[i].per_second, k});
    }
    for (const load_flood& flood : kind.floods) {
      segment s{flood.at, std::min<std::chrono::microseconds>(flood.at + flood.duration, end),
                flood.per_second, k};
      for (std::uint32_t m = 0; m < plan.members.size(); ++m) {
        if (plan.members[m].name == flood.member) s.member = m;
      }
      segments.push_back(s);
    }
  }
  return segments;
}

void AddArrivals(const segment& s, bool poisson, std::discrete_distribution<std::uint32_t>& members,
                 random_engine& random, std::vector<planned_request>& out) {
  if (s.per_second <= 0) return;
  std::exponential_distribution<double> gap(s.per_second);
  std::chrono::duration<double> at = s.from;
  if (poisson) at += std::chrono::duration<double>(gap(random));
  for (std::uint64_t i = 1; at < s.to; ++i) {
    std::uint32_t member = s.member == kAnyMember ? members(random) : s.member;
    out.push_back({std::chrono::duration_cast<std::chrono::microseconds>(at), s.kind, member, 0});
    if (poisson) {
      at += std::chrono::duration<double>(gap(random));
    } else {
      // Not by adding up gaps, whose rounding errors would add up too.
      at = s.from + std::chrono::duration<double>(static_cast<double>(i) / s.per_second);
    }
  }
}

std::uint32_t Draw(const value_range& range, random_engine& random) {
  return std::uniform_int_distribution<std::uint32_t>(range.lowest, range.highest)(random);
}

std::string RandomText(std::uint64_t seed, std::uint32_t tokens) {
  constexpr std::string_view kLetters = "abcdefghijklmnopqrstuvwxyz     ";
  random_engine random(seed);
  std::string text(tokens * kBytesPerPromptToken, ' ');
  for (char& c : text) c = kLetters[random() % kLetters.size()];
  return text;
}

std::string Prompt(const load_plan& plan, const load_kind& kind, const planned_request& request,
                   random_engine& random) {
  std::string text;
  if (kind.prefixes > 0) {
    std::uint64_t prefix = random() % kind.prefixes;
    text = RandomText(StableHash(kind.name, prefix), kind.prefix_tokens);
  }
  text += "request " + std::to_string(plan.seed) + "-" + std::to_string(request.number) + " ";
  return text + RandomText(random(), Draw(kind.prompt_tokens, random));
}

}  // namespace

std::vector<planned_request> MakeSchedule(const load_plan& plan) {
  random_engine random(plan.seed);
  std::vector<double> shares;
  for (const load_member& member : plan.members) shares.push_back(member.share);
  std::discrete_distribution<std::uint32_t> members(shares.begin(), shares.end());
  std::vector<planned_request> schedule;
  for (const segment& s : Segments(plan)) {
    AddArrivals(s, plan.poisson, members, random, schedule);
  }
  std::stable_sort(schedule.begin(), schedule.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  for (std::size_t i = 0; i < schedule.size(); ++i) schedule[i].number = i;
  return schedule;
}

request_content MakeContent(const load_plan& plan, const planned_request& request) {
  const load_kind& kind = plan.kinds[request.kind];
  random_engine random(StableHash(kind.name, plan.seed * 0x9E3779B97F4A7C15ULL + request.number));
  request_content content;
  content.key_bits = random();
  nlohmann::json body;
  if (!kind.service.empty()) {
    content.path = "/v1/services/" + kind.service + "/commit";
    body["member"] = plan.members[request.member].name;
    body["slot"] = request.number;
    body["note"] = RandomText(random(), Draw(kind.prompt_tokens, random));
  } else {
    content.path = "/v1/chat/completions";
    body["model"] = kind.model;
    body["stream"] = std::uniform_real_distribution<double>(0, 1)(random) < kind.stream;
    body["max_tokens"] = std::max<std::uint32_t>(Draw(kind.max_tokens, random), 1);
    body["messages"] = {{{"role", "user"}, {"content", Prompt(plan, kind, request, random)}}};
  }
  content.body = body.dump();
  return content;
}

std::string ExpectedAnswer(const load_kind& kind, const std::string& body) {
  return kind.service.empty() ? engine_answer(body).Whole() : ServiceAnswer(body);
}

std::string MakeUuidV7(std::chrono::milliseconds since_epoch, std::uint64_t high_bits,
                       std::uint64_t low_bits) {
  auto millis = static_cast<std::uint64_t>(since_epoch.count()) & 0xFFFFFFFFFFFFULL;
  std::array<char, 37> text{};
  std::snprintf(text.data(), text.size(), "%08llx-%04llx-7%03llx-%04llx-%012llx",
                static_cast<unsigned long long>(millis >> 16),
                static_cast<unsigned long long>(millis & 0xFFFF),
                static_cast<unsigned long long>(high_bits & 0xFFF),
                static_cast<unsigned long long>(0x8000 | ((low_bits >> 48) & 0x3FFF)),
                static_cast<unsigned long long>(low_bits & 0xFFFFFFFFFFFFULL));
  return std::string(text.data());
}

}  // namespace radishroute
