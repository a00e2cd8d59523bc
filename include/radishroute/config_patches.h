#ifndef RADISHROUTE_CONFIG_PATCHES_H_
#define RADISHROUTE_CONFIG_PATCHES_H_

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "radishroute/config.h"
#include "radishroute/config_message.h"

namespace radishroute {

/// Recent versions of the configuration, and the patches from them to the current one.
class config_patches {
 public:
  static constexpr std::size_t kMaxVersions = 32;
  /// Bound on the documents that are kept, as they are stored.
  static constexpr std::size_t kMaxStoredBytes = std::size_t{4} << 20;
  /// Bound on the decompressed documents that are kept beside the current one.
  static constexpr std::size_t kMaxTextBytes = std::size_t{8} << 20;

  /// Keeps the current version as a base for patches to later ones.
  void Remember(const config_document& config);

  /// The patch from version `base` to the current one; null if `base` is not kept, or if the patch
  /// would not be much smaller than the document.
  const config_patch* Find(std::uint64_t base);

 private:
  struct kept_version {
    std::uint64_t version = 0;
    std::string stored;
    /// Empty until it is needed.
    std::string text;
  };

  void ReleaseTexts();
  std::optional<config_patch> Make(kept_version& base);

  /// Oldest first; the last one is the current version.
  std::deque<kept_version> versions_;
  std::size_t stored_bytes_ = 0;
  /// To the current version, keyed by the base; empty if a patch does not pay.
  std::map<std::uint64_t, std::optional<config_patch>> patches_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_CONFIG_PATCHES_H_
