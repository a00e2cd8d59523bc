#include "io/http_codec.h"

#include <http_parser.h>

#include <algorithm>
#include <utility>

#include "radishroute/error.h"

namespace radishroute {

namespace {

// Any value but 0, 1 and 2 stops the parser.
constexpr int kInvalidHead = -1;

}  // namespace

http_decoder::http_decoder(http_side side, std::size_t max_head_bytes, handlers on)
    : parser_(std::make_unique<http_parser>()),
      side_(side),
      max_head_bytes_(max_head_bytes),
      on_(std::move(on)),
      head_checker_(side == http_side::kRequest ? http_section::kRequestHead
                                                : http_section::kResponseHead) {
  http_parser_init(parser_.get(), side == http_side::kRequest ? HTTP_REQUEST : HTTP_RESPONSE);
  parser_->data = this;
}

http_decoder::~http_decoder() = default;

// Adapts the parser's callbacks, which carry a pointer to the decoder.
struct http_decoder::callbacks {
  static http_decoder& Self(http_parser* parser) {
    return *static_cast<http_decoder*>(parser->data);
  }

  static http_parser_settings Make() {
    http_parser_settings s;
    http_parser_settings_init(&s);
    s.on_message_begin = [](http_parser* p) {
      http_decoder& self = Self(p);
      self.head_ = {};
      self.field_.clear();
      self.value_.clear();
      self.in_value_ = self.head_read_ = self.complete_ = false;
      self.in_message_ = true;
      return 0;
    };
    s.on_url = [](http_parser* p, const char* at, std::size_t length) {
      Self(p).head_.target.append(at, length);
      return 0;
    };
    s.on_header_field = [](http_parser* p, const char* at, std::size_t length) {
      Self(p).AddField({at, length});
      return 0;
    };
    s.on_header_value = [](http_parser* p, const char* at, std::size_t length) {
      Self(p).AddValue({at, length});
      return 0;
    };
    s.on_headers_complete = [](http_parser* p) { return Self(p).OnHeadersComplete(); };
    s.on_body = [](http_parser* p, const char* at, std::size_t length) {
      Self(p).on_.on_body({at, length});
      return 0;
    };
    s.on_message_complete = [](http_parser* p) {
      http_decoder& self = Self(p);
      self.complete_ = true;
      self.in_message_ = false;
      // The caller decides when the next message may be read.
      http_parser_pause(p, 1);
      return 0;
    };
    return s;
  }

  static const http_parser_settings& Get() {
    static const http_parser_settings settings = Make();
    return settings;
  }
};

void http_decoder::AddField(std::string_view part) {
  // Trailers follow the head of a chunked message; they are not forwarded.
  if (head_read_) return;
  if (in_value_) {
    head_.headers.push_back({std::exchange(field_, {}), std::exchange(value_, {})});
    in_value_ = false;
  }
  field_.append(part);
}

void http_decoder::AddValue(std::string_view part) {
  if (head_read_) return;
  in_value_ = true;
  value_.append(part);
}

int http_decoder::OnHeadersComplete() {
  if (in_value_ || !field_.empty()) {
    head_.headers.push_back({std::exchange(field_, {}), std::exchange(value_, {})});
    in_value_ = false;
  }
  head_read_ = true;
  head_bytes_ = 0;
  if (side_ == http_side::kRequest) {
    head_.method = http_method_str(static_cast<http_method>(parser_->method));
  } else {
    head_.status = parser_->status_code;
  }
  head_.allows_chunks = parser_->http_major == 1 && parser_->http_minor >= 1;
  if ((parser_->flags & F_CONTENTLENGTH) != 0) head_.content_length = parser_->content_length;
  if (const std::string* expect = FindHeader(head_.headers, "expect")) {
    head_.expects_continue = EqualIgnoringCase(*expect, "100-continue");
  }
  head_error_ = CheckHead();
  if (head_error_) return kInvalidHead;
  chunked_ = (parser_->flags & F_CHUNKED) != 0;
  chunk_checker_.Restart();
  head_.keep_alive = http_should_keep_alive(parser_.get()) != 0;
  on_.on_head(std::move(head_));
  return 0;
}

std::error_code http_decoder::CheckHead() {
  // Interim responses have no body (RFC 9110, 8.6); one with framing stands for the final response.
  bool interim = side_ == http_side::kResponse && head_.status < 200;
  bool framed = head_.content_length || FindHeader(head_.headers, "transfer-encoding") != nullptr;
  if (interim && framed) return errc::kInvalidHttpStatus;
  return side_ == http_side::kResponse ? ReadCoding() : std::error_code();
}

// The header is not forwarded, so a body in another coding would be taken for a plain one.
std::error_code http_decoder::ReadCoding() {
  std::size_t codings = 0;
  for (const http_header& header : head_.headers) {
    if (!EqualIgnoringCase(header.name, "transfer-encoding")) continue;
    // A reader of HTTP/1.0 takes the chunks for the body (RFC 9112, 6.1).
    if (!head_.allows_chunks) return errc::kInvalidHttpFraming;
    std::string_view value = header.value;
    value = value.substr(0, value.find_last_not_of(" \t") + 1);
    if (!EqualIgnoringCase(value, "chunked")) return errc::kInvalidHttpFraming;
    ++codings;
  }
  if (codings > 1) return errc::kInvalidHttpFraming;
  // http-parser does not know the coding with a tab after it, and reads to the connection's end.
  if (codings == 1) parser_->flags |= F_CHUNKED;
  return {};
}

void http_decoder::ExpectMessage() {
  complete_ = head_read_ = false;
  head_checker_.Restart();
}

std::size_t http_decoder::Feed(std::string_view bytes, std::error_code& error) {
  std::size_t used = 0;
  if (!head_read_) {
    std::size_t head = head_checker_.Check(bytes, error);
    head_bytes_ += head;
    if (!error && head_bytes_ > max_head_bytes_) error = errc::kHttpHeadTooLong;
    if (error) return 0;
    used = Parse(bytes.substr(0, head), error);
    bool ends_agree = complete_ || head_read_ == head_checker_.Done();
    if (!error && !ends_agree) error = errc::kMalformedHttp;
  }
  if (!error && !complete_ && used < bytes.size()) used += ParseBody(bytes.substr(used), error);
  if (complete_) {
    ExpectMessage();
    on_.on_complete();
  }
  return used;
}

std::size_t http_decoder::ParseBody(std::string_view bytes, std::error_code& error) {
  if (!chunked_) return Parse(bytes, error);
  std::size_t checked = chunk_checker_.Check(bytes, error);
  if (error) return 0;
  std::size_t used = Parse(bytes.substr(0, checked), error);
  if (error || complete_ != chunk_checker_.Done()) error = errc::kInvalidHttpFraming;
  return used;
}

std::size_t http_decoder::Parse(std::string_view bytes, std::error_code& error) {
  const http_parser_settings& settings = callbacks::Get();
  std::size_t used = http_parser_execute(parser_.get(), &settings, bytes.data(), bytes.size());
  if (complete_) {
    http_parser_pause(parser_.get(), 0);
  } else {
    error = ParserError();
  }
  return used;
}

std::error_code http_decoder::ParserError() const {
  switch (HTTP_PARSER_ERRNO(parser_.get())) {
    case HPE_OK:
      return {};
    case HPE_INVALID_STATUS:
      return errc::kInvalidHttpStatus;
    default:
      return head_error_ ? head_error_ : errc::kMalformedHttp;
  }
}

// Not summed over the headers: a head may come byte by byte. Strings have up to twice their length.
std::size_t http_decoder::HeldBytes() const {
  return head_bytes_ * 2 + head_.headers.capacity() * sizeof(http_header);
}

std::error_code http_decoder::Finish() {
  const http_parser_settings& settings = callbacks::Get();
  if (!in_message_) return {};
  http_parser_execute(parser_.get(), &settings, nullptr, 0);
  if (!complete_) return errc::kMalformedHttp;
  ExpectMessage();
  on_.on_complete();
  return {};
}

}  // namespace radishroute
