#ifndef RADISHROUTE_IO_HTTP_SYNTAX_H_
#define RADISHROUTE_IO_HTTP_SYNTAX_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <system_error>

namespace radishroute {

/// Checks the status line of a response, without its end (RFC 9112, 4). Errors: kMalformedHttp,
/// kInvalidHttpStatus.
std::error_code CheckStatusLine(std::string_view line);

enum class http_section : std::uint8_t { kRequestHead, kResponseHead, kTrailers };

/// Checks the lines of a head or of trailers, which http-parser reads leniently: a line that
/// another reader ends, joins or names differently can hide a field or a whole message from it.
class http_section_checker {
 public:
  explicit http_section_checker(http_section section) : section_(section) { Restart(); }

  /// Checks bytes up to the empty line that ends the section; returns how many. Errors:
  /// kMalformedHttp, kInvalidHttpStatus.
  std::size_t Check(std::string_view bytes, std::error_code& error);
  /// Whether the end of the section has been read.
  bool Done() const { return next_ == part::kDone; }
  /// Expects the next section of the same kind.
  void Restart();

 private:
  enum class part : std::uint8_t {
    kStartLine,
    kStartLineEnd,
    /// The first byte of a field line or of the empty line.
    kLine,
    kName,
    kValue,
    kLineEnd,
    kSectionEnd,
    kDone,
  };

  bool Accept(char c);
  bool AcceptInStartLine(char c);
  bool EndStartLine();

  http_section section_;
  part next_ = part::kStartLine;
  /// Start line of a response, as far as it was read.
  std::string start_line_;
  bool start_line_empty_ = true;
  std::error_code start_line_error_;
};

/// Checks the chunk lines and the trailers of a body in chunks (RFC 9112, 7.1), for the same
/// reason.
class http_chunk_checker {
 public:
  /// Checks bytes up to the end of the trailers; returns how many. Error: kInvalidHttpFraming.
  std::size_t Check(std::string_view bytes, std::error_code& error);
  /// Whether the end of the trailers has been read.
  bool Done() const { return trailers_.Done(); }
  /// Expects another body.
  void Restart();

 private:
  enum class part : std::uint8_t {
    kFirstDigit,
    kSize,
    kExtension,
    kSizeLineEnd,
    kData,
    kDataEnd,
    kDataLineEnd,
    kTrailers,
  };

  bool Accept(char c);
  bool AcceptInSize(char c);

  part next_ = part::kFirstDigit;
  /// Size of the chunk, then what is left of it.
  std::uint64_t size_ = 0;
  http_section_checker trailers_{http_section::kTrailers};
};

}  // namespace radishroute

#endif  // RADISHROUTE_IO_HTTP_SYNTAX_H_
