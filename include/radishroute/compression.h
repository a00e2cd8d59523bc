#ifndef RADISHROUTE_COMPRESSION_H_
#define RADISHROUTE_COMPRESSION_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <system_error>

namespace radishroute {

/// Upper bound on the size of a decompressed text, in bytes.
inline constexpr std::size_t kMaxDecompressedBytes = std::size_t{64} << 20;

/// Returns `text` in the gzip format. Error: kCompressionFailed.
std::error_code Compress(std::string_view text, std::string& out);

/// Reverses `Compress`. A text that is not in the gzip format is returned unchanged.
/// Error: kCompressionFailed if it is damaged, incomplete or exceeds `kMaxDecompressedBytes`.
std::error_code Decompress(std::string_view stored, std::string& out);

}  // namespace radishroute

#endif  // RADISHROUTE_COMPRESSION_H_
