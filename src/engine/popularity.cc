#include "engine/popularity.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <random>
#include <utility>

namespace radishroute {

std::vector<double> ExpertTokens(const popularity_settings& settings, std::uint32_t layer,
                                 std::uint64_t window, bool shifted) {
  std::seed_seq seed{settings.seed, std::uint64_t{layer}, std::uint64_t{shifted ? 1U : 0U}};
  std::mt19937_64 random(seed);
  std::vector<std::uint32_t> order(settings.experts);
  std::iota(order.begin(), order.end(), 0);
  std::shuffle(order.begin(), order.end(), random);
  for (std::uint64_t i = 0; i < window / settings.drift_windows; ++i) {
    std::swap(order[random() % order.size()], order[random() % order.size()]);
  }
  std::vector<double> tokens(settings.experts);
  double total = 0;
  for (std::uint32_t i = 0; i < settings.experts; ++i) {
    tokens[order[i]] = std::pow(i + 1.0, -settings.exponent);
    total += tokens[order[i]];
  }
  for (double& value : tokens) value *= settings.tokens_per_step / total;
  return tokens;
}

}  // namespace radishroute
