#ifndef RADISHROUTE_FORWARD_EVENT_STREAM_H_
#define RADISHROUTE_FORWARD_EVENT_STREAM_H_

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace radishroute {

/// Splits the body of a text/event-stream response at the ends of its events.
class event_stream_splitter {
 public:
  /// Events are smaller than this; more bytes without an end are no event.
  static constexpr std::size_t kMaxEventBytes = std::size_t{1} << 20;

  /// `last_event` is the id of the event after which the caller asked the stream to go on, if any.
  explicit event_stream_splitter(std::string last_event = {}) : last_id_(std::move(last_event)) {}

  /// Appends received bytes. Returns the buffered bytes up to the end of the last complete event.
  std::string Feed(std::string_view bytes);

  /// Id of the last event that the caller has; empty if it has none, or none with an id.
  const std::string& LastEventId() const { return last_id_; }
  /// Whether a stream after `LastEventId` neither repeats nor leaves out an event of this one.
  bool CanResume() const { return can_resume_; }
  /// Whether an incomplete event is buffered.
  bool HasPartialEvent() const { return !partial_.empty(); }
  /// Bytes of the incomplete event that is buffered.
  std::size_t PartialBytes() const { return partial_.size(); }
  /// Whether more is buffered than any event has.
  bool IsOversized() const { return partial_.size() > kMaxEventBytes; }
  /// Discards the buffered part of an event whose rest will not arrive.
  void DiscardPartialEvent() { partial_.clear(); }

 private:
  void ReadIds(std::string_view events);

  std::string partial_;
  std::string last_id_;
  bool can_resume_ = true;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_EVENT_STREAM_H_
