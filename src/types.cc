#include "radishroute/types.h"

#include <xxhash.h>

#include <array>

namespace radishroute {

std::string_view ToString(priority_class c) {
  constexpr std::array<std::string_view, kPriorityClassCount> kNames = {"interactive",
                                                                        "transactional", "batch"};
  return kNames[ClassIndex(c)];
}

std::string_view ToString(process_role role) {
  constexpr std::array<std::string_view, 4> kNames = {"entry", "agent", "controller", "operator"};
  return kNames[static_cast<std::size_t>(role)];
}

std::string ToString(const endpoint& e) { return e.host + ":" + std::to_string(e.port); }

std::string ToString(const request_id& id) {
  return std::to_string(id.origin) + "-" + std::to_string(id.sequence);
}

std::uint64_t StableHash(std::string_view bytes, std::uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

}  // namespace radishroute
