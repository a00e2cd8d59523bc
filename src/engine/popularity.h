#ifndef RADISHROUTE_ENGINE_POPULARITY_H_
#define RADISHROUTE_ENGINE_POPULARITY_H_

#include <cstdint>
#include <vector>

namespace radishroute {

struct popularity_settings {
  std::uint64_t seed = 1;
  std::uint32_t experts = 8;
  std::uint32_t layers = 1;
  /// Tokens of one step in each layer.
  std::uint32_t tokens_per_step = 4096;
  /// Exponent of the Zipf distribution.
  double exponent = 1.0;
  /// Windows after which two experts change places.
  std::uint64_t drift_windows = 20;
  /// Step from which on other experts are popular; 0 for none.
  std::uint64_t shift_step = 0;
};

/// Tokens per step of each expert of a layer. The same settings give the same numbers in every
/// process. Two experts change places
/// from time to time, and all of them at the shift.
std::vector<double> ExpertTokens(const popularity_settings& settings, std::uint32_t layer,
                                 std::uint64_t window, bool shifted);

}  // namespace radishroute

#endif  // RADISHROUTE_ENGINE_POPULARITY_H_
