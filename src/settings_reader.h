#ifndef RADISHROUTE_SETTINGS_READER_H_
#define RADISHROUTE_SETTINGS_READER_H_

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "radishroute/settings.h"

namespace radishroute {

/// Reads one JSON object, checks types and ranges, and reports unknown keys.
class settings_reader {
 public:
  settings_reader(const nlohmann::json& object, std::string path,
                  std::vector<settings_error>& errors);

  void Read(const char* key, std::string& out, bool required);
  void Read(const char* key, bool& out);
  void Read(const char* key, double& out, double lowest, double highest);
  void Read(const char* key, endpoint& out, bool required);
  void Read(const char* key, std::vector<std::string>& out, bool required);
  void Read(const char* key, std::vector<endpoint>& out, bool required);
  void Read(const char* key, std::chrono::milliseconds& out, std::chrono::milliseconds lowest,
            std::chrono::milliseconds highest);

  template <class Integer>
  void ReadNumber(const char* key, Integer& out, std::uint64_t lowest, std::uint64_t highest) {
    std::uint64_t value = out;
    ReadUnsigned(key, value, lowest, highest);
    out = static_cast<Integer>(value);
  }

  /// Reads a string that must be one of `choices`; returns its index, or `fallback`.
  std::size_t ReadChoice(const char* key, std::initializer_list<const char*> choices,
                         std::size_t fallback);

  /// Reader of the object under `key`, or of an empty object if it is absent.
  settings_reader Child(const char* key);

  /// Reports every key that was not read.
  void ReportUnknownKeys();

 private:
  const nlohmann::json* FindValue(const char* key, bool required, const char* expected);
  void ReadUnsigned(const char* key, std::uint64_t& out, std::uint64_t lowest,
                    std::uint64_t highest);
  void Report(const std::string& key, std::string expected);

  nlohmann::json object_;
  std::string path_;
  std::vector<settings_error>& errors_;
  std::set<std::string> read_keys_;
};

/// Parses a JSON object; reports text that is not one.
nlohmann::json ParseSettingsText(std::string_view text, std::vector<settings_error>& errors);

/// Reads the keys common to all roles.
void ReadCommon(settings_reader& reader, common_settings& out);

}  // namespace radishroute

#endif  // RADISHROUTE_SETTINGS_READER_H_
