#ifndef RADISHROUTE_FORWARD_EVENT_STREAM_H_
#define RADISHROUTE_FORWARD_EVENT_STREAM_H_

#include <string>
#include <string_view>

namespace radishroute {

/// Cuts the body of a text/event-stream response into whole events.
class event_stream {
 public:
  /// Returns the bytes up to the end of the last whole event.
  std::string Feed(std::string_view bytes);

  /// Id of the last whole event; empty if none has an id.
  const std::string& LastId() const { return last_id_; }
  /// Whether a part of an event is held back.
  bool InEvent() const { return !partial_.empty(); }
  /// Drops a part of an event that was cut off.
  void DropPartial() { partial_.clear(); }

 private:
  std::string partial_;
  std::string last_id_;
};

}  // namespace radishroute

#endif  // RADISHROUTE_FORWARD_EVENT_STREAM_H_
