#ifndef RADISHROUTE_IO_HTTP_CODEC_H_
#define RADISHROUTE_IO_HTTP_CODEC_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <system_error>

#include "io/http_message.h"
#include "io/http_syntax.h"

// Of http-parser, whose header clashes with that of libwebsockets.
struct http_parser;

namespace radishroute {

enum class http_side : std::uint8_t { kRequest, kResponse };

/// Incremental parser of one side of an HTTP/1.1 connection.
class http_decoder {
 public:
  struct handlers {
    std::function<void(http_head&&)> on_head;
    std::function<void(std::string_view)> on_body;
    std::function<void()> on_complete;
  };

  http_decoder(http_side side, std::size_t max_head_bytes, handlers on);
  ~http_decoder();
  http_decoder(const http_decoder&) = delete;
  http_decoder& operator=(const http_decoder&) = delete;

  /// Consumes bytes up to the end of the current message at most; returns how many. Errors:
  /// kMalformedHttp, kHttpHeadTooLong, kInvalidHttpStatus, kInvalidHttpFraming.
  std::size_t Feed(std::string_view bytes, std::error_code& error);

  /// The connection ended in good order; completes a response that has no length. Error:
  /// kMalformedHttp if a message was incomplete.
  std::error_code Finish();

  /// Whether a part of a message has been read and its end has not.
  bool InMessage() const { return in_message_; }

  /// Estimated memory of the part of a head that has been read.
  std::size_t HeldBytes() const;

 private:
  struct callbacks;

  std::error_code CheckHead();
  /// Finds out whether the body of a response comes in chunks, and tells the parser.
  std::error_code ReadCoding();
  std::error_code ParserError() const;
  int OnHeadersComplete();
  void AddField(std::string_view part);
  void AddValue(std::string_view part);
  void ExpectMessage();
  std::size_t ParseBody(std::string_view bytes, std::error_code& error);
  /// Hands bytes to the parser, which stops at the end of a message.
  std::size_t Parse(std::string_view bytes, std::error_code& error);

  std::unique_ptr<http_parser> parser_;
  http_side side_;
  std::size_t max_head_bytes_;
  handlers on_;
  http_section_checker head_checker_;
  http_chunk_checker chunk_checker_;
  /// The body that is being read comes in chunks.
  bool chunked_ = false;
  http_head head_;
  /// Why the head was rejected.
  std::error_code head_error_;
  std::string field_;
  std::string value_;
  bool in_value_ = false;
  bool in_message_ = false;
  bool head_read_ = false;
  bool complete_ = false;
  std::size_t head_bytes_ = 0;
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_HTTP_CODEC_H_
