#include "radishroute/text_patch.h"

#include <unordered_map>

#include "radishroute/compression.h"
#include "radishroute/error.h"
#include "radishroute/types.h"

namespace radishroute {

namespace {

// Documents are lists of objects, each of which ends with a brace.
constexpr char kSegmentEnd = '}';

// Bounds segments of a text without braces.
constexpr std::size_t kMaxSegmentBytes = 4096;

// A shorter segment is cheaper to insert than to refer to.
constexpr std::size_t kMinCopiedBytes = 16;

constexpr std::size_t kEncodedEditBytes = 3 * sizeof(std::uint64_t);

std::vector<std::string_view> SplitIntoSegments(std::string_view text) {
  std::vector<std::string_view> segments;
  while (!text.empty()) {
    std::size_t end = text.substr(0, kMaxSegmentBytes).find(kSegmentEnd);
    std::size_t length = end == std::string_view::npos ? kMaxSegmentBytes : end + 1;
    segments.push_back(text.substr(0, length));
    text.remove_prefix(segments.back().size());
  }
  return segments;
}

/// Finds segments of a base text.
class segment_index {
 public:
  explicit segment_index(std::string_view base) : base_(base), segments_(SplitIntoSegments(base)) {
    first_.reserve(segments_.size());
    for (std::size_t i = 0; i < segments_.size(); ++i) first_.emplace(segments_[i], i);
  }

  /// Whether `segment` follows the one that was found last; then it is the last one found.
  bool Continue(std::string_view segment) {
    if (next_ >= segments_.size() || segments_[next_] != segment) return false;
    ++next_;
    return true;
  }

  /// Offset of the first such segment, or npos.
  std::size_t Find(std::string_view segment) {
    auto found = first_.find(segment);
    if (found == first_.end()) return std::string_view::npos;
    next_ = found->second + 1;
    return static_cast<std::size_t>(found->first.data() - base_.data());
  }

 private:
  std::string_view base_;
  std::vector<std::string_view> segments_;
  std::unordered_map<std::string_view, std::size_t> first_;
  std::size_t next_ = 0;
};

}  // namespace

std::size_t text_patch::Bytes() const { return inserted.size() + edits.size() * kEncodedEditBytes; }

std::error_code MakePatch(std::string_view base, std::string_view text, text_patch& out) {
  segment_index index(base);
  out.text_hash = StableHash(text);
  out.edits.assign(1, {});
  std::string inserted;
  for (std::string_view segment : SplitIntoSegments(text)) {
    text_edit& last = out.edits.back();
    if (last.inserted == 0 && index.Continue(segment)) {
      last.length += segment.size();
      continue;
    }
    std::size_t offset = std::string_view::npos;
    if (segment.size() >= kMinCopiedBytes) offset = index.Find(segment);
    if (offset != std::string_view::npos) {
      out.edits.push_back({offset, segment.size(), 0});
    } else {
      inserted.append(segment);
      last.inserted += segment.size();
    }
  }
  return Compress(inserted, out.inserted);
}

std::error_code ApplyPatch(std::string_view base, const text_patch& patch, std::string& out) {
  std::string new_bytes;
  if (auto error = Decompress(patch.inserted, new_bytes)) return error;
  std::string_view inserted = new_bytes;
  std::string text;
  for (const text_edit& edit : patch.edits) {
    bool valid = edit.offset <= base.size() && edit.length <= base.size() - edit.offset &&
                 edit.inserted <= inserted.size() &&
                 edit.length <= kMaxDecompressedBytes - text.size();
    if (!valid) return errc::kPatchMismatch;
    text.append(base.substr(edit.offset, edit.length));
    text.append(inserted.substr(0, edit.inserted));
    inserted.remove_prefix(edit.inserted);
    if (text.size() > kMaxDecompressedBytes) return errc::kPatchMismatch;
  }
  if (StableHash(text) != patch.text_hash) return errc::kPatchMismatch;
  out = std::move(text);
  return {};
}

}  // namespace radishroute
