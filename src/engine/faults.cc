#include "engine/faults.h"

#include <algorithm>
#include <utility>

namespace radishroute {

namespace {

// Long enough to remove the end marker of a stream, "data: [DONE]".
constexpr std::size_t kCutBytes = 16;

}  // namespace

void engine_faults::Inject(engine_fault fault, std::uint64_t value, steady_time now,
                           const engine_caller& newest) {
  switch (fault) {
    case engine_fault::kNone:
      *this = {};
      return;
    case engine_fault::kStall:
      stalled_until = now + std::chrono::milliseconds(value);
      return;
    case engine_fault::kStallRequest:
      stall_next_request = true;
      return;
    case engine_fault::kSilence:
      silent_connections = newest.connection;
      silent_exchanges = newest.exchange.value;
      return;
    case engine_fault::kSlow:
      slow_factor = std::max<std::uint32_t>(static_cast<std::uint32_t>(value), 1);
      return;
    case engine_fault::kDrop:
      drop_next_after = std::max<std::uint32_t>(static_cast<std::uint32_t>(value), 1);
      return;
    case engine_fault::kCorrupt:
      corrupt = true;
      return;
    case engine_fault::kCut:
      cut = true;
      return;
    case engine_fault::kRunTwice:
      run_twice = true;
      return;
    case engine_fault::kDenyRun:
      deny_run = true;
      return;
  }
}

std::string engine_faults::Damage(std::string bytes, bool last) const {
  if (!last || bytes.empty()) return bytes;
  // The middle of the last part is part of a token or of the body, never of the framing.
  if (corrupt) bytes[bytes.size() / 2] = bytes[bytes.size() / 2] == '0' ? '1' : '0';
  if (cut) bytes.resize(bytes.size() - std::min(bytes.size(), kCutBytes));
  return bytes;
}

}  // namespace radishroute
