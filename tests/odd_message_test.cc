#include <catch2/catch.hpp>
#include <limits>
#include <string>

#include "platform/config_wire.h"
#include "platform/control_wire.h"
#include "platform/engine_wire.h"
#include "radishroute/error.h"

// Messages of another writer that can be received instead of those of an engine or operator.

namespace radishroute {

namespace {

std::string Nested(std::size_t depth) {
  return std::string(depth, '[') + "0" + std::string(depth, ']');
}

std::string Registration(const std::string& field, const std::string& value) {
  std::string text = "{";
  for (const auto& [name, usual] : {std::pair{"service", R"("s")"},
                                    {"address", R"("10.0.0.1:80")"},
                                    {"zone", R"("a")"},
                                    {"version", R"("v1")"},
                                    {"slots", "4"},
                                    {"state", R"("ready")"},
                                    {"sequence", "3"},
                                    {"born", "17"},
                                    {"models", "[]"}}) {
    text += "\"" + std::string(name) + "\":" + (field == name ? value : usual) + ",";
  }
  text.back() = '}';
  return text;
}

std::error_code RegistrationError(const std::string& text) {
  announcement out;
  return platform::DecodeRegistration("i-1", text, out);
}

std::string Document(const std::string& field, const std::string& value) {
  std::string route = R"({"host":"h","pathPrefix":"/a/","kind":"streaming","service":"s",)";
  route += R"("timeoutMs":)" + (field == "timeoutMs" ? value : "8000");
  route += R"(,"priority":)" + (field == "priority" ? value : "0") + "}";
  std::string version = field == "version" ? value : "7";
  return R"({"version":)" + version + R"(,"routes":[)" + route + R"(],"services":[{"name":"s"}]})";
}

std::error_code DocumentError(const std::string& text) {
  deployment out;
  return platform::DecodeDeployment(text, out);
}

}  // namespace

// Guards against an entry of another writer that ends the controllers that read it, or that is
// taken for an engine.
TEST_CASE("an odd registration is rejected") {
  REQUIRE(!RegistrationError(Registration("", "")));
  const std::vector<std::pair<std::string, std::string>> odd = {
      {"models", Nested(100)},
      {"models", Nested(1000000)},
      {"models", std::string(1000000, '[')},
      {"sequence", "18446744073709551616"},
      {"sequence", "1e400"},
      {"sequence", "-1"},
      {"sequence", "1.5"},
      {"sequence", R"("3")"},
      {"born", "-1"},
      {"born", "1e19"},
      {"slots", "null"},
      {"slots", "[]"},
      {"address", R"("10.0.0.1:0")"},
      {"address", R"("10.0.0.1:65536")"},
      {"address", R"("10.0.0.1:-80")"},
      {"address", R"("10.0.0.1:99999999999999999999")"},
      {"address", R"("10.0.0.1:80x")"},
      {"address", "80"},
      {"zone", "\"" + std::string(1000000, 'z') + "\""},
      {"zone", "\"" + std::string(300, 'z') + "\""},
      {"service", R"("a\u0000b")"},
      {"service", R"("")"},
      {"version", "\"" + std::string(300, 'v') + "\""},
      {"state", R"("asleep")"},
      {"state", "{}"},
      {"zone", "\"\xff\xfe\""}};
  for (const auto& [field, value] : odd) {
    INFO(field << " " << value.substr(0, 60));
    CHECK(RegistrationError(Registration(field, value)) == errc::kMalformedCall);
  }
}

// Guards against a report or counts of an engine that end the sidecar beside it.
TEST_CASE("odd reports and counts of an engine are not read") {
  for (const std::string& value : {Nested(100), Nested(1000000)}) {
    CHECK(!platform::engine_wire::DecodeReport(R"({"group":{"name":"g"},"step":)" + value + "}"));
    CHECK(!platform::engine_wire::DecodeExpertUsage(R"({"counts":)" + value + "}"));
    CHECK(!platform::engine_wire::DecodeExpertUsage(R"({"map":{"experts":)" + value + "}}"));
  }
  auto usage = platform::engine_wire::DecodeExpertUsage(R"({"counts":[[1,2],[3,1e300]]})");
  REQUIRE(usage);
  CHECK(usage->counts == std::vector<std::int64_t>{1, 2, 3});
}

// Guards against a configuration whose numbers become other numbers on the way into the types.
TEST_CASE("a configuration with odd numbers is rejected or cut to bounds") {
  REQUIRE(!DocumentError(Document("", "")));
  CHECK(DocumentError(Document("priority", "4294967296")) == errc::kMalformedCall);
  CHECK(DocumentError(Document("priority", "1e300")) == errc::kMalformedCall);
  CHECK(DocumentError(Document("version", "18446744073709551616")) == errc::kMalformedCall);
  CHECK(DocumentError(Document("timeoutMs", "-1e300")) == errc::kInvalidDeployment);
  CHECK(DocumentError(Document("version", Nested(1000000))) == errc::kMalformedCall);
  deployment out;
  REQUIRE(!platform::DecodeDeployment(Document("timeoutMs", "1e300"), out));
  CHECK(out.routes.front().timeout > std::chrono::hours(24));
  CHECK(out.routes.front().timeout < std::chrono::hours(24 * 365));
}

}  // namespace radishroute
