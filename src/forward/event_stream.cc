#include "radishroute/forward/event_stream.h"

#include <algorithm>

namespace radishroute {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

// The field starts a line; one space after the colon is no part of the value.
void ReadId(std::string_view event, std::string& id) {
  constexpr std::string_view kField = "id:";
  for (std::size_t at = 0; at < event.size();) {
    std::size_t end = event.find('\n', at);
    if (end == std::string_view::npos) end = event.size();
    std::string_view line = event.substr(at, end - at);
    at = end + 1;
    if (!line.starts_with(kField)) continue;
    line.remove_prefix(kField.size());
    if (line.starts_with(' ')) line.remove_prefix(1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    id.assign(line);
  }
}

// Position after the blank line that ends the last whole event; zero if there is none.
std::size_t EndOfLastEvent(std::string_view bytes) {
  std::size_t plain = bytes.rfind(kEventEnd);
  std::size_t with_return = bytes.rfind("\r\n\r\n");
  std::size_t end = plain == std::string_view::npos ? 0 : plain + 2;
  if (with_return != std::string_view::npos) end = std::max(end, with_return + 4);
  return end;
}

}  // namespace

std::string event_stream::Feed(std::string_view bytes) {
  partial_.append(bytes);
  std::size_t end = EndOfLastEvent(partial_);
  if (end == 0) return {};
  std::string whole = partial_.substr(0, end);
  partial_.erase(0, end);
  ReadId(whole, last_id_);
  return whole;
}

}  // namespace radishroute
