#include <atomic>
#include <catch2/catch.hpp>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <thread>

#include "cli/process.h"

namespace radishroute {

namespace {

/// A folder in the system's place for temporary files, removed at the end.
struct temporary_folder {
  std::string path = (std::filesystem::temp_directory_path() / "radishroute-XXXXXX").string();

  temporary_folder() { REQUIRE(mkdtemp(path.data()) != nullptr); }
  ~temporary_folder() { std::filesystem::remove_all(path); }
  temporary_folder(const temporary_folder&) = delete;
  temporary_folder& operator=(const temporary_folder&) = delete;
};

void Write(const std::string& path, const std::string& text) {
  std::ofstream(path, std::ios::binary) << text;
}

}  // namespace

// Guards against a process that ends, or reads what was never written, because its settings file is
// replaced, cut short or removed while it is read.
TEST_CASE("a file that changes while it is read gives one of its texts or nothing") {
  temporary_folder folder;
  std::string path = folder.path + "/settings.json";
  std::string first(200000, 'a');
  std::string second(90000, 'b');
  std::atomic<bool> stopped = false;
  std::thread writer([&] {
    for (int i = 0; !stopped; ++i) {
      Write(folder.path + "/next", i % 2 == 0 ? first : second);
      std::filesystem::rename(folder.path + "/next", path);
      if (i % 3 == 0) std::filesystem::resize_file(path, 100);
      if (i % 5 == 0) std::filesystem::remove(path);
    }
  });
  for (int texts = 0; texts < 1000;) {
    auto text = ReadFile(path);
    if (!text) continue;
    ++texts;
    // A file that is cut short while it is read gives a part of its text.
    bool is_known =
        *text == first.substr(0, text->size()) || *text == second.substr(0, text->size());
    REQUIRE(is_known);
  }
  stopped = true;
  writer.join();
}

// Guards against a folder or a device that is taken for an empty file, or read until memory ends.
TEST_CASE("what is no readable file gives nothing") {
  temporary_folder folder;
  CHECK_FALSE(ReadFile(folder.path));
  CHECK_FALSE(ReadFile(folder.path + "/missing"));
  CHECK_FALSE(ReadFile("/dev/zero"));
  Write(folder.path + "/empty", "");
  CHECK(ReadFile(folder.path + "/empty") == std::string());
}

}  // namespace radishroute
