#ifndef RADISHROUTE_IO_HTTP_MESSAGE_H_
#define RADISHROUTE_IO_HTTP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "radishroute/http_header.h"

namespace radishroute {

/// Head of an HTTP/1.1 request or response, as it came.
struct http_head {
  /// Requests only.
  std::string method;
  std::string target;
  /// Responses only.
  unsigned status = 0;
  std::vector<http_header> headers;
  bool keep_alive = true;
  /// Absent for chunked bodies and for responses that end with their connection.
  std::optional<std::uint64_t> content_length;
  /// Requests only: the client waits for an interim response before it sends the body.
  bool expects_continue = false;
  /// Requests only: the client understands a body that is sent in chunks, so it speaks HTTP/1.1.
  bool allows_chunks = true;
};

/// Whether a header concerns one connection only and is therefore never forwarded.
bool IsConnectionHeader(std::string_view name);

/// Seconds of the `timeout` parameter of a Keep-Alive header; absent if it has none.
std::optional<std::uint32_t> KeepAliveSeconds(const http_head& head);

/// Appends "Name: value" and the end of the line.
void AppendHeader(std::string& out, std::string_view name, std::string_view value);

/// First line of a response.
std::string StatusLine(unsigned status);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_HTTP_MESSAGE_H_
