#include "radishroute/idempotency_key.h"

#include <chrono>
#include <cstdint>

namespace radishroute {

namespace {

constexpr std::size_t kTextLength = 36;
constexpr std::size_t kVersionPosition = 14;
constexpr std::size_t kVariantPosition = 19;

int HexDigit(char c) {
  if (c >= '0' && c <= '9') return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

bool IsHyphenPosition(std::size_t i) { return i == 8 || i == 13 || i == 18 || i == 23; }

}  // namespace

std::optional<wall_time> ParseKeyTime(std::string_view key) {
  if (key.size() != kTextLength) return std::nullopt;
  std::uint64_t millis = 0;
  for (std::size_t i = 0; i < kTextLength; ++i) {
    if (IsHyphenPosition(i)) {
      if (key[i] != '-') return std::nullopt;
      continue;
    }
    int digit = HexDigit(key[i]);
    if (digit < 0) return std::nullopt;
    // The first 48 bits are Unix time in milliseconds: 12 digits around the first hyphen.
    if (i < 13) millis = (millis << 4) | static_cast<std::uint64_t>(digit);
  }
  if (key[kVersionPosition] != '7') return std::nullopt;
  if ((HexDigit(key[kVariantPosition]) & 0xC) != 0x8) return std::nullopt;
  // 48 bits of milliseconds can exceed the range of wall_time, which counts nanoseconds and ends in
  // the year 2262.
  constexpr std::uint64_t kHighest = static_cast<std::uint64_t>(
      std::chrono::duration_cast<std::chrono::milliseconds>(wall_time::max().time_since_epoch())
          .count());
  if (millis > kHighest) millis = kHighest;
  return wall_time(std::chrono::milliseconds(millis));
}

}  // namespace radishroute
