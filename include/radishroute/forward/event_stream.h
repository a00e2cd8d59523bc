#ifndef RADISHROUTE_FORWARD_EVENT_STREAM_H_
#define RADISHROUTE_FORWARD_EVENT_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>

namespace radishroute {

/// Splits the body of a text/event-stream response at the ends of its events.
class event_stream_splitter {
 public:
  /// Events are smaller than this; more bytes without an end are no event.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  /// Appends received bytes. Returns the buffered bytes up to the end of the last complete event.
  std::string Feed(std::string_view bytes);

  /// Id of the last complete event that has one; empty if there is none.
  const std::string& LastEventId() const { return last_id_; }
  /// Whether an incomplete event is buffered.
  bool HasPartialEvent() const { return !partial_.empty(); }
  /// Whether more is buffered than any event has.
  bool IsOversized() const { return partial_.size() > kMaxEventBytes; }
  /// Discards the buffered part of an event whose rest will not arrive.
  void DiscardPartialEvent() { partial_.clear(); }

 private:
  std::string partial_;
  std::string last_id_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_EVENT_STREAM_H_
