#include "load/plan.h"

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

#include "radishroute/sheet.h"

namespace radishroute {

namespace {

using nlohmann::json;

/// Reads members of one JSON object and reports bad ones.
class object_reader {
 public:
  object_reader(const json& object, std::string path, std::vector<settings_error>& errors)
      : object_(object), path_(std::move(path)), errors_(errors) {}

  const json* Find(const char* key) const {
    auto it = object_.find(key);
    return it == object_.end() ? nullptr : &*it;
  }

  void Report(const char* key, std::string expected) {
    errors_.push_back({path_ + key, std::move(expected)});
  }

  void Read(const char* key, std::string& out) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_string()) return Report(key, "a text");
    out = value->get<std::string>();
  }

  void Read(const char* key, double& out) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_number() || value->get<double>() < 0) return Report(key, "a number from 0 up");
    out = value->get<double>();
  }

  template <std::unsigned_integral T>
  void Read(const char* key, T& out) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (!value->is_number_unsigned()) return Report(key, "a whole number from 0 up");
    out = value->get<T>();
  }

  void ReadMillis(const char* key, std::chrono::milliseconds& out) {
    std::uint64_t millis = static_cast<std::uint64_t>(out.count());
    Read(key, millis);
    out = std::chrono::milliseconds(millis);
  }

  void ReadSeconds(const char* key, std::chrono::milliseconds& out) {
    double seconds = static_cast<double>(out.count()) / 1000;
    Read(key, seconds);
    out = std::chrono::milliseconds(std::llround(seconds * 1000));
  }

  /// A number or an array of the lowest and the highest.
  void Read(const char* key, value_range& out) {
    const json* value = Find(key);
    if (value == nullptr) return;
    if (value->is_number_unsigned()) {
      out = {value->get<std::uint32_t>(), value->get<std::uint32_t>()};
    } else if (value->is_array() && value->size() == 2 && (*value)[0].is_number_unsigned() &&
               (*value)[1].is_number_unsigned() && (*value)[0] <= (*value)[1]) {
      out = {(*value)[0].get<std::uint32_t>(), (*value)[1].get<std::uint32_t>()};
    } else {
      Report(key, "a whole number, or an array of the lowest and the highest");
    }
  }

  const std::string& Path() const { return path_; }

 private:
  const json& object_;
  std::string path_;
  std::vector<settings_error>& errors_;
};

/// A number, or an array of [second, requests per second].
void ReadRates(object_reader& reader, load_kind& out) {
  const json* value = reader.Find("rate");
  if (value == nullptr) return;
  if (value->is_number()) {
    out.rates.push_back({std::chrono::milliseconds(0), value->get<double>()});
    return;
  }
  bool valid = value->is_array();
  for (const json& step : valid ? *value : json::array()) {
    if (!step.is_array() || step.size() != 2 || !step[0].is_number() || !step[1].is_number()) {
      valid = false;
      break;
    }
    auto at = std::chrono::milliseconds(std::llround(step[0].get<double>() * 1000));
    valid = valid && (out.rates.empty() || out.rates.back().at < at);
    out.rates.push_back({at, step[1].get<double>()});
  }
  if (!valid) reader.Report("rate", "a number, or steps [second, rate] in order of time");
}

template <class Each>
void ReadObjects(object_reader& reader, const char* key, std::vector<settings_error>& errors,
                 Each each) {
  const json* value = reader.Find(key);
  if (value == nullptr) return;
  if (!value->is_array()) return reader.Report(key, "an array");
  for (std::size_t i = 0; i < value->size(); ++i) {
    std::string path = reader.Path() + key + "[" + std::to_string(i) + "]";
    if (!(*value)[i].is_object()) {
      errors.push_back({path, "an object"});
      continue;
    }
    object_reader child((*value)[i], path + ".", errors);
    each(child);
  }
}

void ReadClass(object_reader& reader, load_kind& out) {
  std::string name(ToString(out.cls));
  reader.Read("class", name);
  for (priority_class cls : kPriorityClasses) {
    if (name == ToString(cls)) {
      out.cls = cls;
      return;
    }
  }
  reader.Report("class", "interactive, transactional or batch");
}

load_kind ReadKind(object_reader& reader, const work_sheet& sheet,
                   std::vector<settings_error>& errors) {
  load_kind out;
  reader.Read("name", out.name);
  if (out.name.empty()) reader.Report("name", "the kind's name");
  for (const work_kind& kind : sheet.kinds) {
    if (kind.name != out.name) continue;
    out.cls = kind.cls;
    out.deadline = std::chrono::duration_cast<std::chrono::milliseconds>(kind.deadline);
  }
  ReadClass(reader, out);
  reader.ReadMillis("deadline_ms", out.deadline);
  ReadRates(reader, out);
  ReadObjects(reader, "floods", errors, [&](object_reader& flood) {
    load_flood f;
    flood.ReadSeconds("at", f.at);
    flood.ReadSeconds("seconds", f.duration);
    flood.Read("rate", f.per_second);
    flood.Read("member", f.member);
    out.floods.push_back(std::move(f));
  });
  reader.Read("model", out.model);
  reader.Read("service", out.service);
  if (out.model.empty() == out.service.empty()) reader.Report("model", "either model or service");
  reader.Read("max_tokens", out.max_tokens);
  reader.Read("prompt_tokens", out.prompt_tokens);
  reader.Read("prefixes", out.prefixes);
  reader.Read("prefix_tokens", out.prefix_tokens);
  reader.Read("stream", out.stream);
  reader.ReadMillis("resend_after_ms", out.resend_after);
  reader.Read("resends", out.resends);
  reader.ReadMillis("timeout_ms", out.timeout);
  return out;
}

void ReadMembers(object_reader& reader, const work_sheet& sheet, load_plan& out,
                 std::vector<settings_error>& errors) {
  for (const member_config& member : sheet.members) {
    out.members.push_back({member.name, member.weight, 1});
  }
  if (reader.Find("members") != nullptr) out.members.clear();
  ReadObjects(reader, "members", errors, [&](object_reader& child) {
    load_member member;
    child.Read("name", member.name);
    child.Read("weight", member.weight);
    child.Read("share", member.share);
    if (member.name.empty()) child.Report("name", "the Member's name");
    if (member.weight == 0) child.Report("weight", "a whole number from 1 up");
    out.members.push_back(std::move(member));
  });
  if (out.members.empty()) reader.Report("members", "at least one Member, here or in the sheet");
  double exponent = 0;
  reader.Read("zipf", exponent);
  if (exponent == 0) return;
  for (std::size_t i = 0; i < out.members.size(); ++i) {
    out.members[i].share = 1 / std::pow(static_cast<double>(i + 1), exponent);
  }
}

}  // namespace

load_plan ParseLoadPlan(std::string_view text, const std::optional<std::string>& sheet_text,
                        std::vector<settings_error>& errors) {
  load_plan out;
  json root = json::parse(text, nullptr, false);
  if (!root.is_object()) {
    errors.push_back({"", "a JSON object"});
    return out;
  }
  work_sheet sheet;
  if (sheet_text) {
    std::vector<sheet_error> faults;
    sheet = ParseSheet(*sheet_text, faults);
    if (!faults.empty()) errors.push_back({"sheet", "a valid sheet (see radishroute check)"});
  }
  object_reader reader(root, "", errors);
  reader.Read("seed", out.seed);
  reader.ReadSeconds("seconds", out.duration);
  std::string arrivals = "poisson";
  reader.Read("arrivals", arrivals);
  out.poisson = arrivals == "poisson";
  if (!out.poisson && arrivals != "fixed") reader.Report("arrivals", "poisson or fixed");
  ReadObjects(reader, "kinds", errors,
              [&](object_reader& child) { out.kinds.push_back(ReadKind(child, sheet, errors)); });
  if (out.kinds.empty()) reader.Report("kinds", "at least one kind");
  ReadMembers(reader, sheet, out, errors);
  return out;
}

}  // namespace radishroute
