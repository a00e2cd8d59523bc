#include "radishroute/config_patches.h"

#include <algorithm>
#include <utility>

#include "radishroute/compression.h"

namespace radishroute {

namespace {

// An entry spends processor time on a patch that it does not spend on a document.
constexpr std::size_t kMinSavingFactor = 2;

bool Unpack(std::string_view stored, std::string& text) {
  return !text.empty() || !Decompress(stored, text);
}

}  // namespace

void config_patches::Remember(const config_document& config) {
  if (config.Version() == 0) return;
  if (!versions_.empty() && versions_.back().version == config.Version()) return;
  patches_.clear();
  versions_.push_back({config.Version(), config.Sheet(), {}});
  stored_bytes_ += config.Sheet().size();
  while (versions_.size() > kMaxVersions ||
         (versions_.size() > 1 && stored_bytes_ > kMaxStoredBytes)) {
    stored_bytes_ -= versions_.front().stored.size();
    versions_.pop_front();
  }
  ReleaseTexts();
}

void config_patches::ReleaseTexts() {
  std::size_t bytes = 0;
  for (auto it = versions_.rbegin(); it != versions_.rend(); ++it) {
    bytes += it->text.size();
    if (bytes > kMaxTextBytes) std::string().swap(it->text);
  }
}

const config_patch* config_patches::Find(std::uint64_t base) {
  auto known = patches_.find(base);
  if (known == patches_.end()) {
    auto kept = std::find_if(versions_.begin(), versions_.end(),
                             [&](const kept_version& v) { return v.version == base; });
    if (kept == versions_.end()) return nullptr;
    known = patches_.emplace(base, Make(*kept)).first;
    ReleaseTexts();
  }
  return known->second ? &*known->second : nullptr;
}

std::optional<config_patch> config_patches::Make(kept_version& base) {
  kept_version& current = versions_.back();
  if (!Unpack(base.stored, base.text) || !Unpack(current.stored, current.text)) {
    return std::nullopt;
  }
  config_patch made{base.version, {}};
  if (MakePatch(base.text, current.text, made.changes)) return std::nullopt;
  if (made.changes.Bytes() > current.stored.size() / kMinSavingFactor) return std::nullopt;
  return made;
}

}  // namespace radishroute
