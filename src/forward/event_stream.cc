#include "radishroute/forward/event_stream.h"

#include <algorithm>
#include <optional>

namespace radishroute {

namespace {

constexpr std::string_view kEventEnd = "\n\n";

// Value of a field in a line, if the line has that field. One space after the colon does not belong
// to the value.
std::optional<std::string_view> FieldValue(std::string_view line, std::string_view field) {
  if (!line.starts_with(field)) return std::nullopt;
  line.remove_prefix(field.size());
  if (line.starts_with(' ')) line.remove_prefix(1);
  return line;
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
  ReadIds(events);
  return events;
}

// An event without an id of its own would come again after that of an earlier one.
void event_stream_splitter::ReadIds(std::string_view events) {
  bool has_id = false;
  bool has_data = false;
  while (!events.empty()) {
    std::size_t end = std::min(events.find('\n'), events.size() - 1);
    std::string_view line = events.substr(0, end);
    events.remove_prefix(end + 1);
    if (line.ends_with('\r')) line.remove_suffix(1);
    if (auto id = FieldValue(line, "id:")) {
      last_id_.assign(*id);
      has_id = !id->empty();
    }
    has_data = has_data || FieldValue(line, "data:");
    if (!line.empty()) continue;
    if (has_data) can_resume_ = has_id;
    has_id = has_data = false;
  }
}

}  // namespace radishroute
