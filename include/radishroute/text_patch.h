#ifndef RADISHROUTE_TEXT_PATCH_H_
#define RADISHROUTE_TEXT_PATCH_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>
#include <vector>

namespace radishroute {

/// Copies `length` bytes of the base from `offset`, then takes the next `inserted` new bytes.
struct text_edit {
  std::uint64_t offset = 0;
  std::uint64_t length = 0;
  std::uint64_t inserted = 0;

  bool operator==(const text_edit&) const = default;
};

/// Makes a text from another one, its base.
struct text_patch {
  /// Hash of the result.
  std::uint64_t text_hash = 0;
  std::vector<text_edit> edits;
  /// New bytes of all edits, as `Compress` returns them.
  std::string inserted;

  /// Approximate size of the encoded patch, in bytes.
  std::size_t Bytes() const;
};

/// Returns a patch from `base` to `text`, which is small if few of its objects in braces differ.
/// Error: kCompressionFailed.
std::error_code MakePatch(std::string_view base, std::string_view text, text_patch& out);

/// Applies `patch` to `base`. Errors: kCompressionFailed, kPatchMismatch if the patch is damaged or
/// was made for another base.
std::error_code ApplyPatch(std::string_view base, const text_patch& patch, std::string& out);

}  // namespace radishroute

#endif  // RADISHROUTE_TEXT_PATCH_H_
