#ifndef RADISHROUTE_STATE_CODEC_H_
#define RADISHROUTE_STATE_CODEC_H_

#include <string>
#include <string_view>
#include <system_error>

#include "radishroute/state_machine.h"

namespace radishroute {

/// Encodes snapshots as a Thrift struct in the compact protocol with a checksum.
struct thrift_state_codec {
  static std::string Encode(const snapshot_state& state);
  /// Returns kSnapshotCorrupt for an invalid snapshot.
  static std::error_code Decode(std::string_view bytes, snapshot_state& out);
};

static_assert(state_codec<thrift_state_codec>);

}  // namespace radishroute

#endif  // RADISHROUTE_STATE_CODEC_H_
