#ifndef RADISHROUTE_IO_WIRE_H_
#define RADISHROUTE_IO_WIRE_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

#include "radishroute/message.h"

namespace radishroute {

/// Version of the protocol between the system's own processes.
inline constexpr std::uint32_t kProtocolVersion = 1;

/// Bytes of the length prefix of a frame.
inline constexpr std::size_t kFramePrefixBytes = 4;

/// Longest accepted frame body, in bytes.
inline constexpr std::size_t kMaxFrameBytes = std::size_t{4} << 20;

/// Appends a message with its length prefix. Returns kFrameTooLong and appends nothing if it
/// exceeds the limit.
std::error_code EncodeFrame(const message& m, std::string& out);

/// Decodes a frame body without its length prefix. Errors: kFrameMalformed, kUnsupportedVersion.
std::error_code DecodeFrame(std::string_view body, message& out);

/// Reads the length prefix; `bytes` must hold at least kFramePrefixBytes.
std::size_t FrameBodyLength(std::string_view bytes);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_WIRE_H_
