#ifndef RADISHROUTE_IO_HTTP_SYNTAX_H_
#define RADISHROUTE_IO_HTTP_SYNTAX_H_

#include <string_view>
#include <system_error>

namespace radishroute {

/// Checks the status line of a response, without its end (RFC 9112, 4). Errors: kMalformedHttp,
/// kInvalidHttpStatus.
std::error_code CheckStatusLine(std::string_view line);

}  // namespace radishroute

#endif  // RADISHROUTE_IO_HTTP_SYNTAX_H_
