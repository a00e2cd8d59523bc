#include "platform/settings_wire.h"

#include <catch2/catch.hpp>

#include "radishroute/settings.h"

namespace radishroute {

namespace {

/// Settings of a controller with the tables of the platform as its template passes them on.
controller_settings Parse(const std::string& tables) {
  std::vector<settings_error> errors;
  controller_settings out = ParseControllerSettings(
      platform::TranslateSettings(R"({"role":"controller","node":"n","zone":"a","secret":"s",)"
                                  R"("admin_token":"t","data":"d","admin_listen":"127.0.0.1:1",)"
                                  R"("control_listen":"127.0.0.1:2","platform":)" +
                                  tables + R"(,"calls":{"first_start":true}})"),
      errors);
  REQUIRE(errors.empty());
  return out;
}

}  // namespace

// Guards against a process that does not start, or takes a budget of zero, because its machine has
// no limits or the deployment no table of zones.
TEST_CASE("limits and zones that the platform does not state are absent") {
  for (const char* tables : {"{}", R"({"limits":"","zones":""})", R"({"limits":{},"zones":{}})",
                             R"({"limits":null,"zones":null})", "null"}) {
    INFO(tables);
    controller_settings settings = Parse(tables);
    CHECK(settings.limits.memory_mb == 0);
    CHECK(settings.limits.max_descriptors == 0);
    CHECK(settings.zones.empty());
    CHECK(settings.first_start);
  }
  controller_settings settings =
      Parse(R"({"limits":{"cpuShare":0.25,"memoryMb":260,"maxFds":4100},)"
            R"("zones":{"tr-a":"tr","tr-b":"tr"}})");
  CHECK(settings.limits.memory_mb == 260);
  CHECK(settings.limits.max_descriptors == 4100);
  CHECK(settings.zones == std::vector<std::string>{"tr-a", "tr-b"});
}

// Guards against settings without tables of the platform that change.
TEST_CASE("settings of other deployments are not translated") {
  for (const char* text : {"", "{", R"({"memory_mb": 5})", R"([1])"}) {
    CHECK(platform::TranslateSettings(text) == text);
  }
}

}  // namespace radishroute
