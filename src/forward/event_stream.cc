#include "radishroute/forward/event_stream.h"

#include <algorithm>

namespace radishroute {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

// Sets `id` to the value of the last id field, if any. A field starts at the beginning of a line;
// one space after the colon does not belong to the value.
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

// Returns the position after the blank line that ends the last complete event, or zero.
std::size_t EndOfLastCompleteEvent(std::string_view bytes) {
  std::size_t end_lf = bytes.rfind(kEventEnd);
  std::size_t end_crlf = bytes.rfind("\r\n\r\n");
  std::size_t end = end_lf == std::string_view::npos ? 0 : end_lf + 2;
  if (end_crlf != std::string_view::npos) end = std::max(end, end_crlf + 4);
  return end;
}

}  // namespace

std::string event_stream_splitter::Feed(std::string_view bytes) {
  partial_.append(bytes);
  std::size_t end = EndOfLastCompleteEvent(partial_);
  if (end == 0) return {};
  std::string events = partial_.substr(0, end);
  partial_.erase(0, end);
  ReadId(events, last_id_);
  return events;
}

}  // namespace radishroute
