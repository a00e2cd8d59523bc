#include "io/http_syntax.h"

#include <algorithm>
#include <array>

#include "radishroute/error.h"

namespace radishroute {

namespace {

constexpr std::string_view kVersionPrefix = "HTTP/1.";
constexpr std::size_t kStatusDigits = 3;

constexpr std::string_view kNameSymbols = "!#$%&'*+-.^_`|~";

constexpr bool IsDigit(char c) { return c >= '0' && c <= '9'; }

// A longer size would overflow with one more digit.
constexpr std::uint64_t kMaxChunkSize = UINT64_MAX >> 4;

// Value of a hexadecimal digit; -1 for another byte.
constexpr int HexValue(char c) {
  if (IsDigit(c)) return c - '0';
  if (c >= 'a' && c <= 'f') return c - 'a' + 10;
  if (c >= 'A' && c <= 'F') return c - 'A' + 10;
  return -1;
}

constexpr bool IsNameByte(char c) {
  bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return letter || IsDigit(c) || kNameSymbols.find(c) != std::string_view::npos;
}

constexpr std::array<bool, 256> MakeNameBytes() {
  std::array<bool, 256> out{};
  for (int c = 0; c < 256; ++c) out[static_cast<std::size_t>(c)] = IsNameByte(static_cast<char>(c));
  return out;
}

constexpr std::array<bool, 256> kNameBytes = MakeNameBytes();

bool IsName(char c) { return kNameBytes[static_cast<unsigned char>(c)]; }

// Visible bytes, blanks, tabs, and bytes beyond ASCII, which older servers send.
bool IsText(char c) {
  auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

// Classes of statuses are 1 to 5 (RFC 9110, 15). An upgrade (101) answers a request for one, which
// no request here makes.
bool IsStatus(std::string_view text) {
  return text.size() == kStatusDigits && std::all_of(text.begin(), text.end(), IsDigit) &&
         text[0] >= '1' && text[0] <= '5' && text != "101";
}

}  // namespace

std::error_code CheckStatusLine(std::string_view line) {
  if (!std::all_of(line.begin(), line.end(), IsText)) return errc::kMalformedHttp;
  if (!line.starts_with(kVersionPrefix)) return errc::kMalformedHttp;
  line.remove_prefix(kVersionPrefix.size());
  if (line.size() < 2 || !IsDigit(line[0]) || line[1] != ' ') return errc::kMalformedHttp;
  line.remove_prefix(2);
  if (!IsStatus(line.substr(0, line.find(' ')))) return errc::kInvalidHttpStatus;
  return {};
}

void http_section_checker::Restart() {
  next_ = section_ == http_section::kTrailers ? part::kLine : part::kStartLine;
  start_line_.clear();
  start_line_empty_ = true;
  start_line_error_.clear();
}

std::size_t http_section_checker::Check(std::string_view bytes, std::error_code& error) {
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    if (!Accept(bytes[i])) {
      error = start_line_error_ ? start_line_error_ : errc::kMalformedHttp;
      return i;
    }
    if (Done()) return i + 1;
  }
  return bytes.size();
}

bool http_section_checker::Accept(char c) {
  switch (next_) {
    case part::kStartLine:
      return AcceptInStartLine(c);
    case part::kStartLineEnd:
      return c == '\n' && EndStartLine();
    case part::kLine:
      next_ = c == '\r' ? part::kSectionEnd : part::kName;
      return c == '\r' || IsName(c);
    case part::kName:
      if (c == ':') next_ = part::kValue;
      return c == ':' || IsName(c);
    case part::kValue:
      if (c == '\r') next_ = part::kLineEnd;
      return c == '\r' || IsText(c);
    case part::kLineEnd:
      next_ = part::kLine;
      return c == '\n';
    case part::kSectionEnd:
      next_ = part::kDone;
      return c == '\n';
    case part::kDone:
      break;
  }
  return false;
}

bool http_section_checker::AcceptInStartLine(char c) {
  if (c == '\r') {
    next_ = part::kStartLineEnd;
    return true;
  }
  start_line_empty_ = false;
  if (section_ == http_section::kResponseHead) start_line_ += c;
  return c != '\n';
}

// http-parser checks the start lines of requests, and clients may send empty lines before them.
bool http_section_checker::EndStartLine() {
  bool repeat = section_ == http_section::kRequestHead && start_line_empty_;
  next_ = repeat ? part::kStartLine : part::kLine;
  if (section_ == http_section::kResponseHead) start_line_error_ = CheckStatusLine(start_line_);
  return !start_line_error_;
}

void http_chunk_checker::Restart() {
  next_ = part::kFirstDigit;
  size_ = 0;
  trailers_.Restart();
}

std::size_t http_chunk_checker::Check(std::string_view bytes, std::error_code& error) {
  std::size_t used = 0;
  while (used < bytes.size() && !Done() && !error) {
    if (next_ == part::kData) {
      std::size_t data = std::min<std::uint64_t>(size_, bytes.size() - used);
      size_ -= data;
      used += data;
      if (size_ == 0) next_ = part::kDataEnd;
    } else if (next_ == part::kTrailers) {
      used += trailers_.Check(bytes.substr(used), error);
      if (error) error = errc::kInvalidHttpFraming;
    } else if (Accept(bytes[used])) {
      ++used;
    } else {
      error = errc::kInvalidHttpFraming;
    }
  }
  return used;
}

bool http_chunk_checker::Accept(char c) {
  switch (next_) {
    case part::kFirstDigit:
      size_ = 0;
      next_ = part::kSize;
      return HexValue(c) >= 0 && AcceptInSize(c);
    case part::kSize:
      return AcceptInSize(c);
    case part::kExtension:
      if (c == '\r') next_ = part::kSizeLineEnd;
      return c == '\r' || IsText(c);
    case part::kSizeLineEnd:
      next_ = size_ == 0 ? part::kTrailers : part::kData;
      return c == '\n';
    case part::kDataEnd:
      next_ = part::kDataLineEnd;
      return c == '\r';
    case part::kDataLineEnd:
      next_ = part::kFirstDigit;
      return c == '\n';
    case part::kData:
    case part::kTrailers:
      break;
  }
  return false;
}

bool http_chunk_checker::AcceptInSize(char c) {
  int digit = HexValue(c);
  if (digit < 0) {
    next_ = c == '\r' ? part::kSizeLineEnd : part::kExtension;
    return c == '\r' || c == ';' || c == ' ' || c == '\t';
  }
  if (size_ > kMaxChunkSize) return false;
  size_ = size_ * 16 + static_cast<std::uint64_t>(digit);
  return true;
}

}  // namespace radishroute
