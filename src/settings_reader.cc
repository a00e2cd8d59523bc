#include "settings_reader.h"

#include <algorithm>

namespace radishroute {

settings_reader::settings_reader(const nlohmann::json& object, std::string path,
                                 std::vector<settings_error>& errors)
    : object_(object), path_(std::move(path)), errors_(errors) {}

void settings_reader::Report(const std::string& key, std::string expected) {
  errors_.push_back({path_.empty() ? key : path_ + "." + key, std::move(expected)});
}

const nlohmann::json* settings_reader::FindValue(const char* key, bool required,
                                                 const char* expected) {
  read_keys_.insert(key);
  auto it = object_.find(key);
  if (it != object_.end()) return &*it;
  if (required) Report(key, std::string(expected) + " (the key is missing)");
  return nullptr;
}

void settings_reader::Read(const char* key, std::string& out, bool required) {
  const nlohmann::json* value = FindValue(key, required, "a string");
  if (value == nullptr) return;
  if (!value->is_string() || (required && value->get_ref<const std::string&>().empty())) {
    Report(key, required ? "a non-empty string" : "a string");
    return;
  }
  out = value->get<std::string>();
}

void settings_reader::Read(const char* key, double& out, double lowest, double highest) {
  const nlohmann::json* value = FindValue(key, false, "a number");
  if (value == nullptr) return;
  if (!value->is_number() || value->get<double>() < lowest || value->get<double>() > highest) {
    Report(key, "a number from " + std::to_string(lowest) + " to " + std::to_string(highest));
    return;
  }
  out = value->get<double>();
}

void settings_reader::Read(const char* key, bool& out) {
  const nlohmann::json* value = FindValue(key, false, "true or false");
  if (value == nullptr) return;
  if (!value->is_boolean()) {
    Report(key, "true or false");
    return;
  }
  out = value->get<bool>();
}

void settings_reader::Read(const char* key, endpoint& out, bool required) {
  constexpr const char* kExpected = "an IPv4 address and port, such as \"10.0.0.1:8080\"";
  const nlohmann::json* value = FindValue(key, required, kExpected);
  if (value == nullptr) return;
  if (!value->is_string() || !ParseEndpoint(value->get_ref<const std::string&>(), out)) {
    Report(key, kExpected);
  }
}

void settings_reader::Read(const char* key, std::vector<std::string>& out, bool required) {
  constexpr const char* kExpected = "a list of strings";
  const nlohmann::json* value = FindValue(key, required, kExpected);
  if (value == nullptr) return;
  bool valid = value->is_array() && std::all_of(value->begin(), value->end(),
                                                [](const auto& item) { return item.is_string(); });
  if (!valid || (required && value->empty())) {
    Report(key, required ? "a non-empty list of strings" : kExpected);
    return;
  }
  out = value->get<std::vector<std::string>>();
}

void settings_reader::Read(const char* key, std::vector<endpoint>& out, bool required) {
  std::vector<std::string> texts;
  std::size_t before = errors_.size();
  Read(key, texts, required);
  if (errors_.size() != before) return;
  for (std::size_t i = 0; i < texts.size(); ++i) {
    endpoint e;
    if (ParseEndpoint(texts[i], e)) {
      out.push_back(e);
    } else {
      Report(std::string(key) + "[" + std::to_string(i) + "]",
             "an IPv4 address and port, such as \"10.0.0.1:8080\"");
    }
  }
}

void settings_reader::Read(const char* key, std::chrono::milliseconds& out,
                           std::chrono::milliseconds lowest, std::chrono::milliseconds highest) {
  auto value = static_cast<std::uint64_t>(out.count());
  ReadUnsigned(key, value, static_cast<std::uint64_t>(lowest.count()),
               static_cast<std::uint64_t>(highest.count()));
  out = std::chrono::milliseconds(value);
}

void settings_reader::ReadUnsigned(const char* key, std::uint64_t& out, std::uint64_t lowest,
                                   std::uint64_t highest) {
  std::string expected =
      "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
  const nlohmann::json* value = FindValue(key, false, expected.c_str());
  if (value == nullptr) return;
  if (!value->is_number_unsigned() || value->get<std::uint64_t>() < lowest ||
      value->get<std::uint64_t>() > highest) {
    Report(key, expected);
    return;
  }
  out = value->get<std::uint64_t>();
}

std::size_t settings_reader::ReadChoice(const char* key, std::initializer_list<const char*> choices,
                                        std::size_t fallback) {
  std::string expected = "one of";
  for (const char* choice : choices) expected += std::string(" \"") + choice + "\"";
  const nlohmann::json* value = FindValue(key, false, expected.c_str());
  if (value == nullptr) return fallback;
  if (value->is_string()) {
    auto it = std::find(choices.begin(), choices.end(), value->get<std::string>());
    if (it != choices.end()) return static_cast<std::size_t>(it - choices.begin());
  }
  Report(key, expected);
  return fallback;
}

settings_reader settings_reader::Child(const char* key) {
  const nlohmann::json* value = FindValue(key, false, "an object");
  std::string path = path_.empty() ? key : path_ + "." + key;
  if (value == nullptr) return {nlohmann::json::object(), path, errors_};
  if (!value->is_object()) {
    Report(key, "an object");
    return {nlohmann::json::object(), path, errors_};
  }
  return {*value, path, errors_};
}

void settings_reader::ReportUnknownKeys() {
  for (const auto& [key, value] : object_.items()) {
    if (!read_keys_.contains(key)) Report(key, "a known key");
  }
}

nlohmann::json ParseSettingsText(std::string_view text, std::vector<settings_error>& errors) {
  nlohmann::json root = nlohmann::json::parse(text, nullptr, false);
  if (root.is_discarded()) {
    errors.push_back({"", "well-formed JSON"});
    return nlohmann::json::object();
  }
  if (!root.is_object()) {
    errors.push_back({"", "a JSON object"});
    return nlohmann::json::object();
  }
  return root;
}

void ReadCommon(settings_reader& reader, common_settings& out) {
  std::string role;
  reader.Read("role", role, true);
  reader.Read("node", out.node, true);
  reader.Read("zone", out.zone, true);
  reader.Read("secret", out.secret, true);
  reader.Read("drain_timeout_ms", out.drain_timeout, std::chrono::milliseconds(0),
              std::chrono::hours(1));
  settings_reader log = reader.Child("log");
  log.Read("file", out.log.file, false);
  out.log.level =
      static_cast<log_level>(log.ReadChoice("level", {"debug", "info", "warning", "error"}, 1));
  log.ReportUnknownKeys();
}

}  // namespace radishroute
