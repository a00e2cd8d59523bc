#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>

#include "radishroute/error.h"
#include "radishroute/log_event.h"

namespace radishroute {

namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(std::string(SOURCE_DIR) + "/docs/" + name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

}  // namespace

// Guards against a log event that operators cannot look up.
TEST_CASE("every log event is in the catalogue") {
  std::string page = ReadPage("events.md");
  for (event_code code : AllEventCodes()) {
    std::string row =
        "| " + std::to_string(static_cast<int>(code)) + " | " + std::string(ToString(code)) + " |";
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

// Guards against a problem type or counter label that callers and operators cannot look up.
TEST_CASE("every refusal, failure and retry reason is in the catalogue") {
  std::string page = ReadPage("errors.md");
  auto listed = [&](std::string_view name) {
    INFO(name);
    CHECK(page.find("| " + std::string(name) + " |") != std::string::npos);
  };
  for (std::size_t i = 1; i < kRefusalReasonCount; ++i) {
    listed(ToString(static_cast<refusal_reason>(i)));
  }
  for (std::size_t i = 1; i < kDispatchFailureCount; ++i) {
    listed(ToString(static_cast<dispatch_failure>(i)));
  }
  for (std::size_t i = 0; i < kRetryReasonCount; ++i) {
    listed(ToString(static_cast<retry_reason>(i)));
  }
}

}  // namespace radishroute
