#include "radishroute/text_patch.h"

#include <catch2/catch.hpp>
#include <random>

#include "radishroute/compression.h"
#include "radishroute/error.h"

namespace radishroute {

namespace {

std::string MakeObjects(int count, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  std::string text = "{\"routes\":[";
  for (int i = 0; i < count; ++i) {
    text += "{\"name\":\"route-" + std::to_string(random() % 100'000) +
            "\",\"split\":[{\"service\":\"writer\",\"weight\":90}]},";
  }
  return text + "]}";
}

/// The text with a random part of it replaced by a random other part.
std::string Shuffle(const std::string& text, std::mt19937_64& random) {
  std::string changed = text;
  std::size_t from = random() % text.size();
  std::size_t to = random() % text.size();
  std::size_t length = random() % 200;
  changed.replace(to, random() % 200, text.substr(from, length));
  return changed;
}

}  // namespace

// Guards against a patch that yields another text than the one that it was made for.
TEST_CASE("a patch restores the text, whatever has changed") {
  std::mt19937_64 random(1);
  std::string base = MakeObjects(200, 1);
  std::vector<std::string> texts = {base, "", "}", "plain", MakeObjects(200, 2), base + base};
  for (int i = 0; i < 200; ++i) texts.push_back(Shuffle(texts[i % texts.size()] + "x", random));
  for (std::size_t i = 0; i + 1 < texts.size(); ++i) {
    text_patch patch;
    REQUIRE_FALSE(MakePatch(texts[i], texts[i + 1], patch));
    std::string restored;
    REQUIRE_FALSE(ApplyPatch(texts[i], patch, restored));
    CHECK(restored == texts[i + 1]);
  }
}

// Guards against patches as large as the document.
TEST_CASE("a patch for one changed object is small") {
  std::string base = MakeObjects(3000, 1);
  std::string text = base;
  text.replace(text.find("weight", text.size() / 2), 6, "WEIGHT");
  text.replace(0, 1, "{\"version\":2,");
  text_patch patch;
  REQUIRE_FALSE(MakePatch(base, text, patch));
  CHECK(patch.Bytes() < 500);
}

// Guards against a patch that arrives damaged, or at an entry that holds another version.
TEST_CASE("a patch that does not fit is refused") {
  std::string base = MakeObjects(50, 1);
  text_patch patch;
  REQUIRE_FALSE(MakePatch(base, MakeObjects(60, 1), patch));
  std::string restored = "unchanged";
  CHECK(ApplyPatch(MakeObjects(50, 2), patch, restored) == errc::kPatchMismatch);
  CHECK(ApplyPatch("", patch, restored) == errc::kPatchMismatch);
  for (text_edit damaged : {text_edit{base.size(), 1, 0}, text_edit{0, ~std::uint64_t{0}, 0},
                            text_edit{~std::uint64_t{0}, 1, 0}, text_edit{0, 0, ~std::uint64_t{0}},
                            text_edit{0, 1, 0}}) {
    text_patch other = patch;
    other.edits.push_back(damaged);
    CHECK(ApplyPatch(base, other, restored) == errc::kPatchMismatch);
  }
  text_patch other = patch;
  other.inserted.resize(other.inserted.size() / 2);
  CHECK(ApplyPatch(base, other, restored) == errc::kCompressionFailed);
  CHECK(restored == "unchanged");
}

}  // namespace radishroute
