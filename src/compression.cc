#include "radishroute/compression.h"

#include <zlib.h>

#include <algorithm>
#include <array>

#include "radishroute/error.h"

namespace radishroute {

namespace {

// Adds the gzip header and trailer instead of those of zlib.
constexpr int kGzipWindowBits = 16 + MAX_WBITS;

// Large documents repeat field names, which the fastest level already finds.
constexpr int kLevel = Z_BEST_SPEED;

constexpr int kMemoryLevel = 8;
constexpr std::size_t kBlockBytes = std::size_t{64} * 1024;
constexpr std::string_view kGzipMagic = "\x1f\x8b";

// zlib does not modify its input, but takes a pointer to non-const.
Bytef* InputOf(std::string_view bytes) {
  return const_cast<Bytef*>(reinterpret_cast<const Bytef*>(bytes.data()));
}

}  // namespace

std::error_code Compress(std::string_view text, std::string& out) {
  z_stream stream{};
  if (deflateInit2(&stream, kLevel, Z_DEFLATED, kGzipWindowBits, kMemoryLevel,
                   Z_DEFAULT_STRATEGY) != Z_OK) {
    return errc::kCompressionFailed;
  }
  out.resize(deflateBound(&stream, static_cast<uLong>(text.size())));
  stream.next_in = InputOf(text);
  stream.avail_in = static_cast<uInt>(text.size());
  stream.next_out = reinterpret_cast<Bytef*>(out.data());
  stream.avail_out = static_cast<uInt>(out.size());
  int result = deflate(&stream, Z_FINISH);
  out.resize(stream.total_out);
  deflateEnd(&stream);
  return result == Z_STREAM_END ? std::error_code() : errc::kCompressionFailed;
}

std::error_code Decompress(std::string_view stored, std::string& out) {
  if (!stored.starts_with(kGzipMagic)) {
    out = stored;
    return {};
  }
  z_stream stream{};
  if (inflateInit2(&stream, kGzipWindowBits) != Z_OK) return errc::kCompressionFailed;
  out.clear();
  stream.next_in = InputOf(stored);
  stream.avail_in = static_cast<uInt>(stored.size());
  std::array<char, kBlockBytes> block;
  int result = Z_OK;
  while (result == Z_OK && out.size() <= kMaxDecompressedBytes) {
    stream.next_out = reinterpret_cast<Bytef*>(block.data());
    stream.avail_out = static_cast<uInt>(block.size());
    result = inflate(&stream, Z_NO_FLUSH);
    out.append(block.data(), block.size() - stream.avail_out);
  }
  bool complete = result == Z_STREAM_END && stream.avail_in == 0;
  inflateEnd(&stream);
  return complete ? std::error_code() : errc::kCompressionFailed;
}

}  // namespace radishroute
