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

// Guards against a log event that is not documented.
TEST_CASE("every log event is listed in events.md") {
  std::string page = ReadPage("events.md");
  for (event_code code : AllEventCodes()) {
    std::string row =
        "| " + std::to_string(static_cast<int>(code)) + " | " + std::string(ToString(code)) + " |";
    INFO(row);
    CHECK(page.find(row) != std::string::npos);
  }
}

// Guards against a problem type or counter label that is not documented.
TEST_CASE("every refusal, failure, retry reason and response fault is listed in errors.md") {
  std::string page = ReadPage("errors.md");
  auto check_listed = [&](std::string_view name) {
    INFO(name);
    CHECK(page.find("| " + std::string(name) + " |") != std::string::npos);
  };
  for (std::size_t i = 1; i < kRefusalReasonCount; ++i) {
    check_listed(ToString(static_cast<refusal_reason>(i)));
  }
  for (std::size_t i = 1; i < kDispatchFailureCount; ++i) {
    check_listed(ToString(static_cast<dispatch_failure>(i)));
  }
  for (std::size_t i = 0; i < kRetryReasonCount; ++i) {
    check_listed(ToString(static_cast<retry_reason>(i)));
  }
  for (std::size_t i = 1; i < kResponseFaultCount; ++i) {
    check_listed(ToString(static_cast<response_fault>(i)));
  }
}

}  // namespace radishroute
