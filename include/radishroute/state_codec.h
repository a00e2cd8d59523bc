#ifndef RADISHROUTE_STATE_CODEC_H_
#define RADISHROUTE_STATE_CODEC_H_

#include <string>
#include <string_view>
#include <system_error>

#include "radishroute/state_machine.h"

namespace radishroute {

/// Snapshots as a checksummed Thrift compact struct.
struct thrift_state_codec {
  static std::string Encode(const snapshot_state& state);
  /// Error: kSnapshotCorrupt.
  static std::error_code Decode(std::string_view bytes, snapshot_state& out);
};

static_assert(state_codec<thrift_state_codec>);

}  // namespace radishroute

#endif  // RADISHROUTE_STATE_CODEC_H_
