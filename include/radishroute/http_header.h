#ifndef RADISHROUTE_HTTP_HEADER_H_
#define RADISHROUTE_HTTP_HEADER_H_

#include <string>
#include <string_view>
#include <vector>

namespace radishroute {

/// Header field of an HTTP message.
struct http_header {
  std::string name;
  std::string value;
};

bool EqualIgnoringCase(std::string_view a, std::string_view b);

/// Value of the first header with this name, compared without regard to case; null if none.
const std::string* FindHeader(const std::vector<http_header>& headers, std::string_view name);

}  // namespace radishroute

#endif  // RADISHROUTE_HTTP_HEADER_H_
